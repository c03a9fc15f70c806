package forward

import (
	"math"
	"strconv"
	"time"

	"fireflyfield/internal/fleet"
)

const (
	// limitFraction is the fraction of a limit that the VMs use. They send at independent
	// times, so that the number of requests in a window varies.
	limitFraction = 0.9
	// minLimit is the limit in requests per second that counts if a backend server names a
	// lower one: without any answer the VMs would not learn that the limit has ended.
	minLimit = 0.25
	// LimitRetention is how long notices of a limit are kept for VMs that start, or that were
	// cut off from the others.
	LimitRetention = 45 * time.Second
	// limitRefreshInterval is the time after which a VM tells again of a limit that holds.
	limitRefreshInterval = LimitRetention / 3
	// minLimitInterval is the least time between two notices of a limit whose value changes.
	minLimitInterval = time.Second
	// maxLimitVersion bounds the version of a notice: one above it is not from a VM.
	maxLimitVersion = math.MaxUint32 / 2
)

// LimitNotice is what VMs tell each other of the limit that a process of a backend server names.
type LimitNotice struct {
	Backend string `cbor:"1,keyasint"`
	Started int64  `cbor:"2,keyasint"` // Unix ms
	// Version orders the notices of a process. It is above that of all notices that the VM knew
	// when it got the answer: clocks do not tell whether an answer is later than one that another
	// VM has received.
	Version uint32 `cbor:"3,keyasint"`
	// Named is set if the limit holds, and not set if it has ended.
	Named bool `cbor:"4,keyasint,omitempty"`
	// Rate is the limit in requests per second.
	Rate float64 `cbor:"5,keyasint,omitempty"`
}

// Key returns the key of the notice; a later one of the same process, of whatever VM, replaces it.
func (n *LimitNotice) Key() string { return n.Backend + "/" + strconv.FormatInt(n.Started, 36) }

// Order returns a number by which notices of a process replace each other. Of two with the same
// version, which two VMs have published at a time, the one with a limit counts.
func (n *LimitNotice) Order() uint64 { return limitOrder(n.Version, n.Named) }

func limitOrder(version uint32, named bool) uint64 {
	order := 2 * uint64(version)
	if named {
		order++
	}
	return order
}

func (n *LimitNotice) process() fleet.ProcessID {
	return fleet.ProcessID{Backend: n.Backend, Started: n.Started}
}

// valid reports whether all values are in range.
func (n *LimitNotice) valid() bool {
	return n.Version > 0 && n.Version <= maxLimitVersion && n.Rate >= 0 && !math.IsInf(n.Rate, 1)
}

// requestLimit is the limit that a process of a backend server names for the requests of all
// VMs together, and when this VM may send to it. It answers this load pattern: one server in
// need among sound ones, which looks idle as soon as it gets less, so that a choice by load
// alone would fill it again.
type requestLimit struct {
	// named is set while the process names a limit, of rate requests per second.
	named bool
	rate  float64
	// observedAt is the time of the newest answer or notice, as in observe.
	observedAt time.Duration
	// version is that of the newest notice of any VM, toldAt the time at which it was published,
	// and toldRate the limit that it names.
	version  uint32
	toldAt   time.Duration
	toldRate float64
	// next is the earliest time of this VM's next request.
	next time.Duration
}

// observe records that an answer or a notice named a limit, or none. at is when it arrived, or,
// for an answer that names no limit, when its request was sent: such an answer counts only if it
// was certainly made after the last one with a limit. jitter, from 0 to 1, spreads the first
// requests of the VMs. It reports whether a limit began or ended.
func (l *requestLimit) observe(named bool, rate float64, at, now time.Duration, vms int, jitter float64) bool {
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

// sent records that this VM sends a request while the limit holds.
func (l *requestLimit) sent(vms int, now time.Duration) { l.next = now + l.spacing(vms) }

// knownVersion returns the version of the newest notice, or 0 if no VM has it any longer. A VM
// that starts then begins with 1.
func (l *requestLimit) knownVersion(now time.Duration) uint32 {
	if now-l.toldAt >= LimitRetention {
		return 0
	}
	return l.version
}

// news reports whether the other VMs must be told of the limit after an answer of the process.
// changed says whether the limit began or ended with it.
func (l *requestLimit) news(changed bool, now time.Duration) bool {
	switch {
	case changed:
		return true
	case !l.named || now-l.toldAt < minLimitInterval:
		return false
	}
	return l.rate != l.toldRate || now-l.toldAt >= limitRefreshInterval
}

// tell returns the version of a notice that is about to be published.
func (l *requestLimit) tell(now time.Duration) uint32 {
	l.version, l.toldAt, l.toldRate = l.knownVersion(now)+1, now, l.rate
	return l.version
}

// apply records a notice of another VM, which was published at the given time, as in observe.
func (l *requestLimit) apply(n *LimitNotice, publishedAt, now time.Duration, vms int, jitter float64) bool {
	if n.Order() <= limitOrder(l.knownVersion(now), l.named) {
		return false
	}
	l.version, l.toldAt, l.toldRate = n.Version, publishedAt, n.Rate
	return l.observe(n.Named, n.Rate, now, now, vms, jitter)
}
