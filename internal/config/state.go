package config

import (
	"sync"
	"sync/atomic"

	"fireflyfield/internal/resource"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// State is the replayed configuration. All methods are safe for concurrent use, but
// only one goroutine at a time should call Apply, ApplyData and Restore: Apply and
// ApplyData don't detect missing offsets, so their caller has to compare the offset with
// Position, which must not change in between.
type State struct {
	mu sync.Mutex
	// position is the offset of the last replayed record.
	position uint64
	tables   map[resource.Kind]*table
	dedup    *dedupWindow
	history  history
	// changed is closed and replaced when position changes.
	changed chan struct{}
	// maxBytes is MaxTotalBytes except in tests.
	maxBytes int
	// view is the current configuration for readers that don't take the lock.
	view atomic.Pointer[View]
}

// NewState returns an empty state at position 0.
func NewState() *State {
	s := &State{
		tables:   newTables(),
		dedup:    newDedupWindow(),
		changed:  make(chan struct{}),
		maxBytes: MaxTotalBytes,
	}
	s.publishView()
	return s
}

// Position returns the offset of the last record that was replayed, which is the
// revision that a VM reports as applied.
func (s *State) Position() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position
}

// Outcome returns the decision on the record with the identifier. It returns false if
// the record was not replayed or is no longer in the dedup window.
func (s *State) Outcome(id uuid.UUID) (Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dedup.lookup(id)
}

// Changed returns a channel that is closed when the position changes next. Get the
// channel before reading the state, or a change in between goes unnoticed.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply replays one record. Offsets at or below the position are ignored.
func (s *State) Apply(offset uint64, record Record) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset <= s.position {
		return Result{Stale: true}
	}
	s.dedup.evict(offset)
	if known, ok := s.dedup.lookup(record.ID); ok {
		s.advance(offset)
		return Result{Duplicate: true, Outcome: known}
	}
	outcome := Outcome{Offset: offset, Digest: record.Digest()}
	changes, refusal := s.validate(offset, record)
	outcome.Refusal = refusal
	if refusal == nil {
		s.commit(offset, changes)
	}
	s.dedup.add(record.ID, outcome)
	s.advance(offset)
	return Result{Outcome: outcome}
}

// ApplyData decodes and replays one record. A malformed record is refused, and the
// position advances to its offset. The error wraps ErrNewerVersion; the position then
// stays before the record.
func (s *State) ApplyData(offset uint64, data []byte) (Result, error) {
	record, err := Decode(data)
	if errors.Is(err, ErrNewerVersion) {
		return Result{}, errors.Wrapf(err, "record at offset %d", offset)
	}
	if err != nil {
		return s.skipMalformed(offset, err), nil
	}
	return s.Apply(offset, record), nil
}

// skipMalformed refuses a record that can't be decoded and advances to its offset. The
// outcome is not added to the dedup window, because the record's identifier is not known.
func (s *State) skipMalformed(offset uint64, cause error) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset <= s.position {
		return Result{Stale: true}
	}
	s.advance(offset)
	return Result{Outcome: Outcome{Offset: offset, Refusal: refuse(ReasonMalformed, resource.ID{}, "%v", cause)}}
}

// advance sets the position. The caller holds the lock.
func (s *State) advance(offset uint64) {
	s.position = offset
	s.notifyChanged()
}

// notifyChanged publishes a new view and wakes the goroutines that wait on Changed.
// The caller holds the lock.
func (s *State) notifyChanged() {
	s.publishView()
	close(s.changed)
	s.changed = make(chan struct{})
}
