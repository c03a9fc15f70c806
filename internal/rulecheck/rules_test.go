package main

import (
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestRulesMatchCode guards against a rule whose text was changed in the code, so that rulecheck
// no longer takes it out.
func TestRulesMatchCode(t *testing.T) {
	names := make(map[string]bool)
	for _, r := range allRules() {
		if names[r.Name] || len(r.Packages) == 0 {
			t.Errorf("%s: the name occurs twice, or no tests are stated", r.Name)
		}
		names[r.Name] = true
		content, err := r.edited("../..")
		if err != nil {
			t.Errorf("%s: %v", r.Name, err)
			continue
		}
		if _, err := parser.ParseFile(token.NewFileSet(), r.File, content, parser.SkipObjectResolution); err != nil {
			t.Errorf("%s: the edit does not parse: %v", r.Name, err)
		}
	}
}

// TestVerdictOfOutput guards against an edit that does not compile and counts as caught, and
// against one that hangs and counts as survived.
func TestVerdictOfOutput(t *testing.T) {
	is := is.New(t)
	v, err := readVerdict(strings.NewReader(`{"Action":"fail","Test":"TestA/part"} {"Action":"fail","Test":"TestA"} {"Action":"fail"}`))
	is.NoErr(err)
	is.Equal(v.String(), "caught by TestA")
	v, err = readVerdict(strings.NewReader(`{"Action":"output","Output":"panic: test timed out after 1s\n"} {"Action":"fail","Test":"TestB"} {"Action":"fail"}`))
	is.NoErr(err)
	is.Equal(v.String(), "timed out TestB")
	v, err = readVerdict(strings.NewReader(`{"Action":"pass","Test":"TestA"} {"Action":"pass"}`))
	is.NoErr(err)
	is.Equal(v.String(), "SURVIVED")
	_, err = readVerdict(strings.NewReader(`{"Action":"build-output","Output":"undefined: x"} {"Action":"build-fail"} {"Action":"fail"}`))
	is.True(err != nil)
}

// TestOverlay guards against an overlay that does not take the rule out of the file, or fails.
func TestOverlay(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	rules := allRules()
	overlay, err := rules[0].writeOverlay("../..", dir)
	is.NoErr(err)
	content, err := os.ReadFile(overlay)
	is.NoErr(err)
	is.True(strings.Contains(string(content), dir))
}
