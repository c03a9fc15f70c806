package dev

import (
	"io"
	"net/http"
	"testing"

	"go.uber.org/zap"
)

// benchmarkRate is the rate of each workspace in requests/s, more than a benchmark can
// reach.
const benchmarkRate = 100_000

// BenchmarkPath measures one request in each of three ways: directly to a backend
// server, through the VM that is its gate, and through another VM.
func BenchmarkPath(b *testing.B) {
	cluster, err := Start(b.Context(), Options{Example: "dakar", Listen: "127.0.0.1:0", Logger: zap.NewNop(), Rate: benchmarkRate})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = cluster.Stop(b.Context()) }()
	b.Run("direct", func(b *testing.B) { benchmarkGet(b, cluster.servers[1].Addr) })
	for _, started := range cluster.VMs {
		b.Run(started.Name(), func(b *testing.B) { benchmarkGet(b, started.CallerAddress()) })
	}
}

// benchmarkGet sends the example's sample request to the address, over and over.
func benchmarkGet(b *testing.B, address string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+sampleRequests["dakar"].path, nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+sampleKey)
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
	}
}
