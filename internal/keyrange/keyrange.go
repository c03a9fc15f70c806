// Package keyrange defines the assignment of key ranges to backend servers and its
// encoding, and plans which ranges move where. It does no I/O; leases and calls to
// backend servers are left to package keylease.
package keyrange

import (
	"slices"
	"sort"
	"strconv"
	"time"
)

// MaxKey is the last key of a key space; the first is 0.
const MaxKey = 65535

// Range is a range of consecutive keys, both ends included.
type Range struct{ First, Last int }

// Size returns the number of keys in the range.
func (r Range) Size() int { return r.Last - r.First + 1 }

// Contains reports whether the range contains the key.
func (r Range) Contains(key int) bool { return key >= r.First && key <= r.Last }

// Cut splits r at the ends of inner, which must lie in r. It returns the keys before
// inner, if any, inner, and the keys after it, if any.
func (r Range) Cut(inner Range) []Range {
	var parts []Range
	if r.First < inner.First {
		parts = append(parts, Range{r.First, inner.First - 1})
	}
	parts = append(parts, inner)
	if inner.Last < r.Last {
		parts = append(parts, Range{inner.Last + 1, r.Last})
	}
	return parts
}

// String returns the range as FIRST-LAST.
func (r Range) String() string {
	return strconv.Itoa(r.First) + "-" + strconv.Itoa(r.Last)
}

// Entry is one key range of a service with its owner.
type Entry struct {
	Range   Range
	Backend string // empty: no owner
	Address string
	Started int64 // start of the owner's process, Unix time in ms
	Fence   int64 // fencing token of the grant
	// Moving is set while the owner is asked to release the range.
	Moving bool
}

// UnknownCalls is the value of Assignment.EarlierCalls for an unknown time.
const UnknownCalls = time.Duration(-1)

// Assignment is the recorded state of all key spaces. The lease holder records a grant
// in it before it sends the grant.
type Assignment struct {
	Holder  string // VM instance that holds the assignment lease; empty: none
	Address string // HOST:PORT at which other VMs reach the lease holder
	Fence   int64  // highest fencing token in use
	// Era is the era of the shared log in which the record was written. A record of an
	// earlier era than the log's was restored with an older copy: later grants may exist.
	Era int64
	// Unconfirmed is set if the last lease holder gave up the assignment lease while its calls to
	// backend servers may still have been in flight.
	Unconfirmed bool
	// EarlierCalls is for how long after the record calls of earlier lease holders may still reach
	// backend servers; UnknownCalls if the program that wrote the record does not state it.
	EarlierCalls time.Duration
	// Services are the entries by service, sorted by range.
	Services map[string][]Entry
}

// Find returns the entry of the range that contains a key of a service, or nil if there
// is none.
func (a *Assignment) Find(service string, key int) *Entry {
	entries := a.Services[service]
	i := sort.Search(len(entries), func(i int) bool { return entries[i].Range.Last >= key })
	if i == len(entries) {
		return nil
	}
	return &entries[i]
}

// Clone returns a deep copy of the assignment.
func (a *Assignment) Clone() *Assignment {
	c := *a
	c.Services = make(map[string][]Entry, len(a.Services))
	for service, entries := range a.Services {
		c.Services[service] = slices.Clone(entries)
	}
	return &c
}

// Unowned returns a copy of the assignment in which no range has an owner.
func (a *Assignment) Unowned() *Assignment {
	c := a.Clone()
	for _, entries := range c.Services {
		for i := range entries {
			entries[i] = Entry{Range: entries[i].Range}
		}
	}
	return c
}

// Weight is the load of each part of a key space. A part is PartSize adjacent keys.
type Weight [Parts]float64

const (
	// PartSize is the number of keys of one part, the smallest range that moves. Busy keys
	// lie close together, so parts must be small to split them: 200 keys with a third of
	// the requests can be divided among 50 backend servers.
	PartSize = 4
	// Parts is the number of parts of a key space.
	Parts = (MaxKey + 1) / PartSize
)

// Add adds load to the part of a key.
func (w *Weight) Add(key int, load float64) { w[key/PartSize] += load }

// Decay multiplies all loads by factor.
func (w *Weight) Decay(factor float64) {
	for i := range w {
		w[i] *= factor
	}
}

// RangeLoad returns the load of a range whose ends lie on part boundaries.
func (w *Weight) RangeLoad(r Range) float64 {
	sum := 0.0
	for part := r.First / PartSize; part <= r.Last/PartSize; part++ {
		sum += w[part]
	}
	return sum
}
