package admission

import "time"

// state is the decision logic of a gate. It takes the time as an argument and is
// not safe for concurrent use; Gate adds the lock.
type state struct {
	config    Config
	usual     time.Duration
	ramp      ramp
	latency   latency
	slots     slotTable
	queue     fairQueue
	instances instances
	lease     lease
	adopted   adopted
	reserved  int
	// epoch counts the restarts of the backend server that the gate noticed.
	epoch uint64
	// confirmed is when an answer last came from the current instance.
	confirmed time.Time
	// reportedCold is the last reported state of the current instance.
	reportedCold bool
	// takeoverReport says that the first usable load report may set the limit.
	takeoverReport bool
	leavingUntil   time.Time
	draining       bool
	// progress is when a slot was last freed, or taken while none was in use.
	progress time.Time
	admitted uint64
	refused  [reasonCount]uint64
}

func newState(config Config, now time.Time) *state {
	s := &state{
		config:   config,
		usual:    config.UsualLatency,
		ramp:     newRamp(config.Slots),
		latency:  latency{mean: config.UsualLatency},
		queue:    newFairQueue(config.QueueBound),
		progress: now,
	}
	if config.Takeover != nil {
		s.takeOver(config.Takeover, now)
	}
	return s
}

func (s *state) takeOver(t *Takeover, now time.Time) {
	// Without a statement or a load report the former gate may have had every slot
	// in use.
	s.adopted = adopted{count: s.config.Slots, since: now, until: now.Add(s.config.LongestDeadline)}
	if t.Unreachable {
		s.reserved = 1
	}
	h := t.Handover
	if h == nil {
		s.takeoverReport = true
		return
	}
	s.instances.note(h.Instance)
	s.adopted.count = max(h.InFlight, 0)
	s.ramp.setLimit(h.Limit)
	s.ramp.warm = h.Warm
	if h.Latency > 0 {
		s.latency.mean = h.Latency
	}
}

// enter admits the request, queues it or refuses it. With a waiter the request is
// queued.
func (s *state) enter(now time.Time, workspace string, deadline time.Time) (slotID, *waiter, Refusal) {
	s.adopted.expire(now)
	if latest := now.Add(s.config.LongestDeadline); deadline.IsZero() || deadline.After(latest) {
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
		return s.take(now), nil, Refusal{}
	}
	return s.enqueue(now, workspace, deadline)
}

func (s *state) enqueue(now time.Time, workspace string, deadline time.Time) (slotID, *waiter, Refusal) {
	w := &waiter{workspace: workspace, latestStart: s.latestStart(deadline), settled: make(chan verdict, 1)}
	ahead := s.queue.ahead(workspace, s.queue.lengthOf(workspace))
	if now.Add(s.wait(now, ahead)).After(w.latestStart) {
		return slotID{}, nil, s.refuse(DeadlineTooClose, now)
	}
	pushedOut, ok := s.queue.makeRoom(workspace)
	if !ok {
		return slotID{}, nil, s.refuse(QueueFull, now)
	}
	if pushedOut != nil {
		pushedOut.settled <- verdict{refusal: s.refuse(QueueFull, now)}
	}
	s.queue.push(w)
	return slotID{}, w, Refusal{}
}

// capacity returns how many requests this gate may have in flight. A reason other
// than Admitted means that it may send none and that waiting is pointless.
func (s *state) capacity(now time.Time) (int, Reason) {
	if reason := s.closed(now); reason != Admitted {
		return 0, reason
	}
	if s.ramp.limit <= s.reserved {
		return 0, Reserved
	}
	return s.available(now), Admitted
}

// available returns the share of the limit that is left to this gate.
func (s *state) available(now time.Time) int {
	available := max(0, s.ramp.limit-s.reserved-s.adopted.count)
	if !s.lease.valid(now) {
		return min(1, available)
	}
	return available
}

// closed says why the gate may send nothing at all, or Admitted.
func (s *state) closed(now time.Time) Reason {
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

func (s *state) take(now time.Time) slotID {
	if s.slots.inUse == 0 {
		s.progress = now
	}
	filled := s.slots.inUse+1+s.reserved >= s.ramp.limit
	s.admitted++
	return s.slots.take(s.epoch, s.ramp.window, filled)
}

// leave ends an admitted request; false means that it had ended before.
func (s *state) leave(now time.Time, id slotID, o Observation) bool {
	request, ok := s.slots.release(id)
	if !ok {
		return false
	}
	s.progress = now
	s.observe(now, request, o)
	s.sweep(now)
	return true
}

// sweep settles queued requests after a change of capacity or the passing of time.
func (s *state) sweep(now time.Time) {
	s.adopted.expire(now)
	capacity, reason := s.capacity(now)
	if reason != Admitted {
		s.flush(reason, now)
		return
	}
	for s.slots.inUse < capacity {
		w := s.queue.pop()
		if w == nil {
			return
		}
		s.start(now, w)
	}
}

func (s *state) start(now time.Time, w *waiter) {
	if now.After(w.latestStart) {
		w.settled <- verdict{refusal: s.refuse(DeadlineTooClose, now)}
		return
	}
	w.settled <- verdict{slot: s.take(now)}
}

func (s *state) flush(reason Reason, now time.Time) {
	if s.queue.length == 0 {
		return
	}
	for _, w := range s.queue.all() {
		s.queue.remove(w)
		w.settled <- verdict{refusal: s.refuse(reason, now)}
	}
}

// withdraw takes a request out of the queue; false means that it has its verdict.
func (s *state) withdraw(now time.Time, w *waiter, reason Reason) (Refusal, bool) {
	if !s.queue.remove(w) {
		return Refusal{}, false
	}
	return s.refuse(reason, now), true
}

func (s *state) refuse(reason Reason, now time.Time) Refusal {
	s.refused[reason]++
	return Refusal{Reason: reason, RetryAfter: s.retryAfter(reason, now)}
}

func (s *state) retryAfter(reason Reason, now time.Time) time.Duration {
	switch reason {
	case DeadlineTooClose, QueueFull:
		return s.wait(now, s.queue.length)
	case Leaving:
		return s.leavingUntil.Sub(now)
	default:
		return 0
	}
}
