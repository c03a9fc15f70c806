package admission

import "time"

// observe draws conclusions from the end of one request.
func (s *state) observe(now time.Time, request admission, o Observation) {
	if s.instances.ended(o.Instance) && request.epoch < s.epoch {
		// A late answer of an instance that has ended says nothing about this one.
		return
	}
	if s.instances.note(o.Instance) {
		s.restart()
	}
	if o.Instance != "" {
		s.confirmed = now
	}
	switch o.Result {
	case Answered:
		s.latency.add(o.Latency)
		s.ramp.answered(request.window, request.filled, o.Latency, s.usual)
	case Shed:
		s.ramp.halve(request.window)
	case TimedOut:
		// The backend server may still be running the request although its slot is
		// free, so a timeout counts as overload.
		s.latency.add(o.Latency)
		s.ramp.halve(request.window)
	case RefusedDraining:
		s.leavingUntil = now.Add(leavingHold)
	case ConnectionRefused, ConnectionReset:
		// Requests of an earlier epoch were cut off by a restart already noticed.
		if request.epoch == s.epoch {
			s.restart()
		}
	case Abandoned, RefusedFence:
	}
}

// restart begins a cold start of the backend server.
func (s *state) restart() {
	s.epoch++
	s.reportedCold = false
	s.takeoverReport = false
	s.leavingUntil = time.Time{}
	s.ramp.restart()
}

// report draws conclusions from a load report.
func (s *state) report(now time.Time, r LoadReport) {
	readAt := now.Add(-r.Age)
	if s.instances.ended(r.Instance) {
		return
	}
	if r.Instance != s.instances.current && readAt.Before(s.confirmed) {
		// An answer is newer than this report.
		return
	}
	if s.instances.note(r.Instance) {
		s.restart()
	}
	s.adopted.report(readAt, r.InFlight)
	s.reportedCold = r.State == StateCold
	switch r.State {
	case StateDraining:
		s.leavingUntil = later(s.leavingUntil, readAt.Add(leavingHold))
	case StateWarm:
		s.startWarm(readAt)
	}
}

// startWarm raises the limit of a new gate to half of the slots when the backend
// server says that it is warm. The other half has to be earned, as reports may be
// wrong.
func (s *state) startWarm(readAt time.Time) {
	if !s.takeoverReport || readAt.Before(s.adopted.since) {
		return
	}
	s.takeoverReport = false
	s.ramp.warm = true
	s.ramp.setLimit(max(s.ramp.limit, s.config.Slots/2, s.reserved+1))
}
