package check

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	"fireflyfield/internal/trace"

	"github.com/matryer/is"
)

// invariantsByVerdict returns the numbers of the invariants with each verdict.
func invariantsByVerdict(results []Result) map[Verdict][]int {
	byVerdict := make(map[Verdict][]int)
	for _, r := range results {
		byVerdict[r.Verdict] = append(byVerdict[r.Verdict], r.Invariant)
	}
	return byVerdict
}

// Guards against a checker that reports violations in a correct trace.
func TestCleanTraceHolds(t *testing.T) {
	for _, result := range Run(cleanScenario().mergedEvents(t), DefaultOptions()) {
		if result.Verdict != Held {
			t.Error(result)
		}
	}
}

var update = flag.Bool("update", false, "rewrite testdata/clean.jsonl")

// Guards against a change after which stored traces can no longer be read or get
// another verdict. The file also serves as an example of the trace format.
func TestStoredTraceHolds(t *testing.T) {
	is := is.New(t)
	const path = "testdata/clean.jsonl"
	if *update {
		is.NoErr(os.WriteFile(path, cleanScenario().encode(t), 0o644))
	}
	data, err := os.ReadFile(path)
	is.NoErr(err)
	events, err := trace.ReadAll(bytes.NewReader(data), trace.ReaderOptions{File: path})
	is.NoErr(err)
	for _, result := range Run(events, DefaultOptions()) {
		if result.Verdict != Held {
			t.Error(result)
		}
	}
}

// Guards against an empty trace counting as proof that the invariants held.
func TestEmptyTraceExercisesNothing(t *testing.T) {
	is := is.New(t)
	for _, result := range Run(nil, DefaultOptions()) {
		is.Equal(result.Verdict, NotExercised)
		is.True(len(result.Missing) > 0)
	}
}

// violationCase turns the clean trace into one that breaks a single invariant.
type violationCase struct {
	invariant int
	name      string
	edit      func(*testing.T, *scenario)
}

func isRevokeOf(server trace.Server, unit trace.Unit) func(trace.Body) bool {
	return func(b trace.Body) bool {
		r, ok := b.(trace.Revoke)
		return ok && r.Server == server && r.Unit == unit
	}
}

func editAnswer(id string, edit func(*trace.Answer)) func(*testing.T, *scenario) {
	return func(t *testing.T, s *scenario) {
		editBodies(t, s, func(a *trace.Answer) bool {
			if a.Request == id {
				edit(a)
			}
			return a.Request == id
		})
	}
}

func addEvent(at int64, vm string, body trace.Body) func(*testing.T, *scenario) {
	return func(_ *testing.T, s *scenario) { s.add(at, vm, body) }
}

func addRun(r testRequest) func(*testing.T, *scenario) {
	return func(_ *testing.T, s *scenario) { s.run(r) }
}

