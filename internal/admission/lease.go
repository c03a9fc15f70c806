package admission

import "time"

// lease is the role lease of this VM as the gate.
type lease struct {
	expires      time.Time
	deciderKnown bool
}

func (l lease) valid(now time.Time) bool { return now.Before(l.expires) }

// adopted counts requests of the former gate that may still be in flight.
type adopted struct {
	count int
	// since is the moment of the takeover; the former gate sends nothing after it.
	since time.Time
	// until is when even the longest of those requests has ended.
	until time.Time
}

func (a *adopted) expire(now time.Time) {
	if !now.Before(a.until) {
		a.count = 0
	}
}

// report lowers the count to what the backend server says it had in flight at a
// moment after the takeover. It never raises it, since the figure includes the
// gate's own requests.
func (a *adopted) report(readAt time.Time, inFlight int) {
	if !readAt.Before(a.since) {
		a.count = min(a.count, max(inFlight, 0))
	}
}

// maySend checks again, right before the send, that an admitted request may be
// sent. A drain does not matter: it waits for the requests that were admitted.
func (s *state) maySend(now time.Time, id slotID) Refusal {
	request, ok := s.slots.get(id)
	if !ok {
		return s.refuse(Cancelled, now)
	}
	leased := s.lease.valid(now)
	if leased && request.epoch == s.epoch {
		return Refusal{}
	}
	if reason := s.closed(now); reason != Admitted && !leased {
		return s.refuse(reason, now)
	}
	// Requests admitted under a higher limit would exceed the present one together.
	if s.slots.inUse <= s.available(now) {
		return Refusal{}
	}
	return s.refuse(LimitFell, now)
}
