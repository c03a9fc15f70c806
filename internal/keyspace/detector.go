package keyspace

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// KeyCount is an estimate of how often a key was seen, decayed over time.
type KeyCount struct {
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
	lastDecay  time.Duration
	entries  entryHeap
	index    map[Unit]*heapEntry
}

type heapEntry struct {
	KeyCount
	heapIndex int
}

// NewDetector returns a detector that follows at most capacity keys.
func NewDetector(capacity int, halfLife time.Duration) *Detector {
	return &Detector{
		capacity: capacity,
		halfLife: halfLife,
		index:    make(map[Unit]*heapEntry, capacity),
	}
}

// Observe counts requests of the key with the hash.
func (d *Detector) Observe(hash Hash, requests float64) {
	unit := hash.Hot()
	if entry, found := d.index[unit]; found {
		entry.Count += requests
		heap.Fix(&d.entries, entry.heapIndex)
		return
	}
	if len(d.entries) < d.capacity {
		entry := &heapEntry{KeyCount: KeyCount{Unit: unit, Count: requests}}
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
	elapsed := now - d.lastDecay
	if elapsed <= 0 {
		return
	}
	d.lastDecay = now
	factor := math.Exp2(-float64(elapsed) / float64(d.halfLife))
	for _, entry := range d.entries {
		entry.Count *= factor
		entry.Error *= factor
	}
}

// Top returns up to n keys whose count is certainly at least floor, the most
// frequent first.
func (d *Detector) Top(n int, floor float64) []KeyCount {
	found := make([]KeyCount, 0, len(d.entries))
	for _, entry := range d.entries {
		if entry.Count-entry.Error >= floor {
			found = append(found, entry.KeyCount)
		}
	}
	slices.SortFunc(found, compareKeyCounts)
	return found[:min(n, len(found))]
}

func compareKeyCounts(a, b KeyCount) int {
	return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Unit, b.Unit))
}

type entryHeap []*heapEntry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].Count < h[j].Count }

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *entryHeap) Push(x any) {
	entry := x.(*heapEntry)
	entry.heapIndex = len(*h)
	*h = append(*h, entry)
}

func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
