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
			statesize.Report(b, func() any { return stateWithCallerKeys(b, resources) })
		})
	}
}

// stateWithCallerKeys returns a state with the number of caller keys.
func stateWithCallerKeys(b *testing.B, resources int) *State {
	s := NewState()
	applyChanges(s, putChange(b, workspace("clinic"), 0))
	for n := range resources {
		key := withDigest(callerKey(fmt.Sprintf("k%d", n), "clinic", 0), n)
		if result := applyChanges(s, putChange(b, key, 0)); !result.Outcome.Accepted() {
			b.Fatal(result.Outcome.Refusal)
		}
	}
	s.View()
	return s
}

// BenchmarkConfigApply measures the decoding and replay of a change of one caller key
// among 10,000, and reports the size of the encoded record.
func BenchmarkConfigApply(b *testing.B) {
	s := stateWithCallerKeys(b, 10_000)
	base := uint64(0)
	bytes := 0
	for b.Loop() {
		offset := s.Position() + 1
		data, err := Encode(NewRecord(recordID(offset), offset-1, putChange(b, callerKey("changed", "clinic", 1), base)))
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
