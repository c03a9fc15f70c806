package forward

import (
	"time"

	"fireflyfield/internal/decay"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/upstream"
)

const (
	// speedGain is the weight of one observation of a backend server's speed.
	speedGain = 0.08
	// failureLife is how fast a failure is forgotten.
	failureLife = 3 * time.Second
	// failureGain is the weight of one result in the share of failures.
	failureGain = 0.25
	// firstPause and lastPause bound the time without requests after connections to
	// a backend server failed.
	firstPause = 250 * time.Millisecond
	lastPause  = 2 * time.Second
	// othersGain is the weight of one report in the mean of other VMs' requests.
	othersGain = 0.1
	// minSpeed and maxSpeed bound the estimate of a backend server's speed.
	minSpeed, maxSpeed = 0.4, 6
)

// backend is the state of one backend server at this VM. Its fields are guarded by
// the lock of Servers.
type backend struct {
	directory.Backend
	pool *upstream.Pool

	own        int
	others     float64
	othersMean float64
	slowness   float64
	reportAt   time.Duration
	speed      float64
	failures   float64
	failuresAt time.Duration
	// pausedUntil is when requests may go there again after connection failures.
	pausedUntil time.Duration
	pause       time.Duration
	// coldUntil is when the backend server counts as warm, by its entry or after it
	// refused a connection at suspectAt.
	coldUntil    time.Duration
	suspectAt    time.Duration
	suspectUntil time.Duration
	// latencies are the answers since the last TakeLatencies, and latencySum the sum of
	// their latencies without waiting, as multiples of the usual latency.
	latencies  int
	latencySum float64
	unshared   bool          // the last report was not passed on to other VMs
	nextCold   time.Duration // earliest time of the next request while cold
	local      bool
	usable     bool   // by the newest view
	keyed      bool   // its service is keyed
	queue      queue  // requests that wait for a place of this VM
	rank       uint64 // place in this VM's order
}

func (b *backend) standing(now time.Duration) Standing {
	return Standing{
		Slots: b.Slots, Own: b.own, Others: b.others, OthersMean: b.othersMean,
		Slowness: b.slowness, ReportAge: now - b.reportAt, Speed: b.speed,
		Failures: b.failureShare(now), Remote: !b.local,
	}
}

func (b *backend) failureShare(now time.Duration) float64 {
	return b.failures * decay.Left(now-b.failuresAt, failureLife)
}

// closed says why the backend server should get no request that usually takes usual
// and has left until its deadline; pickedNone if it may.
func (b *backend) closed(standing *Standing, now, usual, left time.Duration) pickReason {
	switch {
	case b.ExpiresAt != 0 && now >= b.ExpiresAt:
		return pickNoServer
	case now < b.coldUntil && now < b.nextCold:
		return pickColdLimit
	case standing.Full():
		return pickAllFull
	case standing.Expected(usual) > left:
		return pickTooLate
	}
	return pickedNone
}

// report takes the load that a response carries.
func (b *backend) report(load Load, now time.Duration) {
	others := max(0, float64(load.Running+load.Waiting-b.own))
	b.others = others
	b.othersMean += othersGain * (others - b.othersMean)
	b.slowness = load.Slowness
	b.reportAt = now
	b.unshared = true
}

// shed notes that the backend server had no room.
func (b *backend) shed(now time.Duration) {
	b.others = max(b.others, queueFactor*float64(b.Slots))
	b.reportAt = now
	b.unshared = true
	b.result(true, now)
}

// result notes whether a request failed.
func (b *backend) result(failed bool, now time.Duration) {
	value := 0.0
	if failed {
		value = 1
	}
	share := b.failureShare(now)
	b.failures = share + failureGain*(value-share)
	b.failuresAt = now
}

// answered notes a latency relative to the usual one.
func (b *backend) answered(relative float64, now time.Duration) {
	relative = min(maxSpeed, max(minSpeed, relative))
	b.speed += speedGain * (relative - b.speed)
	b.pause = 0
	b.pausedUntil = 0
	b.result(false, now)
}

// worked notes a latency for the estimate of the backend server's speed. The time in its
// queue is taken out: a queue comes from the keys that it holds, not from its speed.
func (b *backend) worked(relative float64, load Load) {
	if load.Slots > 0 {
		relative /= 1 + float64(load.Waiting)/float64(load.Slots)
	}
	b.latencies++
	b.latencySum += min(maxSpeed, max(minSpeed, relative))
}

// broken notes that a connection broke or could not be made. A backend server that
// refused a connection may be restarting; it is cold then, and its entry tells so
// only later.
func (b *backend) broken(now time.Duration, refused bool, coldFor time.Duration) {
	b.result(true, now)
	b.pause = min(lastPause, max(firstPause, 2*b.pause))
	b.pausedUntil = now + b.pause
	if refused {
		b.suspectAt, b.suspectUntil = now, now+coldFor
		b.coldUntil = max(b.coldUntil, b.suspectUntil)
	}
}
