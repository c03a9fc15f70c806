package backend

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	protocol "fireflyfield/internal/backend"
	"fireflyfield/internal/trace"
)

// tracedServer is a stand-in that records a trace to memory.
type tracedServer struct {
	t      *testing.T
	server *Server
	output bytes.Buffer
	writer *trace.Writer
}

func newTracedServer(t *testing.T, options Options) *tracedServer {
	r := &tracedServer{t: t}
	options.Service, options.Name, options.FailureDomain = "entretien", "e1", "plateau"
	writer, err := trace.NewWriter(&r.output, options.TraceOptions("a"))
	if err != nil {
		t.Fatal(err)
	}
	options.Trace = writer
	r.writer = writer
	r.server = New(options)
	return r
}

// send sends one request and reports whether its response was complete.
func (r *tracedServer) send(id string) (complete bool) {
	request := httptest.NewRequest(http.MethodGet, "/bloc-1", nil)
	request.Header.Set(protocol.HeaderRequestID, id)
	request.Header.Set(protocol.HeaderAttempt, "2")
	defer func() { complete = recover() == nil && complete }()
	response := httptest.NewRecorder()
	r.server.ServeHTTP(response, request)
	return response.Code == http.StatusOK
}

// sendGrants sends the grant request, addressed to the present instance.
func (r *tracedServer) sendGrants(request protocol.GrantRequest) {
	request.Instance = r.server.Instance()
	data, err := json.Marshal(request)
	if err != nil {
		r.t.Fatal(err)
	}
	r.server.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, protocol.PathGrants, bytes.NewReader(data)))
}

// finishTrace closes the trace and returns its events between the header and the end,
// and their types.
func (r *tracedServer) finishTrace() (types []trace.Type, events []trace.Event) {
	r.t.Helper()
	if err := r.writer.Close(); err != nil {
		r.t.Fatal(err)
	}
	events, err := trace.ReadAll(&r.output, trace.ReaderOptions{})
	if err != nil {
		r.t.Fatal(err)
	}
	events = events[1 : len(events)-1]
	for _, event := range events {
		types = append(types, event.Body.Type())
	}
	return types, events
}

// Guards against a complete response from a run whose instance was replaced meanwhile,
// and against a trace in which such a run never ends.
func TestRestartCancelsRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTracedServer(t, Options{Slots: 2, RunTime: time.Second})
		done := make(chan bool)
		go func() { done <- r.send("a") }()
		synctest.Wait()
		r.server.Restart()
		is.Equal(<-done, false)
		is.True(r.send("b"))
		types, events := r.finishTrace()
		is.Equal(types, []trace.Type{
			trace.TypeServerState,
			trace.TypeRunStart, trace.TypeRunEnd, trace.TypeServerState,
			trace.TypeRunStart, trace.TypeRunEnd,
		})
		is.True(events[2].Body.(trace.RunEnd).Cancelled)
		is.Equal(events[5].Body.(trace.RunEnd).Attempt, uint32(2))
		is.True(events[0].Body.(trace.ServerState).Instance != events[3].Body.(trace.ServerState).Instance)
	})
}

// Guards against a trace that shows a lease as longer than the stand-in honours it.
func TestTraceRecordsLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTracedServer(t, Options{Slots: 1, Keyed: true, ChecksGrants: true})
		start := time.Now()
		r.sendGrants(protocol.GrantRequest{Term: 1, ExpiresAtMs: 700, Grant: []protocol.Grant{{Unit: 7, Counter: 1}}})
		time.Sleep(200 * time.Millisecond)
		r.sendGrants(protocol.GrantRequest{Term: 1, ExpiresAtMs: 900, Renew: true})
		time.Sleep(time.Second)
		r.sendGrants(protocol.GrantRequest{Term: 1, ExpiresAtMs: 1900, Renew: true, Grant: []protocol.Grant{{Unit: 7, Counter: 2}}})
		r.sendGrants(protocol.GrantRequest{Term: 1, Revoke: []uint64{7}})
		types, events := r.finishTrace()
		is.Equal(types, []trace.Type{trace.TypeServerState, trace.TypeGrant, trace.TypeRenew, trace.TypeLapse, trace.TypeGrant, trace.TypeRevoke})
		is.Equal(events[1].Body.(trace.Grant).Expires, start.Add(700*time.Millisecond).UnixNano())
		is.Equal(events[2].Body.(trace.Renew).Expires, start.Add(900*time.Millisecond).UnixNano())
		is.Equal(events[3].Time, start.Add(900*time.Millisecond).UnixNano())
	})
}

// Guards against a rejection that is missing from the trace. A checker needs it to see
// that a cold server received too much load.
func TestTraceRecordsRejection(t *testing.T) {
	is := is.New(t)
	r := newTracedServer(t, Options{Slots: 1, Keyed: true, ChecksGrants: true})
	is.True(!r.send("a"))
	_, events := r.finishTrace()
	is.Equal(events[1].Body.(trace.RunRefused).Reason, trace.RefusedFence)
}

// Guards against a complete response from a run that a restart cancelled after its
// work was done and before the response was written: the trace shows it as cancelled.
func TestFinishFailsAfterRestart(t *testing.T) {
	is := is.New(t)
	r := newTracedServer(t, Options{Slots: 1})
	running := admission{id: "a", attempt: 1, cancelled: make(chan struct{})}
	r.server.inFlight[running.id] = running
	r.server.Restart()
	is.True(!r.server.finish(running, nil))
	types, events := r.finishTrace()
	is.Equal(types, []trace.Type{trace.TypeServerState, trace.TypeRunEnd, trace.TypeServerState})
	is.True(events[1].Body.(trace.RunEnd).Cancelled)
}
