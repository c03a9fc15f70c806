package admission

import "time"

// lease is the role lease that makes this VM the gate. deciderKnown says whether a
// decider of the failure domain is known.
type lease struct {
	expiresAt    time.Time
	deciderKnown bool
}

func (l lease) valid(now time.Time) bool { return now.Before(l.expiresAt) }

// adopted counts requests of the former gate that may still be in flight.
type adopted struct {
	count int
	// takenOverAt is the time of the takeover. The former gate sends no request after
	// it.
	takenOverAt time.Time
	// endedBy is the time by which all of those requests have reached their deadline.
	endedBy time.Time
}

func (a *adopted) expire(now time.Time) {
	if !now.Before(a.endedBy) {
		a.count = 0
	}
}

// applyReport lowers the count to the number of requests that the backend server
// reported in flight after the takeover. It never raises the count, because the
// reported number includes this gate's own requests.
func (a *adopted) applyReport(measuredAt time.Time, inFlight int) {
	if !measuredAt.Before(a.takenOverAt) {
		a.count = min(a.count, max(inFlight, 0))
	}
}

// maySend checks immediately before the send that an admitted request may still be
// sent. A drain alone does not prevent it, because a drain waits for the requests
// that were admitted before.
func (s *state) maySend(now time.Time, id slotID) Refusal {
	request, ok := s.slots.get(id)
	if !ok {
		return s.refuse(Cancelled, now)
	}
	leaseValid := s.lease.valid(now)
	if leaseValid && request.epoch == s.epoch {
		return Refusal{}
	}
	if reason := s.closedReason(now); reason != Admitted && !leaseValid {
		return s.refuse(reason, now)
	}
	// Requests that were admitted under a higher limit could together exceed the
	// current one.
	if s.slots.inUse <= s.available(now) {
		return Refusal{}
	}
	return s.refuse(LimitLowered, now)
}
