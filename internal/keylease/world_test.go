package keylease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"fireflyfield/internal/keyrange"
)

// worker is a backend server as the model sees it.
type worker struct {
	id      string
	address string
	started int64
	up      bool
	listed  bool
	usable  bool
	// holds are the grants in force: range, token and end of the lease.
	holds []hold
	// seen is the highest token seen of each part of the key space.
	seen [keyrange.Parts]int64
}

type hold struct {
	r     keyrange.Range
	fence int64
	until time.Duration
}

// world runs cores against workers that crash, restart, lose answers and apply
// grants late. It checks that no two workers hold a key at the same time.
type world struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	workers []*worker
	// next is the number of the next worker or address.
	next int
	// record is the state that the log has accepted.
	record *keyrange.Assignment
	core   *Core
	// deposed cores go on until their authority ends.
	deposed []deposedCore
	pending []pendingCall
	events  []string
	tokens  [keyrange.Parts]int64 // highest token with which a worker had a part
	owners  [keyrange.Parts]string
	checked []lease // at the last step
}

type deposedCore struct {
	core  *Core
	until time.Duration
}

type pendingCall struct {
	core    *Core
	call    Call
	arrives time.Duration // when the worker gets the call
	applies time.Duration // when it takes effect
	answers time.Duration // when the caller learns the result; it then counts as lost if lost
	lost    bool
	applied bool
	err     error
	// to is the process that got the call, and life its start.
	to   *worker
	life int64
}

const (
	modelStep = 20 * time.Millisecond
	// modelSeeds is the number of worlds that are run.
	modelSeeds uint64 = 20
)

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1))}
	for range 5 {
		w.addWorker()
	}
	w.core = NewCore("vm-0", nil, 0, true)
	return w
}

func (w *world) addWorker() *worker {
	w.next++
	n := &worker{id: fmt.Sprintf("w%d", w.next), address: fmt.Sprintf("a%d", w.next), started: int64(w.next), up: true, listed: true, usable: true}
	w.workers = append(w.workers, n)
	return n
}

func (w *world) input() Input {
	in := Input{Servers: map[string][]Server{"keyed": nil}, Weights: map[string]*keyrange.Weight{}}
	for _, n := range w.workers {
		if n.listed {
			in.Servers["keyed"] = append(in.Servers["keyed"], Server{ID: n.id, Address: n.address, Started: n.started, Usable: n.usable, Capacity: 4})
		}
	}
	weight := new(keyrange.Weight)
	for i := range 40 {
		weight[(i+int(w.now/(7*time.Second))*400)%keyrange.Parts] = 10
	}
	in.Weights["keyed"] = weight
	return in
}

func (w *world) at(address string) *worker {
	for _, n := range w.workers {
		if n.up && n.address == address {
			return n
		}
	}
	return nil
}

// step advances the world by one step.
func (w *world) step() {
	w.now += modelStep
	w.faults()
	w.deliver()
	w.expire()
	for _, d := range w.deposed {
		if w.now < d.until {
			w.run(d.core, false)
		}
	}
	w.run(w.core, true)
	w.check()
}

// run steps a core. Only the present holder's records are accepted.
func (w *world) run(core *Core, accepted bool) {
	for _, call := range core.Step(w.now, w.input()) {
		w.send(core, call)
	}
	if accepted && w.random.Float64() < 0.8 {
		w.record = core.State().Clone()
		core.Accepted(core.Version())
	}
}

func (w *world) send(core *Core, call Call) {
	to := w.at(call.Target.Address)
	p := pendingCall{core: core, call: call, to: to, arrives: w.now, applies: w.now + modelStep, answers: w.now + 2*modelStep}
	if to != nil {
		p.life = to.started
	}
	if w.random.Float64() < 0.1 {
		p.lost = true
		p.answers = w.now + 600*time.Millisecond
		if w.random.Float64() < 0.7 {
			p.applies = w.now + time.Duration(w.random.Int64N(int64(8*time.Second)))
		}
	}
	w.pending = append(w.pending, p)
}

func (w *world) deliver() {
	for i := range w.pending {
		p := &w.pending[i]
		if !p.applied && w.now >= p.applies {
			p.applied = true
			p.err = w.apply(p)
		}
		if w.now >= p.answers && p.call.Target.Backend != "" {
			err := p.err
			if p.lost {
				err = fmt.Errorf("the answer is lost")
			}
			p.core.Done(p.call, "", err, w.now)
			p.call.Target.Backend = ""
		}
	}
	w.pending = slices.DeleteFunc(w.pending, func(p pendingCall) bool { return p.applied && p.call.Target.Backend == "" })
}

func (w *world) note(format string, args ...any) {
	w.events = append(w.events, fmt.Sprintf("%8s ", w.now)+fmt.Sprintf(format, args...))
}

// history returns the last events that concern a part.
func (w *world) history() string {
	return strings.Join(w.events[max(0, len(w.events)-60):], "\n")
}

