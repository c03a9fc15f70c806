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

// runsOf returns the requests that the backend server ran, or none if it does not
// respond.
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

// fencingViolations counts the requests of keyed backend servers that started after a
// request of the same unit at another server, but without a higher fencing token.
func fencingViolations(t *testing.T, d *deployment) int {
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
	latest := make(map[uint64]run)
	count := 0
	for _, r := range all {
		last, ok := latest[r.Unit]
		if ok && last.server != r.server && !higherFence(t, r.Fence, last.Fence) {
			t.Logf("unit %d: %s ran a request with token %s at %s after %s with token %s", r.Unit, r.server, r.Fence, r.Start, last.server, last.Fence)
			count++
		}
		latest[r.Unit] = r
	}
	return count
}

// higherFence reports whether the fencing token a is higher than b.
func higherFence(t *testing.T, a, b string) bool {
	t.Helper()
	fenceA, err := backend.ParseFence(a)
	if err != nil {
		t.Fatal(err)
	}
	fenceB, err := backend.ParseFence(b)
	if err != nil {
		t.Fatal(err)
	}
	return fenceB.Less(fenceA)
}