var violationCases = []violationCase{
	{1, "two leases overlap", func(t *testing.T, s *scenario) {
		s.removeEvents(t, isRevokeOf(e1, 1))
		s.revoke(4200, e1, 1)
	}},
	{1, "run at the previous owner", addRun(testRequest{id: "x1", receivedAt: 7000, callerKey: key2, server: e1, unit: 1, keyHash: 77})},
	{1, "run under a slice while another server holds the hot key", func(_ *testing.T, s *scenario) {
		s.grant(6000, e3, trace.HotKeyUnit(77), 5, 9)
		s.revoke(8000, e3, trace.HotKeyUnit(77))
		s.run(testRequest{id: "x1", receivedAt: 7000, callerKey: key2, server: e2, unit: 1, keyHash: 77})
	}},
	{1, "overlapping runs without grants", func(_ *testing.T, s *scenario) {
		s.run(testRequest{id: "x1", receivedAt: 7000, callerKey: key2, server: p1, unit: 3, keyHash: 5})
		s.run(testRequest{id: "x2", receivedAt: 7020, callerKey: key2, server: p2, unit: 3, keyHash: 6})
	}},
	{2, "token reused", func(t *testing.T, s *scenario) {
		editBodies(t, s, func(g *trace.Grant) bool {
			found := g.Server == e2 && g.Unit == 1
			if found {
				g.Token.Counter = 1
			}
			return found
		})
	}},
	{2, "unit not leased again after a loss", func(t *testing.T, s *scenario) {
		s.removeEvents(t, func(b trace.Body) bool {
			g, ok := b.(trace.Grant)
			return ok && g.Server == e2 && g.Unit == 2
		})
		s.add(20000, "driver", trace.Fault{Phase: trace.Begin, ID: "f2", Kind: trace.FaultVMLost, VM: "vm-c"})
	}},
	{3, "two requests at a cold server with capacity for one", addRun(testRequest{id: "x1", receivedAt: 110, vm: "vm-b", callerKey: key2, server: e1, unit: 1, keyHash: 77})},
	{3, "cold server sheds a request", addEvent(500, "e1", trace.RunRefused{Request: "x1", Attempt: 1, Server: e1, Reason: trace.RefusedLoadShed})},
	{4, "run in a drained failure domain", addRun(testRequest{id: "x1", receivedAt: 16500, callerKey: key1, server: t3, method: "GET"})},
	{5, "run for another workspace", func(t *testing.T, s *scenario) {
		editBodies(t, s, func(r *trace.RunStart) bool {
			found := r.Request == "r2"
			if found {
				r.Workspace = "w2"
			}
			return found
		})
	}},
	{5, "backend server receives the caller key", func(t *testing.T, s *scenario) {
		editBodies(t, s, func(r *trace.RunStart) bool {
			found := r.Request == "r2"
			if found {
				r.Credentials = append(r.Credentials, key1)
			}
			return found
		})
	}},
	{5, "withdrawn caller key accepted", addRun(testRequest{id: "x1", receivedAt: 23500, callerKey: key2, server: e2, unit: 2, keyHash: 78})},
	{5, "stream continues after withdrawal of its caller key", func(t *testing.T, s *scenario) {
		s.run(testRequest{id: "x1", receivedAt: 11950, callerKey: key2, server: e2, unit: 1, keyHash: 77})
		s.removeEvents(t, func(b trace.Body) bool {
			a, ok := b.(trace.Answer)
			return ok && a.Request == "x1"
		})
		s.add(24000, "vm-a", trace.Answer{Request: "x1", Attempt: 1, Outcome: trace.Ran, Status: 200, Bytes: 10, Digest: trace.Hash(2000 + '1')})
	}},
	{6, "request admitted above the rate", addEvent(9030, "vm-b", trace.Admitted{Request: "x1", Workspace: "w1"})},
	{6, "run without a rate token", func(t *testing.T, s *scenario) {
		s.run(testRequest{id: "x1", receivedAt: 9030, callerKey: key1, server: e2, unit: 1, keyHash: 77})
		s.removeEvents(t, func(b trace.Body) bool { return b == trace.Admitted{Request: "x1", Workspace: "w1"} })
	}},
	{7, "answer with another body", editAnswer("r2", func(a *trace.Answer) { a.Digest++ })},
	{7, "answer with a truncated body", editAnswer("r2", func(a *trace.Answer) { a.Bytes-- })},
	{7, "replay for another idempotency key", editAnswer("r9", func(a *trace.Answer) { a.ReplayOf = "r2" })},
	{7, "answer aborted without a fault", editAnswer("r2", func(a *trace.Answer) { a.Aborted, a.Outcome = true, trace.Unknown })},
	{7, "answer of a cancelled run", func(t *testing.T, s *scenario) {
		editBodies(t, s, func(r *trace.RunEnd) bool {
			r.Cancelled = r.Request == "r2"
			return r.Cancelled
		})
	}},
	{7, "request answered twice", addEvent(5100, "vm-a", trace.Answer{Request: "r2", Outcome: trace.Unknown})},
	{8, "answer with outcome not-run after a run", editAnswer("r2", func(a *trace.Answer) { a.Outcome = trace.NotRun })},
	{8, "attempt with outcome not-run after a run", addEvent(9251, "e2", trace.RunStart{Request: "r6", Attempt: 2, Server: e2, Workspace: "w2"})},
	{9, "second attempt of a non-idempotent request runs", func(_ *testing.T, s *scenario) {
		s.attempt(testRequest{id: "r2", receivedAt: 5000, vm: "vm-a", callerKey: key1, server: e2, unit: 1, keyHash: 77}, 2)
	}},
	{9, "repeated idempotency key runs again", func(_ *testing.T, s *scenario) {
		s.attempt(testRequest{id: "r9", receivedAt: 16000, vm: "vm-b", callerKey: key1, server: e2, unit: 1, keyHash: 77}, 1)
	}},
	{10, "run at a leaving server", addRun(testRequest{id: "x1", receivedAt: 25500, callerKey: key1, server: e1})},
	{11, "request interrupted by the stop", editAnswer("q3", func(a *trace.Answer) { a.Outcome = trace.Unknown })},
	{11, "request without an answer", func(t *testing.T, s *scenario) {
		s.removeEvents(t, func(b trace.Body) bool {
			a, ok := b.(trace.Answer)
			return ok && a.Request == "q3"
		})
	}},
	{11, "request refused because of the stop", func(_ *testing.T, s *scenario) {
		s.receive(testRequest{id: "x1", receivedAt: 25999, vm: "vm-b", callerKey: key1, server: e2, method: "GET"})
		s.add(26010, "vm-b", trace.Answer{Request: "x1", Outcome: trace.NotRun, Reason: trace.RefusedStopping})
	}},
	{12, "VM reverts to an earlier revision", func(_ *testing.T, s *scenario) {
		s.add(12000, "vm-b", trace.ConfigInForce{Revision: 1, Digest: 101})
		s.add(13000, "vm-b", trace.ConfigInForce{Revision: 2, Digest: 102})
	}},
	{12, "revision never in force", func(t *testing.T, s *scenario) {
		s.removeEvents(t, func(b trace.Body) bool { return b == trace.ConfigInForce{Revision: 2, Digest: 102} })
	}},
	{12, "revision in force with other content", addEvent(12000, "vm-b", trace.ConfigInForce{Revision: 2, Digest: 999})},
}

