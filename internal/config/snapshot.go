package config

import (
	"encoding/json"

	"fireflyfield/internal/resource"

	"github.com/go-faster/errors"
)

// snapshotVersion is the newest snapshot version that this build understands.
const snapshotVersion = 1

// ErrSnapshotOutdated means that a snapshot is below the position of the state.
var ErrSnapshotOutdated = errors.New("snapshot is below the position of the state")

// snapshotBody is the wire form of a State.
type snapshotBody struct {
	Version  uint64 `cbor:"1,keyasint"`
	Position uint64 `cbor:"2,keyasint"`
	// Resources holds the documents as JSON, ordered by kind and name.
	Resources [][]byte `cbor:"3,keyasint"`
	// Identifiers holds the dedup window by ascending offset.
	Identifiers []dedupEntry `cbor:"4,keyasint"`
}

// Snapshot returns the position and the encoded state. States that have replayed the
// same records return the same bytes.
func (s *State) Snapshot() (position uint64, data []byte, err error) {
	body, err := s.newSnapshotBody()
	if err != nil {
		return 0, nil, err
	}
	data, err = encoding.Marshal(body)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode snapshot")
	}
	return body.Position, data, nil
}

// newSnapshotBody holds the lock only while it takes the view and the identifiers.
func (s *State) newSnapshotBody() (snapshotBody, error) {
	s.mu.Lock()
	view := s.View()
	body := snapshotBody{Version: snapshotVersion, Position: s.position, Identifiers: s.dedup.entries()}
	s.mu.Unlock()
	for _, kind := range resource.Kinds {
		for _, r := range view.List(kind) {
			document, err := json.Marshal(r)
			if err != nil {
				return snapshotBody{}, errors.Wrapf(err, "encode %s", r.ID())
			}
			body.Resources = append(body.Resources, document)
		}
	}
	return body, nil
}

// Restore replaces the state by a snapshot. A snapshot at the position of the state
// changes nothing. The error wraps ErrSnapshotOutdated if the snapshot is below that
// position, ErrNewerVersion or ErrMalformed; the state is then unchanged.
func (s *State) Restore(data []byte) error {
	restored, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if restored.position < s.position {
		return errors.Wrapf(ErrSnapshotOutdated, "%d is below %d", restored.position, s.position)
	}
	if restored.position == s.position {
		return nil
	}
	s.position = restored.position
	s.tables = restored.tables
	s.dedup = restored.dedup
	s.history = history{completeAfter: restored.position}
	s.notifyChanged()
	return nil
}

func decodeSnapshot(data []byte) (*State, error) {
	var body snapshotBody
	if err := decodeVersioned(data, snapshotVersion, &body); err != nil {
		return nil, err
	}
	s := NewState()
	s.position = body.Position
	for _, document := range body.Resources {
		if err := s.restoreResource(document); err != nil {
			return nil, err
		}
	}
	previous := uint64(0)
	for _, entry := range body.Identifiers {
		if entry.Outcome.Offset <= previous || entry.Outcome.Offset > body.Position {
			return nil, errors.Wrapf(ErrMalformed, "identifier at offset %d does not follow offset %d or is above position %d", entry.Outcome.Offset, previous, body.Position)
		}
		previous = entry.Outcome.Offset
		s.dedup.add(entry.ID, entry.Outcome)
	}
	return s, nil
}

// restoreResource adds a resource from a snapshot to a state that is not yet in use.
func (s *State) restoreResource(document []byte) error {
	var r resource.Resource
	if err := json.Unmarshal(document, &r); err != nil {
		return errors.Wrapf(ErrMalformed, "resource in snapshot: %v", err)
	}
	revision := r.Metadata.Revision
	if revision == 0 || revision > s.position {
		return errors.Wrapf(ErrMalformed, "%s has revision %d at position %d", r.ID(), revision, s.position)
	}
	size, err := encodedSize(r)
	if err != nil {
		return errors.Wrapf(ErrMalformed, "size of %s in snapshot: %v", r.ID(), err)
	}
	s.tables[r.ID().Kind].put(r, size)
	return nil
}
