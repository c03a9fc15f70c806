package admission

import "time"

const (
	// minTimeLeftFactor is the fraction of the mean latency that must be left until
	// the deadline when a request starts. Many requests take less than the mean, so a
	// factor of 1 would refuse requests that can be served.
	minTimeLeftFactor = 0.5
	// stallFactor is the multiple of the mean latency without progress after which
	// the backend server counts as stalled.
	stallFactor = 2
	// recheckInterval is the longest time between two checks of a queued request. A
	// renewal can move the expiry of the role lease to an earlier time, which a next
	// check computed before it does not take into account.
	recheckInterval = 500 * time.Millisecond
)

// latestStart returns the latest time at which a request with the deadline may
// start.
func (s *state) latestStart(deadline time.Time) time.Time {
	return deadline.Add(-time.Duration(minTimeLeftFactor * float64(s.latency.mean)))
}

// predictWait returns the expected wait for a slot behind the given number of
// queued requests. It assumes that a stall lasts as long again as it has lasted.
func (s *state) predictWait(now time.Time, ahead int) time.Duration {
	interval := s.slotInterval()
	untilNextSlot := interval
	if stalled := now.Sub(s.lastProgress); stalled > stallFactor*s.latency.mean {
		untilNextSlot = stalled
	}
	return untilNextSlot + time.Duration(ahead)*interval
}

// slotInterval returns the expected mean time between two slots becoming free.
func (s *state) slotInterval() time.Duration {
	return s.latency.mean / time.Duration(max(1, s.ramp.limit))
}

// missesDeadline reports whether w is past its latest start or, during a stall, is
// expected to be.
func (s *state) missesDeadline(now time.Time, w *waiter) bool {
	if !now.Before(w.latestStart) {
		return true
	}
	if now.Sub(s.lastProgress) <= stallFactor*s.latency.mean {
		return false
	}
	return now.Add(s.predictWait(now, s.queue.aheadOf(w))).After(w.latestStart)
}

// nextCheck returns the next time at which w may miss its deadline, or at which
// the capacity may change because time has passed. It is always after now.
func (s *state) nextCheck(now time.Time, w *waiter) time.Time {
	behind := time.Duration(s.queue.aheadOf(w)) * s.slotInterval()
	// A stall is expected to last as long again as it has lasted. w is therefore
	// expected to miss its latest start once the stall has used half of the time from
	// lastProgress to the latest start, less the time for the requests ahead.
	slack := w.latestStart.Add(-behind).Sub(s.lastProgress)
	stalledAt := s.lastProgress.Add(stallFactor*s.latency.mean + time.Microsecond)
	checkAt := later(s.lastProgress.Add(slack/2+time.Microsecond), stalledAt)
	if !checkAt.After(now) {
		checkAt = w.latestStart
	}
	checkAt = earlier(checkAt, earlier(w.latestStart, now.Add(recheckInterval)))
	for _, change := range [...]time.Time{s.lease.expiresAt, s.adopted.endedBy} {
		if change.After(now) {
			checkAt = earlier(checkAt, change)
		}
	}
	return checkAt
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
