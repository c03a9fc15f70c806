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
	// operatorWait is how long a read of the operator's topic waits for a record. A
	// read confirms the configuration as of its start, so this bounds its age.
	operatorWait = 500 * time.Millisecond
	// backendInterval is the least time between reads of the catalogue, to which
	// every backend server writes about once a second.
	backendInterval = 600 * time.Millisecond
	// firstRetry and lastRetry bound the wait after a failed read.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
)

// Followers returns the followers of both topics.
func (d *Directory) Followers() []*Follower {
	return []*Follower{
		{
			Topic: d.source.OperatorTopic, Wait: func() time.Duration { return operatorWait }, Log: d.log, Now: d.clock.Now,
			Apply: func(b sharedlog.Batch, info BatchInfo) {
				d.applyOperator(b.Records, info.Snapshot)
				d.confirm(info.ConfirmedAt)
			},
		},
		{
			Topic: d.source.BackendTopic, Interval: backendInterval, Log: d.log, Now: d.clock.Now,
			Apply: func(b sharedlog.Batch, info BatchInfo) {
				if info.FailedAt != 0 {
					d.readFailed(info.FailedAt)
				}
				d.applyBackends(b.Records, info.Snapshot)
			},
		},
	}
}

// confirm notes that the configuration was the newest at a reading of the clock.
func (d *Directory) confirm(at time.Duration) {
	for {
		known := d.confirmed.Load()
		if int64(at) <= known || d.confirmed.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// BatchInfo tells where a batch comes from.
type BatchInfo struct {
	// Snapshot batches hold all that the topic holds.
	Snapshot bool
	// ConfirmedAt is a time at which the topic held no record beyond the batch that is not in it.
	ConfirmedAt time.Duration
	// FailedAt is when the topic last could not be read; 0 for not lately.
	FailedAt time.Duration
}

// Follower follows a keyed topic: first the newest record of each key, then what
// comes after. Batches come from the log, or from another VM through Deliver.
type Follower struct {
	Topic string
	// Wait returns how long the next read waits for a record; nil means not at all.
	Wait func() time.Duration
	// Interval is the least time between reads.
	Interval time.Duration
	// Apply gets each batch in order. Calls do not overlap.
	Apply func(batch sharedlog.Batch, info BatchInfo)
	// Pause returns a channel that is closed when the log is to be read again, or nil
	// to read it now; a nil function always reads.
	Pause func() <-chan struct{}
	Now   func() time.Duration
	Log   *zap.Logger

	mu      sync.Mutex
	next    int64 // offset to read from; valid if started
	started bool
	failed  time.Duration // when the last read failed; 0 if none did
	lost    bool          // the last read failed
}

// Cursor returns the offset to read on from, or -1 before the first batch.
func (f *Follower) Cursor() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.started {
		return -1
	}
	return f.next
}

// Deliver takes a batch. Records that were taken before are left out.
func (f *Follower) Deliver(batch sharedlog.Batch, info BatchInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.started && batch.Next < f.next {
		return
	}
	if !info.Snapshot {
		if !f.started {
			return
		}
		batch.Records = slices.DeleteFunc(batch.Records, func(r sharedlog.Record) bool { return r.Offset < f.next })
	}
	f.started, f.next = true, batch.Next
	f.Apply(batch, info)
}

// DeliverAppended takes records that this process appended at an offset itself, by a
// conditional append that was sent at a time. It needs no read to know them, if it
// knows all before them.
func (f *Follower) DeliverAppended(records []sharedlog.Record, at int64, sent time.Duration) {
	batch := sharedlog.Batch{Next: at + int64(len(records))}
	for i, r := range records {
		r.Offset = at + int64(i)
		batch.Records = append(batch.Records, r)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.started || f.next != at {
		return
	}
	f.next = batch.Next
	f.Apply(batch, BatchInfo{ConfirmedAt: sent, FailedAt: f.failed})
}

// FailedSince reports whether the last read failed, at or after a reading of the clock.
func (f *Follower) FailedSince(at time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost && f.failed >= at
}

// Run reads the log until ctx ends, except while it is paused. The first read after
// a pause does not wait for records, so that it confirms at once what is known.
func (f *Follower) Run(ctx context.Context, log sharedlog.Log) {
	retry := firstRetry
	resumed := false
	for ctx.Err() == nil {
		if f.pause(ctx) {
			resumed = true
			continue
		}
		wait := time.Duration(0)
		if f.Wait != nil && !resumed {
			wait = f.Wait()
		}
		sent := f.Now()
		batch, whole, err := f.read(ctx, log, wait)
		if ctx.Err() != nil {
			return
		}
		failed := f.note(err, batch.Next)
		if err != nil {
			f.Deliver(sharedlog.Batch{Next: f.Cursor()}, BatchInfo{ConfirmedAt: sent - staleRead, FailedAt: failed})
			clock.Sleep(ctx, retry)
			retry = min(2*retry, lastRetry)
			continue
		}
		retry, resumed = firstRetry, false
		f.Deliver(batch, BatchInfo{Snapshot: whole, ConfirmedAt: sent, FailedAt: failed})
		if spent := f.Now() - sent; spent < f.Interval {
			clock.Sleep(ctx, f.Interval-spent)
		}
	}
}

// note records and logs how a read ended, and returns when the last read failed.
func (f *Follower) note(err error, next int64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil && !f.lost:
		f.Log.Warn("log topic lost", zap.String("topic", f.Topic), logfield.Error(err))
	case err == nil && f.lost:
		f.Log.Info("log topic regained", zap.String("topic", f.Topic), zap.Int64("next", next))
	}
	f.lost = err != nil
	if f.lost {
		f.failed = f.Now()
	}
	return f.failed
}

// staleRead is subtracted from the time of a failed read, which confirms nothing.
const staleRead = time.Hour

// pause waits while the log is not to be read, and reports whether it did.
func (f *Follower) pause(ctx context.Context) bool {
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

// read reads on, or all newest records at first and after records were lost.
func (f *Follower) read(ctx context.Context, log sharedlog.Log, wait time.Duration) (sharedlog.Batch, bool, error) {
	next := f.Cursor()
	if next >= 0 {
		batch, err := log.Read(ctx, f.Topic, next, wait)
		if !errors.Is(err, sharedlog.ErrTrimmed) {
			return batch, false, err
		}
	}
	batch, err := log.Newest(ctx, f.Topic)
	return batch, true, err
}
