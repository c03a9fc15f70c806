package check

import (
	"fmt"
	"slices"
	"testing"

	"fireflyfield/internal/trace"
)

// BenchmarkRun measures the time per event of all checkers on a trace of 20,000
// requests.
func BenchmarkRun(b *testing.B) {
	s := cleanScenario()
	for i := range 20_000 {
		s.run(testRequest{id: fmt.Sprintf("b%d", i), receivedAt: 20000 + int64(i)/4, callerKey: trace.DigestOf([]byte("key3")), server: e2, unit: 1, keyHash: 77})
	}
	slices.SortStableFunc(s.events, func(x, y trace.Event) int { return int(x.Time - y.Time) })
	seq := make(map[string]uint64)
	for i := range s.events {
		seq[s.events[i].VM]++
		s.events[i].Seq = seq[s.events[i].VM]
	}
	for b.Loop() {
		Run(s.events, DefaultOptions())
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(s.events)), "ns/event")
}
