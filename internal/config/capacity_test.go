package config

import (
	"fmt"
	"testing"

	"fireflyfield/internal/capacity/statesize"
)

// BenchmarkConfigState measures the memory of the replayed configuration.
func BenchmarkConfigState(b *testing.B) {
	for _, resources := range []int{1000, 4000, 10_000} {
		b.Run(fmt.Sprintf("resources=%d", resources), func(b *testing.B) {
			statesize.Report(b, func() any { return stateOf(b, resources) })
		})
	}
}

// stateOf holds that many caller keys.
func stateOf(b *testing.B, resources int) *State {
	s := NewState()
	apply(s, put(b, workspace("clinic"), 0))
	for n := range resources {
		key := withDigest(callerKey(fmt.Sprintf("k%d", n), "clinic", 0), n)
		if result := apply(s, put(b, key, 0)); !result.Outcome.Accepted() {
			b.Fatal(result.Outcome.Refusal)
		}
	}
	s.View()
	return s
}

// BenchmarkConfigApply replays an encoded change of one caller key among 10,000.
func BenchmarkConfigApply(b *testing.B) {
	s := stateOf(b, 10_000)
	base := uint64(0)
	bytes := 0
	for b.Loop() {
		offset := s.Position() + 1
		data, err := Encode(NewRecord(id(offset), offset-1, put(b, callerKey("changed", "clinic", 1), base)))
		if err != nil {
			b.Fatal(err)
		}
		result, err := s.ApplyData(offset, data)
		if err != nil || !result.Outcome.Accepted() {
			b.Fatal(err, result.Outcome.Refusal)
		}
		base, bytes = result.Outcome.Offset, len(data)
	}
	b.ReportMetric(float64(bytes), "wire-B/op")
}
