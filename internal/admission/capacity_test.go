package admission

import (
	"testing"
	"time"
)

// BenchmarkGateAdmit measures one admission and its end.
func BenchmarkGateAdmit(b *testing.B) {
	g := newTestGate(b)
	for b.Loop() {
		ticket, refusal := g.Admit(b.Context(), "w", time.Time{})
		if refusal.Refused() {
			b.Fatal(refusal.Reason)
		}
		ticket.Done(good)
	}
}
