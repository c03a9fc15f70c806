package check

import (
	"bytes"
	"cmp"
	"slices"
	"testing"

	"fireflyfield/internal/trace"

	"github.com/matryer/is"
)

// ms is one millisecond in ns.
const ms = 1_000_000

var (
	e1   = trace.Server{Service: "entretien", Name: "e1", Domain: "plateau"}
	e2   = trace.Server{Service: "entretien", Name: "e2", Domain: "plateau"}
	e3   = trace.Server{Service: "entretien", Name: "e3", Domain: "medina"}
	t3   = trace.Server{Service: "rota", Name: "t3", Domain: "medina"}
	p1   = trace.Server{Service: "paie", Name: "p1", Domain: "plateau"}
	p2   = trace.Server{Service: "paie", Name: "p2", Domain: "plateau"}
	key1 = trace.DigestOf([]byte("key1"))
	key2 = trace.DigestOf([]byte("key2"))
	// otherHeaderDigest is the digest of a header value that is not a caller key.
	otherHeaderDigest = trace.DigestOf([]byte("text/plain"))
)

// scenario builds a trace. The times that its methods take are in ms.
type scenario struct {
	events []trace.Event
}

func (s *scenario) add(at int64, vm string, body trace.Body) {
	s.events = append(s.events, trace.Event{Time: at * ms, VM: vm, Body: body})
}

// removeEvents removes the matching events and fails the test if there are none.
func (s *scenario) removeEvents(t *testing.T, match func(trace.Body) bool) {
	t.Helper()
	before := len(s.events)
	s.events = slices.DeleteFunc(s.events, func(e trace.Event) bool { return match(e.Body) })
	if len(s.events) == before {
		t.Fatal("no event of the scenario matches")
	}
}

// editBodies replaces the bodies of type T for which edit returns true, and fails the
// test if there are none.
func editBodies[T trace.Body](t *testing.T, s *scenario, edit func(*T) bool) {
	t.Helper()
	edited := false
	for i, event := range s.events {
		if body, ok := event.Body.(T); ok && edit(&body) {
			s.events[i].Body = body
			edited = true
		}
	}
	if !edited {
		t.Fatal("no event of the scenario matches")
	}
}

// testRequest describes a request. The method run replaces an empty method by POST and
// an empty VM by vm-a.
type testRequest struct {
	id             string
	receivedAt     int64
	vm             string
	callerKey      trace.Digest
	server         trace.Server
	unit           trace.Unit
	keyHash        trace.Hash
	method         string
	idempotencyKey trace.Hash
}

var workspaces = map[trace.Digest]string{key1: "w1", key2: "w2"}

func (s *scenario) receive(r testRequest) {
	request := trace.Request{Request: r.id, Workspace: workspaces[r.callerKey], CallerKey: r.callerKey, Service: r.server.Service, Method: r.method,
		Path: "/" + r.server.Service, Key: r.keyHash, IdempotencyKey: r.idempotencyKey, Idempotent: r.method == "GET"}
	s.add(r.receivedAt, r.vm, request)
}

// run adds the events of a request that succeeds with its first attempt within 50 ms.
// The digest of the response is 1000 times the length of the id plus the second byte of
// the id; tests and other events repeat it, as 2000 + '8' for r8.
func (s *scenario) run(r testRequest) {
	if r.method == "" {
		r.method = "POST"
	}
	if r.vm == "" {
		r.vm = "vm-a"
	}
	s.receive(r)
	workspace := workspaces[r.callerKey]
	digest := trace.Hash(len(r.id)*1000 + int(r.id[1]))
	s.add(r.receivedAt, r.vm, trace.Admitted{Request: r.id, Workspace: workspace})
	s.attempt(r, 1)
	s.add(r.receivedAt+40, r.server.Name, trace.RunEnd{Request: r.id, Attempt: 1, Server: r.server, Status: 200, Bytes: 10, Digest: digest})
	s.add(r.receivedAt+45, r.vm, trace.AttemptOutcome{Request: r.id, Attempt: 1, Outcome: trace.Ran, Status: 200})
	s.add(r.receivedAt+50, r.vm, trace.Answer{Request: r.id, Attempt: 1, Outcome: trace.Ran, Status: 200, Bytes: 10, Digest: digest, InsideRate: true})
}

