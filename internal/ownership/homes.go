package ownership

import (
	"slices"

	"fireflyfield/internal/keyspace"
)

// SliceHome is the home of a slice: the failure domain whose decider places it. The
// epoch starts at 1 and rises with each change of the home.
type SliceHome struct {
	Domain string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// Homes is the state that results from replaying the homes stream: the home of every
// slice. It is not safe for concurrent use.
type Homes struct {
	// NextOffset is the offset of the first record that was not applied yet.
	NextOffset uint64 `cbor:"1,keyasint"`
	// Services holds the homes by service name, indexed by slice.
	Services map[string][]SliceHome `cbor:"2,keyasint"`
}

// NewHomes returns the state before the first record.
func NewHomes() *Homes {
	return &Homes{NextOffset: 1, Services: make(map[string][]SliceHome)}
}

// Apply applies the record at the offset and reports whether it was accepted. It
// needs no record identifiers: a repeated init record finds the service present, and a
// repeated home record has an epoch that is too low.
func (h *Homes) Apply(offset uint64, record Record) bool {
	if offset < h.NextOffset {
		return false
	}
	h.NextOffset = offset + 1
	switch {
	case record.Init != nil:
		return h.applyInit(record.Init)
	case record.Home != nil:
		return h.applyHome(record.Home)
	}
	return false
}

// Skip advances past a record at the offset that could not be decoded.
func (h *Homes) Skip(offset uint64) { h.NextOffset = max(h.NextOffset, offset+1) }

func (h *Homes) applyInit(init *Init) bool {
	if _, found := h.Services[init.Service]; found {
		return false
	}
	homes := make([]SliceHome, init.Slices)
	for i := range homes {
		homes[i] = SliceHome{Domain: init.Domains[i%len(init.Domains)], Epoch: 1}
	}
	h.Services[init.Service] = homes
	return true
}

func (h *Homes) applyHome(move *Home) bool {
	// The clone leaves the arrays that readers took from Services unchanged.
	homes := slices.Clone(h.Services[move.Service])
	accepted := false
	for _, slice := range move.Slices {
		if uint64(slice) >= uint64(len(homes)) || homes[slice].Epoch != move.Epoch {
			continue
		}
		homes[slice] = SliceHome{Domain: move.To, Epoch: move.Epoch + 1}
		accepted = true
	}
	if accepted {
		h.Services[move.Service] = homes
	}
	return accepted
}

// Home returns the home of the slice, or the zero value if it has none.
func (h *Homes) Home(service string, slice keyspace.Unit) SliceHome {
	homes := h.Services[service]
	if uint64(slice) >= uint64(len(homes)) {
		return SliceHome{}
	}
	return homes[slice]
}
