package directory

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/sharedlog"
)

const (
	// operatorWait is how long a read of the operator's topic waits for a record. A
	// read confirms the configuration as of its start, so this bounds its age.
	operatorWait = time.Second
	// backendInterval is the least time between reads of the catalogue, to which
	// every backend server writes about once a second.
	backendInterval = 600 * time.Millisecond
	// firstRetry and lastRetry bound the wait after a failed read.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
)

// Run follows both topics until ctx ends.
func (d *Directory) Run(ctx context.Context, log sharedlog.Log) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		Follow(ctx, log, Follower{
			Topic: d.source.BackendTopic, Interval: backendInterval, Log: d.log,
			Apply:  func(b sharedlog.Batch, whole bool, _ time.Duration) { d.applyBackends(b.Records, whole) },
			Failed: d.readFailed, Now: d.clock.Now,
		})
	}()
	Follow(ctx, log, Follower{
		Topic: d.source.OperatorTopic, Wait: func() time.Duration { return operatorWait }, Log: d.log,
		Apply: func(b sharedlog.Batch, whole bool, sent time.Duration) {
			d.applyOperator(b.Records, whole)
			d.confirmed.Store(int64(sent))
		},
		Now: d.clock.Now,
	})
	<-done
}

// Follower says how to follow a topic.
type Follower struct {
	Topic string
	// Wait returns how long the next read waits for a record; nil means not at all.
	Wait func() time.Duration
	// Interval is the least time between reads.
	Interval time.Duration
	// Apply gets each batch, whether it is all that the topic holds, and when the
	// read was sent.
	Apply func(batch sharedlog.Batch, whole bool, sent time.Duration)
	// Failed is called after each failed read; nil does nothing.
	Failed func()
	Now    func() time.Duration
	Log    *zap.Logger
}

// Follow reads a keyed topic until ctx ends: first the newest record of each key,
// then what follows.
func Follow(ctx context.Context, log sharedlog.Log, f Follower) {
	next := int64(-1)
	retry := firstRetry
	lost := false
	for ctx.Err() == nil {
		sent := f.Now()
		whole := next < 0
		batch, err := f.read(ctx, log, next)
		switch {
		case errors.Is(err, sharedlog.ErrTrimmed):
			next = -1
			continue
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			if !lost {
				lost = true
				f.Log.Warn("log topic lost", zap.String("topic", f.Topic), zap.Error(err))
			}
			if f.Failed != nil {
				f.Failed()
			}
			sleep(ctx, retry)
			retry = min(2*retry, lastRetry)
			continue
		}
		if lost {
			lost = false
			f.Log.Info("log topic regained", zap.String("topic", f.Topic), zap.Int64("next", batch.Next))
		}
		retry = firstRetry
		next = batch.Next
		f.Apply(batch, whole, sent)
		if spent := f.Now() - sent; spent < f.Interval {
			sleep(ctx, f.Interval-spent)
		}
	}
}

func (f *Follower) read(ctx context.Context, log sharedlog.Log, next int64) (sharedlog.Batch, error) {
	if next < 0 {
		return log.Newest(ctx, f.Topic)
	}
	wait := time.Duration(0)
	if f.Wait != nil {
		wait = f.Wait()
	}
	return log.Read(ctx, f.Topic, next, wait)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
