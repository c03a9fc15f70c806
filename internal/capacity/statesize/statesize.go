// Package statesize measures the memory that a piece of state takes, for the
// benchmarks that package capacity extrapolates.
package statesize

import (
	"runtime"
	"testing"
)

// Unit is the column under which package capacity looks for the size.
const Unit = "state-B"

// Report builds the state once and reports by how much the heap grew. The rest of
// the benchmark loop is empty, since the size does not depend on time.
func Report(b *testing.B, build func() any) {
	before := heap()
	state := build()
	after := heap()
	runtime.KeepAlive(state)
	for b.Loop() {
	}
	b.ReportMetric(float64(after)-float64(before), Unit)
}

// heap returns the bytes in use after a collection. Two collections also free what
// finalizers and pools held.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
