// Package sharedlog defines the interface to the log service that all VMs share: topics
// of records with offsets, conditional appends, and the newest record of each key. It
// contains no client of the service and does not know the contents of the records.
package sharedlog

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Position is a place in a topic. After the log has been restored from an older copy it is
// in the next era: offsets beyond the end of the copy are given out again, so an offset
// means nothing outside its era.
type Position struct{ Era, Offset int64 }

// Before reports whether p is an earlier place than q: in an earlier era, or at a lower
// offset of the same era.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Offset < q.Offset
}

// AnyEnd as the expected end makes an append unconditional.
var AnyEnd = Position{Offset: -1}

// ErrEndMoved reports a conditional append whose expected end is not the end of the topic.
var ErrEndMoved = errors.New("shared log: the topic has a newer record")

// ErrTrimmed reports a read from an offset whose records are no longer kept.
var ErrTrimmed = errors.New("shared log: the records are no longer kept")

// ErrRestored reports that the log is in a later era than the position of a call. A
// conditional append that fails with it may have taken effect.
var ErrRestored = errors.New("shared log: restored from an older copy")

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
	// Era is the era of all offsets of the batch.
	Era int64
	// Next is the offset from which to continue reading.
	Next int64
	// End is the offset that the next appended record gets.
	End int64
}

// NextPosition returns the position from which to continue reading.
func (b *Batch) NextPosition() Position { return Position{Era: b.Era, Offset: b.Next} }

// Log is the shared log. All methods are safe for concurrent use. A call that fails may
// have taken effect, or may still take effect later if its condition holds then.
type Log interface {
	// Append adds records to a topic if the topic ends at expectedEnd, and returns the new
	// end. It returns ErrEndMoved if the topic ends elsewhere, and ErrRestored if the log is
	// in a later era than expectedEnd.
	Append(ctx context.Context, topic string, records []Record, expectedEnd Position) (Position, error)
	// Read returns the records with offsets of at least that of from. If there are none
	// yet, it waits at most wait for the first one. It returns ErrRestored if the log is in
	// a later era than from.
	Read(ctx context.Context, topic string, from Position, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key of a topic.
	Newest(ctx context.Context, topic string) (Batch, error)
}
