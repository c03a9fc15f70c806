package snapshot

import (
	"math/rand/v2"
	"time"
)

// Policy determines when the next snapshot of a state is due.
type Policy struct {
	// Records is the number of records after the position of the newest snapshot at
	// which the next one is due.
	Records uint64
	// Age is the age of the newest snapshot at which the next one is due, so that the
	// stream of snapshots always retains a complete one.
	Age time.Duration
	// MaxDelay bounds the random delay before a snapshot is written, which keeps the
	// VMs from all writing at the same time.
	MaxDelay time.Duration
}

// DefaultPolicy suits a shared log that retains at least 2,000 records and two hours of
// each stream.
var DefaultPolicy = Policy{Records: 1000, Age: time.Hour, MaxDelay: 20 * time.Second}

// Observation is what a VM knows when it decides whether to write a snapshot.
type Observation struct {
	// Position is the offset of the last record in the VM's state.
	Position uint64
	// FirstRetained is the oldest offset that the shared log retains of the stream from
	// which the state is replayed.
	FirstRetained uint64
	// Newest is the header of the newest complete snapshot that was read; nil if there
	// is none.
	Newest *Header
}

// Schedule decides when this VM writes the next snapshot of one state. It is not safe
// for concurrent use.
type Schedule struct {
	policy Policy
	random *rand.Rand
	// pending is set while a snapshot is due and waits for writeAt.
	pending bool
	writeAt time.Time
}

// NewSchedule returns a schedule for the policy. The random source is used for the
// delays.
func NewSchedule(policy Policy, random *rand.Rand) *Schedule {
	return &Schedule{policy: policy, random: random}
}

// ShouldWrite reports whether the VM should write a snapshot now. It is to be called
// regularly. When a snapshot becomes due, it returns true only after a random delay, and
// not at all if the snapshot of another VM was read by then.
func (s *Schedule) ShouldWrite(now time.Time, o Observation) bool {
	if !s.due(now, o) {
		s.pending = false
		return false
	}
	if !s.pending {
		s.pending = true
		s.writeAt = now.Add(s.randomDelay())
	}
	if now.Before(s.writeAt) {
		return false
	}
	s.pending = false
	return true
}

// randomDelay returns a delay of at least 0 and less than MaxDelay.
func (s *Schedule) randomDelay() time.Duration {
	if s.policy.MaxDelay <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(s.policy.MaxDelay)))
}

// due reports whether the policy calls for a snapshot of the state at its position.
func (s *Schedule) due(now time.Time, o Observation) bool {
	if o.Position == 0 {
		return false
	}
	newestPosition := uint64(0)
	if o.Newest != nil {
		newestPosition = o.Newest.Position
	}
	if o.Position < newestPosition {
		return false
	}
	if o.Position-newestPosition >= s.maxRecordsSinceNewest(o) {
		return true
	}
	return o.Newest != nil && now.Sub(time.UnixMilli(o.Newest.CreatedMillis)) >= s.policy.Age
}

// maxRecordsSinceNewest returns the number of records of the policy. Once the shared log
// has begun to drop records, it returns at most half the number of retained ones, so
// that the next snapshot is written before they are dropped.
func (s *Schedule) maxRecordsSinceNewest(o Observation) uint64 {
	if o.FirstRetained <= 1 || o.Position < o.FirstRetained {
		return s.policy.Records
	}
	return max(1, min(s.policy.Records, (o.Position-o.FirstRetained+1)/2))
}
