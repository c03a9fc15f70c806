package config

import "github.com/google/uuid"

// DedupWindow is the number of offsets for which replay remembers the identifier of
// a record in order to drop repetitions. At 9,000 changes a day it covers 21 hours.
const DedupWindow = 8192

// dedupEntry is the stored form of one identifier and its outcome.
type dedupEntry struct {
	ID      uuid.UUID `cbor:"1,keyasint"`
	Outcome Outcome   `cbor:"2,keyasint"`
}

// dedupWindow maps the identifiers of the records in the last DedupWindow offsets to
// their outcomes.
type dedupWindow struct {
	outcomes map[uuid.UUID]Outcome
	// order lists the identifiers by ascending offset.
	order []uuid.UUID
}

func newDedupWindow() *dedupWindow {
	return &dedupWindow{outcomes: make(map[uuid.UUID]Outcome)}
}

func (m *dedupWindow) lookup(id uuid.UUID) (Outcome, bool) {
	outcome, ok := m.outcomes[id]
	return outcome, ok
}

func (m *dedupWindow) add(id uuid.UUID, outcome Outcome) {
	m.outcomes[id] = outcome
	m.order = append(m.order, id)
}

// evict removes the identifiers whose records are DedupWindow or more offsets before
// the given offset.
func (m *dedupWindow) evict(offset uint64) {
	expired := 0
	for _, id := range m.order {
		if offset-m.outcomes[id].Offset < DedupWindow {
			break
		}
		delete(m.outcomes, id)
		expired++
	}
	m.order = m.order[expired:]
}

// entries returns the identifiers and outcomes by ascending offset.
func (m *dedupWindow) entries() []dedupEntry {
	entries := make([]dedupEntry, len(m.order))
	for i, id := range m.order {
		entries[i] = dedupEntry{ID: id, Outcome: m.outcomes[id]}
	}
	return entries
}
