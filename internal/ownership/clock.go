package ownership

import (
	"math"
	"time"
)

// Durations of the ownership protocol.
const (
	// HeartbeatInterval is the time between heartbeats of the decider.
	HeartbeatInterval = 100 * time.Millisecond
	// ClaimAfter is the time without a heartbeat after which a member claims.
	ClaimAfter = 400 * time.Millisecond
	// ConfirmFor is how long a read of the end of the stream confirms a term,
	// counted from the moment the read was sent.
	ConfirmFor = 500 * time.Millisecond
	// LogTimeout is the time without an answer after which the log counts as down.
	LogTimeout = 300 * time.Millisecond
	// LeaseDuration is the duration of leases while the log confirms the term.
	LeaseDuration = 700 * time.Millisecond
	// OutageLease is the duration of leases during an outage of the log.
	OutageLease = 30 * time.Second
	// PromiseDuration is how long a member that gave a promise does not claim.
	PromiseDuration = 60 * time.Second
	// RenewInterval is the time between renewals at one backend server. With 200 ms
	// a lease could end 500 ms after the loss of the decider, before its successor
	// renews it.
	RenewInterval = 100 * time.Millisecond
	// WaitMargin is added to every wait to allow for clock rate differences.
	WaitMargin = 50 * time.Millisecond
	// clockJump is the difference between the two clocks that counts as a suspend.
	clockJump = 200 * time.Millisecond
	// requestTimeout ends the wait for one reply of a backend server or member.
	requestTimeout = 250 * time.Millisecond
	// revokeInterval is the time between revokes of units whose requests still run.
	revokeInterval = 10 * time.Millisecond
	// lostAfter is the time without a reply after which another owner is planned.
	lostAfter = 600 * time.Millisecond
	// removeAfter is the time without a reply after which a member is removed.
	removeAfter = 5 * time.Second
	// readInterval is the time between reads of a stream.
	readInterval = 100 * time.Millisecond
	// readTimeout ends the wait for one read.
	readTimeout = 400 * time.Millisecond
	// balanceInterval is the time between plans that only balance the load.
	balanceInterval = time.Second
	// joinInterval is the time between repeated requests to be admitted.
	joinInterval = 2 * time.Second
)

const forever = time.Duration(math.MaxInt64)

// Instant is a reading of both clocks of one VM: the monotonic clock, and the
// time of day as the time since an arbitrary fixed point.
type Instant struct {
	Mono time.Duration
	Wall time.Duration
}

// Age returns the time that passed from i to now. It is the longest possible
// duration if the clocks disagree by more than 200 ms, because one of them may
// have stopped while the VM was suspended.
func (i Instant) Age(now Instant) time.Duration {
	mono := now.Mono - i.Mono
	wall := now.Wall - i.Wall
	if (mono - wall).Abs() > clockJump {
		return forever
	}
	return mono
}
