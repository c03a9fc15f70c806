// Package sharedlog defines the interface to the log service that all VMs share: topics
// of records with offsets, conditional appends, and the newest record of each key. It
// contains no client of the service and does not know the contents of the records.
package sharedlog

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// AnyEnd as the expected end makes an append unconditional.
const AnyEnd int64 = -1

// ErrEndMoved reports a conditional append whose expected end is not the end of the topic.
var ErrEndMoved = errors.New("shared log: the topic has a newer record")

// ErrTrimmed reports a read from an offset whose records are no longer kept.
var ErrTrimmed = errors.New("shared log: the records are no longer kept")

// Record is one record of a topic. A record with a key and an empty value removes the
// key.
type Record struct {
	Key    string
	Offset int64
	Value  []byte
}

// Batch is the result of one read.
type Batch struct {
	Records []Record
	// Next is the offset from which to continue reading.
	Next int64
	// End is the offset that the next appended record gets.
	End int64
}

// Log is the shared log. All methods are safe for concurrent use. A call that fails may
// have taken effect, or may still take effect later if its condition holds then.
type Log interface {
	// Append adds records to a topic if the topic ends at offset expectedEnd, and returns
	// the new end. It returns ErrEndMoved if the topic ends elsewhere.
	Append(ctx context.Context, topic string, records []Record, expectedEnd int64) (int64, error)
	// Read returns the records with offsets of at least from. If there are none yet, it
	// waits at most wait for the first one.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key of a topic.
	Newest(ctx context.Context, topic string) (Batch, error)
}
