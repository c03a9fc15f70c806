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

// Timing and limits of reads of the configuration stream.
const (
	maxReadRecords = 256
	// maxReadWait is how long a read waits at the end of the stream for a record. It
	// bounds how long the end stays unconfirmed while no record arrives.
	maxReadWait = time.Second
	// readTimeout ends a read whose response is lost.
	readTimeout = maxReadWait + 4*time.Second
	// emptyReadPause is the pause after a read that returned no records without
	// having waited for them.
	emptyReadPause = 50 * time.Millisecond
	backoffMin     = 50 * time.Millisecond
	backoffMax     = 2 * time.Second
)

// ErrGap means that a record does not directly follow the position of the state:
// records between them are missing.
var ErrGap = errors.New("records do not continue at the position")

// ErrNoSnapshot means that the shared log no longer retains the records that follow
// the position of the state, and that no complete snapshot covers them.
var ErrNoSnapshot = errors.New("records are no longer retained and no snapshot replaces them")

// FollowerStatus describes how current the replayed state is and counts what the
// follower has done.
type FollowerStatus struct {
	// Position is the offset of the last replayed record.
	Position uint64
	// FirstRetained is the oldest offset that the shared log retained at the last
	// read.
	FirstRetained uint64
	// ConfirmedAt is the latest time at which a read was sent that found no record
	// after the position; zero if there was none yet.
	ConfirmedAt time.Time
	// Fault is the error text of the last read; empty if that read succeeded.
	Fault string
	// The counters begin at zero when the follower is created. They count records
	// that replay refused, records whose identifier was seen before, failed reads and
	// restores from a snapshot.
	Refused, Duplicates, ReadFailures, Restores uint64
}

// Follower replays the configuration stream into a State. Only one goroutine may
// call Run; the other methods are safe for concurrent use.
type Follower struct {
	log       platform.Log
	state     *State
	snapshots *snapshot.Reader
	logger    *zap.Logger
	random    *rand.Rand

	// applyMu serializes changes of the state: replay of records read from the shared
	// log, replay of records relayed by peers, and restores.
	applyMu  sync.Mutex
	mu       sync.Mutex
	status   FollowerStatus
	recent   recentRecords
	progress chan struct{}
}

// NewFollower returns a follower that replays the configuration stream of the log
// into the state. Only Run uses the random source.
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

// State returns the state that the follower replays into.
func (f *Follower) State() *State { return f.state }

// Status returns how current the state is, and the counters.
func (f *Follower) Status() FollowerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := f.status
	status.Position = f.state.Position()
	return status
}

