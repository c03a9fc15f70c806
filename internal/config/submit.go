package config

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
)

const (
	// appendTimeout ends an append whose response is lost.
	appendTimeout = 2 * time.Second
	// appendRetryDelay is the pause after a failed append.
	appendRetryDelay = 100 * time.Millisecond
)

// ErrNotKnown means that the decision on a record was not read back in time. The
// record may still be accepted. It is safe to submit it again, because its identifier
// keeps it from taking effect twice.
var ErrNotKnown = errors.New("the decision is not known yet")

// ErrIdentifierReused means that an earlier record has the same identifier but other
// changes.
var ErrIdentifierReused = errors.New("the identifier was used for other changes")

// Submit appends the record, waits until it was read back and returns the decision on
// it. Run must be active. The error is ErrNotKnown if the context ends before,
// ErrIdentifierReused, or wraps ErrMalformed if the record can't be encoded.
//
// After an append without a response, Submit appends again only if a later read to
// the end of the stream did not return the record. Replay ignores a copy that arrives
// late because of its identifier.
func (f *Follower) Submit(ctx context.Context, record Record) (Outcome, error) {
	data, err := Encode(record)
	if err != nil {
		return Outcome{}, err
	}
	for {
		if outcome, ok := f.state.Outcome(record.ID); ok {
			return checkDigest(outcome, record)
		}
		offset, err := f.appendRecord(ctx, data)
		if err != nil && ctx.Err() == nil {
			f.logger.Warn("append of a configuration change failed; the record may still have been appended", zap.Stringer("id", record.ID), zap.Error(err))
			clock.Sleep(ctx, appendRetryDelay)
		}
		if !f.awaitReadBack(ctx, record, offset) {
			return Outcome{}, ErrNotKnown
		}
	}
}

// checkDigest returns the outcome if it belongs to the same changes as the record.
func checkDigest(outcome Outcome, record Record) (Outcome, error) {
	if outcome.Digest != record.Digest() {
		return Outcome{}, ErrIdentifierReused
	}
	return outcome, nil
}

// appendRecord returns the offset of the appended record. After an error the offset is
// 0, and the record may or may not have been appended.
func (f *Follower) appendRecord(ctx context.Context, data []byte) (uint64, error) {
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

// awaitReadBack returns true when the record was replayed. If the offset is 0, because
// the append failed, it also returns true when a read that was sent after the call has
// reached the end of the stream. It returns false if the context ends before.
func (f *Follower) awaitReadBack(ctx context.Context, record Record, offset uint64) bool {
	startedAt := time.Now()
	for {
		progress := f.progressChannel()
		changed := f.state.Changed()
		if _, ok := f.state.Outcome(record.ID); ok {
			return true
		}
		if offset == 0 && f.Status().ConfirmedAt.After(startedAt) {
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
