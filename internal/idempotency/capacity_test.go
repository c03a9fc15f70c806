package idempotency

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fireflyfield/internal/capacity/statesize"
)

// benchmarkResult is a response of 1 KiB.
var benchmarkResult = Result{Status: 200, Body: make([]byte, 1<<10)}

// newBenchmarkHolder returns a holder of term 1 with a lease of 1000 h.
func newBenchmarkHolder(backup string) *Store {
	s := NewStore(0)
	now := time.Unix(0, 0)
	s.SetRole(Role{Term: 1, Holder: true, Backup: backup, LeaseUntil: now.Add(1000 * time.Hour)}, now)
	return s
}

// runRequest begins and finishes one request with a key of its own.
func runRequest(b *testing.B, s *Store, n int) {
	key := Key{Workspace: strconv.Itoa(n % 8), Value: strconv.Itoa(n)}
	now := time.Unix(0, 0).Add(time.Duration(n) * time.Second)
	decision := s.Begin(key, Fingerprint{}, now)
	if decision.Outcome != Run {
		b.Fatal(decision.Outcome, decision.Reason)
	}
	result := benchmarkResult
	result.Body = append([]byte(nil), benchmarkResult.Body...)
	s.Finish(key, decision.RunID, result, now)
}

// BenchmarkIdempotencyStore measures the memory of entries with results of 1 KiB.
func BenchmarkIdempotencyStore(b *testing.B) {
	for _, entries := range []int{100, 250, 500} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			statesize.Report(b, func() any {
				s := newBenchmarkHolder("")
				for n := range entries {
					runRequest(b, s, n)
				}
				return s
			})
		})
	}
}

// BenchmarkIdempotencyPut measures Begin and Finish of one request with a result of
// 1 KiB on the holder, and the encoded size of the two changes that a backup gets.
func BenchmarkIdempotencyPut(b *testing.B) {
	s := newBenchmarkHolder("")
	n := 0
	for b.Loop() {
		runRequest(b, s, n)
		n++
	}
	entry := Entry{Key: Key{Workspace: "w", Value: "key"}}
	intent := encodedSize(b, Change{Put: &entry})
	entry.Result = &benchmarkResult
	b.ReportMetric(float64(intent+encodedSize(b, Change{Put: &entry})), "wire-B/op")
}

func encodedSize(b *testing.B, message any) int {
	data, err := cbor.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
