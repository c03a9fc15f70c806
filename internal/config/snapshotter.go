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

// Snapshotter timing.
const (
	snapshotCheckInterval = 5 * time.Second
	snapshotTimeout       = 30 * time.Second
)

// Snapshotter writes snapshots of a follower's state when they are due.
type Snapshotter struct {
	log      platform.Log
	follower *Follower
	reader   *snapshot.Reader
	schedule *snapshot.Schedule
	logger   *zap.Logger
}

// NewSnapshotter returns a snapshotter. The random source is used by Run only.
func NewSnapshotter(log platform.Log, follower *Follower, policy snapshot.Policy, logger *zap.Logger, random *rand.Rand) *Snapshotter {
	return &Snapshotter{
		log:      log,
		follower: follower,
		reader:   snapshot.NewReader(log, Stream),
		schedule: snapshot.NewSchedule(policy, random),
		logger:   logger,
	}
}

// Run writes snapshots until the context ends and returns its error.
func (s *Snapshotter) Run(ctx context.Context) error {
	ticker := time.NewTicker(snapshotCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if err := s.Check(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn("configuration snapshot failed", zap.Error(err))
		}
	}
}

// Check reads what other VMs have written and writes a snapshot if one is due.
func (s *Snapshotter) Check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	newest, ok, err := s.reader.ReadNewest(ctx)
	if err != nil {
		return err
	}
	status := s.follower.Status()
	observation := snapshot.Observation{Position: status.Position, FirstRetained: status.First}
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
