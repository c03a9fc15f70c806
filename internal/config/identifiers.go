package config

import "github.com/google/uuid"

// IdentifierWindow is the number of offsets for which the identifier of a record
// is remembered. At 9,000 changes a day it covers 21 hours.
const IdentifierWindow = 8192

// rememberedID is one entry of the memory of identifiers.
type rememberedID struct {
	ID      uuid.UUID `cbor:"1,keyasint"`
	Outcome Outcome   `cbor:"2,keyasint"`
}

// identifiers remembers the outcomes of the records in the last IdentifierWindow
// offsets.
type identifiers struct {
	outcomes map[uuid.UUID]Outcome
	// order lists the identifiers by ascending offset.
	order []uuid.UUID
}

func newIdentifiers() *identifiers {
	return &identifiers{outcomes: make(map[uuid.UUID]Outcome)}
}

func (m *identifiers) lookup(id uuid.UUID) (Outcome, bool) {
	outcome, ok := m.outcomes[id]
	return outcome, ok
}

func (m *identifiers) add(id uuid.UUID, outcome Outcome) {
	m.outcomes[id] = outcome
	m.order = append(m.order, id)
}

// evict forgets the identifiers that are IdentifierWindow or more offsets old.
func (m *identifiers) evict(offset uint64) {
	expired := 0
	for _, id := range m.order {
		if offset-m.outcomes[id].Offset < IdentifierWindow {
			break
		}
		delete(m.outcomes, id)
		expired++
	}
	m.order = m.order[expired:]
}

func (m *identifiers) list() []rememberedID {
	entries := make([]rememberedID, len(m.order))
	for i, id := range m.order {
		entries[i] = rememberedID{ID: id, Outcome: m.outcomes[id]}
	}
	return entries
}
