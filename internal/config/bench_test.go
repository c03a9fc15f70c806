package config

import (
	"fmt"
	"testing"
)

// BenchmarkApply measures the replay of a change of one caller key among 10,000.
func BenchmarkApply(b *testing.B) {
	s := stateWithCallerKeys10k(b)
	base := uint64(0)
	for b.Loop() {
		result := applyChanges(s, putChange(b, callerKey("changed", "clinic", 1), base))
		if !result.Outcome.Accepted() {
			b.Fatal(result.Outcome.Refusal)
		}
		base = result.Outcome.Offset
	}
}

// BenchmarkView measures the replay of a change of one caller key among 10,000,
// including the new view.
func BenchmarkView(b *testing.B) {
	s := stateWithCallerKeys10k(b)
	base := uint64(0)
	for b.Loop() {
		base = applyChanges(s, putChange(b, callerKey("changed", "clinic", 1), base)).Outcome.Offset
		s.View()
	}
}

// BenchmarkSnapshot measures the encoding of a snapshot of 10,000 caller keys.
func BenchmarkSnapshot(b *testing.B) {
	s := stateWithCallerKeys10k(b)
	for b.Loop() {
		b.SetBytes(int64(len(encodedState(b, s))))
	}
}

func stateWithCallerKeys10k(b *testing.B) *State {
	b.Helper()
	s := NewState()
	applyChanges(s, putChange(b, workspace("clinic"), 0))
	for n := range 10_000 {
		key := callerKey(fmt.Sprintf("k%d", n), "clinic", 0)
		if result := applyChanges(s, putChange(b, withDigest(key, n), 0)); !result.Outcome.Accepted() {
			b.Fatal(result.Outcome.Refusal)
		}
	}
	return s
}
