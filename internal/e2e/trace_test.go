package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against traces of separate processes that cannot be merged, lack the end event
// after a planned stop, contain the caller key, or violate an invariant without a fault.
func TestProcessTracesMergeAndPassCheck(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	d := deploy(t, topology{domains: map[string][]string{"a": {"a-1", "a-2"}}, perDomain: 2, runTime: time.Millisecond, traces: dir})
	for i := range 20 {
		for _, vm := range d.vms {
			status, _, raw, err := send(http.MethodPost, vm.address(), fmt.Sprintf("/keyed/key-%d?k=%s", i, callerKey), "body")
			is.NoErr(err)
			if status != http.StatusOK {
				t.Fatal(status, raw)
			}
		}
	}
	for _, group := range []map[string]*process{d.vms, d.backends} {
		for _, p := range group {
			p.signal(t, syscall.SIGTERM)
		}
		for _, p := range group {
			_ = p.command.Wait() // the end event in the trace is checked instead
		}
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	is.NoErr(err)
	is.Equal(len(files), len(d.vms)+len(d.backends))
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		is.True(!bytes.Contains(data, []byte(callerKey)))
		is.True(strings.Contains(string(data), `"type":"end"`))
	}
	output, err := exec.Command(binary, append([]string{"replay", "-check"}, files...)...).Output()
	t.Log(string(output))
	is.NoErr(err)
	is.True(strings.Contains(string(output), " 7 held"))
}
