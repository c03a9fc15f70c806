package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/sharedlog"
)

const (
	// operatorReadWait is how long a read of the operator's topic waits for a record. A
	// read confirms the configuration as of the start of the read, so this bounds the age
	// of the configuration.
	operatorReadWait = 500 * time.Millisecond
	// catalogueReadInterval is the least time between reads of the catalogue, to which
	// every backend server writes about once a second.
	catalogueReadInterval = 600 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the exponential backoff after failed reads.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Followers returns new followers of the operator's topic and of the catalogue, in this
// order, which apply their batches to the directory.
func (d *Directory) Followers() []*Follower {
	return []*Follower{
		{
			Topic: d.sources.OperatorTopic, Wait: func() time.Duration { return operatorReadWait }, Log: d.log, Now: d.clock.Now,
			Apply: func(b sharedlog.Batch, info BatchInfo) {
				d.applyOperator(b.Records, info)
				d.confirm(info.ConfirmedAt)
			},
		},
		{
			Topic: d.sources.BackendTopic, Interval: catalogueReadInterval, Log: d.log, Now: d.clock.Now,
			Apply: func(b sharedlog.Batch, info BatchInfo) {
				if info.FailedAt != 0 {
					d.recordReadFailure(info.FailedAt)
				}
				d.applyBackends(b.Records, info)
			},
		},
	}
}

// confirm stores that the configuration was the newest one at the given monotonic time.
// Earlier times than the stored one are ignored.
func (d *Directory) confirm(confirmedAt time.Duration) {
	for {
		known := d.confirmedAt.Load()
		if int64(confirmedAt) <= known || d.confirmedAt.CompareAndSwap(known, int64(confirmedAt)) {
			return
		}
	}
}

// BatchInfo describes how complete and how new a batch is. Times are monotonic.
type BatchInfo struct {
	// Snapshot is set if the batch holds the newest record of each key of the topic.
	Snapshot bool
	// Restored is set on the first snapshot after the log was restored from an older copy:
	// records that were known before may be missing or older in it.
	Restored bool
	// ConfirmedAt is a time at which the topic held no records other than those up to the
	// end of the batch.
	ConfirmedAt time.Duration
	// FailedAt is when a read of the topic last failed; 0 if none did.
	FailedAt time.Duration
}

// Follower follows a topic with keyed records: it reads a snapshot with the newest record
// of each key first, and then all records after it. Batches come from the shared log, or
// from another VM through Deliver.
type Follower struct {
	Topic string
	// Wait returns how long the next read waits for a record; nil means that reads do not
	// wait.
	Wait func() time.Duration
	// Interval is the least time between the starts of two reads, unless the first one did not
	// reach the end of the topic.
	Interval time.Duration
	// Apply is called with each batch, in order and one at a time. It must not call methods
	// of the follower, whose lock is held during the call.
	Apply func(batch sharedlog.Batch, info BatchInfo)
	// Pause returns a channel that is closed when reads are to resume, or nil if they are
	// not paused. A nil function never pauses.
	Pause func() <-chan struct{}
	Now   func() time.Duration
	Log   *zap.Logger

	mu       sync.Mutex
	next     sharedlog.Position // position to read from; valid if started
	started  bool
	failedAt time.Duration // when a read last failed; 0 if none did
	failing  bool          // whether the last read failed
}

// Cursor returns the position of the next record to read, and false before the first
// batch.
func (f *Follower) Cursor() (sharedlog.Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.started
}

// Deliver applies a batch. A batch that ends before the cursor is ignored. So is one that is
// not a snapshot before the first snapshot, or before the first one of a new era of the log.
// Unless the batch is a snapshot, its records before the cursor are left out.
func (f *Follower) Deliver(batch sharedlog.Batch, info BatchInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver(batch, info)
}

// deliver is Deliver with the lock held.
func (f *Follower) deliver(batch sharedlog.Batch, info BatchInfo) {
	next := batch.NextPosition()
	if f.started && next.Before(f.next) {
		return
	}
	if !info.Snapshot {
		if !f.started || next.Era > f.next.Era {
			return
		}
		batch.Records = slices.DeleteFunc(batch.Records, func(r sharedlog.Record) bool { return r.Offset < f.next.Offset })
	}
	if f.started && next.Era > f.next.Era {
		info.Restored = true
		f.Log.Warn("log topic restored from an older copy", zap.String("topic", f.Topic), zap.Int64("era", next.Era),
			zap.Int64("next", next.Offset), zap.Int64("next_before", f.next.Offset))
	}
	f.started, f.next = true, next
	f.Apply(batch, info)
}

// deliverFailure passes the time of a failed read to Apply with an empty batch, which
// confirms nothing.
func (f *Follower) deliverFailure(sentAt, failedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver(sharedlog.Batch{Era: f.next.Era, Next: f.next.Offset}, BatchInfo{ConfirmedAt: sentAt - failedReadAge, FailedAt: failedAt})
}

// DeliverAppended applies records that this process itself appended at a position, by a
// conditional append that was sent at the given time. It saves the read of these records.
// They are ignored unless they start at the cursor.
func (f *Follower) DeliverAppended(records []sharedlog.Record, at sharedlog.Position, sentAt time.Duration) {
	batch := sharedlog.Batch{Era: at.Era, Next: at.Offset + int64(len(records))}
	for i, r := range records {
		r.Offset = at.Offset + int64(i)
		batch.Records = append(batch.Records, r)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.started || f.next != at {
		return
	}
	f.next = batch.NextPosition()
	f.Apply(batch, BatchInfo{ConfirmedAt: sentAt, FailedAt: f.failedAt})
}

// FailedSince reports whether the last read failed, and did so at or after the given
// monotonic time.
func (f *Follower) FailedSince(since time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing && f.failedAt >= since
}

// Run reads the topic until ctx ends, except while it is paused. The first read after a
// pause does not wait for records, so that it confirms the known ones at once.
func (f *Follower) Run(ctx context.Context, log sharedlog.Log) {
	retryDelay := minRetryDelay
	resumed := false
	for ctx.Err() == nil {
		if f.waitWhilePaused(ctx) {
			resumed = true
			continue
		}
		wait := time.Duration(0)
		if f.Wait != nil && !resumed {
			wait = f.Wait()
		}
		sentAt := f.Now()
		batch, snapshot, err := f.read(ctx, log, wait)
		if ctx.Err() != nil {
			return
		}
		failedAt := f.recordReadResult(err, batch.Next)
		if err != nil {
			f.deliverFailure(sentAt, failedAt)
			clock.Sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay, resumed = minRetryDelay, false
		info := BatchInfo{Snapshot: snapshot, ConfirmedAt: sentAt, FailedAt: failedAt}
		partial := batch.Next < batch.End // more records than one read returns
		if partial {
			info.ConfirmedAt -= failedReadAge
		}
		f.Deliver(batch, info)
		if elapsed := f.Now() - sentAt; elapsed < f.Interval && (!partial || len(batch.Records) == 0) {
			clock.Sleep(ctx, f.Interval-elapsed)
		}
	}
}

// recordReadResult stores the result of a read, logs the start and end of an outage, and
// returns when a read last failed.
func (f *Follower) recordReadResult(err error, next int64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil && !f.failing:
		f.Log.Warn("log topic lost", zap.String("topic", f.Topic), logfield.Error(err))
	case err == nil && f.failing:
		f.Log.Info("log topic regained", zap.String("topic", f.Topic), zap.Int64("next", next))
	}
	f.failing = err != nil
	if f.failing {
		f.failedAt = f.Now()
	}
	return f.failedAt
}

// failedReadAge is subtracted from the time of a read that failed or returned a part of the topic,
// so that it does not confirm anything.
const failedReadAge = time.Hour

// waitWhilePaused waits until reads resume or ctx ends. It returns false at once if reads
// are not paused.
func (f *Follower) waitWhilePaused(ctx context.Context) bool {
	if f.Pause == nil {
		return false
	}
	resume := f.Pause()
	if resume == nil {
		return false
	}
	select {
	case <-resume:
	case <-ctx.Done():
	}
	return true
}

// read returns the records from the cursor on. It returns a snapshot, and true, at the
// first read, when records after the cursor were trimmed and when the log was restored.
func (f *Follower) read(ctx context.Context, log sharedlog.Log, wait time.Duration) (sharedlog.Batch, bool, error) {
	if next, started := f.Cursor(); started {
		batch, err := log.Read(ctx, f.Topic, next, wait)
		if !errors.Is(err, sharedlog.ErrTrimmed) && !errors.Is(err, sharedlog.ErrRestored) {
			return batch, false, err
		}
	}
	batch, err := log.Newest(ctx, f.Topic)
	return batch, true, err
}
