package config

import (
	"context"
	"math/rand/v2"
	"time"

	"fireflyfield/internal/platform"
	"fireflyfield/internal/snapshot"

	"github.com/google/uuid"
	"go.uber.org/zap"
)

const (
	// snapshotCheckInterval is the time between checks whether a snapshot is due.
	snapshotCheckInterval = 5 * time.Second
	// snapshotTimeout bounds the restore of a snapshot, and a check together with the
	// write that may follow it.
	snapshotTimeout = 30 * time.Second
)

// Snapshotter appends snapshots of a follower's state to the shared log when they are
// due.
type Snapshotter struct {
	log      platform.Log
	follower *Follower
	reader   *snapshot.Reader
	schedule *snapshot.Schedule
	logger   *zap.Logger
}

// NewSnapshotter returns a snapshotter of the follower's state. Only Run and
// WriteIfDue use the random source, for the delays of the policy.
func NewSnapshotter(log platform.Log, follower *Follower, policy snapshot.Policy, logger *zap.Logger, random *rand.Rand) *Snapshotter {
	return &Snapshotter{
		log:      log,
		follower: follower,
		reader:   snapshot.NewReader(log, Stream),
		schedule: snapshot.NewSchedule(policy, random),
		logger:   logger,
	}
}

// Run writes snapshots until the context ends and returns the error of the context.
func (s *Snapshotter) Run(ctx context.Context) error {
	ticker := time.NewTicker(snapshotCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if err := s.WriteIfDue(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn("configuration snapshot could not be checked or written", zap.Error(err))
		}
	}
}

// WriteIfDue reads the snapshots that other VMs have written, and writes one if it is
// due.
func (s *Snapshotter) WriteIfDue(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	newest, ok, err := s.reader.ReadNewest(ctx)
	if err != nil {
		return err
	}
	status := s.follower.Status()
	observation := snapshot.Observation{Position: status.Position, FirstRetained: status.FirstRetained}
	if ok {
		observation.Newest = &newest.Header
	}
	if !s.schedule.ShouldWrite(time.Now(), observation) {
		return nil
	}
	return s.write(ctx)
}

func (s *Snapshotter) write(ctx context.Context) error {
	position, data, err := s.follower.State().Snapshot()
	if err != nil {
		return err
	}
	header := snapshot.Header{Name: Stream, ID: uuid.New(), Position: position, CreatedMillis: time.Now().UnixMilli()}
	if err := snapshot.Write(ctx, s.log, snapshot.Snapshot{Header: header, Data: data}); err != nil {
		return err
	}
	s.logger.Info("configuration snapshot written", zap.Uint64("position", position), zap.Int("bytes", len(data)))
	return nil
}
