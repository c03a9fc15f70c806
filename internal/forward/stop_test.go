package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/share"
)

// isStopRejection reports whether an answer states that the request has not run and may be sent to
// another VM.
func isStopRejection(a *Answer) bool {
	return a.Status == http.StatusServiceUnavailable && a.Header.Get("Retry-After") != ""
}

// TestLateRetryBeforeExit guards against a request that is passed on once more when its deadline
// lies after the end of the process: a backend server rejected it shortly after the VM began to
// stop, and the next one was still at work at the end.
func TestLateRetryBeforeExit(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		is := is.New(t)
		var runs, rejections atomic.Int64
		var stopping atomic.Pointer[testForwarder]
		serve := func(w http.ResponseWriter, r *http.Request) {
			if rejections.Add(1) == 1 {
				stopping.Load().SetExit(clock.System{}.Now() + time.Second) // the deadline is 2 s after the receipt
				respondNotRun(w, r)
				return
			}
			runs.Add(1)
			respondSigned(w, r)
		}
		f := newTestForwarder(t, idempotent, serve, serve)
		stopping.Store(f)
		is.True(isStopRejection(f.request(context.Background(), "1")))
		is.Equal(runs.Load(), int64(0))
	}
}

// TestLateOwnerBeforeExit guards against a request that waits for the owner of its key, and is
// passed on when its deadline lies after the end of the process.
func TestLateOwnerBeforeExit(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	f := newTestForwarder(t, false, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		respondSigned(w, r)
	})
	answer := f.startOwnerWait()
	f.SetExit(clock.System{}.Now() + time.Second)
	f.publishOwner(t)
	is.True(isStopRejection(<-answer))
	is.Equal(runs.Load(), int64(0))
}

// startOwnerWait sends a request for a key that has no owner, and returns when it waits.
func (s *testForwarder) startOwnerWait() <-chan *Answer {
	s.Directory.View().Config.Services[0].Keyed = true
	answer := make(chan *Answer)
	go func() { answer <- s.keyedRequest("1") }()
	waiting := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.keyCounts["s"][7] > 0
	}
	for !waiting() {
		time.Sleep(time.Millisecond)
	}
	return answer
}

// TestOwnerWaitEndsAtStop guards against a request that waits for the owner of its key although it
// will be rejected in the end, since its VM stops. At the end of the process it would be cut off.
func TestOwnerWaitEndsAtStop(t *testing.T) {
	is := is.New(t)
	f := newTestForwarder(t, false, respondSigned)
	answer := f.startOwnerWait()
	f.SetExit(clock.System{}.Now() + time.Second)
	is.True(isStopRejection(<-answer))
	is.Equal((<-f.events).Reason, "vm-stops")
}

// TestLateRateBeforeExit guards against a request that waits for the rate of its workspace, and is
// passed on when its deadline lies after the end of the process.
func TestLateRateBeforeExit(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	f := newTestForwarder(t, false, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		respondSigned(w, r)
	})
	config := f.Directory.View().Config
	config.Workspaces = []fleet.Workspace{{Name: "w", Keys: []string{"key"}, Rate: 4, Burst: 1}} // a token each 250 ms
	config.Index()
	f.Limiter.SetAllotment(share.Allotment{Epoch: 1, Count: 1})
	f.Limiter.SetMembers(share.Members{Epoch: 1, List: []share.Member{{VM: "vm"}}})
	for f.Limiter.Take(&config.Workspaces[0], clock.System{}.Now(), 0).OK {
	}
	f.Limiter.TakeCounts()
	answer := make(chan *Answer)
	go func() {
		answer <- f.Handle(context.Background(), &Request{
			Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"X-Id": {"1"}, "X-Key": {"key"}}, Received: clock.System{}.Now(),
		})
	}()
	for f.Limiter.TakeCounts()["w"].Admitted == 0 {
		time.Sleep(time.Millisecond)
	}
	f.SetExit(clock.System{}.Now() + time.Second)
	is.True(isStopRejection(<-answer))
	is.Equal(runs.Load(), int64(0))
}

// TestRepeatBeforeExit guards against an idempotent request that fails since its VM stops, although
// another backend server could still serve it: the first one may have run it, so that its caller
// cannot be told that it has not run.
func TestRepeatBeforeExit(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	var stopping atomic.Pointer[testForwarder]
	serve := func(w http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) == 1 {
			stopping.Load().SetExit(clock.System{}.Now() + time.Second)
			panic(http.ErrAbortHandler)
		}
		respondSigned(w, r)
	}
	f := newTestForwarder(t, true, serve, serve)
	stopping.Store(f)
	is.Equal(f.request(context.Background(), "1").Status, http.StatusOK)
}

// TestStoppingHelperDeclines guards against a caller of a VM without paths who is rejected since
// the VM that was asked first stops, although others could serve the request.
func TestStoppingHelperDeclines(t *testing.T) {
	is := is.New(t)
	f := newTestForwarder(t, false, respondSigned)
	f.SetExit(clock.System{}.Now() + time.Second)
	request := &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"X-Id": {"1"}}, Received: clock.System{}.Now()}
	answer := PeerHandler{f.Forwarder}.Handle(context.Background(), request)
	is.True(isStopRejection(answer))
	is.Equal(answer.Header.Get(headerDeclined), "1")
	answer = f.Handle(context.Background(), request)
	is.True(isStopRejection(answer))
	is.Equal(answer.Header.Get(headerDeclined), "") // callers don't see it
}

// TestEndOfRequests guards against a request that is still at work at the end of the process and
// gets no answer, so that the answers behind it on its connection are lost too, and against one
// that is sent on then.
func TestEndOfRequests(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		is := is.New(t)
		var attempts atomic.Int64
		atWork := make(chan struct{}, 2)
		serve := func(_ http.ResponseWriter, r *http.Request) {
			attempts.Add(1)
			atWork <- struct{}{}
			<-r.Context().Done()
		}
		f := newTestForwarder(t, idempotent, serve, serve)
		answer := make(chan *Answer)
		go func() { answer <- f.request(context.Background(), "1") }()
		<-atWork
		f.End()
		a := <-answer
		is.Equal(a.Status, http.StatusBadGateway)
		is.Equal(string(a.Body), "outcome-unknown\n")
		is.Equal(attempts.Load(), int64(1))
		is.Equal(f.request(context.Background(), "2").Status, http.StatusServiceUnavailable)
	}
}
