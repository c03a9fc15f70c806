package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/fleet"
)

// newCutForwarder returns a forwarder that has no path to its only backend server, and the other
// VMs that run the given functions.
func newCutForwarder(t *testing.T, idempotent bool, vms ...serveFunc) *testForwarder {
	t.Helper()
	var addresses []string
	for _, serve := range vms {
		server := httptest.NewServer(http.HandlerFunc(serve))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	s := newTestForwarder(t, idempotent, func(http.ResponseWriter, *http.Request) { t.Error("the backend server got a request") })
	s.Detours = NewDetours(clock.System{}, testProtocol{}, nil, rand.New(rand.NewPCG(1, 2)), func() []string { return addresses })
	s.Reach.Checked(false, 0)
	return s
}

// decline is the answer of a VM without a path.
func decline(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerDeclined, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestDetourFindsVMWithPath guards against a request that is rejected although another VM has a
// path, since one that has none was asked first.
func TestDetourFindsVMWithPath(t *testing.T) {
	is := is.New(t)
	s := newCutForwarder(t, false, decline, decline, respondSigned)
	for i := range 20 {
		answer := s.request(context.Background(), string(rune('a'+i)))
		is.Equal(answer.Status, http.StatusOK)
		is.Equal(string(answer.Body), "ran")
		answer.Done()
	}
	s = newCutForwarder(t, false, decline, decline)
	answer := s.request(context.Background(), "1")
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	is.True(answer.Header.Get("Retry-After") != "")
}

// TestDetourRunsOnce guards against a request that is not idempotent and is sent to a second VM
// although the first one may have had it run, and against the statement that it has not run.
func TestDetourRunsOnce(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		is := is.New(t)
		var runs atomic.Int64
		drop := func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
		s := newCutForwarder(t, idempotent, drop, drop)
		answer := s.request(context.Background(), "1")
		is.Equal(answer.Status, http.StatusBadGateway)
		want := int64(1)
		if idempotent {
			want = 2
		}
		is.Equal(runs.Load(), want)
	}
}

// TestDetoursSpread guards against all requests of a VM going to one other VM, which has the load
// of its own callers beside them, and against more going to a VM that is slow.
func TestDetoursSpread(t *testing.T) {
	is := is.New(t)
	addresses := []string{"a:1", "b:1", "c:1", "d:1"}
	d := NewDetours(&clock.Fake{Time: time.Minute}, testProtocol{}, nil, rand.New(rand.NewPCG(1, 2)), func() []string { return addresses })
	counts := map[string]int{}
	var slow []*helper
	for range 400 {
		h := d.take(nil)
		counts[h.address]++
		if h.address == "a:1" {
			slow = append(slow, h) // its requests don't end
			continue
		}
		d.release(h, false)
	}
	is.True(counts["a:1"] < 40)
	for _, address := range addresses[1:] {
		is.True(counts[address] > 80)
	}
	for _, h := range slow {
		d.release(h, true)
	}
	for range 50 {
		h := d.take(nil)
		is.True(h.address != "a:1") // it has just failed
		d.release(h, false)
	}
}

// TestHelperDoesNotDetour guards against requests that VMs without paths send to each other in
// circles.
func TestHelperDoesNotDetour(t *testing.T) {
	is := is.New(t)
	s := newCutForwarder(t, true, func(http.ResponseWriter, *http.Request) { t.Error("a detoured request was sent on") })
	answer := PeerHandler{s.Forwarder}.Handle(context.Background(), &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"X-Id": {"1"}}, Received: clock.System{}.Now(),
	})
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	is.Equal(answer.Header.Get(headerDeclined), "1")
}

// TestServersUsableWhenPathsAreBack guards against backend servers that get few requests or none
// after the VM has its paths back, since their failed connections count as restarts.
func TestServersUsableWhenPathsAreBack(t *testing.T) {
	is := is.New(t)
	m := newLimitModel(1, 1, false)
	vm := m.vms[0]
	for range 9 {
		b, reason := vm.pick(m.view, m.service, nil, workTime, time.Second)
		if reason != pickOK {
			break
		}
		vm.connectionFailed(b, &fleet.Service{Name: "s", ColdFor: time.Minute, ColdRate: 1}, true, false)
	}
	m.clock.Time += maxPause
	usable := func() (count int) {
		for _, b := range vm.byID {
			stats := b.stats(m.clock.Time)
			if m.clock.Time >= b.coldUntil && b.unavailableReason(&stats, m.clock.Time, workTime, time.Second) == pickOK {
				count++
			}
		}
		return count
	}
	is.True(usable() < 9)
	vm.ForgetFailures()
	is.Equal(usable(), 9)
}
