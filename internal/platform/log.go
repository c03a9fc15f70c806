// Package platform defines the shared log and the list of VMs that the platform
// provides, and an HTTP client of both. What records contain, and whether a failed
// append is repeated, is left to its users.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Record is one record of a stream.
type Record struct {
	// Offset counts from 1 in each stream.
	Offset uint64
	Data   []byte
}

// Batch is the result of one read.
type Batch struct {
	// FirstRetained is the oldest offset of the stream that the platform retains.
	FirstRetained uint64
	// Next is the offset at which the next read continues.
	Next uint64
	// Records holds every record from the requested offset up to but excluding Next, in
	// the order of their offsets.
	Records []Record
}

// Log is the shared log: append-only streams of records. Implementations are safe for
// concurrent use.
type Log interface {
	// Append adds the records in order and returns their offsets. After an error
	// the records may or may not have been added, unless the error says otherwise.
	Append(ctx context.Context, stream string, records ...[]byte) ([]uint64, error)
	// Read returns at most limit records, starting at the offset from; offsets start at
	// 1. At the end of the stream it waits for a record, at most for the duration wait,
	// and then returns an empty batch. An error is a *OffsetTrimmedError or wraps
	// ErrUnavailable.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}

// ErrUnavailable means that the platform did not respond, or responded with an
// unexpected status or body.
var ErrUnavailable = errors.New("platform unavailable")

// OffsetTrimmedError means that a read started at an offset that the platform no longer
// retains.
type OffsetTrimmedError struct {
	Stream      string
	From, First uint64
}

// Error implements error.
func (e *OffsetTrimmedError) Error() string {
	return fmt.Sprintf("stream %s: offset %d is below the first retained offset %d", e.Stream, e.From, e.First)
}
