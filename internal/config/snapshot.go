package config

import (
	"encoding/json"

	"fireflyfield/internal/resource"

	"github.com/go-faster/errors"
)

const snapshotVersion = 1

// ErrLowerRevision means that a snapshot is older than the state.
var ErrLowerRevision = errors.New("snapshot is below the position of the state")

// snapshotBody is the wire form of a State.
type snapshotBody struct {
	Version     uint64         `cbor:"1,keyasint"`
	Position    uint64         `cbor:"2,keyasint"`
	Resources   [][]byte       `cbor:"3,keyasint"`
	Identifiers []rememberedID `cbor:"4,keyasint"`
}

// Snapshot returns the position and the encoded state. States that replayed the
// same records return the same bytes.
func (s *State) Snapshot() (position uint64, data []byte, err error) {
	body, err := s.snapshotBody()
	if err != nil {
		return 0, nil, err
	}
	data, err = encoding.Marshal(body)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode snapshot")
	}
	return body.Position, data, nil
}

// snapshotBody holds the lock only while it takes the view and the identifiers.
func (s *State) snapshotBody() (snapshotBody, error) {
	s.mu.Lock()
	view := s.View()
	body := snapshotBody{Version: snapshotVersion, Position: s.position, Identifiers: s.ids.list()}
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

// Restore replaces the state by a snapshot. It fails with ErrLowerRevision if the
// snapshot is older than the state, with ErrNewerVersion or with ErrMalformed; the
// state is then unchanged.
func (s *State) Restore(data []byte) error {
	restored, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if restored.position < s.position {
		return errors.Wrapf(ErrLowerRevision, "%d is below %d", restored.position, s.position)
	}
	if restored.position == s.position {
		return nil
	}
	s.position = restored.position
	s.tables = restored.tables
	s.ids = restored.ids
	s.history = history{after: restored.position}
	s.notify()
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
			return nil, errors.Wrap(ErrMalformed, "identifiers out of order")
		}
		previous = entry.Outcome.Offset
		s.ids.add(entry.ID, entry.Outcome)
	}
	return s, nil
}

func (s *State) restoreResource(document []byte) error {
	var r resource.Resource
	if err := json.Unmarshal(document, &r); err != nil {
		return errors.Wrap(ErrMalformed, "resource in snapshot")
	}
	revision := r.Metadata.Revision
	if revision == 0 || revision > s.position {
		return errors.Wrapf(ErrMalformed, "%s has revision %d at position %d", r.ID(), revision, s.position)
	}
	size, err := encodedSize(r)
	if err != nil {
		return errors.Wrap(ErrMalformed, "resource in snapshot")
	}
	s.tables[r.ID().Kind].put(r, size)
	return nil
}
