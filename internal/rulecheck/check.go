package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// buildTime is how long compiling the tests may take beside their timeout.
const buildTime = 2 * time.Minute

// checker runs the tests of rules.
type checker struct {
	root    string // directory of the module
	tests   string // regular expression of the tests to run; empty for all
	first   bool   // whether the first failure of a package ends its tests
	timeout time.Duration
}

// verdict is what the tests said about the code without a rule.
type verdict struct {
	tests    []string // top-level tests that failed
	timedOut bool
	failed   bool // the tests failed, or did not end
}

func (v *verdict) String() string {
	switch {
	case v.timedOut:
		return "timed out " + strings.Join(v.tests, ", ")
	case v.failed:
		return "caught by " + strings.Join(v.tests, ", ")
	}
	return "SURVIVED"
}

// check runs the tests of a rule's packages without the rule.
func (c *checker) check(ctx context.Context, r *rule) (verdict, error) {
	dir, err := os.MkdirTemp("", "rulecheck")
	if err != nil {
		return verdict{}, errors.Wrap(err, "create a directory")
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a directory for temporary files
	overlay, err := r.writeOverlay(c.root, dir)
	if err != nil {
		return verdict{}, err
	}
	// Tests on the real clock, which -short leaves out, take minutes. They are run for a rule that the
	// others don't notice.
	v, err := c.runTests(ctx, r.Packages, "-overlay", overlay, "-short")
	if err != nil || v.failed {
		return v, err
	}
	return c.runTests(ctx, r.Packages, "-overlay", overlay)
}

// checkUnedited returns an error if tests on the fake clock fail, or don't end in time, on the code as
// it is: they would seem to catch each rule.
func (c *checker) checkUnedited(ctx context.Context, rules []rule) error {
	checked := make(map[string]bool)
	for _, r := range rules {
		for _, name := range r.Packages {
			if checked[name] {
				continue
			}
			checked[name] = true
			v, err := c.runTests(ctx, []string{name}, "-short")
			if err != nil {
				return err
			}
			if v.failed {
				return errors.Errorf("%s with all rules: %v", name, &v)
			}
		}
	}
	return nil
}

// runTests runs the tests of packages with further flags of go test.
func (c *checker) runTests(ctx context.Context, packages []string, flags ...string) (verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+buildTime)
	defer cancel()
	args := append([]string{"test", "-json", "-vet=off", "-count=1", "-timeout", c.timeout.String(), "-run", c.tests}, flags...)
	if c.first {
		args = append(args, "-failfast")
	}
	command := exec.CommandContext(ctx, "go", append(args, packages...)...)
	command.Dir = c.root
	var stderr bytes.Buffer
	command.Stderr = &stderr
	output, runErr := command.Output()
	if ctx.Err() != nil {
		return verdict{timedOut: true, failed: true}, nil
	}
	v, err := readVerdict(bytes.NewReader(output))
	if err != nil {
		return verdict{}, err
	}
	if runErr != nil && !v.failed {
		return verdict{}, errors.Wrapf(runErr, "go test: %s", stderr.String())
	}
	return v, nil
}

// testEvent is a line of go test -json.
type testEvent struct {
	Action, Test, Output string
}

// readVerdict reads the output of go test -json. A compile error is an error of the rule's edit.
func readVerdict(output io.Reader) (verdict, error) {
	var v verdict
	var build strings.Builder
	for decoder := json.NewDecoder(output); ; {
		var event testEvent
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) {
			return v, nil
		}
		if err != nil {
			return v, errors.Wrap(err, "decode the output of go test")
		}
		switch event.Action {
		case "build-output":
			build.WriteString(event.Output)
		case "build-fail":
			return v, errors.Errorf("the edit does not compile: %s", build.String())
		case "output":
			v.timedOut = v.timedOut || strings.HasPrefix(event.Output, "panic: test timed out")
		case "fail":
			v.failed = true
			if event.Test != "" && !strings.Contains(event.Test, "/") && !slices.Contains(v.tests, event.Test) {
				v.tests = append(v.tests, event.Test)
			}
		}
	}
}