// Guards against a checker that misses a violation of its invariant, and against one
// that reports a violation of another invariant.
func TestViolationsAreDetected(t *testing.T) {
	covered := make(map[int]bool)
	for _, c := range violationCases {
		covered[c.invariant] = true
		t.Run(c.name, func(t *testing.T) {
			s := cleanScenario()
			c.edit(t, s)
			results := Run(s.mergedEvents(t), DefaultOptions())
			broken := invariantsByVerdict(results)[Broken]
			if len(broken) != 1 || broken[0] != c.invariant {
				for _, result := range results {
					t.Log(result)
				}
				t.Fatalf("broken: %v, want only %d", broken, c.invariant)
			}
			is.New(t).True(len(results[c.invariant-1].Violations[0].Events) > 0)
		})
	}
	is.New(t).Equal(len(covered), len(invariants))
}

// exercisingEvents maps the number of each invariant to a match for the events
// without which a trace doesn't exercise it.
var exercisingEvents = map[int]func(trace.Body) bool{
	1:  func(b trace.Body) bool { return b.Type() == trace.TypeGrant || b.Type() == trace.TypeRunStart },
	2:  func(b trace.Body) bool { _, ok := b.(trace.Fault); return ok },
	3:  func(b trace.Body) bool { _, ok := b.(trace.ServerState); return ok },
	4:  func(b trace.Body) bool { l, ok := b.(trace.Leave); return ok && l.Domain != "" },
	5:  func(b trace.Body) bool { _, ok := b.(trace.CallerKeyWithdraw); return ok },
	6:  func(b trace.Body) bool { _, ok := b.(trace.Rate); return ok },
	7:  func(b trace.Body) bool { _, ok := b.(trace.RunEnd); return ok },
	8:  func(b trace.Body) bool { _, ok := b.(trace.RunStart); return ok },
	9:  func(b trace.Body) bool { r, ok := b.(trace.Request); return ok && !r.Idempotent },
	10: func(b trace.Body) bool { l, ok := b.(trace.Leave); return ok && l.Domain == "" },
	11: func(b trace.Body) bool { _, ok := b.(trace.Stop); return ok },
	12: func(b trace.Body) bool { _, ok := b.(trace.ConfigAccepted); return ok },
}

