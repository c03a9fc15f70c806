package forward

import (
	"time"

	"fireflyfield/internal/decay"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/upstream"
)

const (
	// relativeLatencyGain is the weight of one response in the moving average of a
	// backend server's relative latency.
	relativeLatencyGain = 0.08
	// failureDecay is the time constant with which the share of failures decays.
	failureDecay = 3 * time.Second
	// failureGain is the weight of one result in the share of failures.
	failureGain = 0.25
	// minPause and maxPause bound the time for which pick avoids a backend server after
	// a connection to it failed. The pause doubles with each further failure until a
	// request succeeds.
	minPause = 250 * time.Millisecond
	maxPause = 2 * time.Second
	// othersInFlightGain is the weight of one load report in the moving average of the
	// requests that other VMs have in flight.
	othersInFlightGain = 0.1
	// minRelativeLatency and maxRelativeLatency bound each observation of a backend
	// server's relative latency.
	minRelativeLatency, maxRelativeLatency = 0.4, 6
)

// backend is the state of one backend server at this VM. Servers.mu guards its fields.
//
// The VM needs a permit for each request that it has in flight at the backend server.
// Servers.maxConnections is the number of permits.
type backend struct {
	directory.Backend
	pool *upstream.Pool
	// process never changes, so it may be read without the lock.
	process fleet.ProcessID

	// The fields up to relativeLatency are as in ServerStats. reportAt is when the load
	// was last observed.
	ownInFlight        int
	othersInFlight     float64
	othersInFlightMean float64
	slowness           float64
	reportAt           time.Duration
	relativeLatency    float64
	// lastFailureShare is the share of failed requests as of lastResultAt.
	lastFailureShare float64
	lastResultAt     time.Duration
	// pausedUntil is the end of the pause after a connection failure. Until then pick
	// avoids the backend server unless there is no other. pause is the length of the last
	// pause.
	pausedUntil time.Duration
	pause       time.Duration
	// coldUntil is when the backend server counts as warm: the time by its catalogue
	// entry or assumedColdUntil, whichever is later. assumedColdUntil is set when no
	// connection could be made, at refusedAt.
	coldUntil        time.Duration
	refusedAt        time.Duration
	assumedColdUntil time.Duration
	// latencyCount is the number of responses since the last TakeLatencies, and
	// latencySum the sum of their latencies without queue wait, as multiples of the
	// usual latency.
	latencyCount    int
	latencySum      float64
	unreported      bool          // the last load was not yet reported to other VMs
	nextColdRequest time.Duration // earliest time of the next request while cold
	local           bool
	usable          bool    // by the latest view
	keyed           bool    // its service is keyed
	notice          *notice // of its process; nil if there is none
	queue           queue   // requests that wait for a permit
	rank            uint64  // position in the order of Servers.rank
}

// stats returns what this VM knows of the backend server at now.
func (b *backend) stats(now time.Duration) ServerStats {
	return ServerStats{
		Slots: b.Slots, OwnInFlight: b.ownInFlight, OthersInFlight: b.othersInFlight, OthersInFlightMean: b.othersInFlightMean,
		Slowness: b.slowness, ReportAge: now - b.reportAt, RelativeLatency: b.relativeLatency,
		FailureShare: b.failureShare(now), Remote: !b.local,
	}
}

// failureShare returns the share of failed requests, decayed until now.
func (b *backend) failureShare(now time.Duration) float64 {
	return b.lastFailureShare * decay.Factor(now-b.lastResultAt, failureDecay)
}

// expired reports whether the catalogue entry was removed around an outage of the shared log
// and has not come back in time.
func (b *backend) expired(now time.Duration) bool { return b.ExpiresAt != 0 && now >= b.ExpiresAt }

// unavailableReason says why the backend server should not receive a request with the
// given usual latency and time left. It returns pickOK if the request may be sent.
func (b *backend) unavailableReason(stats *ServerStats, now, usualLatency, timeLeft time.Duration) pickReason {
	switch {
	case b.expired(now):
		return pickNoServer
	case b.remainingPause(now) > 0:
		return pickPaused
	case b.limitWait(now) > 0:
		return pickLimited
	case now < b.coldUntil && now < b.nextColdRequest:
		return pickColdLimit
	case stats.Full():
		return pickAllFull
	case stats.ExpectedLatency(usualLatency) > timeLeft:
		return pickTooLate
	}
	return pickOK
}

// applyLoad records the load that a response or a load report carries.
func (b *backend) applyLoad(load Load, now time.Duration) {
	others := max(0, float64(load.Running+load.Waiting-b.ownInFlight))
	b.othersInFlight = others
	b.othersInFlightMean += othersInFlightGain * (others - b.othersInFlightMean)
	b.slowness = load.Slowness
	b.reportAt = now
	b.unreported = true
}

// markFull records that the backend server rejected a request or a connection for lack
// of capacity.
func (b *backend) markFull(now time.Duration) {
	b.othersInFlight = max(b.othersInFlight, maxInFlightFactor*float64(b.Slots))
	b.reportAt = now
	b.unreported = true
	b.recordResult(true, now)
}

// recordResult records whether a request failed.
func (b *backend) recordResult(failed bool, now time.Duration) {
	value := 0.0
	if failed {
		value = 1
	}
	share := b.failureShare(now)
	b.lastFailureShare = share + failureGain*(value-share)
	b.lastResultAt = now
}

// recordSuccess records a successful response and its latency as a multiple of the
// usual latency.
func (b *backend) recordSuccess(relative float64, now time.Duration) {
	relative = min(maxRelativeLatency, max(minRelativeLatency, relative))
	b.relativeLatency += relativeLatencyGain * (relative - b.relativeLatency)
	b.pause = 0
	b.pausedUntil = 0
	b.recordResult(false, now)
}

// addLatency adds a latency, as a multiple of the usual one, to those that
// TakeLatencies reports. It takes out the queue wait at the backend server, which
// depends on the keys that the backend server owns and not on its speed.
func (b *backend) addLatency(relative float64, load Load) {
	if load.Slots > 0 {
		relative /= 1 + float64(load.Waiting)/float64(load.Slots)
	}
	b.latencyCount++
	b.latencySum += min(maxRelativeLatency, max(minRelativeLatency, relative))
}

// recordConnectionFailure records that a connection broke or, if refused is set, could
// not be made. In the second case the backend server may be restarting. It is cold then,
// but its catalogue entry shows that only later, so it counts as cold for coldFor.
func (b *backend) recordConnectionFailure(now time.Duration, refused bool, coldFor time.Duration) {
	b.recordResult(true, now)
	b.pause = min(maxPause, max(minPause, 2*b.pause))
	b.pausedUntil = now + b.pause
	if refused {
		b.refusedAt, b.assumedColdUntil = now, now+coldFor
		b.coldUntil = max(b.coldUntil, b.assumedColdUntil)
	}
}
