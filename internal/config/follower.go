package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/platform"
	"fireflyfield/internal/snapshot"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// Follower timing and limits.
const (
	readRecords = 256
	// readWait bounds how long the end of the stream stays unconfirmed while no
	// record arrives.
	readWait = time.Second
	// readTimeout ends a read whose answer is lost.
	readTimeout = readWait + 4*time.Second
	// readPause separates reads that return nothing without having waited.
	readPause  = 50 * time.Millisecond
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// ErrGap means that records do not continue at the position of the state.
var ErrGap = errors.New("records do not continue at the position")

// ErrNoSnapshot means that records after the position are no longer retained and
// that no complete snapshot replaces them.
var ErrNoSnapshot = errors.New("records are no longer retained and no snapshot replaces them")

// FollowerStatus describes how current a state is.
type FollowerStatus struct {
	Position uint64
	// First is the oldest offset that the platform retained at the last read.
	First uint64
	// ConfirmedAt is the time at which the newest read was sent that found no
	// record after the position; zero if there was none yet.
	ConfirmedAt time.Time
	// Fault is the reason why the last read failed; empty after a success.
	Fault string
	// Refused, Duplicates, ReadFailures and Restores count since the start.
	Refused, Duplicates, ReadFailures, Restores uint64
}

// Follower reads the stream into a state. Run belongs to one goroutine; the other
// methods are safe for concurrent use.
type Follower struct {
	log       platform.Log
	state     *State
	snapshots *snapshot.Reader
	logger    *zap.Logger
	random    *rand.Rand

	// applying orders the records of the log and those that peers relay.
	applying sync.Mutex
	mu       sync.Mutex
	status   FollowerStatus
	recent   recentRecords
	progress chan struct{}
}

// NewFollower returns a follower of the log. The random source is used by Run
// only.
func NewFollower(log platform.Log, state *State, logger *zap.Logger, random *rand.Rand) *Follower {
	return &Follower{
		log:       log,
		state:     state,
		snapshots: snapshot.NewReader(log, Stream),
		logger:    logger,
		random:    random,
		progress:  make(chan struct{}),
	}
}

// State returns the state that the follower feeds.
func (f *Follower) State() *State { return f.state }

// Status returns how current the state is.
func (f *Follower) Status() FollowerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := f.status
	status.Position = f.state.Position()
	return status
}

// Run follows the stream until the context ends and returns its error. It starts
// from the newest complete snapshot.
func (f *Follower) Run(ctx context.Context) error {
	started := false
	backoff := backoffMin
	for ctx.Err() == nil {
		err := f.step(ctx, !started)
		if ctx.Err() != nil {
			break
		}
		f.report(err)
		if err == nil {
			started = true
			backoff = backoffMin
			continue
		}
		clock.Sleep(ctx, f.jitter(backoff))
		backoff = min(2*backoff, backoffMax)
	}
	return ctx.Err()
}

func (f *Follower) step(ctx context.Context, first bool) error {
	if first {
		if err := f.restore(ctx); errors.Is(err, platform.ErrUnavailable) {
			return err
		}
		// A snapshot that can't be used does not matter while the records are
		// retained.
	}
	err := f.read(ctx)
	var below *platform.BelowFirstError
	if !errors.As(err, &below) {
		return err
	}
	if err := f.restore(ctx); err != nil {
		return err
	}
	if f.state.Position()+1 < below.First {
		return errors.Wrapf(ErrNoSnapshot, "position %d, first retained %d", f.state.Position(), below.First)
	}
	return nil
}

func (f *Follower) read(ctx context.Context) error {
	sent := time.Now()
	from := f.state.Position() + 1
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := f.log.Read(readCtx, Stream, from, readRecords, readWait)
	if err != nil {
		return err
	}
	if batch.First > from {
		return &platform.BelowFirstError{Stream: Stream, From: from, First: batch.First}
	}
	f.setFirst(batch.First)
	if _, err := f.apply(batch.Records); err != nil {
		return err
	}
	if len(batch.Records) < readRecords {
		f.ConfirmEnd(batch.Next, sent)
	}
	if len(batch.Records) == 0 && time.Since(sent) < readPause {
		clock.Sleep(ctx, readPause)
	}
	return nil
}

// apply replays the records that follow the position and skips older ones.
func (f *Follower) apply(records []platform.Record) (applied int, err error) {
	f.applying.Lock()
	defer f.applying.Unlock()
	for _, record := range records {
		position := f.state.Position()
		if record.Offset <= position {
			continue
		}
		if record.Offset != position+1 {
			return applied, errors.Wrapf(ErrGap, "offset %d at position %d", record.Offset, position)
		}
		result, err := f.state.ApplyData(record.Offset, record.Data)
		if err != nil {
			return applied, err
		}
		f.count(record, result)
		applied++
	}
	return applied, nil
}

// ApplyRelayed replays records that a peer has read from the log. It skips those at or
// below the position and stops with ErrGap where records are missing.
func (f *Follower) ApplyRelayed(records []platform.Record) (applied int, err error) {
	applied, err = f.apply(records)
	if applied > 0 {
		f.signal()
	}
	return applied, err
}

// RecentRecords returns at most max consecutive records from the offset, for a peer that
// can't reach the log; none if they are no longer held.
func (f *Follower) RecentRecords(from uint64, max int) []platform.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recent.from(from, max)
}

// ConfirmEnd notes that the stream ended before the offset next when a question sent
// at that time was answered, by the log or by a peer that had asked the log.
func (f *Follower) ConfirmEnd(next uint64, sent time.Time) {
	if f.state.Position()+1 != next {
		return
	}
	f.mu.Lock()
	if sent.After(f.status.ConfirmedAt) {
		f.status.ConfirmedAt = sent
	}
	f.mu.Unlock()
	f.signal()
}

// restore takes the newest complete snapshot if it is ahead of the state.
func (f *Follower) restore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	newest, ok, err := f.snapshots.ReadNewest(ctx)
	if err != nil || !ok {
		return err
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	if newest.Position <= f.state.Position() {
		return nil
	}
	if err := f.state.Restore(newest.Data); err != nil {
		return errors.Wrapf(err, "restore snapshot at %d", newest.Position)
	}
	f.mu.Lock()
	f.status.Restores++
	f.recent = recentRecords{}
	f.mu.Unlock()
	f.logger.Info("configuration restored from snapshot", zap.Uint64("position", newest.Position))
	f.signal()
	return nil
}

func (f *Follower) setFirst(first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.First = first
}

func (f *Follower) count(record platform.Record, result Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recent.add(record)
	switch {
	case result.Duplicate:
		f.status.Duplicates++
	case !result.Outcome.Accepted():
		f.status.Refused++
	}
}

// report logs the first failure after a success and the first success after a
// failure.
func (f *Follower) report(err error) {
	f.mu.Lock()
	before := f.status.Fault
	f.status.Fault = ""
	if err != nil {
		f.status.Fault = err.Error()
		f.status.ReadFailures++
	}
	f.mu.Unlock()
	switch {
	case err != nil && before == "":
		f.logger.Warn("configuration can't be read", zap.Error(err))
	case err == nil && before != "":
		f.logger.Info("configuration is read again", zap.Uint64("position", f.state.Position()))
	}
}

// signal wakes the goroutines that wait for progress.
func (f *Follower) signal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.progress)
	f.progress = make(chan struct{})
}

func (f *Follower) progressed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress
}

// jitter returns a random duration between half of d and d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.random.Int64N(int64(d/2)+1))
}
