package admission

import (
	"context"
	"sync"
	"time"
)

// Gate performs admission control for one backend server. It is safe for
// concurrent use; its lock is a leaf and is never held while waiting.
type Gate struct {
	now func() time.Time

	mu      sync.Mutex
	state   *state
	drained chan struct{}
}

// New returns a gate without a role lease; Renew gives it one. It returns an error
// for a faulty config.
func New(config Config) (*Gate, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	return &Gate{now: config.Now, state: newState(config, config.Now())}, nil
}

// Admit waits until the backend server has a free slot for the request and returns
// its ticket. It refuses as soon as the request can't be served by its deadline.
// The zero deadline means the longest that the service allows. If the refusal is
// not Refused, the caller must end the ticket with Done.
func (g *Gate) Admit(ctx context.Context, workspace string, deadline time.Time) (Ticket, Refusal) {
	g.mu.Lock()
	now := g.now()
	slot, w, refusal := g.state.enter(now, workspace, deadline)
	if w == nil {
		g.mu.Unlock()
		return g.conclude(verdict{slot: slot, refusal: refusal})
	}
	wake := g.state.wakeAt(now, w)
	g.mu.Unlock()
	return g.wait(ctx, w, wake.Sub(now))
}

func (g *Gate) wait(ctx context.Context, w *waiter, sleep time.Duration) (Ticket, Refusal) {
	timer := time.NewTimer(sleep)
	defer timer.Stop()
	for {
		select {
		case v := <-w.settled:
			return g.conclude(v)
		case <-ctx.Done():
			return g.abandon(w)
		case <-timer.C:
			next, refusal := g.reconsider(w)
			if refusal.Refused() {
				return Ticket{}, refusal
			}
			timer.Reset(next)
		}
	}
}

func (g *Gate) conclude(v verdict) (Ticket, Refusal) {
	if v.refusal.Refused() {
		return Ticket{}, v.refusal
	}
	return Ticket{gate: g, slot: v.slot}, Refusal{}
}

// abandon ends a queued request whose caller went away.
func (g *Gate) abandon(w *waiter) (Ticket, Refusal) {
	g.mu.Lock()
	refusal, queued := g.state.withdraw(g.now(), w, Cancelled)
	g.mu.Unlock()
	if queued {
		return Ticket{}, refusal
	}
	v := <-w.settled
	if v.refusal.Refused() {
		return Ticket{}, v.refusal
	}
	Ticket{gate: g, slot: v.slot}.Done(Observation{Result: Abandoned})
	return Ticket{}, Refusal{Reason: Cancelled}
}

// reconsider refuses w if it has become hopeless, and otherwise returns when to
// look again. A request that got its verdict meanwhile is left alone.
func (g *Gate) reconsider(w *waiter) (time.Duration, Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.state.sweep(now)
	if g.state.hopeless(now, w) {
		refusal, _ := g.state.withdraw(now, w, DeadlineTooClose)
		return 0, refusal
	}
	return g.state.wakeAt(now, w).Sub(now), Refusal{}
}

// Renew extends the role lease. expires is a reading of the gate's own monotonic
// clock.
func (g *Gate) Renew(expires time.Time) {
	g.change(func(s *state, _ time.Time) { s.lease.expires = expires })
}

// LoseLease ends the role lease at once, for example after a clock jump.
func (g *Gate) LoseLease() {
	g.change(func(s *state, _ time.Time) { s.lease.expires = time.Time{} })
}

// SetDeciderKnown says whether a decider of the failure domain is known. It matters
// only after the role lease has expired.
func (g *Gate) SetDeciderKnown(known bool) {
	g.change(func(s *state, _ time.Time) { s.lease.deciderKnown = known })
}

// ReleaseReservedSlot frees the reserved slot: the former gate was heard from or was
// removed.
func (g *Gate) ReleaseReservedSlot() {
	g.change(func(s *state, _ time.Time) { s.reserved = 0 })
}

// FormerInFlight takes in how many requests the stopped former gate still has in
// flight. Load reports include this gate's own requests, so under load only this
// statement frees the adopted slots before the longest deadline has passed.
func (g *Gate) FormerInFlight(inFlight int) {
	g.change(func(s *state, _ time.Time) { s.adopted.count = min(s.adopted.count, max(inFlight, 0)) })
}

// SetUsualLatency sets the service's usual latency, with which responses are
// compared during the ramp.
func (g *Gate) SetUsualLatency(usual time.Duration) {
	if usual <= 0 {
		return
	}
	g.change(func(s *state, _ time.Time) { s.usual = usual })
}

// Report takes in a load report of the backend server.
func (g *Gate) Report(r LoadReport) {
	g.change(func(s *state, now time.Time) { s.report(now, r) })
}

// Drain refuses queued and new requests. The channel is closed when none of this
// gate's requests is in flight; requests adopted from a former gate are not
// covered, see Snapshot.Adopted.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.draining = true
	g.state.sweep(g.now())
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	drained := g.drained
	g.signalDrained()
	return drained
}

// Resume ends a drain. A channel that Drain returned and that is still open stays
// open.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.draining = false
	g.drained = nil
}

// signalDrained closes the drain channel once nothing is in flight.
func (g *Gate) signalDrained() {
	if !g.state.draining || g.drained == nil || g.state.slots.inUse > 0 {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// Snapshot returns the present state.
func (g *Gate) Snapshot() Snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state
	s.adopted.expire(g.now())
	return Snapshot{
		Instance: s.instances.current,
		Limit:    s.ramp.limit,
		InFlight: s.slots.inUse,
		Adopted:  s.adopted.count,
		Reserved: s.reserved,
		Queued:   s.queue.length,
		Warm:     s.warm(),
		Latency:  s.latency.mean,
		Admitted: s.admitted,
		Refused:  s.refused,
	}
}

// Handover returns the state for the next gate. Call it after Drain, so that no
// request is admitted later.
func (g *Gate) Handover() Handover {
	snapshot := g.Snapshot()
	return Handover{
		Instance: snapshot.Instance,
		Limit:    snapshot.Limit,
		InFlight: snapshot.InFlight + snapshot.Adopted,
		Warm:     snapshot.Warm,
		Latency:  snapshot.Latency,
	}
}

// change applies a change and settles queued requests that it affects.
func (g *Gate) change(apply func(*state, time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	apply(g.state, now)
	g.state.sweep(now)
}
