// Package idempotency decides whether a request with an Idempotency-Key may run, so
// that each key runs at most once within Window. It leaves the assignment of
// partitions to VMs, sending requests and all I/O to its callers.
//
// Keys are divided into partitions. A Store keeps the keys of one partition on its
// holder, the VM that decides on requests, or on its backup. The holder replicates
// the intent to run to the backup before the run starts, and the result before it is
// sent to the caller. Methods that depend on the current time take it as a parameter,
// and the messages that Poll returns have to be sent to the backup.
//
// A holder that may lack entries of earlier runs, because it took over without a
// complete copy, is incomplete for Window: it answers requests with keys that it
// doesn't know with Unknown, since they may have run.
package idempotency

import "time"

const (
	// Window is how long a key is remembered after its run began or, once it ended,
	// after its end.
	Window = 10 * time.Minute
	// MaxEntries bounds the keys of one workspace in one partition. Requests with
	// further keys are rejected; entries are never evicted before they expire.
	MaxEntries = 10_000
	// MaxResultBytes bounds the headers and body of one stored result.
	MaxResultBytes = 64 << 10
	// MaxStoredBytes bounds all results of one partition, so that about a dozen
	// partitions, as holder or backup, fit on a VM with 256 MB. A result beyond the
	// bound is not stored, and repeats of its request get Unknown.
	MaxStoredBytes = 8 << 20
	// ResendInterval is the time after which unacknowledged changes are sent again.
	ResendInterval = 50 * time.Millisecond
	// maxBatchBytes bounds the results in one Replicate message or Chunk. A single
	// larger result is sent alone.
	maxBatchBytes = 1 << 20
	// maxBatchChanges bounds the changes in one Replicate message and the entries in
	// one Chunk.
	maxBatchChanges = 256
)
