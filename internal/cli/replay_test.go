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

// runWithoutInput runs a command line with empty standard input and returns its
// exit status and output.
func runWithoutInput(args ...string) (status int, out, errs string) {
	var stdout, stderr bytes.Buffer
	status = Run(context.Background(), args, Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	return status, stdout.String(), stderr.String()
}

// storedTraces returns the files of the traces recorded from the two examples.
func storedTraces(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../../testdata/traces/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatal("no stored traces found", err)
	}
	return files
}

// Guards against checkers that report a broken invariant in a correct run, against a
// change of the trace format that makes the stored traces unreadable, and against
// stored traces of 1 MiB or more.
func TestStoredTracesSatisfyInvariants(t *testing.T) {
	for _, file := range storedTraces(t) {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			info, err := os.Stat(file)
			is.NoErr(err)
			is.True(info.Size() < 1<<20)
			status, out, errs := runWithoutInput("replay", "-check", file)
			t.Log(out, errs)
			is.Equal(status, 0)
			is.Equal(strings.Count(out, " held "), strings.Count(out, "checked)")-strings.Count(out, "not exercised"))
			is.Equal(strings.Count(out, "checked)"), 12) // one line for each invariant
		})
	}
}

// Guards against an exit status of 0 although an invariant is broken.
func TestCheckExitStatusOfBrokenInvariant(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(storedTraces(t)[0])
	is.NoErr(err)
	// Give the first answer another length than the backend server recorded.
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		if strings.Contains(line, `"type":"answer"`) && strings.Contains(line, `"outcome":"ran"`) {
			lines[i] = strings.Replace(line, `"bytes":`, `"bytes":9`, 1)
			break
		}
	}
	broken := filepath.Join(t.TempDir(), "broken.jsonl")
	is.NoErr(os.WriteFile(broken, []byte(strings.Join(lines, "\n")), 0o600))
	status, out, _ := runWithoutInput("replay", "-check", broken)
	is.Equal(status, 1)
	is.True(strings.Contains(out, " 7 broken")) // the number of the invariant
}

// Guards against metrics, plots and burn reports that fail on a stored trace.
func TestMetricsAndBurnOfStoredTrace(t *testing.T) {
	is := is.New(t)
	plots := t.TempDir()
	status, out, errs := runWithoutInput("replay", "-metrics", "-plots", plots, storedTraces(t)[0])
	is.Equal(errs, "")
	is.Equal(status, 0)
	is.True(strings.Contains(out, "worst served"))
	drawn, err := filepath.Glob(filepath.Join(plots, "*.svg"))
	is.NoErr(err)
	is.True(len(drawn) > 0)
	status, out, _ = runWithoutInput("replay", "-metrics", "-o", "json", storedTraces(t)[0])
	is.Equal(status, 0)
	is.True(strings.Contains(out, `"wrongful_refusals"`))
	status, out, errs = runWithoutInput("report", "-trace", storedTraces(t)[0])
	is.Equal(errs, "")
	is.Equal(status, 0)
	is.True(strings.Contains(out, "worst served"))
}

// Guards against command lines that are run although flags are missing, conflict
// or have invalid values.
func TestInvalidReplayCommandLines(t *testing.T) {
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
			status, _, errs := runWithoutInput(args...)
			is.Equal(status, 2)
			is.Equal(strings.Count(errs, "\n"), 1)
		})
	}
}
