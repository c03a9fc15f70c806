package config

import (
	"fmt"
	"testing"
)

// BenchmarkApply replays changes of one caller key among 10,000.
func BenchmarkApply(b *testing.B) {
	s := largeState(b)
	base := uint64(0)
	for b.Loop() {
		result := apply(s, put(b, callerKey("changed", "clinic", 1), base))
		if !result.Outcome.Accepted() {
			b.Fatal(result.Outcome.Refusal)
		}
		base = result.Outcome.Offset
	}
}

// BenchmarkView makes a view after each change of one caller key among 10,000.
func BenchmarkView(b *testing.B) {
	s := largeState(b)
	base := uint64(0)
	for b.Loop() {
		base = apply(s, put(b, callerKey("changed", "clinic", 1), base)).Outcome.Offset
		s.View()
	}
}

// BenchmarkSnapshot encodes 10,000 caller keys.
func BenchmarkSnapshot(b *testing.B) {
	s := largeState(b)
	for b.Loop() {
		b.SetBytes(int64(len(snapshotOf(b, s))))
	}
}

func largeState(b *testing.B) *State {
	b.Helper()
	s := NewState()
	apply(s, put(b, workspace("clinic"), 0))
	for n := range 10_000 {
		key := callerKey(fmt.Sprintf("k%d", n), "clinic", 0)
		if result := apply(s, put(b, withDigest(key, n), 0)); !result.Outcome.Accepted() {
			b.Fatal(result.Outcome.Refusal)
		}
	}
	return s
}