// apply runs a call at its worker.
func (w *world) apply(p *pendingCall) error {
	n := p.to
	if n != nil {
		w.note("%s up=%v gets call %d %s fence %d renewal %v, lost %v, sent %s", n.id, n.up, p.call.Kind, p.call.Grant.Range, p.call.Grant.Fence, p.call.Grant.Renewal, p.lost, p.arrives)
	}
	switch {
	case n == nil:
		return ErrNotSent
	case !n.up || n.started != p.life:
		return fmt.Errorf("the process has ended")
	case n.id != p.call.Target.Backend:
		return ErrOtherInstance
	case n.started != p.call.Target.Started && p.call.Grant.Renewal:
		return ErrSessionLost
	}
	g := p.call.Grant
	if p.call.Kind == CallRelease {
		n.release(g.Range)
		return nil
	}
	for part := g.Range.First / keyrange.PartSize; part <= g.Range.Last/keyrange.PartSize; part++ {
		if n.seen[part] > g.Fence {
			return ErrFenced
		}
	}
	until := p.arrives + g.Hold + g.Hold/50
	if until <= w.now {
		return nil
	}
	n.release(g.Range)
	n.holds = append(n.holds, hold{g.Range, g.Fence, until})
	for part := g.Range.First / keyrange.PartSize; part <= g.Range.Last/keyrange.PartSize; part++ {
		n.seen[part] = max(n.seen[part], g.Fence)
	}
	return nil
}

// release removes a range from the worker's holds.
func (n *worker) release(r keyrange.Range) {
	var kept []hold
	for _, h := range n.holds {
		if h.r.Last < r.First || h.r.First > r.Last {
			kept = append(kept, h)
			continue
		}
		if h.r.First < r.First {
			kept = append(kept, hold{keyrange.Range{First: h.r.First, Last: r.First - 1}, h.fence, h.until})
		}
		if h.r.Last > r.Last {
			kept = append(kept, hold{keyrange.Range{First: r.Last + 1, Last: h.r.Last}, h.fence, h.until})
		}
	}
	n.holds = kept
}

func (w *world) expire() {
	for _, n := range w.workers {
		n.holds = slices.DeleteFunc(n.holds, func(h hold) bool { return w.now >= h.until })
	}
}

// faults crashes, restarts, drains and hides workers, and changes the holder.
func (w *world) faults() {
	n := w.workers[w.random.IntN(len(w.workers))]
	fault := w.random.IntN(400)
	if fault < 7 {
		w.note("fault %d at %s/%d", fault, n.id, n.started)
	}
	switch fault {
	case 0: // crash; the entry lapses later
		n.up, n.holds = false, nil
	case 1: // restart under the same ID
		if other := w.at(n.address); other != nil && other != n {
			break // another process has the address
		}
		n.up, n.holds, n.seen = true, nil, [keyrange.Parts]int64{}
		w.next++
		n.started, n.listed = int64(w.next), true
	case 2: // the entry lapses, the worker may live on
		n.listed = false
	case 3:
		n.listed = n.up
	case 4:
		n.usable = !n.usable
	case 5:
		if len(w.workers) < 9 {
			free := w.at(n.address) == nil
			m := w.addWorker()
			if free { // the address is used again
				m.address = n.address
				n.listed = false
			}
		}
	case 6:
		w.depose(false)
	}
}

// depose gives the lease to a new core; the old one goes on for its authority.
func (w *world) depose(resigned bool) {
	w.note("the holder changes")
	if w.record == nil {
		return
	}
	w.deposed = append(w.deposed, deposedCore{w.core, w.now + Authority})
	w.core = NewCore("vm", w.record.Clone(), w.now, resigned)
}

// check fails if two workers hold a key, or a token does not grow at a move.
// lease is a range that a worker holds.
type lease struct {
	worker  string
	started int64
	r       keyrange.Range
	fence   int64
}

func (w *world) check() {
	// The same leases as at the last step need no second look.
	var leases []lease
	for _, n := range w.workers {
		for _, h := range n.holds {
			if n.up {
				leases = append(leases, lease{worker: n.id, started: n.started, r: h.r, fence: h.fence})
			}
		}
	}
	if slices.Equal(leases, w.checked) {
		return
	}
	w.checked = leases
	var holder [keyrange.Parts]string
	for _, n := range w.workers {
		if !n.up {
			continue
		}
		life := fmt.Sprint(n.id, "/", n.started)
		for _, h := range n.holds {
			for part := h.r.First / keyrange.PartSize; part <= h.r.Last/keyrange.PartSize; part++ {
				if holder[part] != "" {
					w.t.Fatalf("at %s part %d is held by %s and %s\n%s", w.now, part, holder[part], n.id, w.history())
				}
				holder[part] = n.id
				if w.owners[part] != life && w.owners[part] != "" && h.fence <= w.tokens[part] {
					w.t.Fatalf("at %s part %d went to %s with token %d, %s had it with %d", w.now, part, life, h.fence, w.owners[part], w.tokens[part])
				}
				w.owners[part], w.tokens[part] = life, max(w.tokens[part], h.fence)
			}
		}
	}
}

// TestNoTwoOwners guards against two backend servers that hold a key at the same
// time, under lost and late calls, crashes, restarts and changes of the holder.
func TestNoTwoOwners(t *testing.T) {
	for seed := range modelSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed)
			for w.now < 60*time.Second {
				w.step()
			}
		})
	}
}

// TestKeysHaveOwners guards against keys that stay without an owner while backend
// servers are there to take them.
func TestKeysHaveOwners(t *testing.T) {
	w := newWorld(t, 7)
	for w.now < 30*time.Second {
		w.step()
	}
	for _, n := range w.workers {
		n.up, n.listed, n.usable = true, true, true
	}
	for end := w.now + 15*time.Second; w.now < end; {
		w.now += modelStep
		w.deliver()
		w.expire()
		w.run(w.core, true)
	}
	held := 0
	for _, n := range w.workers {
		for _, h := range n.holds {
			held += h.r.Size()
		}
	}
	if held < (keyrange.MaxKey+1)*9/10 {
		t.Fatalf("%d keys have an owner 15 s after the last fault, of %d", held, keyrange.MaxKey+1)
	}
}
