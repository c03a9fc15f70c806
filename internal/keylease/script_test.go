package keylease

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/keyrange"
)

// script drives a Core through a given order of events against simulated backend servers. It
// fails the test when two of them hold a key, when a key goes to another process without a higher
// token, and when a grant is sent that the log has no record of.
type script struct {
	t      *testing.T
	now    time.Duration
	core   *Core
	listed []Server
	// processes are the running backend servers by address, which is also their ID.
	processes map[string]*process
	weight    keyrange.Weight
	// fate decides what becomes of a call; nil for a prompt execution and answer.
	fate func(Call) fate
	// logDown keeps states from being recorded; record is the last one that was, and recorded its
	// version. stopped keeps the core from making further calls.
	logDown, stopped bool
	record           *keyrange.Assignment
	recorded         int64
	events           []event
	sent             []Call
	accepted         map[int64]*process // by the token of a grant whose acceptance was read
	owners           [keyrange.Parts]*process
	fences           [keyrange.Parts]int64
	// cold is set when keys go to a backend server without the handover of the last owner.
	cold bool
}

// process is a simulated process of a backend server.
type process struct {
	id    string
	until [keyrange.Parts]time.Duration // end of the lease
	seen  [keyrange.Parts]int64
	ended bool
}

// fate is what becomes of a call, in times since it was sent.
type fate struct {
	arrives, applies, answered time.Duration
	dropped                    bool // the call never takes effect
	// err is the result at the caller instead of the backend server's, unless it is nil.
	// misread is set if the answer to another call is taken for an acceptance.
	err     error
	misread bool
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	run func()
}

const scriptStep = 10 * time.Millisecond

var (
	prompt        = fate{applies: scriptStep, answered: 2 * scriptStep}
	unanswered    = fate{dropped: true, answered: grantTimeout, err: errUnanswered}
	notSent       = fate{dropped: true, answered: scriptStep, err: ErrNotSent}
	errUnanswered = errors.New("no answer")
	lowKeys       = keyrange.Range{Last: keyrange.MaxKey / 2}
	highKeys      = keyrange.Range{First: keyrange.MaxKey/2 + 1, Last: keyrange.MaxKey}
	allKeys       = keyrange.Range{Last: keyrange.MaxKey}
)

// ownedBy returns recorded entries of ranges that a backend server owns.
func ownedBy(backend string, ranges ...keyrange.Range) []keyrange.Entry {
	entries := make([]keyrange.Entry, len(ranges))
	for i, r := range ranges {
		entries[i] = keyrange.Entry{Range: r, Backend: backend, Address: backend, Started: 1, Fence: int64(i + 1)}
	}
	return entries
}

// newScript returns a script that begins with a claim of the lease. The backend servers a, b and
// c run; only a is usable.
func newScript(t *testing.T, p Predecessor, entries ...keyrange.Entry) *script {
	recorded := &keyrange.Assignment{Fence: 100, Services: map[string][]keyrange.Entry{"s": entries}}
	s := &script{
		t: t, core: NewCore("vm", recorded, 0, 0, p),
		processes: make(map[string]*process), accepted: make(map[int64]*process),
	}
	s.record = s.core.State()
	for _, id := range []string{"a", "b", "c"} {
		s.processes[id] = &process{id: id}
		s.listed = append(s.listed, Server{ID: id, Address: id, Started: 1, Usable: id == "a", Capacity: 1})
	}
	return s
}

// list returns the entry of a backend server in the catalogue.
func (s *script) list(id string) *Server {
	for i := range s.listed {
		if s.listed[i].ID == id {
			return &s.listed[i]
		}
	}
	s.t.Fatalf("%s is not in the catalogue", id)
	return nil
}

// leave makes a backend server leave for another one.
func (s *script) leave(from, to string) { s.list(from).Usable, s.list(to).Usable = false, true }

// at makes something happen after a time, before the calls of that time are decided on.
func (s *script) at(after time.Duration, run func()) {
	s.events = append(s.events, event{s.now + after, run})
}

// runFor runs the script for a time.
func (s *script) runFor(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}

// runUntil runs the script until a condition holds, and fails the test if that takes longer than
// limit.
func (s *script) runUntil(what string, limit time.Duration, done func() bool) {
	s.t.Helper()
	for end := s.now + limit; !done(); s.step() {
		if s.now >= end {
			s.t.Fatalf("at %s: not %s within %s", s.now, what, limit)
		}
	}
}

func (s *script) step() {
	s.now += scriptStep
	for i := 0; i < len(s.events); i++ {
		if e := s.events[i]; e.at <= s.now && e.run != nil {
			s.events[i].run = nil
			e.run()
		}
	}
	if s.stopped {
		return
	}
	weight := func(string) *keyrange.Weight { return &s.weight }
	for _, call := range s.core.Step(s.now, Input{Servers: map[string][]Server{"s": s.listed}, Weight: weight}) {
		s.send(call)
	}
	if v := s.core.Version(); !s.logDown && v != s.recorded {
		s.record, s.recorded = s.core.State().Clone(), v
		s.core.SetAccepted(v)
	}
}

