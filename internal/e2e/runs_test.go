package e2e

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"fireflyfield/internal/backend"
	backendstandin "fireflyfield/internal/standin/backend"
)

// runsOf returns what the backend server ran.
func runsOf(t *testing.T, p *process) []backendstandin.Run {
	t.Helper()
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + p.address() + "/control/runs")
	if err != nil {
		return nil // the process was killed
	}
	defer func() { _ = resp.Body.Close() }()
	var runs []backendstandin.Run
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		t.Fatal(err)
	}
	return runs
}

// doubleRuns counts the requests that began at a backend server after another one
// had begun a request of the same unit under a later token.
func doubleRuns(t *testing.T, d *deployment) int {
	t.Helper()
	type run struct {
		backendstandin.Run
		server string
	}
	var all []run
	for name, p := range d.backends {
		if !strings.HasPrefix(name, "keyed") {
			continue
		}
		for _, r := range runsOf(t, p) {
			all = append(all, run{r, name})
		}
	}
	slices.SortFunc(all, func(a, b run) int { return a.Start.Compare(b.Start) })
	owner := make(map[uint64]run)
	count := 0
	for _, r := range all {
		last, ok := owner[r.Unit]
		if ok && last.server != r.server && !later(t, r.Fence, last.Fence) {
			t.Logf("unit %d: %s under %s at %s after %s under %s", r.Unit, r.server, r.Fence, r.Start, last.server, last.Fence)
			count++
		}
		owner[r.Unit] = r
	}
	return count
}

// later reports whether the fencing token a is higher than b.
func later(t *testing.T, a, b string) bool {
	t.Helper()
	first, err := backend.ParseFence(a)
	if err != nil {
		t.Fatal(err)
	}
	second, err := backend.ParseFence(b)
	if err != nil {
		t.Fatal(err)
	}
	return second.Less(first)
}
