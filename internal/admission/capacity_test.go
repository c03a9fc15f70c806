package admission

import (
	"testing"
	"time"
)

// BenchmarkGateAdmit measures the admission and the end of one request.
func BenchmarkGateAdmit(b *testing.B) {
	g := newTestGate(b)
	for b.Loop() {
		ticket, refusal := g.Admit(b.Context(), "w", time.Time{})
		if refusal.Refused() {
			b.Fatal(refusal.Reason)
		}
		ticket.Done(goodObservation)
	}
}