// Run follows the stream until the context ends and returns the error of the
// context. It starts from the newest complete snapshot and retries after errors with
// exponential backoff and jitter.
func (f *Follower) Run(ctx context.Context) error {
	started := false
	backoff := backoffMin
	for ctx.Err() == nil {
		err := f.readOrRestore(ctx, !started)
		if ctx.Err() != nil {
			break
		}
		f.recordReadResult(err)
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

// readOrRestore reads one batch of records. If initial is true, it restores the
// newest snapshot before. If the shared log no longer retains the next record, it
// restores the newest snapshot instead.
func (f *Follower) readOrRestore(ctx context.Context, initial bool) error {
	if initial {
		if err := f.restore(ctx); errors.Is(err, platform.ErrUnavailable) {
			return err
		}
		// Other errors are ignored here: an unusable snapshot does not matter while
		// the shared log retains the records.
	}
	err := f.readBatch(ctx)
	var trimmed *platform.OffsetTrimmedError
	if !errors.As(err, &trimmed) {
		return err
	}
	if err := f.restore(ctx); err != nil {
		return err
	}
	if f.state.Position()+1 < trimmed.First {
		return errors.Wrapf(ErrNoSnapshot, "position %d, first retained %d", f.state.Position(), trimmed.First)
	}
	return nil
}

// readBatch reads and replays the records after the position. If it reaches the end
// of the stream, it confirms that the state is current.
func (f *Follower) readBatch(ctx context.Context) error {
	sentAt := time.Now()
	from := f.state.Position() + 1
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := f.log.Read(readCtx, Stream, from, maxReadRecords, maxReadWait)
	if err != nil {
		return err
	}
	if batch.FirstRetained > from {
		return &platform.OffsetTrimmedError{Stream: Stream, From: from, First: batch.FirstRetained}
	}
	f.setFirstRetained(batch.FirstRetained)
	if _, err := f.apply(batch.Records); err != nil {
		return err
	}
	if len(batch.Records) < maxReadRecords {
		f.ConfirmEnd(batch.Next, sentAt)
	}
	if len(batch.Records) == 0 && time.Since(sentAt) < emptyReadPause {
		clock.Sleep(ctx, emptyReadPause)
	}
	return nil
}

// apply replays the records that follow the position and skips those at or below it.
// It stops with ErrGap where records are missing.
func (f *Follower) apply(records []platform.Record) (applied int, err error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
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
		f.recordApplied(record, result)
		applied++
	}
	return applied, nil
}

// ApplyRelayed replays records that a peer has read from the shared log and returns
// how many it replayed. It skips those at or below the position and stops with
// ErrGap where records are missing.
func (f *Follower) ApplyRelayed(records []platform.Record) (applied int, err error) {
	applied, err = f.apply(records)
	if applied > 0 {
		f.notifyProgress()
	}
	return applied, err
}

// RecentRecords returns at most limit consecutive records that begin at the offset
// from, for a peer that can't reach the shared log. It returns none if the record at
// that offset is not in memory.
func (f *Follower) RecentRecords(from uint64, limit int) []platform.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recent.startingAt(from, limit)
}

// ConfirmEnd records that a read of the shared log, sent at sentAt by this VM or by
// a peer, found the end of the stream before the offset next. It does nothing if the
// position of the state is not directly before next.
func (f *Follower) ConfirmEnd(next uint64, sentAt time.Time) {
	if f.state.Position()+1 != next {
		return
	}
	f.mu.Lock()
	if sentAt.After(f.status.ConfirmedAt) {
		f.status.ConfirmedAt = sentAt
	}
	f.mu.Unlock()
	f.notifyProgress()
}

// restore replaces the state by the newest complete snapshot if that is ahead.
func (f *Follower) restore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	newest, ok, err := f.snapshots.ReadNewest(ctx)
	if err != nil || !ok {
		return err
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
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
	f.notifyProgress()
	return nil
}

func (f *Follower) setFirstRetained(first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.FirstRetained = first
}

// recordApplied keeps a replayed record for peers and updates the counters.
func (f *Follower) recordApplied(record platform.Record, result Result) {
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

// recordReadResult updates the status with the result of a read. It logs only the
// first failure after a success and the first success after a failure.
func (f *Follower) recordReadResult(err error) {
	f.mu.Lock()
	previous := f.status.Fault
	f.status.Fault = ""
	if err != nil {
		f.status.Fault = err.Error()
		f.status.ReadFailures++
	}
	f.mu.Unlock()
	switch {
	case err != nil && previous == "":
		f.logger.Warn("configuration can't be read from the shared log", zap.Error(err))
	case err == nil && previous != "":
		f.logger.Info("configuration can be read from the shared log again", zap.Uint64("position", f.state.Position()))
	}
}

// notifyProgress wakes the goroutines that wait on progressChannel.
func (f *Follower) notifyProgress() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.progress)
	f.progress = make(chan struct{})
}

// progressChannel returns a channel that is closed when the end of the stream is next
// confirmed, relayed records are replayed or a snapshot is restored.
func (f *Follower) progressChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress
}

// jitter returns a random duration between half of d and d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.random.Int64N(int64(d/2)+1))
}
