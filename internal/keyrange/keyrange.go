// Package keyrange holds the assignment of an ordered key space to backend
// servers. It does no I/O.
package keyrange

import (
	"slices"
	"sort"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// MaxKey is the last key of a key space; the first is 0.
const MaxKey = 65535

// Range is a range of keys, both ends included.
type Range struct {
	First int `cbor:"1,keyasint"`
	Last  int `cbor:"2,keyasint"`
}

// Size is the number of keys in the range.
func (r Range) Size() int { return r.Last - r.First + 1 }

// Contains reports whether the range holds the key.
func (r Range) Contains(key int) bool { return key >= r.First && key <= r.Last }

func (r Range) String() string {
	return strconv.Itoa(r.First) + "-" + strconv.Itoa(r.Last)
}

// Entry is one range of a service with its owner.
type Entry struct {
	Range   Range  `cbor:"1,keyasint"`
	Backend string `cbor:"2,keyasint,omitempty"` // empty: no owner
	Address string `cbor:"3,keyasint,omitempty"`
	Started int64  `cbor:"4,keyasint,omitempty"` // start of the owner's process, Unix time in ms
	Fence   int64  `cbor:"5,keyasint,omitempty"` // fencing token of the grant
	// Moving entries are being taken from their owner.
	Moving bool `cbor:"6,keyasint,omitempty"`
}

// Assignment is the recorded state of all key spaces. The holder of the lease on
// assignments records a grant here before it sends it.
type Assignment struct {
	Holder   string             `cbor:"1,keyasint"`           // VM instance that may change assignments; empty: none
	Address  string             `cbor:"4,keyasint,omitempty"` // HOST:PORT at which other VMs reach the holder
	Fence    int64              `cbor:"2,keyasint"`           // highest fencing token in use
	Services map[string][]Entry `cbor:"3,keyasint,omitempty"`
}

// Encode returns the record of the assignment.
func (a *Assignment) Encode() ([]byte, error) {
	content, err := cbor.Marshal(a)
	if err != nil {
		return nil, errors.Wrap(err, "assignment")
	}
	return content, nil
}

// Decode parses a record of an assignment.
func Decode(content []byte) (*Assignment, error) {
	var a Assignment
	if err := cbor.Unmarshal(content, &a); err != nil {
		return nil, errors.Wrap(err, "assignment")
	}
	for service, entries := range a.Services {
		if !covers(entries) {
			return nil, errors.Errorf("assignment: ranges of service %q leave gaps or overlap", service)
		}
	}
	return &a, nil
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

// Find returns the entry of a key, or nil if the service has none.
func (a *Assignment) Find(service string, key int) *Entry {
	entries := a.Services[service]
	i := sort.Search(len(entries), func(i int) bool { return entries[i].Range.Last >= key })
	if i == len(entries) {
		return nil
	}
	return &entries[i]
}

// Clone returns a deep copy.
func (a *Assignment) Clone() *Assignment {
	c := *a
	c.Services = make(map[string][]Entry, len(a.Services))
	for service, entries := range a.Services {
		c.Services[service] = slices.Clone(entries)
	}
	return &c
}

// Weight is the load of each part of a key space: PartSize adjacent keys.
type Weight [Parts]float64

const (
	// PartSize is the number of keys of one part, the least that moves: busy keys lie
	// close together, so a part must be small to split them.
	PartSize = 16
	// Parts is the number of parts of a key space.
	Parts = (MaxKey + 1) / PartSize
)

// Add counts load of a key.
func (w *Weight) Add(key int, load float64) { w[key/PartSize] += load }

// Decay multiplies all loads by the share that is left after elapsed.
func (w *Weight) Decay(left float64) {
	for i := range w {
		w[i] *= left
	}
}

// Of returns the load of a range whose ends lie on part boundaries.
func (w *Weight) Of(r Range) float64 {
	sum := 0.0
	for part := r.First / PartSize; part <= r.Last/PartSize; part++ {
		sum += w[part]
	}
	return sum
}
