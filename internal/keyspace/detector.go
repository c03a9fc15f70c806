package keyspace

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// Counted is an estimate of how often a key was seen, decayed over time.
type Counted struct {
	Unit Unit
	// Count is never below the true decayed count.
	Count float64
	// Error is the most by which Count may exceed the true decayed count.
	Error float64
}

// Detector finds the most frequent keys with a space-saving counter whose counts
// halve every half-life. Its memory is fixed by its capacity. It is not safe for
// concurrent use.
type Detector struct {
	capacity int
	halfLife time.Duration
	decayed  time.Duration
	entries  counterHeap
	index    map[Unit]*counter
}

type counter struct {
	Counted
	position int
}

// NewDetector returns a detector that follows at most capacity keys.
func NewDetector(capacity int, halfLife time.Duration) *Detector {
	return &Detector{
		capacity: capacity,
		halfLife: halfLife,
		index:    make(map[Unit]*counter, capacity),
	}
}

// Observe counts requests of the key with the hash.
func (d *Detector) Observe(hash Hash, requests float64) {
	unit := hash.Hot()
	if entry, found := d.index[unit]; found {
		entry.Count += requests
		heap.Fix(&d.entries, entry.position)
		return
	}
	if len(d.entries) < d.capacity {
		entry := &counter{Counted: Counted{Unit: unit, Count: requests}}
		d.index[unit] = entry
		heap.Push(&d.entries, entry)
		return
	}
	d.replaceLeast(unit, requests)
}

func (d *Detector) replaceLeast(unit Unit, requests float64) {
	least := d.entries[0]
	delete(d.index, least.Unit)
	least.Error = least.Count
	least.Count += requests
	least.Unit = unit
	d.index[unit] = least
	heap.Fix(&d.entries, 0)
}

// Decay lowers every count to its value at now, a reading of a monotonic clock.
func (d *Detector) Decay(now time.Duration) {
	elapsed := now - d.decayed
	if elapsed <= 0 {
		return
	}
	d.decayed = now
	factor := math.Exp2(-float64(elapsed) / float64(d.halfLife))
	for _, entry := range d.entries {
		entry.Count *= factor
		entry.Error *= factor
	}
}

// Top returns up to n keys whose count is certainly at least floor, the most
// frequent first.
func (d *Detector) Top(n int, floor float64) []Counted {
	found := make([]Counted, 0, len(d.entries))
	for _, entry := range d.entries {
		if entry.Count-entry.Error >= floor {
			found = append(found, entry.Counted)
		}
	}
	slices.SortFunc(found, compareCounted)
	return found[:min(n, len(found))]
}

func compareCounted(a, b Counted) int {
	return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Unit, b.Unit))
}

type counterHeap []*counter

func (h counterHeap) Len() int           { return len(h) }
func (h counterHeap) Less(i, j int) bool { return h[i].Count < h[j].Count }

func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

func (h *counterHeap) Push(x any) {
	entry := x.(*counter)
	entry.position = len(*h)
	*h = append(*h, entry)
}

func (h *counterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
