// Package statesize measures the heap memory used by a data structure, for the
// benchmarks that package capacity extrapolates. Which structures and sizes are measured
// is up to the benchmarks.
package statesize

import (
	"runtime"
	"testing"
)

// Unit is the unit of the benchmark column from which package capacity takes the size.
const Unit = "state-B"

// Report builds the state once and reports the growth of the heap in bytes as a metric of
// the benchmark. The benchmark loop is empty, since the size doesn't depend on the number
// of iterations.
func Report(b *testing.B, build func() any) {
	before := heapInUse()
	state := build()
	after := heapInUse()
	runtime.KeepAlive(state)
	for b.Loop() {
	}
	b.ReportMetric(float64(after)-float64(before), Unit)
}

// heapInUse returns the bytes of allocated heap objects after garbage collection. It
// collects twice, so that memory held by finalizers and pools is freed as well.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