// send makes a call. A renewal goes to the process that accepted its grant.
func (s *script) send(call Call) {
	s.sent = append(s.sent, call)
	if g := call.Grant; call.Kind == CallGrant {
		e := s.record.Find(call.Service, g.Range.First)
		if e.Backend != call.Target.Backend || e.Fence != g.Fence || e.Range.Last < g.Range.Last {
			s.t.Fatalf("at %s: grant of %s with token %d to %s, recorded is %+v", s.now, g.Range, g.Fence, call.Target.Backend, *e)
		}
	}
	to := s.processes[call.Target.Address]
	if call.Grant.Renewal {
		to = s.accepted[call.Grant.Fence]
		if to == nil {
			s.t.Fatalf("at %s: renewal of %s with token %d, which was not accepted", s.now, call.Grant.Range, call.Grant.Fence)
		}
	}
	f := prompt
	if s.fate != nil {
		f = s.fate(call)
	}
	switch {
	case call.Grant.Renewal && to.ended:
		f = fate{dropped: true, answered: scriptStep, err: ErrSessionLost}
	case to == nil:
		f = notSent
	}
	err, handover, arrivedAt, core := f.err, "", s.now+f.arrives, s.core
	if !f.dropped {
		s.at(max(f.arrives, f.applies), func() {
			token, result := s.apply(to, call, arrivedAt)
			if err == nil && !f.misread {
				handover, err = token, result
			}
		})
	}
	s.at(f.answered, func() {
		if err == nil && call.Kind == CallGrant {
			s.accepted[call.Grant.Fence] = to
		}
		core.HandleResult(call, handover, err, s.now)
	})
}

// apply executes a call that arrived at a process.
func (s *script) apply(p *process, call Call, arrivedAt time.Duration) (handover string, err error) {
	switch {
	case p.ended:
		return "", errUnanswered
	case p.id != call.Target.Backend:
		return "", ErrOtherInstance
	case call.Kind == CallRelease:
		if s.holds(p.id, call.Grant.Range)() {
			handover = call.Grant.Range.String()
		}
		p.set(call.Grant.Range, 0)
		return handover, nil
	}
	return "", s.grant(p, call.Grant, arrivedAt)
}

// grant executes a grant. The clock of the process runs 2% slow.
func (s *script) grant(p *process, g Grant, arrivedAt time.Duration) error {
	first, last := g.Range.First/keyrange.PartSize, g.Range.Last/keyrange.PartSize
	for part := first; part <= last; part++ {
		if p.seen[part] > g.Fence {
			return ErrFenced
		}
	}
	until := arrivedAt + g.Hold + g.Hold/50
	for part := first; part <= last && until > s.now; part++ {
		for _, other := range s.processes {
			if other != p && other.until[part] > s.now {
				s.t.Fatalf("at %s: keys %d and on are held by %s until %s and by %s", s.now, part*keyrange.PartSize, other.id, other.until[part], p.id)
			}
		}
		if s.owners[part] != nil && s.owners[part] != p && g.Fence <= s.fences[part] {
			s.t.Fatalf("at %s: keys %d and on go to another process, %s, with token %d after %d", s.now, part*keyrange.PartSize, p.id, g.Fence, s.fences[part])
		}
		s.cold = s.cold || s.owners[part] != nil && s.owners[part].id != p.id && g.Handover == ""
		s.owners[part], s.fences[part], p.seen[part] = p, max(g.Fence, s.fences[part]), g.Fence
	}
	p.set(g.Range, until)
	return nil
}

// set sets the end of the lease of a range.
func (p *process) set(r keyrange.Range, until time.Duration) {
	for part := r.First / keyrange.PartSize; part <= r.Last/keyrange.PartSize; part++ {
		p.until[part] = until
	}
}

// end ends the process of a backend server.
func (s *script) end(id string) {
	p := s.processes[id]
	p.ended, p.until = true, [keyrange.Parts]time.Duration{}
	delete(s.processes, id)
}

// restart replaces the process of a backend server by another one with the given ID.
func (s *script) restart(address, id string) {
	s.end(address)
	s.processes[address] = &process{id: id}
}

// addLoad adds load to the first keys, so that some of them are to move from a busy owner.
func (s *script) addLoad(load float64) {
	for part := range 100 {
		s.weight[part] += load
	}
}

// holds reports whether a backend server holds all keys of a range.
func (s *script) holds(id string, r keyrange.Range) func() bool {
	return func() bool {
		p := s.processes[id]
		for part := r.First / keyrange.PartSize; p != nil && part <= r.Last/keyrange.PartSize; part++ {
			if p.until[part] <= s.now {
				return false
			}
		}
		return p != nil
	}
}

// ranges returns the number of ranges.
func (s *script) ranges() int { return len(s.core.State().Services["s"]) }

// unownedFor runs the script for a time, and returns for how much of it a key was held by nobody.
func (s *script) unownedFor(d time.Duration) time.Duration {
	var without time.Duration
	for end := s.now + d; s.now < end; {
		s.step()
		for part := range keyrange.Parts {
			if p := s.owners[part]; p == nil || p.until[part] <= s.now {
				without += scriptStep
				break
			}
		}
	}
	return without
}
