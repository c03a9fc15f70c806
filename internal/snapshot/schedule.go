package snapshot

import (
	"math/rand/v2"
	"time"
)

// Policy says when a snapshot of a state is due.
type Policy struct {
	// Records is the number of records after the newest snapshot at which the next
	// one is due.
	Records uint64
	// Age is the time after the newest snapshot at which the next one is due, so
	// that the stream of snapshots always retains a complete one.
	Age time.Duration
	// MaxDelay bounds the random delay that keeps the VMs from writing at once.
	MaxDelay time.Duration
}

// DefaultPolicy suits a platform that retains at least 2,000 records and two
// hours of each stream.
var DefaultPolicy = Policy{Records: 1000, Age: time.Hour, MaxDelay: 20 * time.Second}

// Observation is what one VM knows when it decides.
type Observation struct {
	// Position is the offset of the last record in the VM's state.
	Position uint64
	// FirstRetained is the oldest offset that the platform retains of the source stream.
	FirstRetained uint64
	// Newest is the newest complete snapshot that was read; nil if there is none.
	Newest *Header
}

// Schedule decides when this VM writes the next snapshot. It is not safe for
// concurrent use.
type Schedule struct {
	policy  Policy
	random  *rand.Rand
	pending bool
	writeAt time.Time
}

// NewSchedule returns a schedule with the source of its random delays.
func NewSchedule(policy Policy, random *rand.Rand) *Schedule {
	return &Schedule{policy: policy, random: random}
}

// ShouldWrite reports whether the VM should write a snapshot now. When one becomes due,
// the VM waits for a random delay first; if another VM's snapshot is seen in the
// meantime, nothing is written.
func (s *Schedule) ShouldWrite(now time.Time, o Observation) bool {
	if !s.due(now, o) {
		s.pending = false
		return false
	}
	if !s.pending {
		s.pending = true
		s.writeAt = now.Add(s.delay())
	}
	if now.Before(s.writeAt) {
		return false
	}
	s.pending = false
	return true
}

func (s *Schedule) delay() time.Duration {
	if s.policy.MaxDelay <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(s.policy.MaxDelay)))
}

func (s *Schedule) due(now time.Time, o Observation) bool {
	if o.Position == 0 {
		return false
	}
	base := uint64(0)
	if o.Newest != nil {
		base = o.Newest.Position
	}
	if o.Position < base {
		return false
	}
	if o.Position-base >= s.allowedRecords(o) {
		return true
	}
	return o.Newest != nil && now.Sub(time.UnixMilli(o.Newest.CreatedMillis)) >= s.policy.Age
}

// allowedRecords is the policy's count, but at most half of what the platform
// retains once it has begun to drop records.
func (s *Schedule) allowedRecords(o Observation) uint64 {
	if o.FirstRetained <= 1 || o.Position < o.FirstRetained {
		return s.policy.Records
	}
	return max(1, min(s.policy.Records, (o.Position-o.FirstRetained+1)/2))
}
