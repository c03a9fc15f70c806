// Package sharedlog is the interface to a log service that all VMs share: topics
// of records with offsets, conditional appends, and the newest record of a key.
package sharedlog

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// AnyEnd makes an append unconditional.
const AnyEnd int64 = -1

// ErrEndMoved reports a conditional append at an offset that is not the end.
var ErrEndMoved = errors.New("log: the topic has a newer record")

// ErrTrimmed reports a read of records that are no longer kept.
var ErrTrimmed = errors.New("log: the records are no longer kept")

// Record is one record. A record with a key and no value removes the key.
type Record struct {
	Key    string
	Offset int64
	Value  []byte
}

// Batch is the result of one read.
type Batch struct {
	Records []Record
	// Next is the offset to read on from.
	Next int64
	// End is the offset that the next appended record gets.
	End int64
}

// Log is a log service. All methods are safe for concurrent use. A call that
// fails may have taken effect, or may take effect later if its condition still
// holds.
type Log interface {
	// Append adds records to a topic if the topic ends at offset at, and returns its
	// new end. ErrEndMoved reports that it does not.
	Append(ctx context.Context, topic string, records []Record, at int64) (int64, error)
	// Read returns records from an offset on. It waits for a first record up to wait.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key of a topic.
	Newest(ctx context.Context, topic string) (Batch, error)
}