// Guards against Held for a trace that lacks the events of the invariant.
func TestMissingEventsPreventHeld(t *testing.T) {
	for number, match := range exercisingEvents {
		s := cleanScenario()
		s.removeEvents(t, match)
		result := Run(s.mergedEvents(t), DefaultOptions())[number-1]
		if result.Verdict != NotExercised || len(result.Missing) == 0 {
			t.Error(result)
		}
	}
}

// Guards against Held for a trace with dropped events.
func TestDroppedEventsPreventHeld(t *testing.T) {
	s := cleanScenario()
	events := s.mergedEvents(t)
	events = append(events[:20:20], events[21:]...)
	for _, result := range Run(events, DefaultOptions()) {
		if result.Verdict == Held || result.Dropped != 1 {
			t.Error(result)
		}
	}
}

// Guards against tolerated faults being reported as violations: a frozen server whose
// lease expired, a VM that is partitioned from the shared log and misses a drain and a
// revision, and runs that ended with the previous instance of a server.
func TestToleratedFaultsCauseNoViolation(t *testing.T) {
	s := cleanScenario()
	frozen := trace.Grant{Server: p1, Instance: "i1", Unit: 9, Token: trace.Token{Term: 1, Counter: 1}, Expires: 6000 * ms}
	s.add(5300, "p1", frozen)
	s.grant(6100, p2, 9, 1, 2)
	s.attempt(testRequest{id: "x2", receivedAt: 6500, vm: "vm-a", callerKey: key2, server: p2}, 1)
	s.add(6600, "p2", trace.ServerState{Server: p2, Instance: "i1", State: trace.Warm, Capacity: 4})
	s.add(6700, "p2", trace.ServerState{Server: p2, Instance: "i2", State: trace.Cold, Capacity: 1})
	s.add(6750, "p2", trace.Grant{Server: p2, Instance: "i2", Unit: 9, Token: trace.Token{Term: 1, Counter: 3}})
	s.run(testRequest{id: "x3", receivedAt: 6800, callerKey: key2, server: p2})
	s.add(7000, "p1", trace.Lapse{Server: p1, Instance: "i1", Unit: 9})
	s.add(10000, "driver", trace.Fault{Phase: trace.Begin, ID: "f2", Kind: trace.FaultVMPartitioned, VM: "vm-b"})
	s.add(13000, "driver", trace.Fault{Phase: trace.Finished, ID: "f2", Kind: trace.FaultVMPartitioned, VM: "vm-b"})
	s.run(testRequest{id: "x1", receivedAt: 17500, vm: "vm-b", callerKey: key1, server: t3, method: "GET"})
	s.removeEvents(t, func(b trace.Body) bool { return b == trace.ConfigInForce{Revision: 2, Digest: 102} })
	s.add(10050, "vm-a", trace.ConfigInForce{Revision: 2, Digest: 102})
	s.add(21000, "vm-b", trace.ConfigInForce{Revision: 2, Digest: 102})
	for _, result := range Run(s.mergedEvents(t), DefaultOptions()) {
		if result.Verdict != Held {
			t.Error(result)
		}
	}
}

// Guards against a result text without the events that prove the violation.
func TestResultNamesViolatingEvent(t *testing.T) {
	is := is.New(t)
	s := cleanScenario()
	editAnswer("r2", func(a *trace.Answer) { a.Digest++ })(t, s)
	results := Run(s.mergedEvents(t), DefaultOptions())
	is.True(AnyBroken(results))
	text := results[6].String()
	is.True(strings.Contains(text, "7 broken"))
	is.True(strings.Contains(text, `"type":"run-end"`))
}
