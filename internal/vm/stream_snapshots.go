package vm

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"fireflyfield/internal/ownership"
	"fireflyfield/internal/snapshot"
)

const (
	// snapshotInterval is the time between two checks whether a snapshot is due.
	snapshotInterval = 2 * time.Second
	// snapshotTimeout bounds one such check with the write of the snapshot.
	snapshotTimeout = 10 * time.Second
	// restoreRetryInterval is the time between two tries to read the snapshots at
	// start.
	restoreRetryInterval = 200 * time.Millisecond
)

// ownershipStreams are the streams whose replayed state is stored in snapshots.
var ownershipStreams = []ownership.Stream{ownership.DomainStream, ownership.HomesStream}

// retention is what reads of the streams have shown about the records that the platform
// retains.
type retention struct {
	// firstOffsets holds the oldest retained offset of each stream.
	firstOffsets [2]atomic.Uint64
	// recordsMissed is set if records that this VM has not read were deleted.
	recordsMissed atomic.Bool
}

// streamState is the encoded state after replaying a stream up to position.
type streamState struct {
	position uint64
	data     []byte
}

// restore loads the state of the ownership logic from the newest snapshots. It retries
// until the platform answers, because a VM that can't read the streams has no roles
// anyway.
func (a *assigner) restore(ctx context.Context) {
	for ctx.Err() == nil {
		state, homes, err := a.readSnapshots(ctx)
		if err == nil {
			a.decider.Restore(state, homes)
			return
		}
		sleep(ctx, restoreRetryInterval)
	}
}

// readSnapshots returns the state of both streams, nil for a stream without a usable
// snapshot.
func (a *assigner) readSnapshots(ctx context.Context) (*ownership.State, *ownership.Homes, error) {
	var state *ownership.State
	var homes *ownership.Homes
	for _, stream := range ownershipStreams {
		newest, ok, err := snapshot.NewReader(a.vm.platform, a.streamName(stream)).ReadNewest(ctx)
		if err != nil {
			return nil, nil, err
		}
		if !ok {
			continue
		}
		if stream == ownership.DomainStream {
			state, err = ownership.DecodeState(newest.Data)
		} else {
			homes, err = ownership.DecodeHomes(newest.Data)
		}
		if err != nil {
			// Continues without the snapshot: the records that it replaces may still be
			// retained, and if they are not, readStream detects it.
			a.logger.Error("failed to decode snapshot", zap.String("stream", a.streamName(stream)), zap.Error(err))
		}
	}
	return state, homes, nil
}

// writeSnapshots regularly writes snapshots of both streams while this VM is the
// decider, until the context ends.
func (a *assigner) writeSnapshots(ctx context.Context) {
	policy := snapshot.DefaultPolicy
	policy.MaxDelay = 0 // only the decider writes, so writers need not be spread in time
	schedules := make(map[ownership.Stream]*snapshot.Schedule)
	readers := make(map[ownership.Stream]*snapshot.Reader)
	for _, stream := range ownershipStreams {
		schedules[stream] = snapshot.NewSchedule(policy, newRandom())
		readers[stream] = snapshot.NewReader(a.vm.platform, a.streamName(stream))
	}
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, stream := range ownershipStreams {
			if err := a.writeSnapshot(ctx, stream, schedules[stream], readers[stream]); err != nil && ctx.Err() == nil {
				a.logger.Warn("failed to write snapshot", zap.String("stream", a.streamName(stream)), zap.Error(err))
			}
		}
	}
}

// writeSnapshot writes a snapshot of the stream if this VM is the decider and a snapshot
// is due.
func (a *assigner) writeSnapshot(ctx context.Context, stream ownership.Stream, schedule *snapshot.Schedule, reader *snapshot.Reader) error {
	position, isDecider, err := a.streamPosition(ctx, stream)
	if err != nil || !isDecider {
		return nil // only the decider writes; an error means that the VM is stopping
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	newest, ok, err := reader.ReadNewest(ctx)
	if err != nil {
		return err
	}
	observation := snapshot.Observation{Position: position, FirstRetained: a.retention.firstOffsets[stream].Load()}
	if ok {
		observation.Newest = &newest.Header
	}
	if !schedule.ShouldWrite(time.Now(), observation) {
		return nil
	}
	state, err := a.encodeStream(ctx, stream)
	if err != nil {
		return err
	}
	header := snapshot.Header{Name: a.streamName(stream), ID: uuid.New(), Position: state.position, CreatedMillis: time.Now().UnixMilli()}
	return snapshot.Write(ctx, a.vm.platform, snapshot.Snapshot{Header: header, Data: state.data})
}

// inspect runs a function on the goroutine that steps the ownership logic and waits for
// its end.
func (a *assigner) inspect(ctx context.Context, run func()) error {
	done := make(chan struct{})
	select {
	case a.inspections <- func() { run(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// streamPosition returns the offset of the last replayed record of the stream and
// whether this VM is the decider.
func (a *assigner) streamPosition(ctx context.Context, stream ownership.Stream) (position uint64, isDecider bool, err error) {
	err = a.inspect(ctx, func() {
		isDecider = a.decider.IsDecider()
		position = a.decider.State().NextOffset - 1
		if stream == ownership.HomesStream {
			position = a.decider.Homes().NextOffset - 1
		}
	})
	return position, isDecider, err
}

// encodeStream encodes the current state of the stream.
func (a *assigner) encodeStream(ctx context.Context, stream ownership.Stream) (streamState, error) {
	var state streamState
	var encodeErr error
	err := a.inspect(ctx, func() {
		if stream == ownership.HomesStream {
			state.position = a.decider.Homes().NextOffset - 1
			state.data, encodeErr = a.decider.Homes().Encode()
			return
		}
		state.position = a.decider.State().NextOffset - 1
		state.data, encodeErr = a.decider.State().Encode()
	})
	if err != nil {
		return streamState{}, err
	}
	if encodeErr != nil {
		return streamState{}, errors.Wrap(encodeErr, "encode the state of the stream")
	}
	return state, nil
}
