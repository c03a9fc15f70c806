package forward

import "time"

const (
	// limitFraction is the fraction of a limit that the VMs use. They send at independent
	// times, so that the number of requests in a window varies.
	limitFraction = 0.9
	// minLimit is the limit in requests per second that counts if a backend server names a
	// lower one: without any answer the VMs would not learn that the limit has ended.
	minLimit = 0.25
)

// requestLimit is the limit that a process of a backend server names for the requests of all
// VMs together, and when this VM may send to it. It answers this load pattern: one server in
// need among sound ones, which looks idle as soon as it gets less, so that a choice by load
// alone would fill it again.
type requestLimit struct {
	// named is set while the process names a limit, of rate requests per second.
	named bool
	rate  float64
	// observedAt is when the newest known answer was made, at the latest if it named a limit
	// and at the earliest if not.
	observedAt time.Duration
	// next is the earliest time of this VM's next request.
	next time.Duration
}

// observe records that an answer named a limit, or none. sentAt is when the request was sent
// and now when the answer arrived. An answer without a limit counts only if it was certainly
// made after the last one with a limit. jitter, from 0 to 1, spreads the first requests of the
// VMs. It reports whether a limit began or ended.
func (l *requestLimit) observe(named bool, rate float64, sentAt, now time.Duration, vms int, jitter float64) bool {
	at := now
	if !named {
		at = sentAt
	}
	if at < l.observedAt {
		return false
	}
	began, ended := named && !l.named, l.named && !named
	l.named, l.rate, l.observedAt = named, rate, at
	switch {
	case began:
		l.next = now + time.Duration(jitter*float64(l.spacing(vms)))
	case named:
		l.next = min(l.next, now+l.spacing(vms))
	}
	return began || ended
}

// spacing returns the time between two requests of one of the given number of VMs.
func (l *requestLimit) spacing(vms int) time.Duration {
	return time.Duration(float64(time.Second) * float64(max(1, vms)) / (limitFraction * max(minLimit, l.rate)))
}

// wait returns the time until this VM may send a request.
func (l *requestLimit) wait(now time.Duration) time.Duration {
	if !l.named {
		return 0
	}
	return max(0, l.next-now)
}

// meanInterval returns the mean time between two requests of all VMs together.
func (l *requestLimit) meanInterval() time.Duration { return l.spacing(1) }

// sent records that this VM sends a request.
func (l *requestLimit) sent(vms int, now time.Duration) {
	if l.named {
		l.next = now + l.spacing(vms)
	}
}
