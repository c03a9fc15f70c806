package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPick measures one Pick and its Done for several numbers of backend servers.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			p, err := New(Config{FailureDomain: "a", Policy: TwoChoices, Slots: 4, Random: rand.New(rand.NewPCG(1, 1)), Now: time.Now})
			if err != nil {
				b.Fatal(err)
			}
			var servers []Server
			for i := range count {
				servers = append(servers, Server{Name: fmt.Sprintf("s%d", i), FailureDomain: "ab"[i%2 : i%2+1]})
			}
			p.SetServers(servers)
			for b.Loop() {
				choice, err := p.Pick(Options{})
				if err != nil {
					b.Fatal(err)
				}
				choice.Done(Result{Kind: Answered, Latency: time.Millisecond})
			}
		})
	}
}
