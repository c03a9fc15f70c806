// Package idempotency stores the idempotency keys of one partition so that a
// request with an Idempotency-Key runs at most once within Window.
//
// The holder replicates the intent to run to one backup before the run starts and
// the result before it is answered. The store does no I/O: each call takes the
// current time and the caller sends the messages that Poll returns.
package idempotency

import "time"

const (
	// Window is how long a key is remembered after its run began or finished.
	Window = 10 * time.Minute
	// MaxEntries bounds the keys of one workspace in one partition. Beyond it
	// requests are refused; entries are never evicted.
	MaxEntries = 10_000
	// MaxResultBytes bounds one stored result, headers included.
	MaxResultBytes = 64 << 10
	// MaxStoredBytes bounds all results of one partition. A VM holds about a dozen
	// partitions as holder or backup within 256 MB; a result beyond the bound is
	// not kept and its repeats are answered "unknown".
	MaxStoredBytes = 8 << 20
	// ResendInterval is the time after which unacknowledged changes are sent again.
	ResendInterval = 50 * time.Millisecond
	// maxBatchBytes bounds the results in one replication message.
	maxBatchBytes = 1 << 20
	// maxBatchChanges bounds the changes in one replication message.
	maxBatchChanges = 256
)
