package admission

import (
	"context"
	"sync"
	"time"
)

// Gate performs admission control for one backend server. It is safe for
// concurrent use. No other lock is taken and nothing is waited for while its lock
// is held.
type Gate struct {
	now func() time.Time

	mu      sync.Mutex
	state   *state
	drained chan struct{}
}

// New returns a gate without a role lease; Renew sets one. It returns an error if
// the configuration is invalid.
func New(config Config) (*Gate, error) {
	if err := config.normalize(); err != nil {
		return nil, err
	}
	return &Gate{now: config.Now, state: newState(config, config.Now())}, nil
}

// Admit waits until the backend server has a free slot for the request and returns
// a ticket. It refuses the request as soon as it can't be served by its deadline.
// The zero deadline stands for Config.MaxRequestTime from now. If the request is
// not refused, the caller must end the ticket with Done.
func (g *Gate) Admit(ctx context.Context, workspace string, deadline time.Time) (Ticket, Refusal) {
	g.mu.Lock()
	now := g.now()
	slot, w, refusal := g.state.admit(now, workspace, deadline)
	if w == nil {
		g.mu.Unlock()
		return g.ticketFor(decision{slot: slot, refusal: refusal})
	}
	checkAt := g.state.nextCheck(now, w)
	g.mu.Unlock()
	return g.wait(ctx, w, checkAt.Sub(now))
}

// wait blocks until the queued request is decided or ctx ends. It checks the
// request again after the delay, and from then on as often as recheck asks for.
func (g *Gate) wait(ctx context.Context, w *waiter, delay time.Duration) (Ticket, Refusal) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case d := <-w.decided:
			return g.ticketFor(d)
		case <-ctx.Done():
			return g.abandon(w)
		case <-timer.C:
			next, refusal := g.recheck(w)
			if refusal.Refused() {
				return Ticket{}, refusal
			}
			timer.Reset(next)
		}
	}
}

// ticketFor turns a decision into the result of Admit.
func (g *Gate) ticketFor(d decision) (Ticket, Refusal) {
	if d.refusal.Refused() {
		return Ticket{}, d.refusal
	}
	return Ticket{gate: g, slot: d.slot}, Refusal{}
}

// abandon removes a request from the queue after its context ended. A slot that the
// request got meanwhile is freed.
func (g *Gate) abandon(w *waiter) (Ticket, Refusal) {
	g.mu.Lock()
	refusal, queued := g.state.withdraw(g.now(), w, Cancelled)
	g.mu.Unlock()
	if queued {
		return Ticket{}, refusal
	}
	d := <-w.decided
	if d.refusal.Refused() {
		return Ticket{}, d.refusal
	}
	Ticket{gate: g, slot: d.slot}.Done(Observation{Result: Abandoned})
	return Ticket{}, Refusal{Reason: Cancelled}
}

// recheck refuses w if it can't meet its deadline any more, and otherwise returns
// the delay until the next check. A request that was decided meanwhile is not
// refused; its decision is in w.decided.
func (g *Gate) recheck(w *waiter) (time.Duration, Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.state.processQueue(now)
	if g.state.missesDeadline(now, w) {
		refusal, _ := g.state.withdraw(now, w, DeadlineTooClose)
		return 0, refusal
	}
	return g.state.nextCheck(now, w).Sub(now), Refusal{}
}

// Renew sets the expiry of the role lease, as monotonic time of this VM.
func (g *Gate) Renew(expiresAt time.Time) {
	g.update(func(s *state, _ time.Time) { s.lease.expiresAt = expiresAt })
}

// LoseLease ends the role lease immediately, for example after a clock jump.
func (g *Gate) LoseLease() {
	g.update(func(s *state, _ time.Time) { s.lease.expiresAt = time.Time{} })
}

// SetDeciderKnown sets whether a decider of the failure domain is known. This
// matters only after the role lease has expired: a known decider may have made
// another VM the gate.
func (g *Gate) SetDeciderKnown(known bool) {
	g.update(func(s *state, _ time.Time) { s.lease.deciderKnown = known })
}

// ReleaseReservedSlot frees the slot that is reserved for an unreachable former
// gate. Call it once the former gate has answered or has been removed.
func (g *Gate) ReleaseReservedSlot() {
	g.update(func(s *state, _ time.Time) { s.reserved = 0 })
}

// SetFormerInFlight lowers the number of adopted requests to the number that the
// stopped former gate still has in flight. Load reports include this gate's own
// requests, so under load nothing else frees the adopted slots before
// Config.MaxRequestTime has passed.
func (g *Gate) SetFormerInFlight(inFlight int) {
	g.update(func(s *state, _ time.Time) { s.adopted.count = min(s.adopted.count, max(inFlight, 0)) })
}

// SetUsualLatency sets the service's usual latency. Responses that take more than
// goodLatencyFactor times as long do not raise the limit. Values that are not
// positive are ignored.
func (g *Gate) SetUsualLatency(usual time.Duration) {
	if usual <= 0 {
		return
	}
	g.update(func(s *state, _ time.Time) { s.usualLatency = usual })
}

// Report applies a load report of the backend server.
func (g *Gate) Report(r LoadReport) {
	g.update(func(s *state, now time.Time) { s.applyReport(now, r) })
}

// Drain refuses queued and new requests. The returned channel is closed when none
// of this gate's own requests is in flight. Requests adopted from a former gate
// don't count; see Snapshot.Adopted.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.draining = true
	g.state.processQueue(g.now())
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	drained := g.drained
	g.closeDrainedIfIdle()
	return drained
}

// Resume ends a drain. A channel returned by Drain that is still open is never
// closed.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.draining = false
	g.drained = nil
}

// closeDrainedIfIdle closes the channel of Drain if no request is in flight.
func (g *Gate) closeDrainedIfIdle() {
	if !g.state.draining || g.drained == nil || g.state.slots.inUse > 0 {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// Snapshot returns the current state of the gate.
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

// Handover returns the state to pass to the next gate. Call it after Drain;
// otherwise requests may be admitted that it does not contain.
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

// update applies a change to the state and then processes the queue.
func (g *Gate) update(apply func(*state, time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	apply(g.state, now)
	g.state.processQueue(now)
}
