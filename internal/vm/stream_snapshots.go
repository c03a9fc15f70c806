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
	// snapshotInterval is the time between looks at whether a snapshot is due.
	snapshotInterval = 2 * time.Second
	snapshotTimeout  = 10 * time.Second
	// restoreRetry is the time between tries to read snapshots at the start.
	restoreRetry = 200 * time.Millisecond
)

// ownershipStreams are the streams whose replay is kept in snapshots.
var ownershipStreams = []ownership.Stream{ownership.DomainStream, ownership.HomesStream}

// retention is what reads have told about the records that the platform keeps.
type retention struct {
	// first holds the oldest offset retained of each stream.
	first [2]atomic.Uint64
	// passed is set when records that this VM has not read are gone.
	passed atomic.Bool
}

// streamState is the encoded replay of one stream.
type streamState struct {
	position uint64
	data     []byte
}

// restore starts the replay from the newest snapshots. It tries again while the
// platform does not answer, because a VM without the streams has no duties anyway.
func (a *assigner) restore(ctx context.Context) {
	for ctx.Err() == nil {
		state, homes, err := a.readSnapshots(ctx)
		if err == nil {
			a.decider.Restore(state, homes)
			return
		}
		sleep(ctx, restoreRetry)
	}
}

func (a *assigner) readSnapshots(ctx context.Context) (*ownership.State, *ownership.Homes, error) {
	var state *ownership.State
	var homes *ownership.Homes
	for _, stream := range ownershipStreams {
		newest, ok, err := snapshot.NewReader(a.vm.platform, a.stream(stream)).ReadNewest(ctx)
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
			// The records may still be retained; otherwise reading them says so.
			a.logger.Error("snapshot can't be used", zap.String("stream", a.stream(stream)), zap.Error(err))
		}
	}
	return state, homes, nil
}

// writeSnapshots keeps snapshots of both streams while this VM is the decider,
// until the context ends.
func (a *assigner) writeSnapshots(ctx context.Context) {
	policy := snapshot.DefaultPolicy
	policy.MaxDelay = 0 // only the decider writes
	schedules := make(map[ownership.Stream]*snapshot.Schedule)
	readers := make(map[ownership.Stream]*snapshot.Reader)
	for _, stream := range ownershipStreams {
		schedules[stream] = snapshot.NewSchedule(policy, newRandom())
		readers[stream] = snapshot.NewReader(a.vm.platform, a.stream(stream))
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
				a.logger.Warn("snapshot not written", zap.String("stream", a.stream(stream)), zap.Error(err))
			}
		}
	}
}

func (a *assigner) writeSnapshot(ctx context.Context, stream ownership.Stream, schedule *snapshot.Schedule, reader *snapshot.Reader) error {
	position, leading, err := a.position(ctx, stream)
	if err != nil || !leading {
		return nil // the decider writes; a VM that stops does not
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	newest, ok, err := reader.ReadNewest(ctx)
	if err != nil {
		return err
	}
	observation := snapshot.Observation{Position: position, FirstRetained: a.retention.first[stream].Load()}
	if ok {
		observation.Newest = &newest.Header
	}
	if !schedule.ShouldWrite(time.Now(), observation) {
		return nil
	}
	state, err := a.encode(ctx, stream)
	if err != nil {
		return err
	}
	header := snapshot.Header{Name: a.stream(stream), ID: uuid.New(), Position: state.position, CreatedMillis: time.Now().UnixMilli()}
	return snapshot.Write(ctx, a.vm.platform, snapshot.Snapshot{Header: header, Data: state.data})
}

// onStep runs a function on the goroutine that steps the decision logic.
func (a *assigner) onStep(ctx context.Context, run func()) error {
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

func (a *assigner) position(ctx context.Context, stream ownership.Stream) (position uint64, leading bool, err error) {
	err = a.onStep(ctx, func() {
		leading = a.decider.IsDecider()
		position = a.decider.State().NextOffset - 1
		if stream == ownership.HomesStream {
			position = a.decider.Homes().NextOffset - 1
		}
	})
	return position, leading, err
}

func (a *assigner) encode(ctx context.Context, stream ownership.Stream) (streamState, error) {
	var state streamState
	var failed error
	err := a.onStep(ctx, func() {
		if stream == ownership.HomesStream {
			state.position = a.decider.Homes().NextOffset - 1
			state.data, failed = a.decider.Homes().Encode()
			return
		}
		state.position = a.decider.State().NextOffset - 1
		state.data, failed = a.decider.State().Encode()
	})
	if err != nil {
		return streamState{}, err
	}
	if failed != nil {
		return streamState{}, errors.Wrap(failed, "encode")
	}
	return state, nil
}
