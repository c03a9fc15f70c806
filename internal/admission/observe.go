package admission

import "time"

// observe updates the state from the end of one request.
func (s *state) observe(now time.Time, request admission, o Observation) {
	if s.instances.hasEnded(o.Instance) && request.epoch < s.epoch {
		// A late response of a former instance says nothing about the current one.
		return
	}
	if s.instances.observe(o.Instance) {
		s.restart()
	}
	if o.Instance != "" {
		s.lastResponse = now
	}
	switch o.Result {
	case Answered:
		s.latency.add(o.Latency)
		s.ramp.recordAnswer(request.window, request.filledLimit, o.Latency, s.usualLatency)
	case Shed:
		s.ramp.halve(request.window)
	case TimedOut:
		// The backend server may still be running the request although its slot here
		// is free, so a timeout counts as overload.
		s.latency.add(o.Latency)
		s.ramp.halve(request.window)
	case RefusedDraining:
		s.leavingUntil = now.Add(leavingDuration)
	case ConnectionRefused, ConnectionReset:
		// Requests of an earlier epoch were interrupted by a restart that has been
		// counted already.
		if request.epoch == s.epoch {
			s.restart()
		}
	case Abandoned, RefusedFence:
	}
}

// restart resets the state for a cold start of the backend server.
func (s *state) restart() {
	s.epoch++
	s.reportedCold = false
	s.awaitsTakeoverReport = false
	s.leavingUntil = time.Time{}
	s.ramp.restart()
}

// applyReport updates the state from a load report.
func (s *state) applyReport(now time.Time, r LoadReport) {
	measuredAt := now.Add(-r.Age)
	if s.instances.hasEnded(r.Instance) {
		return
	}
	if r.Instance != s.instances.current && measuredAt.Before(s.lastResponse) {
		// A response of another instance is newer than this report.
		return
	}
	if s.instances.observe(r.Instance) {
		s.restart()
	}
	s.adopted.applyReport(measuredAt, r.InFlight)
	s.reportedCold = r.State == StateCold
	switch r.State {
	case StateDraining:
		s.leavingUntil = later(s.leavingUntil, measuredAt.Add(leavingDuration))
	case StateWarm:
		s.raiseLimitAfterTakeover(measuredAt)
	}
}

// raiseLimitAfterTakeover raises the limit of a new gate to half of the slots, and
// if possible above the reserved slots, when the backend server reports that it is
// warm. Reports may be wrong, so the limit grows further only through responses.
func (s *state) raiseLimitAfterTakeover(measuredAt time.Time) {
	if !s.awaitsTakeoverReport || measuredAt.Before(s.adopted.takenOverAt) {
		return
	}
	s.awaitsTakeoverReport = false
	s.ramp.warm = true
	s.ramp.setLimit(max(s.ramp.limit, s.config.Slots/2, s.reserved+1))
}
