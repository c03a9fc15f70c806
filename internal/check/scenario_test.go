package check

import (
	"bytes"
	"cmp"
	"slices"
	"testing"

	"fireflyfield/internal/trace"

	"github.com/matryer/is"
)

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
	// other is a header value that is no caller key.
	other = trace.DigestOf([]byte("text/plain"))
)

// scenario builds a trace; times are in ms.
type scenario struct {
	events []trace.Event
}

func (s *scenario) add(at int64, vm string, body trace.Body) {
	s.events = append(s.events, trace.Event{Time: at * ms, VM: vm, Body: body})
}

// drop removes the events that match and fails the test when none does.
func (s *scenario) drop(t *testing.T, match func(trace.Body) bool) {
	t.Helper()
	before := len(s.events)
	s.events = slices.DeleteFunc(s.events, func(e trace.Event) bool { return match(e.Body) })
	if len(s.events) == before {
		t.Fatal("no event matches")
	}
}

// change replaces the bodies of type T that edit reports as edited.
func change[T trace.Body](t *testing.T, s *scenario, edit func(*T) bool) {
	t.Helper()
	edited := false
	for i, event := range s.events {
		if body, ok := event.Body.(T); ok && edit(&body) {
			s.events[i].Body = body
			edited = true
		}
	}
	if !edited {
		t.Fatal("no event matches")
	}
}

// call is one request that runs; zero fields get the usual values.
type call struct {
	id     string
	at     int64
	vm     string
	key    trace.Digest
	server trace.Server
	unit   trace.Unit
	owned  trace.Hash
	method string
	idem   trace.Hash
}

var workspaces = map[trace.Digest]string{key1: "w1", key2: "w2"}

func (s *scenario) receive(c call) {
	request := trace.Request{Request: c.id, Workspace: workspaces[c.key], CallerKey: c.key, Service: c.server.Service, Method: c.method,
		Path: "/" + c.server.Service, Key: c.owned, IdempotencyKey: c.idem, Idempotent: c.method == "GET"}
	s.add(c.at, c.vm, request)
}

// run adds the events of a request that one attempt answers within 50 ms.
func (s *scenario) run(c call) {
	if c.method == "" {
		c.method = "POST"
	}
	if c.vm == "" {
		c.vm = "vm-a"
	}
	s.receive(c)
	workspace := workspaces[c.key]
	digest := trace.Hash(len(c.id)*1000 + int(c.id[1]))
	s.add(c.at, c.vm, trace.Admitted{Request: c.id, Workspace: workspace})
	s.attempt(c, 1)
	s.add(c.at+40, c.server.Name, trace.RunEnd{Request: c.id, Attempt: 1, Server: c.server, Status: 200, Bytes: 10, Digest: digest})
	s.add(c.at+45, c.vm, trace.AttemptOutcome{Request: c.id, Attempt: 1, Outcome: trace.Ran, Status: 200})
	s.add(c.at+50, c.vm, trace.Answer{Request: c.id, Attempt: 1, Outcome: trace.Ran, Status: 200, Bytes: 10, Digest: digest, InsideRate: true})
}

func (s *scenario) attempt(c call, number uint32) {
	at := c.at + int64(number)
	s.add(at, c.vm, trace.Attempt{Request: c.id, Attempt: number, Server: c.server, Unit: c.unit, InFlight: 1})
	s.add(at, c.server.Name, trace.RunStart{Request: c.id, Attempt: number, Server: c.server, Workspace: workspaces[c.key], Key: c.owned, Unit: c.unit, Credentials: []trace.Digest{other}})
}

func (s *scenario) grant(at int64, server trace.Server, unit trace.Unit, term, counter uint64) {
	s.add(at, server.Name, trace.Grant{Server: server, Instance: "i1", Unit: unit, Token: trace.Token{Term: term, Counter: counter}})
}

func (s *scenario) revoke(at int64, server trace.Server, unit trace.Unit) {
	s.add(at, server.Name, trace.Revoke{Server: server, Instance: "i1", Unit: unit})
}

// clean returns a trace that exercises every invariant and breaks none.
func clean() *scenario {
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
	s.run(call{id: "r1", at: 100, key: key1, server: e1, unit: 1, owned: 77})
	s.run(call{id: "r2", at: 5000, key: key1, server: e2, unit: 1, owned: 77})
	for i, id := range []string{"r3", "r4", "r5"} {
		s.run(call{id: id, at: 9000 + int64(i)*10, key: key1, server: e2, unit: 1, owned: 77})
	}
	s.add(9100, "vm-a", trace.Request{Request: "r7", Workspace: "w1", CallerKey: key1, Service: "entretien", Method: "POST", Path: "/"})
	s.add(9101, "vm-a", trace.Answer{Request: "r7", Outcome: trace.NotRun, Status: 429, Reason: trace.RefusedRate})
	retried := call{id: "r6", at: 9200, key: key2, server: e2, unit: 1, owned: 77, method: "GET"}
	s.run(retried)
	s.add(9250, "vm-a", trace.Attempt{Request: "r6", Attempt: 2, Server: e2})
	s.add(9251, "e2", trace.RunRefused{Request: "r6", Attempt: 2, Server: e2, Reason: trace.RefusedLoadShed})
	s.add(9252, "vm-a", trace.AttemptOutcome{Request: "r6", Attempt: 2, Outcome: trace.NotRun, Reason: trace.RefusedLoadShed})
	s.run(call{id: "r8", at: 15500, key: key1, server: e2, unit: 1, owned: 77, idem: 7})
	s.receive(call{id: "r9", at: 16000, vm: "vm-b", key: key1, server: e2, method: "POST", idem: 7})
	s.add(16010, "vm-b", trace.Answer{Request: "r9", ReplayOf: "r8", Outcome: trace.Ran, Status: 200, Bytes: 10, Digest: trace.Hash(2000 + '8')})
	s.receive(call{id: "q1", at: 23000, vm: "vm-a", key: key2, server: e2, method: "POST"})
	s.add(23001, "vm-a", trace.Answer{Request: "q1", Outcome: trace.NotRun, Status: 401, Reason: trace.RefusedUnauthenticated})
	// The failure domain is back, although vm-b recorded its drain late.
	s.run(call{id: "q5", at: 24500, key: key1, server: t3, method: "GET"})
	s.run(call{id: "q2", at: 25000, key: key1, server: e2, unit: 2, owned: 78})
	s.run(call{id: "q3", at: 25990, vm: "vm-b", key: key1, server: e2, unit: 2, owned: 78})
	s.run(call{id: "q4", at: 29000, key: key1, server: e2, unit: 2, owned: 78})
}

// file numbers the events and writes them.
func (s *scenario) file(t *testing.T) []byte {
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

// merged writes the trace and reads it back.
func (s *scenario) merged(t *testing.T) []trace.Event {
	t.Helper()
	events, err := trace.MergeAll(trace.NewReader(bytes.NewReader(s.file(t)), trace.ReaderOptions{}))
	is.New(t).NoErr(err)
	return events
}
