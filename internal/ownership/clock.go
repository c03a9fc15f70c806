package ownership

import (
	"math"
	"time"
)

// Durations of the ownership protocol.
const (
	// HeartbeatInterval is the time between heartbeats of the decider to a member.
	HeartbeatInterval = 100 * time.Millisecond
	// ClaimAfter is the time without a heartbeat after which a member claims the
	// next term.
	ClaimAfter = 400 * time.Millisecond
	// ConfirmationDuration is how long a read of the end of the stream confirms the
	// term, counted from the moment the read was sent.
	ConfirmationDuration = 500 * time.Millisecond
	// LogTimeout is the time without an answer after which the shared log counts as
	// down.
	LogTimeout = 300 * time.Millisecond
	// LeaseDuration is the duration of leases while the shared log confirms the term.
	LeaseDuration = 700 * time.Millisecond
	// OutageLeaseDuration is the duration of leases during an outage of the shared
	// log.
	OutageLeaseDuration = 30 * time.Second
	// PromiseDuration is how long a member that gave a promise does not claim the
	// next term.
	PromiseDuration = 60 * time.Second
	// RenewInterval is the time between renewals at one backend server. At 200 ms a
	// lease could expire 500 ms after the loss of the decider, before its successor
	// renews it.
	RenewInterval = 100 * time.Millisecond
	// WaitMargin is added to every wait for the end of a lease, promise or request
	// to allow for clock rate differences.
	WaitMargin = 50 * time.Millisecond
	// suspendThreshold is the disagreement between monotonic and wall clock above
	// which the VM counts as suspended in between.
	suspendThreshold = 200 * time.Millisecond
	// requestTimeout bounds the wait for one reply of a backend server.
	requestTimeout = 250 * time.Millisecond
	// revokeInterval is the time between repeated revocations of units whose
	// requests still run.
	revokeInterval = 10 * time.Millisecond
	// lostAfter is the time without a reply after which a backend server or member
	// counts as lost and its units or roles are planned elsewhere.
	lostAfter = 600 * time.Millisecond
	// removeAfter is the time without a reply after which a member is removed from
	// the failure domain.
	removeAfter = 5 * time.Second
	// readInterval is the time between reads of a stream.
	readInterval = 100 * time.Millisecond
	// readTimeout bounds the wait for the answer to one read.
	readTimeout = 400 * time.Millisecond
	// balanceInterval is the time between plans that only balance the load.
	balanceInterval = time.Second
	// joinInterval is the time between repeated requests to be admitted.
	joinInterval = 2 * time.Second
)

// forever is the age of an instant that cannot be related to the present.
const forever = time.Duration(math.MaxInt64)

// Instant is one point in time on both clocks of one VM.
type Instant struct {
	// Mono is the monotonic time.
	Mono time.Duration
	// Wall is the time of day, as the time since an arbitrary fixed point.
	Wall time.Duration
}

// Age returns the monotonic time that passed from i to now. It returns the longest
// possible duration if the clocks disagree by more than suspendThreshold, because
// one of them may have stopped while the VM was suspended.
func (i Instant) Age(now Instant) time.Duration {
	mono := now.Mono - i.Mono
	wall := now.Wall - i.Wall
	if (mono - wall).Abs() > suspendThreshold {
		return forever
	}
	return mono
}
