package quota

import "testing"

// BenchmarkTake measures Take on a VM that has tokens.
func BenchmarkTake(b *testing.B) {
	h := NewHolder("vm0", "d", 1, DefaultPolicy)
	h.Take("w", simStart)
	out, _ := h.Poll(simStart)
	h.HandleReply(Reply{Workspace: "w", Seq: out[0].Sync.Seq, Grants: []Grant{{Tokens: 1 << 60, Lifetime: BatchLifetime}}}, simStart)
	for b.Loop() {
		if h.Take("w", simStart).Outcome != Granted {
			b.Fatal("request refused although the VM has tokens")
		}
	}
}
