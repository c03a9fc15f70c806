package keyspace

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// KeyCount is the estimated number of requests of one key, where older requests count
// less.
type KeyCount struct {
	// Unit is the hot key unit of the key.
	Unit Unit
	// Count is never below the true decayed count.
	Count float64
	// Error is the largest amount by which Count may exceed the true decayed count.
	Error float64
}

// Detector finds the most frequent keys with the space-saving algorithm; counts halve
// every half-life. Its capacity bounds its memory. It is not safe for concurrent use.
type Detector struct {
	capacity  int
	halfLife  time.Duration
	lastDecay time.Duration
	entries   entryHeap
	index     map[Unit]*heapEntry
}

// heapEntry is a count with its index in the heap.
type heapEntry struct {
	KeyCount
	heapIndex int
}

// NewDetector returns a detector that counts at most capacity keys at a time; the
// capacity must be positive.
func NewDetector(capacity int, halfLife time.Duration) *Detector {
	return &Detector{
		capacity: capacity,
		halfLife: halfLife,
		index:    make(map[Unit]*heapEntry, capacity),
	}
}

// Observe adds a number of requests to the count of the key with the hash.
func (d *Detector) Observe(hash Hash, requests float64) {
	unit := hash.HotUnit()
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

// replaceLeast replaces the key with the least count. The new key takes over that count
// as its error, since its earlier requests are unknown.
func (d *Detector) replaceLeast(unit Unit, requests float64) {
	least := d.entries[0]
	delete(d.index, least.Unit)
	least.Error = least.Count
	least.Count += requests
	least.Unit = unit
	d.index[unit] = least
	heap.Fix(&d.entries, 0)
}

// Decay lowers every count to its value at the monotonic time now.
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

// Top returns up to n keys whose true count is certainly at least minCount, in
// descending order of their estimated counts.
func (d *Detector) Top(n int, minCount float64) []KeyCount {
	found := make([]KeyCount, 0, len(d.entries))
	for _, entry := range d.entries {
		if entry.Count-entry.Error >= minCount {
			found = append(found, entry.KeyCount)
		}
	}
	slices.SortFunc(found, compareKeyCounts)
	return found[:min(n, len(found))]
}

// compareKeyCounts orders by descending count, then by unit.
func compareKeyCounts(a, b KeyCount) int {
	return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Unit, b.Unit))
}

// entryHeap has the least count at its root. It implements heap.Interface.
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