// attempt adds an attempt with the number and the start of its run.
func (s *scenario) attempt(r testRequest, number uint32) {
	at := r.receivedAt + int64(number)
	s.add(at, r.vm, trace.Attempt{Request: r.id, Attempt: number, Server: r.server, Unit: r.unit, InFlight: 1})
	s.add(at, r.server.Name, trace.RunStart{Request: r.id, Attempt: number, Server: r.server, Workspace: workspaces[r.callerKey], Key: r.keyHash, Unit: r.unit, Credentials: []trace.Digest{otherHeaderDigest}})
}

func (s *scenario) grant(at int64, server trace.Server, unit trace.Unit, term, counter uint64) {
	s.add(at, server.Name, trace.Grant{Server: server, Instance: "i1", Unit: unit, Token: trace.Token{Term: term, Counter: counter}})
}

func (s *scenario) revoke(at int64, server trace.Server, unit trace.Unit) {
	s.add(at, server.Name, trace.Revoke{Server: server, Instance: "i1", Unit: unit})
}

// cleanScenario returns a scenario that exercises every invariant and breaks none.
func cleanScenario() *scenario {
	s := &scenario{}
	s.add(0, "vm-a", trace.Header{Version: trace.Version, Role: trace.RoleVM, Instance: "a1", Domain: "plateau"})
	s.add(0, "vm-b", trace.Header{Version: trace.Version, Role: trace.RoleVM, Instance: "b1", Domain: "medina"})
	s.add(0, "driver", trace.Header{Version: trace.Version, Role: trace.RoleDriver, Instance: "d1"})
	for _, server := range []trace.Server{e1, e2, e3, t3, p1, p2} {
		s.add(0, server.Name, trace.Header{Version: trace.Version, Role: trace.RoleBackend, Instance: "i1", Domain: server.Domain})
		s.add(30000, server.Name, trace.End{})
	}
	s.configuration()
	s.ownership()
	s.traffic()
	s.add(2000, "driver", trace.Fault{Phase: trace.Begin, ID: "f1", Kind: trace.FaultLogDown})
	s.add(3000, "driver", trace.Fault{Phase: trace.Finished, ID: "f1", Kind: trace.FaultLogDown})
	s.add(10000, "vm-a", trace.Leave{Phase: trace.LeaveDrain, Domain: "medina", Revision: 2})
	s.add(18000, "vm-a", trace.Leave{Phase: trace.LeaveWithdrawn, Domain: "medina", Revision: 2})
	s.add(18100, "vm-b", trace.Leave{Phase: trace.LeaveDrain, Domain: "medina", Revision: 2})
	s.add(19000, "vm-a", trace.Leave{Phase: trace.LeaveDrain, Server: e1, Revision: 4})
	s.add(26000, "vm-b", trace.Stop{Phase: trace.Begin})
	s.add(27000, "vm-b", trace.Stop{Phase: trace.Finished})
	return s
}

func (s *scenario) configuration() {
	s.add(1, "vm-a", trace.ConfigAccepted{Revision: 1, Digest: 101})
	s.add(2, "vm-a", trace.ConfigInForce{Revision: 1, Digest: 101})
	s.add(3, "vm-b", trace.ConfigInForce{Revision: 1, Digest: 101})
	s.add(10000, "vm-a", trace.ConfigAccepted{Revision: 2, Digest: 102})
	s.add(10050, "vm-a", trace.ConfigInForce{Revision: 2, Digest: 102})
	s.add(10100, "vm-b", trace.ConfigInForce{Revision: 2, Digest: 102})
	s.add(5, "vm-a", trace.CallerKey{Digest: key1, Workspace: "w1", Revision: 1})
	s.add(5, "vm-a", trace.CallerKey{Digest: key2, Workspace: "w2", Revision: 1})
	s.add(5, "vm-a", trace.Rate{Workspace: "w1", RequestsPerSecond: 1, Burst: 3, Revision: 1})
	s.add(12000, "vm-a", trace.CallerKeyWithdraw{Digest: key2, Revision: 3})
	// vm-b lags behind: this grant is older than the withdrawal and has no effect.
	s.add(12100, "vm-b", trace.CallerKey{Digest: key2, Workspace: "w2", Revision: 1})
}

