package admission

import "time"

// state is the decision logic of a gate. Its methods take the current time as an
// argument. It is not safe for concurrent use; Gate holds its lock around each use.
type state struct {
	config       Config
	usualLatency time.Duration
	ramp         ramp
	latency      latency
	slots        slotTable
	queue        fairQueue
	instances    instances
	lease        lease
	adopted      adopted
	// reserved is the number of slots kept free for an unreachable former gate: 0 or 1.
	reserved int
	// epoch counts the restarts of the backend server that the gate has detected.
	epoch uint64
	// lastResponse is the time of the last response that named its instance.
	lastResponse time.Time
	// reportedCold says that the last load report of the current instance gave the
	// state cold.
	reportedCold bool
	// awaitsTakeoverReport says that there was no handover, and that the first load
	// report of a warm backend server may raise the limit.
	awaitsTakeoverReport bool
	// leavingUntil is the time until which the backend server counts as draining.
	leavingUntil time.Time
	draining     bool
	// lastProgress is the time at which a slot was last freed, or taken while none was
	// in use.
	lastProgress time.Time
	admitted     uint64
	refused      [reasonCount]uint64
}

func newState(config Config, now time.Time) *state {
	s := &state{
		config:       config,
		usualLatency: config.UsualLatency,
		ramp:         newRamp(config.Slots),
		latency:      latency{mean: config.UsualLatency},
		queue:        newFairQueue(config.QueueBound),
		lastProgress: now,
	}
	if config.Takeover != nil {
		s.initTakeover(config.Takeover, now)
	}
	return s
}

// initTakeover starts from the state of the former gate.
func (s *state) initTakeover(t *Takeover, now time.Time) {
	// Until a handover or a load report says otherwise, the former gate may have
	// requests in flight in all slots.
	s.adopted = adopted{count: s.config.Slots, takenOverAt: now, endedBy: now.Add(s.config.MaxRequestTime)}
	if t.Unreachable {
		s.reserved = 1
	}
	h := t.Handover
	if h == nil {
		s.awaitsTakeoverReport = true
		return
	}
	s.instances.observe(h.Instance)
	s.adopted.count = max(h.InFlight, 0)
	s.ramp.setLimit(h.Limit)
	s.ramp.warm = h.Warm
	if h.Latency > 0 {
		s.latency.mean = h.Latency
	}
}

// admit admits, queues or refuses a request. The waiter is not nil if the request
// was queued.
func (s *state) admit(now time.Time, workspace string, deadline time.Time) (slotID, *waiter, Refusal) {
	s.adopted.expire(now)
	if latest := now.Add(s.config.MaxRequestTime); deadline.IsZero() || deadline.After(latest) {
		deadline = latest
	}
	capacity, reason := s.capacity(now)
	if reason != Admitted {
		return slotID{}, nil, s.refuse(reason, now)
	}
	if !now.Before(deadline) {
		return slotID{}, nil, s.refuse(DeadlineTooClose, now)
	}
	if s.queue.length == 0 && s.slots.inUse < capacity {
		return s.takeSlot(now), nil, Refusal{}
	}
	return s.enqueue(now, workspace, deadline)
}

// enqueue queues the request, or refuses it if its predicted wait is too long or the
// queue has no room for it.
func (s *state) enqueue(now time.Time, workspace string, deadline time.Time) (slotID, *waiter, Refusal) {
	w := &waiter{workspace: workspace, latestStart: s.latestStart(deadline), decided: make(chan decision, 1)}
	ahead := s.queue.ahead(workspace, s.queue.lengthOf(workspace))
	if now.Add(s.predictWait(now, ahead)).After(w.latestStart) {
		return slotID{}, nil, s.refuse(DeadlineTooClose, now)
	}
	evicted, ok := s.queue.makeRoom(workspace)
	if !ok {
		return slotID{}, nil, s.refuse(QueueFull, now)
	}
	if evicted != nil {
		evicted.decided <- decision{refusal: s.refuse(QueueFull, now)}
	}
	s.queue.push(w)
	return slotID{}, w, Refusal{}
}

