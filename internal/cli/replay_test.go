package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// runTool runs a command line and returns its status and output.
func runTool(args ...string) (status int, out, errs string) {
	var stdout, stderr bytes.Buffer
	status = Run(context.Background(), args, Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	return status, stdout.String(), stderr.String()
}

// storedTraces returns the traces that were recorded from both examples.
func storedTraces(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../../testdata/traces/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatal("there are no stored traces", err)
	}
	return files
}

// Guards against checkers that find a fault in the recording of a run without one,
// and against stored traces that the present format refuses.
func TestStoredTracesHold(t *testing.T) {
	for _, file := range storedTraces(t) {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			info, err := os.Stat(file)
			is.NoErr(err)
			is.True(info.Size() < 1<<20)
			status, out, errs := runTool("replay", "-check", file)
			t.Log(out, errs)
			is.Equal(status, 0)
			is.Equal(strings.Count(out, " held "), strings.Count(out, "checked)")-strings.Count(out, "not exercised"))
			is.Equal(strings.Count(out, "checked)"), 12)
		})
	}
}

// Guards against a broken invariant that the exit status does not show.
func TestCheckFailsOnBroken(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(storedTraces(t)[0])
	is.NoErr(err)
	// The first answer gets another length than the backend server recorded.
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		if strings.Contains(line, `"type":"answer"`) && strings.Contains(line, `"outcome":"ran"`) {
			lines[i] = strings.Replace(line, `"bytes":`, `"bytes":9`, 1)
			break
		}
	}
	broken := filepath.Join(t.TempDir(), "broken.jsonl")
	is.NoErr(os.WriteFile(broken, []byte(strings.Join(lines, "\n")), 0o600))
	status, out, _ := runTool("replay", "-check", broken)
	is.Equal(status, 1)
	is.True(strings.Contains(out, " 7 broken"))
}

// Guards against metrics and reports that a stored trace does not bring about.
func TestMetricsAndBurn(t *testing.T) {
	is := is.New(t)
	plots := t.TempDir()
	status, out, errs := runTool("replay", "-metrics", "-plots", plots, storedTraces(t)[0])
	is.Equal(errs, "")
	is.Equal(status, 0)
	is.True(strings.Contains(out, "worst served"))
	drawn, err := filepath.Glob(filepath.Join(plots, "*.svg"))
	is.NoErr(err)
	is.True(len(drawn) > 0)
	status, out, _ = runTool("replay", "-metrics", "-o", "json", storedTraces(t)[0])
	is.Equal(status, 0)
	is.True(strings.Contains(out, `"wrongful_refusals"`))
	status, out, errs = runTool("report", "-trace", storedTraces(t)[0])
	is.Equal(errs, "")
	is.Equal(status, 0)
	is.True(strings.Contains(out, "worst served"))
}

// Guards against command lines that do something else than they say.
func TestReplayCommandLines(t *testing.T) {
	cases := [][]string{
		{"replay"},
		{"replay", "-check"},
		{"replay", "-check", "-metrics", "a"},
		{"replay", "-trace", "a", "b"},
		{"replay", "-generate", "dakar"},
		{"replay", "-generate", "nowhere", "-out", "x"},
		{"replay", "-generate", "dakar", "-out", "x", "-faults", "unheard-of"},
		{"replay", "-trace", "a", "-speed", "0"},
		{"report"},
		{"report", "-trace", "a", "-capacity", "b"},
		{"standin", "backend", "-service", "s", "-server", "s1", "-trace", "x"},
	}
	for _, args := range cases {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			is := is.New(t)
			status, _, errs := runTool(args...)
			is.Equal(status, 2)
			is.Equal(strings.Count(errs, "\n"), 1)
		})
	}
}
