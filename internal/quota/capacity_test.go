package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fireflyfield/internal/capacity/statesize"
)

func capacityKeeper(now time.Time) *Keeper {
	return NewKeeper(KeeperConfig{
		Workspace: "w", Domain: "d", Term: 1, Limit: Limit{Rate: 1e6, Burst: 1 << 30},
		LeaseUntil: now.Add(1000 * time.Hour), Policy: DefaultPolicy,
	}, now)
}

// BenchmarkKeeper measures the memory of a keeper by the VMs that hold a batch.
func BenchmarkKeeper(b *testing.B) {
	for _, holders := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			statesize.Report(b, func() any {
				now := time.Unix(0, 0)
				k := capacityKeeper(now)
				for i := range holders {
					sync := Sync{Workspace: "w", Holder: fmt.Sprintf("vm-%d", i), Instance: 1, Term: 1, Seq: 1, Want: 10, Need: 10, Complete: true}
					k.HandleSync(sync, now.Add(time.Second))
				}
				return k
			})
		})
	}
}

// BenchmarkKeeperDraw measures one draw with the report of the batch before.
func BenchmarkKeeperDraw(b *testing.B) {
	now := time.Unix(0, 0)
	k := capacityKeeper(now)
	now = now.Add(time.Second)
	sync := Sync{Workspace: "w", Holder: "vm", Instance: 1, Term: 1, Want: 10, Need: 10, Complete: true}
	bytes := 0
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		sync.Seq++
		sync.Batches = []BatchState{{ID: BatchID{Term: 1, Seq: sync.Seq - 1}, Tokens: 10, Spent: 10}}
		out := k.HandleSync(sync, now)
		if len(out) != 1 || out[0].Reply.tokens() == 0 {
			b.Fatal("no tokens")
		}
		bytes = encodedSize(b, sync) + encodedSize(b, out[0].Reply)
	}
	b.ReportMetric(float64(bytes), "wire-B/op")
}

func encodedSize(b *testing.B, message any) int {
	data, err := cbor.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
