package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fireflyfield/internal/capacity/statesize"
)

// newBenchmarkKeeper returns a keeper whose lease and tokens outlast the benchmark.
func newBenchmarkKeeper(now time.Time) *Keeper {
	return NewKeeper(KeeperConfig{
		Workspace: "w", Domain: "d", Term: 1, Limit: Limit{Rate: 1e6, Burst: 1 << 30},
		LeaseUntil: now.Add(1000 * time.Hour), Policy: DefaultPolicy,
	}, now)
}

// BenchmarkKeeper measures the memory of a keeper as a function of the number of VMs
// that have a batch.
func BenchmarkKeeper(b *testing.B) {
	for _, holders := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			statesize.Report(b, func() any {
				now := time.Unix(0, 0)
				k := newBenchmarkKeeper(now)
				for i := range holders {
					sync := Sync{Workspace: "w", Holder: fmt.Sprintf("vm-%d", i), Instance: 1, Term: 1, Seq: 1, Want: 10, Need: 10, Complete: true}
					k.HandleSync(sync, now.Add(time.Second))
				}
				return k
			})
		})
	}
}

// BenchmarkKeeperDraw measures a sync that reports the previous batch as spent and gets
// the next one, and the encoded size of both messages.
func BenchmarkKeeperDraw(b *testing.B) {
	now := time.Unix(0, 0)
	k := newBenchmarkKeeper(now)
	now = now.Add(time.Second)
	sync := Sync{Workspace: "w", Holder: "vm", Instance: 1, Term: 1, Want: 10, Need: 10, Complete: true}
	bytes := 0
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		sync.Seq++
		sync.Batches = []BatchState{{ID: BatchID{Term: 1, Seq: sync.Seq - 1}, Tokens: 10, Spent: 10}}
		out := k.HandleSync(sync, now)
		if len(out) != 1 || out[0].Reply.tokens() == 0 {
			b.Fatal("keeper granted no tokens")
		}
		bytes = encodedSize(b, sync) + encodedSize(b, out[0].Reply)
	}
	b.ReportMetric(float64(bytes), "wire-B/op")
}

// encodedSize returns the length of the message in CBOR, in bytes.
func encodedSize(b *testing.B, message any) int {
	data, err := cbor.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
