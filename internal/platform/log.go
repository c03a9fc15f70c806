// Package platform is the client side of the platform: the append-only log and
// the VM list.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Record is one entry of a stream.
type Record struct {
	// Offset counts from 1 in each stream.
	Offset uint64
	Data   []byte
}

// Batch is the answer to one read.
type Batch struct {
	// First is the oldest offset that the platform retains.
	First uint64
	// Next is the offset from which the next read continues.
	Next uint64
	// Records is sorted by offset and holds every record from the requested offset
	// to before Next.
	Records []Record
}

// Log is the append-only log service. Implementations are safe for concurrent
// use.
type Log interface {
	// Append adds the records in order and returns their offsets. After an error
	// the records may or may not have been added, unless the error says otherwise.
	Append(ctx context.Context, stream string, records ...[]byte) ([]uint64, error)
	// Read returns at most max records from offset from, which counts from 1. At
	// the end of the stream it waits up to wait for a record and then returns an
	// empty batch. Errors are *BelowFirstError, or wrap ErrUnavailable.
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Batch, error)
}

// ErrUnavailable means that the platform did not answer or answered with a
// server error.
var ErrUnavailable = errors.New("platform unavailable")

// BelowFirstError reports a read below the first retained offset.
type BelowFirstError struct {
	Stream      string
	From, First uint64
}

// Error implements error.
func (e *BelowFirstError) Error() string {
	return fmt.Sprintf("stream %s: offset %d is below the first retained offset %d", e.Stream, e.From, e.First)
}
