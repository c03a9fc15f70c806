package keyrange

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// recordFormat is the format of the record. A VM does not change assignments that it
// cannot read.
const recordFormat = 2

// record is the encoded form of an assignment. Each VM gets it at each change, so
// owners are listed once and ranges refer to them.
type record struct {
	Format   int                      `cbor:"10,keyasint"`
	Holder   string                   `cbor:"1,keyasint"`
	Address  string                   `cbor:"4,keyasint,omitempty"`
	Fence    int64                    `cbor:"2,keyasint"`
	Owners   []recordOwner            `cbor:"5,keyasint,omitempty"`
	Services map[string][]recordEntry `cbor:"6,keyasint,omitempty"`
}

type recordOwner struct {
	_       struct{} `cbor:",toarray"`
	Backend string
	Address string
	Started int64
}

// recordEntry is a range that begins after the one before it.
type recordEntry struct {
	_    struct{} `cbor:",toarray"`
	Last int
	// Owner is the place of the owner in the list plus 1; 0 for none.
	Owner  int
	Fence  int64
	Moving bool
}

// Encode returns the record of the assignment.
func (a *Assignment) Encode() ([]byte, error) {
	r := record{
		Format: recordFormat, Holder: a.Holder, Address: a.Address, Fence: a.Fence,
		Services: make(map[string][]recordEntry, len(a.Services)),
	}
	places := make(map[recordOwner]int)
	for service, entries := range a.Services {
		if !covers(entries) {
			return nil, errors.Errorf("assignment: ranges of service %q leave gaps or overlap", service)
		}
		list := make([]recordEntry, len(entries))
		for i, e := range entries {
			list[i] = recordEntry{Last: e.Range.Last, Fence: e.Fence, Moving: e.Moving}
			if e.Backend == "" {
				continue
			}
			owner := recordOwner{Backend: e.Backend, Address: e.Address, Started: e.Started}
			if places[owner] == 0 {
				r.Owners = append(r.Owners, owner)
				places[owner] = len(r.Owners)
			}
			list[i].Owner = places[owner]
		}
		r.Services[service] = list
	}
	content, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "assignment")
	}
	return content, nil
}

// Decode parses a record of an assignment.
func Decode(content []byte) (*Assignment, error) {
	var r record
	if err := cbor.Unmarshal(content, &r); err != nil {
		return nil, errors.Wrap(err, "assignment")
	}
	if r.Format != recordFormat {
		return nil, errors.Errorf("assignment: record of format %d, not %d", r.Format, recordFormat)
	}
	a := &Assignment{Holder: r.Holder, Address: r.Address, Fence: r.Fence, Services: make(map[string][]Entry, len(r.Services))}
	for service, list := range r.Services {
		entries := make([]Entry, len(list))
		next := 0
		for i, e := range list {
			if e.Owner < 0 || e.Owner > len(r.Owners) {
				return nil, errors.Errorf("assignment: owner %d of %d", e.Owner, len(r.Owners))
			}
			entries[i] = Entry{Range: Range{next, e.Last}, Fence: e.Fence, Moving: e.Moving}
			if e.Owner > 0 {
				owner := r.Owners[e.Owner-1]
				entries[i].Backend, entries[i].Address, entries[i].Started = owner.Backend, owner.Address, owner.Started
			}
			next = e.Last + 1
		}
		if !covers(entries) {
			return nil, errors.Errorf("assignment: ranges of service %q leave gaps or overlap", service)
		}
		a.Services[service] = slices.Clip(entries)
	}
	return a, nil
}

// covers reports whether the entries are sorted and cover the key space once.
func covers(entries []Entry) bool {
	next := 0
	for _, entry := range entries {
		if entry.Range.First != next || entry.Range.Last < entry.Range.First {
			return false
		}
		next = entry.Range.Last + 1
	}
	return next == MaxKey+1
}
