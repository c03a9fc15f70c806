package admission

import "time"

const (
	// minimumShare is the share of the mean latency that has to be left before the
	// deadline for a start to make sense. Many requests take less than the mean, so
	// demanding all of it would refuse requests that can be served.
	minimumShare = 0.5
	// stallFactor: a gate without any answer for this multiple of the mean latency
	// counts as stalled.
	stallFactor = 2
	// reconsiderInterval bounds the time after which a queued request looks again. A
	// role lease can be renewed for a shorter time than before, which the moment that
	// was computed for the next look does not cover.
	reconsiderInterval = 500 * time.Millisecond
)

// latestStart is the last moment at which a request with the deadline may start.
func (s *state) latestStart(deadline time.Time) time.Time {
	return deadline.Add(-time.Duration(minimumShare * float64(s.latency.mean)))
}

// wait predicts how long a request waits that has this many others ahead of it.
// During a stall it assumes that the stall lasts as long again as it has lasted.
func (s *state) wait(now time.Time, ahead int) time.Duration {
	interval := s.interval()
	first := interval
	if stalled := now.Sub(s.progress); stalled > stallFactor*s.latency.mean {
		first = stalled
	}
	return first + time.Duration(ahead)*interval
}

// interval is the mean time between two slots becoming free.
func (s *state) interval() time.Duration {
	return s.latency.mean / time.Duration(max(1, s.ramp.limit))
}

// hopeless reports whether w can no longer be served in time.
func (s *state) hopeless(now time.Time, w *waiter) bool {
	if !now.Before(w.latestStart) {
		return true
	}
	if now.Sub(s.progress) <= stallFactor*s.latency.mean {
		return false
	}
	return now.Add(s.wait(now, s.queue.aheadOf(w))).After(w.latestStart)
}

// wakeAt is the next moment at which w may have become hopeless or the passing of
// time may have changed the capacity. It is always after now.
func (s *state) wakeAt(now time.Time, w *waiter) time.Time {
	behind := time.Duration(s.queue.aheadOf(w)) * s.interval()
	// With the stall since progress lasting as long again, latestStart is missed
	// from the middle between the two on.
	slack := w.latestStart.Add(-behind).Sub(s.progress)
	stalledAt := s.progress.Add(stallFactor*s.latency.mean + time.Microsecond)
	wake := later(s.progress.Add(slack/2+time.Microsecond), stalledAt)
	if !wake.After(now) {
		wake = w.latestStart
	}
	wake = earlier(wake, earlier(w.latestStart, now.Add(reconsiderInterval)))
	for _, change := range [...]time.Time{s.lease.expires, s.adopted.until} {
		if change.After(now) {
			wake = earlier(wake, change)
		}
	}
	return wake
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
