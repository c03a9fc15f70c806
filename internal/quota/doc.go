// Package quota decides which requests of a workspace are within its rate and burst,
// counted over all VMs. It leaves the election of keepers, the clock and the
// transport of messages to the caller: each call takes the current time and returns
// the messages to send.
//
// A Keeper owns the token bucket of one workspace in one failure domain. It lends
// batches of tokens that expire; a Holder on each VM spends them. A keeper that has
// too few tokens borrows from the keepers of other failure domains. The bucket keeps
// level + lent tokens <= burst at all times, so spending over any window is at most
// rate x window + burst.
package quota

import "time"

const (
	// BatchLifetime is the time for which a lent token may be spent, counted from the
	// moment at which the holder asked for it.
	BatchLifetime = 2 * time.Second
	// ClockMargin allows for clocks that run at different rates: a keeper counts a
	// batch as lent for this much longer than the holder may spend from it.
	ClockMargin = 50 * time.Millisecond
	// ResendInterval is the time after which an unanswered sync is sent again.
	ResendInterval = 25 * time.Millisecond
	// SyncTimeout is the time after which an unanswered sync is abandoned.
	SyncTimeout = 500 * time.Millisecond
	// RetryAfterUnknown is the retry time of a refusal when it is not known when a token
	// will be available, as while no keeper answers. It covers the 750 ms after which
	// the keeper role of a lost VM moves to another VM.
	RetryAfterUnknown = time.Second

	// maxBackoff is the longest time for which a keeper without tokens is not asked
	// again. It is shorter than most retry times, because holders may return tokens
	// and tokens may accrue in other failure domains.
	maxBackoff = 10 * time.Millisecond
	// idleReturnInterval is the shortest time between a sync and the return of tokens
	// that are not needed.
	idleReturnInterval = 10 * time.Millisecond

	// The report interval of a limit lies between these two; see Limit.reportInterval.
	minReportInterval = 5 * time.Millisecond
	maxReportInterval = 100 * time.Millisecond
	// reportsPerBurst is the number of report intervals in the time in which the rate
	// fills the burst. It keeps the tokens that are lent and not yet reported to a
	// small part of the burst.
	reportsPerBurst = 8
)
