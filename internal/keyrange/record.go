package keyrange

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// recordFormat is the version of the record format. A VM does not change assignments of
// a format that it cannot decode.
const recordFormat = 2

// record is the encoded form of an assignment. Every VM gets it at every change, so to
// keep it small each owner is listed once and ranges refer to it.
type record struct {
	Format  int    `cbor:"10,keyasint"`
	Holder  string `cbor:"1,keyasint"`
	Address string `cbor:"4,keyasint,omitempty"`
	Fence   int64  `cbor:"2,keyasint"`
	Era     int64  `cbor:"7,keyasint,omitempty"`
	// Unconfirmed is omitted by VMs that cannot give up the lease early.
	Unconfirmed bool `cbor:"8,keyasint,omitempty"`
	// EarlierCallsMs is omitted by VMs that do not state it.
	EarlierCallsMs *int64                   `cbor:"9,keyasint,omitempty"`
	Owners         []recordOwner            `cbor:"5,keyasint,omitempty"`
	Services       map[string][]recordEntry `cbor:"6,keyasint,omitempty"`
}

// recordOwner is a backend server process that owns ranges. It is encoded as an array,
// so the order of its fields is part of the format.
type recordOwner struct {
	_       struct{} `cbor:",toarray"`
	Backend string
	Address string
	Started int64
}

// recordEntry is a range that begins after the last key of the previous one. It is
// encoded as an array, so the order of its fields is part of the format.
type recordEntry struct {
	_    struct{} `cbor:",toarray"`
	Last int
	// Owner is the index of the owner in record.Owners plus 1; 0 for none.
	Owner  int
	Fence  int64
	Moving bool
}

// Encode returns the encoded record of the assignment. It fails if the ranges of a
// service don't cover its key space exactly once.
func (a *Assignment) Encode() ([]byte, error) {
	r := record{
		Format: recordFormat, Holder: a.Holder, Address: a.Address, Fence: a.Fence, Era: a.Era, Unconfirmed: a.Unconfirmed,
		Services: make(map[string][]recordEntry, len(a.Services)),
	}
	if a.EarlierCalls != UnknownCalls {
		ms := (a.EarlierCalls + time.Millisecond - 1).Milliseconds()
		r.EarlierCallsMs = &ms
	}
	ownerNumbers := make(map[recordOwner]int)
	for service, entries := range a.Services {
		if !coversKeySpace(entries) {
			return nil, errors.Errorf("encode assignment: ranges of service %q leave gaps or overlap", service)
		}
		list := make([]recordEntry, len(entries))
		for i, e := range entries {
			list[i] = recordEntry{Last: e.Range.Last, Fence: e.Fence, Moving: e.Moving}
			if e.Backend == "" {
				continue
			}
			owner := recordOwner{Backend: e.Backend, Address: e.Address, Started: e.Started}
			if ownerNumbers[owner] == 0 {
				r.Owners = append(r.Owners, owner)
				ownerNumbers[owner] = len(r.Owners)
			}
			list[i].Owner = ownerNumbers[owner]
		}
		r.Services[service] = list
	}
	content, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode assignment")
	}
	return content, nil
}

// ErrOtherFormat reports a record that states another format: another version of the program
// wrote it. Records without a format are of other writers.
var ErrOtherFormat = errors.New("the record has another format")

// checkFormat returns an error if the record does not state recordFormat. The other fields
// of another format may have other types.
func checkFormat(content []byte) error {
	var r struct {
		Format int `cbor:"10,keyasint"`
	}
	if err := cbor.Unmarshal(content, &r); err != nil {
		return errors.Wrap(err, "decode assignment")
	}
	switch r.Format {
	case recordFormat:
		return nil
	case 0:
		return errors.New("decode assignment: the record states no format")
	}
	return errors.Wrapf(ErrOtherFormat, "decode assignment: format %d, want %d", r.Format, recordFormat)
}

// maxEarlierCalls is above all times that a VM states; another value is one of another program.
const maxEarlierCalls = time.Minute

// earlierCalls returns the time that the record states, or UnknownCalls.
func (r *record) earlierCalls() time.Duration {
	if r.EarlierCallsMs == nil || *r.EarlierCallsMs < 0 || *r.EarlierCallsMs > maxEarlierCalls.Milliseconds() {
		return UnknownCalls
	}
	return time.Duration(*r.EarlierCallsMs) * time.Millisecond
}

// Decode parses an encoded record of an assignment. It fails with ErrOtherFormat if the
// record has another format, and if its ranges don't cover a key space exactly once.
func Decode(content []byte) (*Assignment, error) {
	if err := checkFormat(content); err != nil {
		return nil, err
	}
	var r record
	if err := cbor.Unmarshal(content, &r); err != nil {
		return nil, errors.Wrap(err, "decode assignment")
	}
	a := &Assignment{
		Holder: r.Holder, Address: r.Address, Fence: r.Fence, Unconfirmed: r.Unconfirmed, Era: r.Era,
		EarlierCalls: r.earlierCalls(), Services: make(map[string][]Entry, len(r.Services)),
	}
	for service, list := range r.Services {
		entries := make([]Entry, len(list))
		next := 0
		for i, e := range list {
			if e.Owner < 0 || e.Owner > len(r.Owners) {
				return nil, errors.Errorf("decode assignment: owner %d is out of range, the record lists %d", e.Owner, len(r.Owners))
			}
			entries[i] = Entry{Range: Range{next, e.Last}, Fence: e.Fence, Moving: e.Moving}
			if e.Owner > 0 {
				owner := r.Owners[e.Owner-1]
				entries[i].Backend, entries[i].Address, entries[i].Started = owner.Backend, owner.Address, owner.Started
			}
			next = e.Last + 1
		}
		if !coversKeySpace(entries) {
			return nil, errors.Errorf("decode assignment: ranges of service %q leave gaps or overlap", service)
		}
		a.Services[service] = slices.Clip(entries)
	}
	return a, nil
}

// coversKeySpace reports whether the entries are sorted and cover the key space exactly
// once.
func coversKeySpace(entries []Entry) bool {
	next := 0
	for _, entry := range entries {
		if entry.Range.First != next || entry.Range.Last < entry.Range.First {
			return false
		}
		next = entry.Range.Last + 1
	}
	return next == MaxKey+1
}
