package config

import (
	"sync"
	"sync/atomic"

	"fireflyfield/internal/resource"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// State is the replayed configuration. All methods are safe for concurrent use;
// one goroutine at a time should call Apply, ApplyData and Restore.
type State struct {
	mu       sync.Mutex
	position uint64
	tables   map[resource.Kind]*table
	ids      *identifiers
	history  history
	changed  chan struct{}
	// maxBytes is MaxTotalBytes except in tests.
	maxBytes int
	// view is what readers get without the lock.
	view atomic.Pointer[View]
}

// NewState returns an empty state at position 0.
func NewState() *State {
	s := &State{
		tables:   newTables(),
		ids:      newIdentifiers(),
		changed:  make(chan struct{}),
		maxBytes: MaxTotalBytes,
	}
	s.publish()
	return s
}

// Position returns the offset of the last record that was replayed, which is the
// revision that a VM reports as applied.
func (s *State) Position() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position
}

// Outcome returns the decision on the record with the identifier, if the record
// was replayed and is still remembered.
func (s *State) Outcome(id uuid.UUID) (Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids.lookup(id)
}

// Changed returns a channel that is closed at the next step of the position. To
// miss nothing, get the channel before reading the state.
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
	s.ids.evict(offset)
	if known, ok := s.ids.lookup(record.ID); ok {
		s.advance(offset)
		return Result{Duplicate: true, Outcome: known}
	}
	outcome := Outcome{Offset: offset, Digest: record.Digest()}
	change, refusal := s.plan(offset, record)
	outcome.Refusal = refusal
	if refusal == nil {
		s.commit(offset, change)
	}
	s.ids.add(record.ID, outcome)
	s.advance(offset)
	return Result{Outcome: outcome}
}

// ApplyData decodes and replays one record. A malformed record is refused. The
// error wraps ErrNewerVersion; the position then stays in front of the record.
func (s *State) ApplyData(offset uint64, data []byte) (Result, error) {
	record, err := Decode(data)
	if errors.Is(err, ErrNewerVersion) {
		return Result{}, errors.Wrapf(err, "record at offset %d", offset)
	}
	if err != nil {
		return s.skip(offset, err), nil
	}
	return s.Apply(offset, record), nil
}

func (s *State) skip(offset uint64, cause error) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset <= s.position {
		return Result{Stale: true}
	}
	s.advance(offset)
	return Result{Outcome: Outcome{Offset: offset, Refusal: refuse(ReasonMalformed, resource.ID{}, "%v", cause)}}
}

func (s *State) advance(offset uint64) {
	s.position = offset
	s.notify()
}

func (s *State) notify() {
	s.publish()
	close(s.changed)
	s.changed = make(chan struct{})
}