// capacity returns how many requests this gate may have in flight. With a reason
// other than Admitted it may send none, and requests are refused, not queued.
func (s *state) capacity(now time.Time) (int, Reason) {
	if reason := s.closedReason(now); reason != Admitted {
		return 0, reason
	}
	if s.ramp.limit <= s.reserved {
		return 0, Reserved
	}
	return s.available(now), Admitted
}

// available returns the part of the limit that is not reserved or in use by adopted
// requests. Without a valid role lease it is at most 1.
func (s *state) available(now time.Time) int {
	available := max(0, s.ramp.limit-s.reserved-s.adopted.count)
	if !s.lease.valid(now) {
		return min(1, available)
	}
	return available
}

// closedReason returns why the gate may not send any request, or Admitted if it may.
func (s *state) closedReason(now time.Time) Reason {
	switch {
	case s.draining:
		return Draining
	case now.Before(s.leavingUntil):
		return Leaving
	case s.lease.valid(now):
		return Admitted
	case s.lease.deciderKnown:
		return NotGate
	case !s.config.ServesWithoutLease || !s.warm():
		return NoLease
	}
	return Admitted
}

func (s *state) warm() bool { return s.ramp.warm && !s.reportedCold }

// takeSlot admits a request.
func (s *state) takeSlot(now time.Time) slotID {
	if s.slots.inUse == 0 {
		s.lastProgress = now
	}
	filledLimit := s.slots.inUse+1+s.reserved >= s.ramp.limit
	s.admitted++
	return s.slots.take(s.epoch, s.ramp.window, filledLimit)
}

// finish ends an admitted request. It returns false if the request had ended before.
func (s *state) finish(now time.Time, id slotID, o Observation) bool {
	request, ok := s.slots.release(id)
	if !ok {
		return false
	}
	s.lastProgress = now
	s.observe(now, request, o)
	s.processQueue(now)
	return true
}

// processQueue admits or refuses queued requests after the capacity has changed or
// time has passed.
func (s *state) processQueue(now time.Time) {
	s.adopted.expire(now)
	capacity, reason := s.capacity(now)
	if reason != Admitted {
		s.refuseQueued(reason, now)
		return
	}
	for s.slots.inUse < capacity {
		w := s.queue.pop()
		if w == nil {
			return
		}
		s.startQueued(now, w)
	}
}

// startQueued admits a request that was removed from the queue, unless it is too late
// for its deadline.
func (s *state) startQueued(now time.Time, w *waiter) {
	if now.After(w.latestStart) {
		w.decided <- decision{refusal: s.refuse(DeadlineTooClose, now)}
		return
	}
	w.decided <- decision{slot: s.takeSlot(now)}
}

// refuseQueued refuses all queued requests.
func (s *state) refuseQueued(reason Reason, now time.Time) {
	if s.queue.length == 0 {
		return
	}
	for _, w := range s.queue.all() {
		s.queue.remove(w)
		w.decided <- decision{refusal: s.refuse(reason, now)}
	}
}

// withdraw removes a request from the queue and refuses it. It returns false if the
// request has been decided already.
func (s *state) withdraw(now time.Time, w *waiter, reason Reason) (Refusal, bool) {
	if !s.queue.remove(w) {
		return Refusal{}, false
	}
	return s.refuse(reason, now), true
}

// refuse counts a refusal and returns it.
func (s *state) refuse(reason Reason, now time.Time) Refusal {
	s.refused[reason]++
	return Refusal{Reason: reason, RetryAfter: s.retryAfter(reason, now)}
}

func (s *state) retryAfter(reason Reason, now time.Time) time.Duration {
	switch reason {
	case DeadlineTooClose, QueueFull:
		return s.predictWait(now, s.queue.length)
	case Leaving:
		return s.leavingUntil.Sub(now)
	default:
		return 0
	}
}
