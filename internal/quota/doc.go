// Package quota limits each workspace to its rate and burst over all VMs.
//
// A Keeper holds the token bucket of one workspace in one failure domain. It
// lends batches of tokens that expire; a Holder on each VM spends them. The
// bucket keeps level + lent tokens <= burst at all times, so spending over any
// window is at most rate x window + burst. Neither type does I/O: each call takes
// the current time and returns the messages to send.
package quota

import "time"

const (
	// BatchLifetime is how long a lent token may be spent.
	BatchLifetime = 2 * time.Second
	// ClockMargin allows for clocks that run at different rates; a keeper counts a
	// batch as lent for this much longer than the holder may spend from it.
	ClockMargin = 50 * time.Millisecond
	// ResendInterval is the time after which an unanswered sync is sent again.
	ResendInterval = 25 * time.Millisecond
	// AbandonAfter is the time after which an unanswered sync is given up.
	AbandonAfter = 500 * time.Millisecond
	// RetryAfterUnknown is reported while no keeper answers; the keeper role moves
	// 750 ms after the loss of its VM.
	RetryAfterUnknown = time.Second

	// dryInterval bounds how often a keeper without tokens is asked again. It is
	// shorter than most retry times, since tokens may return or accrue elsewhere.
	dryInterval = 10 * time.Millisecond
	// idleInterval is the time after which tokens that are not needed go back.
	idleInterval = 10 * time.Millisecond

	minWindow = 5 * time.Millisecond
	maxWindow = 100 * time.Millisecond
	// windowsPerBurst keeps the tokens that are lent and not yet reported to a
	// small part of the burst.
	windowsPerBurst = 8
)
