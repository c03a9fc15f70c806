package config

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
)

const (
	// appendTimeout ends an append whose answer is lost.
	appendTimeout = 2 * time.Second
	// appendPause separates an append that failed from the next one.
	appendPause = 100 * time.Millisecond
)

// ErrNotKnown means that the decision on a record was not read back in time. The
// record may still be accepted; submitting it again is harmless.
var ErrNotKnown = errors.New("the decision is not known yet")

// ErrIdentifierReused means that a record with the same identifier and other
// changes was replayed before.
var ErrIdentifierReused = errors.New("the identifier was used for other changes")

// Submit appends the record and waits until it is read back. Run must be active.
//
// After an append without an answer, Submit appends again only if a later read of
// the end of the stream did not show the record. A copy that arrives late is
// dropped by its identifier.
func (f *Follower) Submit(ctx context.Context, record Record) (Outcome, error) {
	data, err := Encode(record)
	if err != nil {
		return Outcome{}, err
	}
	for {
		if outcome, ok := f.state.Outcome(record.ID); ok {
			return checkDigest(outcome, record)
		}
		offset, err := f.append(ctx, data)
		if err != nil && ctx.Err() == nil {
			f.logger.Warn("append of a configuration change has no answer", zap.Stringer("id", record.ID), zap.Error(err))
			clock.Sleep(ctx, appendPause)
		}
		if !f.awaitReadBack(ctx, record, offset) {
			return Outcome{}, ErrNotKnown
		}
	}
}

func checkDigest(outcome Outcome, record Record) (Outcome, error) {
	if outcome.Digest != record.Digest() {
		return Outcome{}, ErrIdentifierReused
	}
	return outcome, nil
}

// append returns the offset of the record, or 0 if there was no answer.
func (f *Follower) append(ctx context.Context, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offsets, err := f.log.Append(ctx, Stream, data)
	if err != nil {
		return 0, err
	}
	if len(offsets) != 1 {
		return 0, errors.Errorf("append of 1 record returned %d offsets", len(offsets))
	}
	return offsets[0], nil
}

// awaitReadBack returns true when the record was replayed, or when the stream was
// read to its end after an append without an answer. It returns false when the
// context ends first.
func (f *Follower) awaitReadBack(ctx context.Context, record Record, offset uint64) bool {
	failed := time.Now()
	for {
		progress := f.progressed()
		changed := f.state.Changed()
		if _, ok := f.state.Outcome(record.ID); ok {
			return true
		}
		if offset == 0 && f.Status().ConfirmedAt.After(failed) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-progress:
		case <-changed:
		}
	}
}
