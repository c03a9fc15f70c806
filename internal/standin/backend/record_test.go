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

// recorded is a stand-in with its trace.
type recorded struct {
	t      *testing.T
	server *Server
	output bytes.Buffer
	writer *trace.Writer
}

func newRecorded(t *testing.T, options Options) *recorded {
	r := &recorded{t: t}
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

// send sends one request and reports whether its answer was complete.
func (r *recorded) send(id string) (complete bool) {
	request := httptest.NewRequest(http.MethodGet, "/bloc-1", nil)
	request.Header.Set(protocol.HeaderRequestID, id)
	request.Header.Set(protocol.HeaderAttempt, "2")
	defer func() { complete = recover() == nil && complete }()
	answer := httptest.NewRecorder()
	r.server.ServeHTTP(answer, request)
	return answer.Code == http.StatusOK
}

func (r *recorded) grant(request protocol.GrantRequest) {
	request.Instance = r.server.Instance()
	data, err := json.Marshal(request)
	if err != nil {
		r.t.Fatal(err)
	}
	r.server.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, protocol.PathGrants, bytes.NewReader(data)))
}

// types returns the types of the events between the header and the end.
func (r *recorded) types() (types []trace.Type, events []trace.Event) {
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

// Guards against a run whose complete answer is sent although its instance was
// replaced, and against one that the trace shows as running for ever.
func TestRestartEndsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRecorded(t, Options{Slots: 2, RunTime: time.Second})
		done := make(chan bool)
		go func() { done <- r.send("a") }()
		synctest.Wait()
		r.server.Restart()
		is.Equal(<-done, false)
		is.True(r.send("b"))
		types, events := r.types()
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

// Guards against leases that the trace shows longer than the stand-in obeys them.
func TestRecordsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRecorded(t, Options{Slots: 1, Keyed: true, ChecksGrants: true})
		start := time.Now()
		r.grant(protocol.GrantRequest{Term: 1, ExpiresAtMs: 700, Grant: []protocol.Grant{{Unit: 7, Counter: 1}}})
		time.Sleep(200 * time.Millisecond)
		r.grant(protocol.GrantRequest{Term: 1, ExpiresAtMs: 900, Renew: true})
		time.Sleep(time.Second)
		r.grant(protocol.GrantRequest{Term: 1, ExpiresAtMs: 1900, Renew: true, Grant: []protocol.Grant{{Unit: 7, Counter: 2}}})
		r.grant(protocol.GrantRequest{Term: 1, Revoke: []uint64{7}})
		types, events := r.types()
		is.Equal(types, []trace.Type{trace.TypeServerState, trace.TypeGrant, trace.TypeRenew, trace.TypeLapse, trace.TypeGrant, trace.TypeRevoke})
		is.Equal(events[1].Body.(trace.Grant).Expires, start.Add(700*time.Millisecond).UnixNano())
		is.Equal(events[2].Body.(trace.Renew).Expires, start.Add(900*time.Millisecond).UnixNano())
		is.Equal(events[3].Time, start.Add(900*time.Millisecond).UnixNano())
	})
}

// Guards against a refusal that the trace lacks, without which a checker can't see
// that a cold server got too much load.
func TestRecordsRefusal(t *testing.T) {
	is := is.New(t)
	r := newRecorded(t, Options{Slots: 1, Keyed: true, ChecksGrants: true})
	is.True(!r.send("a"))
	_, events := r.types()
	is.Equal(events[1].Body.(trace.RunRefused).Reason, trace.RefusedFence)
}

// Guards against a complete answer from a run that ended between its last
// instruction and the write, which the trace has as cancelled.
func TestFinishAfterRestart(t *testing.T) {
	is := is.New(t)
	r := newRecorded(t, Options{Slots: 1})
	running := admission{id: "a", attempt: 1, cancelled: make(chan struct{})}
	r.server.inFlight[running.id] = running
	r.server.Restart()
	is.True(!r.server.finish(running, nil))
	types, events := r.types()
	is.Equal(types, []trace.Type{trace.TypeServerState, trace.TypeRunEnd, trace.TypeServerState})
	is.True(events[1].Body.(trace.RunEnd).Cancelled)
}