func (s *scenario) ownership() {
	s.add(10, "e1", trace.ServerState{Server: e1, Instance: "i1", State: trace.Cold, Capacity: 1})
	s.add(1000, "e1", trace.ServerState{Server: e1, Instance: "i1", State: trace.Warm, Capacity: 4})
	s.add(10, "e2", trace.ServerState{Server: e2, Instance: "i1", State: trace.Warm, Capacity: 4})
	s.grant(20, e1, 1, 1, 1)
	s.revoke(4000, e1, 1)
	s.grant(4100, e2, 1, 1, 2)
	s.grant(20, e3, 2, 5, 1)
	s.revoke(11000, e3, 2)
	s.grant(11100, e1, 2, 1, 3)
	s.revoke(19500, e1, 2)
	s.grant(19600, e2, 2, 1, 4)
}

func (s *scenario) traffic() {
	s.run(testRequest{id: "r1", receivedAt: 100, callerKey: key1, server: e1, unit: 1, keyHash: 77})
	s.run(testRequest{id: "r2", receivedAt: 5000, callerKey: key1, server: e2, unit: 1, keyHash: 77})
	for i, id := range []string{"r3", "r4", "r5"} {
		s.run(testRequest{id: id, receivedAt: 9000 + int64(i)*10, callerKey: key1, server: e2, unit: 1, keyHash: 77})
	}
	s.add(9100, "vm-a", trace.Request{Request: "r7", Workspace: "w1", CallerKey: key1, Service: "entretien", Method: "POST", Path: "/"})
	s.add(9101, "vm-a", trace.Answer{Request: "r7", Outcome: trace.NotRun, Status: 429, Reason: trace.RefusedRate})
	retried := testRequest{id: "r6", receivedAt: 9200, callerKey: key2, server: e2, unit: 1, keyHash: 77, method: "GET"}
	s.run(retried)
	s.add(9250, "vm-a", trace.Attempt{Request: "r6", Attempt: 2, Server: e2})
	s.add(9251, "e2", trace.RunRefused{Request: "r6", Attempt: 2, Server: e2, Reason: trace.RefusedLoadShed})
	s.add(9252, "vm-a", trace.AttemptOutcome{Request: "r6", Attempt: 2, Outcome: trace.NotRun, Reason: trace.RefusedLoadShed})
	s.run(testRequest{id: "r8", receivedAt: 15500, callerKey: key1, server: e2, unit: 1, keyHash: 77, idempotencyKey: 7})
	s.receive(testRequest{id: "r9", receivedAt: 16000, vm: "vm-b", callerKey: key1, server: e2, method: "POST", idempotencyKey: 7})
	s.add(16010, "vm-b", trace.Answer{Request: "r9", ReplayOf: "r8", Outcome: trace.Ran, Status: 200, Bytes: 10, Digest: trace.Hash(2000 + '8')})
	s.receive(testRequest{id: "q1", receivedAt: 23000, vm: "vm-a", callerKey: key2, server: e2, method: "POST"})
	s.add(23001, "vm-a", trace.Answer{Request: "q1", Outcome: trace.NotRun, Status: 401, Reason: trace.RefusedUnauthenticated})
	// The failure domain is in service again, although vm-b recorded its drain after
	// vm-a had recorded the withdrawal.
	s.run(testRequest{id: "q5", receivedAt: 24500, callerKey: key1, server: t3, method: "GET"})
	s.run(testRequest{id: "q2", receivedAt: 25000, callerKey: key1, server: e2, unit: 2, keyHash: 78})
	s.run(testRequest{id: "q3", receivedAt: 25990, vm: "vm-b", callerKey: key1, server: e2, unit: 2, keyHash: 78})
	s.run(testRequest{id: "q4", receivedAt: 29000, callerKey: key1, server: e2, unit: 2, keyHash: 78})
}

// encode numbers the events of each recorder in the order of time and returns them as
// JSON lines.
func (s *scenario) encode(t *testing.T) []byte {
	t.Helper()
	slices.SortStableFunc(s.events, func(a, b trace.Event) int { return cmp.Compare(a.Time, b.Time) })
	seq := make(map[string]uint64)
	var file bytes.Buffer
	for _, event := range s.events {
		seq[event.VM]++
		event.Seq = seq[event.VM]
		data, err := event.MarshalJSON()
		is.New(t).NoErr(err)
		file.Write(append(data, '\n'))
	}
	return file.Bytes()
}

// mergedEvents encodes the trace and returns its events as read back and merged.
func (s *scenario) mergedEvents(t *testing.T) []trace.Event {
	t.Helper()
	events, err := trace.MergeAll(trace.NewReader(bytes.NewReader(s.encode(t)), trace.ReaderOptions{}))
	is.New(t).NoErr(err)
	return events
}
