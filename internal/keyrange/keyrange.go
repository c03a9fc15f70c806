// Package keyrange holds the assignment of an ordered key space to backend
// servers. It does no I/O.
package keyrange

import (
	"slices"
	"sort"
	"strconv"
)

// MaxKey is the last key of a key space; the first is 0.
const MaxKey = 65535

// Range is a range of keys, both ends included.
type Range struct{ First, Last int }

// Size is the number of keys in the range.
func (r Range) Size() int { return r.Last - r.First + 1 }

// Contains reports whether the range holds the key.
func (r Range) Contains(key int) bool { return key >= r.First && key <= r.Last }

// Cut returns r cut at the ends of inner, which lies in it: what comes before inner, if
// anything, inner, and what comes after.
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

func (r Range) String() string {
	return strconv.Itoa(r.First) + "-" + strconv.Itoa(r.Last)
}

// Entry is one range of a service with its owner.
type Entry struct {
	Range   Range
	Backend string // empty: no owner
	Address string
	Started int64 // start of the owner's process, Unix time in ms
	Fence   int64 // fencing token of the grant
	// Moving entries are being taken from their owner.
	Moving bool
}

// Assignment is the recorded state of all key spaces. The holder of the lease on
// assignments records a grant here before it sends it.
type Assignment struct {
	Holder   string // VM instance that may change assignments; empty: none
	Address  string // HOST:PORT at which other VMs reach the holder
	Fence    int64  // highest fencing token in use
	Services map[string][]Entry
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
	// close together, so a part must be small to split them. 200 keys with a third of
	// the requests are spread over 50 backend servers.
	PartSize = 4
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
