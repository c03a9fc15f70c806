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

func verdicts(results []Result) map[Verdict][]int {
	byVerdict := make(map[Verdict][]int)
	for _, r := range results {
		byVerdict[r.Verdict] = append(byVerdict[r.Verdict], r.Invariant)
	}
	return byVerdict
}

// Guards against a checker that finds offences in a correct trace.
func TestCleanTraceHolds(t *testing.T) {
	for _, result := range Run(clean().merged(t), DefaultOptions()) {
		if result.Verdict != Held {
			t.Error(result)
		}
	}
}

var update = flag.Bool("update", false, "rewrite testdata/clean.jsonl")

// Guards against a change after which traces written earlier can't be read or get
// another verdict. The file also serves as an example of the format.
func TestStoredTraceHolds(t *testing.T) {
	is := is.New(t)
	const path = "testdata/clean.jsonl"
	if *update {
		is.NoErr(os.WriteFile(path, clean().file(t), 0o644))
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

// Guards against an empty trace being taken for a proof.
func TestEmptyTraceExercisesNothing(t *testing.T) {
	is := is.New(t)
	for _, result := range Run(nil, DefaultOptions()) {
		is.Equal(result.Verdict, NotExercised)
		is.True(len(result.Missing) > 0)
	}
}

type doctored struct {
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
		change(t, s, func(a *trace.Answer) bool {
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

func addRun(c call) func(*testing.T, *scenario) {
	return func(_ *testing.T, s *scenario) { s.run(c) }
}

var doctoredTraces = []doctored{
	{1, "two leases overlap", func(t *testing.T, s *scenario) {
		s.drop(t, isRevokeOf(e1, 1))
		s.revoke(4200, e1, 1)
	}},
	{1, "run at a former owner", addRun(call{id: "x1", at: 7000, key: key2, server: e1, unit: 1, owned: 77})},
	{1, "run by slice while the hot key is held elsewhere", func(_ *testing.T, s *scenario) {
		s.grant(6000, e3, trace.HotKeyUnit(77), 5, 9)
		s.revoke(8000, e3, trace.HotKeyUnit(77))
		s.run(call{id: "x1", at: 7000, key: key2, server: e2, unit: 1, owned: 77})
	}},
	{1, "overlapping runs without grants", func(_ *testing.T, s *scenario) {
		s.run(call{id: "x1", at: 7000, key: key2, server: p1, unit: 3, owned: 5})
		s.run(call{id: "x2", at: 7020, key: key2, server: p2, unit: 3, owned: 6})
	}},
	{2, "token reused", func(t *testing.T, s *scenario) {
		change(t, s, func(g *trace.Grant) bool {
			found := g.Server == e2 && g.Unit == 1
			if found {
				g.Token.Counter = 1
			}
			return found
		})
	}},
	{2, "unit forgotten after a loss", func(t *testing.T, s *scenario) {
		s.drop(t, func(b trace.Body) bool {
			g, ok := b.(trace.Grant)
			return ok && g.Server == e2 && g.Unit == 2
		})
		s.add(20000, "driver", trace.Fault{Phase: trace.Begin, ID: "f2", Kind: trace.FaultVMLost, VM: "vm-c"})
	}},
	{3, "two requests at a cold server that bears one", addRun(call{id: "x1", at: 110, vm: "vm-b", key: key2, server: e1, unit: 1, owned: 77})},
	{3, "cold server sheds", addEvent(500, "e1", trace.RunRefused{Request: "x1", Attempt: 1, Server: e1, Reason: trace.RefusedLoadShed})},
	{4, "run in a drained domain", addRun(call{id: "x1", at: 16500, key: key1, server: t3, method: "GET"})},
	{5, "run for another workspace", func(t *testing.T, s *scenario) {
		change(t, s, func(r *trace.RunStart) bool {
			found := r.Request == "r2"
			if found {
				r.Workspace = "w2"
			}
			return found
		})
	}},
	{5, "backend server sees the key", func(t *testing.T, s *scenario) {
		change(t, s, func(r *trace.RunStart) bool {
			found := r.Request == "r2"
			if found {
				r.Credentials = append(r.Credentials, key1)
			}
			return found
		})
	}},
	{5, "withdrawn key works", addRun(call{id: "x1", at: 23500, key: key2, server: e2, unit: 2, owned: 78})},
	{5, "stream outlives its key", func(t *testing.T, s *scenario) {
		s.run(call{id: "x1", at: 11950, key: key2, server: e2, unit: 1, owned: 77})
		s.drop(t, func(b trace.Body) bool {
			a, ok := b.(trace.Answer)
			return ok && a.Request == "x1"
		})
		s.add(24000, "vm-a", trace.Answer{Request: "x1", Attempt: 1, Outcome: trace.Ran, Status: 200, Bytes: 10, Digest: trace.Hash(2000 + '1')})
	}},
	{6, "one token too many", addEvent(9030, "vm-b", trace.Admitted{Request: "x1", Workspace: "w1"})},
	{6, "a run without a token", func(t *testing.T, s *scenario) {
		s.run(call{id: "x1", at: 9030, key: key1, server: e2, unit: 1, owned: 77})
		s.drop(t, func(b trace.Body) bool { return b == trace.Admitted{Request: "x1", Workspace: "w1"} })
	}},
	{7, "another body", editAnswer("r2", func(a *trace.Answer) { a.Digest++ })},
	{7, "truncated body", editAnswer("r2", func(a *trace.Answer) { a.Bytes-- })},
	{7, "replay for another key", editAnswer("r9", func(a *trace.Answer) { a.ReplayOf = "r2" })},
	{7, "cut without a fault", editAnswer("r2", func(a *trace.Answer) { a.Aborted, a.Outcome = true, trace.Unknown })},
	{7, "answer of a cancelled run", func(t *testing.T, s *scenario) {
		change(t, s, func(r *trace.RunEnd) bool {
			r.Cancelled = r.Request == "r2"
			return r.Cancelled
		})
	}},
	{7, "two answers", addEvent(5100, "vm-a", trace.Answer{Request: "r2", Outcome: trace.Unknown})},
	{8, "answer says not run", editAnswer("r2", func(a *trace.Answer) { a.Outcome = trace.NotRun })},
	{8, "attempt says not run", addEvent(9251, "e2", trace.RunStart{Request: "r6", Attempt: 2, Server: e2, Workspace: "w2"})},
	{9, "second attempt runs too", func(_ *testing.T, s *scenario) {
		s.attempt(call{id: "r2", at: 5000, vm: "vm-a", key: key1, server: e2, unit: 1, owned: 77}, 2)
	}},
	{9, "repeat runs again", func(_ *testing.T, s *scenario) {
		s.attempt(call{id: "r9", at: 16000, vm: "vm-b", key: key1, server: e2, unit: 1, owned: 77}, 1)
	}},
	{10, "run at a leaving server", addRun(call{id: "x1", at: 25500, key: key1, server: e1})},
	{11, "request cut by the stop", editAnswer("q3", func(a *trace.Answer) { a.Outcome = trace.Unknown })},
	{11, "request without an answer", func(t *testing.T, s *scenario) {
		s.drop(t, func(b trace.Body) bool {
			a, ok := b.(trace.Answer)
			return ok && a.Request == "q3"
		})
	}},
	{11, "request refused because of the stop", func(_ *testing.T, s *scenario) {
		s.receive(call{id: "x1", at: 25999, vm: "vm-b", key: key1, server: e2, method: "GET"})
		s.add(26010, "vm-b", trace.Answer{Request: "x1", Outcome: trace.NotRun, Reason: trace.RefusedStopping})
	}},
	{12, "revision goes back", func(_ *testing.T, s *scenario) {
		s.add(12000, "vm-b", trace.ConfigInForce{Revision: 1, Digest: 101})
		s.add(13000, "vm-b", trace.ConfigInForce{Revision: 2, Digest: 102})
	}},
	{12, "revision never in force", func(t *testing.T, s *scenario) {
		s.drop(t, func(b trace.Body) bool { return b == trace.ConfigInForce{Revision: 2, Digest: 102} })
	}},
	{12, "another content in force", addEvent(12000, "vm-b", trace.ConfigInForce{Revision: 2, Digest: 999})},
}

// Guards against a checker that misses its offence, and against one that reports
// the offence of another invariant.
func TestDoctoredTraces(t *testing.T) {
	covered := make(map[int]bool)
	for _, d := range doctoredTraces {
		covered[d.invariant] = true
		t.Run(d.name, func(t *testing.T) {
			s := clean()
			d.edit(t, s)
			results := Run(s.merged(t), DefaultOptions())
			broken := verdicts(results)[Broken]
			if len(broken) != 1 || broken[0] != d.invariant {
				for _, result := range results {
					t.Log(result)
				}
				t.Fatalf("broken: %v, want only %d", broken, d.invariant)
			}
			is.New(t).True(len(results[d.invariant-1].Violations[0].Events) > 0)
		})
	}
	is.New(t).Equal(len(covered), len(invariants))
}

// exercises lists, for each invariant, the events without which it is not
// exercised.
var exercises = map[int]func(trace.Body) bool{
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

// Guards against "held" for a trace that lacks what the invariant is about.
func TestNotExercised(t *testing.T) {
	for number, match := range exercises {
		s := clean()
		s.drop(t, match)
		result := Run(s.merged(t), DefaultOptions())[number-1]
		if result.Verdict != NotExercised || len(result.Missing) == 0 {
			t.Error(result)
		}
	}
}

// Guards against "held" for a trace from which events were dropped.
func TestDroppedEventsPreventHeld(t *testing.T) {
	s := clean()
	events := s.merged(t)
	events = append(events[:20:20], events[21:]...)
	for _, result := range Run(events, DefaultOptions()) {
		if result.Verdict == Held || result.Dropped != 1 {
			t.Error(result)
		}
	}
}

// Guards against faults being taken for offences: a frozen server whose lease
// expired, a VM cut off from the log that misses a drain and a revision, and runs
// that ended with the former instance of a server.
func TestToleratedFaultsHold(t *testing.T) {
	s := clean()
	frozen := trace.Grant{Server: p1, Instance: "i1", Unit: 9, Token: trace.Token{Term: 1, Counter: 1}, Expires: 6000 * ms}
	s.add(5300, "p1", frozen)
	s.grant(6100, p2, 9, 1, 2)
	s.attempt(call{id: "x2", at: 6500, vm: "vm-a", key: key2, server: p2}, 1)
	s.add(6600, "p2", trace.ServerState{Server: p2, Instance: "i1", State: trace.Warm, Capacity: 4})
	s.add(6700, "p2", trace.ServerState{Server: p2, Instance: "i2", State: trace.Cold, Capacity: 1})
	s.add(6750, "p2", trace.Grant{Server: p2, Instance: "i2", Unit: 9, Token: trace.Token{Term: 1, Counter: 3}})
	s.run(call{id: "x3", at: 6800, key: key2, server: p2})
	s.add(7000, "p1", trace.Lapse{Server: p1, Instance: "i1", Unit: 9})
	s.add(10000, "driver", trace.Fault{Phase: trace.Begin, ID: "f2", Kind: trace.FaultVMPartitioned, VM: "vm-b"})
	s.add(13000, "driver", trace.Fault{Phase: trace.Finished, ID: "f2", Kind: trace.FaultVMPartitioned, VM: "vm-b"})
	s.run(call{id: "x1", at: 17500, vm: "vm-b", key: key1, server: t3, method: "GET"})
	s.drop(t, func(b trace.Body) bool { return b == trace.ConfigInForce{Revision: 2, Digest: 102} })
	s.add(10050, "vm-a", trace.ConfigInForce{Revision: 2, Digest: 102})
	s.add(21000, "vm-b", trace.ConfigInForce{Revision: 2, Digest: 102})
	for _, result := range Run(s.merged(t), DefaultOptions()) {
		if result.Verdict != Held {
			t.Error(result)
		}
	}
}

// Guards against a report that names no offending event.
func TestResultText(t *testing.T) {
	is := is.New(t)
	s := clean()
	editAnswer("r2", func(a *trace.Answer) { a.Digest++ })(t, s)
	results := Run(s.merged(t), DefaultOptions())
	is.True(AnyBroken(results))
	text := results[6].String()
	is.True(strings.Contains(text, "7 broken"))
	is.True(strings.Contains(text, `"type":"run-end"`))
}
