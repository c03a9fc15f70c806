package ownership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"fireflyfield/internal/keyspace"
)

// MaxSnapshotBytes is the maximum size of an encoded snapshot in bytes; it bounds the
// memory that decoding takes.
const MaxSnapshotBytes = 32 << 20

var snapshotDecoding = must(cbor.DecOptions{
	DupMapKey:   cbor.DupMapKeyEnforcedAPF,
	IndefLength: cbor.IndefLengthForbidden,
	TagsMd:      cbor.TagsForbidden,
	// The longest array holds the homes of a service, one for each of up to
	// resource.MaxSlices slices. The largest map holds its units: as many slices and
	// up to keyspace.MaxHotKeys hot keys.
	MaxArrayElements: 1 << 17,
	MaxMapPairs:      1 << 17,
	MaxNestedLevels:  8,
}.DecMode())

// Encode returns the CBOR snapshot of the state.
func (s *State) Encode() ([]byte, error) { return encodeSnapshot(s) }

// Encode returns the CBOR snapshot of the homes.
func (h *Homes) Encode() ([]byte, error) { return encodeSnapshot(h) }

func encodeSnapshot(state any) ([]byte, error) {
	data, err := recordEncoding.Marshal(state)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if len(data) > MaxSnapshotBytes {
		return nil, errors.Wrapf(ErrRecord, "snapshot of %d bytes, limit %d", len(data), MaxSnapshotBytes)
	}
	return data, nil
}

// DecodeState decodes a snapshot made by State.Encode.
func DecodeState(data []byte) (*State, error) {
	state := &State{}
	if err := decodeSnapshot(data, state); err != nil {
		return nil, err
	}
	if len(state.Seen) > maxSeenRecords {
		return nil, errors.Wrapf(ErrRecord, "snapshot with %d record identifiers, limit %d", len(state.Seen), maxSeenRecords)
	}
	restored := NewState()
	state.Members = orEmpty(state.Members, restored.Members)
	state.Joins = orEmpty(state.Joins, restored.Joins)
	state.Services = orEmpty(state.Services, restored.Services)
	state.Partitions = orEmpty(state.Partitions, restored.Partitions)
	state.seen = make(map[RecordID]bool, len(state.Seen))
	for _, id := range state.Seen {
		state.seen[id] = true
	}
	for name, service := range state.Services {
		state.Services[name] = service.restored()
	}
	return state, nil
}

// restored returns the decoded state with empty maps in place of missing ones.
func (s *ServiceState) restored() *ServiceState {
	empty := newServiceState()
	if s == nil {
		return empty
	}
	s.Units = orEmpty(s.Units, empty.Units)
	s.Released = orEmpty(s.Released, empty.Released)
	s.Hot = orEmpty(s.Hot, empty.Hot)
	return s
}

func orEmpty[K comparable, V any](value, empty map[K]V) map[K]V {
	if value == nil {
		return empty
	}
	return value
}

// DecodeHomes decodes a snapshot made by Homes.Encode.
func DecodeHomes(data []byte) (*Homes, error) {
	homes := &Homes{}
	if err := decodeSnapshot(data, homes); err != nil {
		return nil, err
	}
	homes.Services = orEmpty(homes.Services, map[string][]SliceHome{})
	return homes, nil
}

func decodeSnapshot(data []byte, into any) error {
	if len(data) > MaxSnapshotBytes {
		return errors.Wrapf(ErrRecord, "snapshot of %d bytes, limit %d", len(data), MaxSnapshotBytes)
	}
	if err := snapshotDecoding.Unmarshal(data, into); err != nil {
		return errors.Wrapf(ErrRecord, "decode snapshot: %v", err)
	}
	return nil
}

// Assigned returns the recorded owner of the unit, if any.
func (s *State) Assigned(service string, unit keyspace.Unit) (Assignment, bool) {
	state, found := s.Services[service]
	if !found {
		return Assignment{}, false
	}
	assignment, found := state.Units[unit]
	return assignment, found
}
