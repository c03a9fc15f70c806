package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/keyspace"
	backendstandin "fireflyfield/internal/standin/backend"
)

// lookupKey is a caller key of another workspace than that of sampleKey, so that looking
// up owners does not use up the rate that a test's load needs.
const lookupKey = "example-key-pikine-nord"

// ownerOf sends a request for the key and returns the backend server that served it.
func ownerOf(t *testing.T, cluster *Cluster, key string) string {
	t.Helper()
	_, body, err := call{method: "GET", path: "/entretien/" + key, key: lookupKey}.send(t.Context(), cluster.VMs[0].CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	var echo backendstandin.Echo
	if err := json.Unmarshal(body, &echo); err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	return echo.Server
}

// otherKeyOwnedBy returns a key of the form rue-N that the backend server owns.
func otherKeyOwnedBy(t *testing.T, cluster *Cluster, server string) string {
	t.Helper()
	for i := 0; ; i++ {
		if key := fmt.Sprintf("rue-%d", i); ownerOf(t, cluster, key) == server {
			return key
		}
	}
}

// pacedLoad sends requests at fixed intervals and records which of them succeeded.
type pacedLoad struct {
	cluster   *Cluster
	succeeded sync.Map // identifiers of the requests with status 200
	attempts  atomic.Int64
	failed    atomic.Int64
}

// run sends a request for the key in each interval until the context ends. It stops at
// the first failure, other than a rejection by the rate limit.
func (p *pacedLoad) run(ctx context.Context, t *testing.T, key string, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		address := p.cluster.VMs[i%len(p.cluster.VMs)].CallerAddress()
		resp, body, err := call{method: "POST", path: "/entretien/" + key, key: sampleKey}.send(context.Background(), address)
		p.attempts.Add(1)
		if err == nil && resp.StatusCode == http.StatusTooManyRequests {
			<-ticker.C // rejected by the rate limit, which does not depend on moves
			continue
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			p.failed.Add(1)
			t.Log(key, err, string(body))
			return
		}
		p.succeeded.Store(resp.Header.Get(backend.HeaderRequestID), true)
		<-ticker.C
	}
}

// Guards against hot keys that stay on the same loaded backend server, hot keys that are
// never merged back into their slices, and moves that lose requests or run them twice.
func TestHotKeysSeparateAndMerge(t *testing.T) {
	is := is.New(t)
	cluster, err := Start(t.Context(), Options{Example: "dakar", Listen: "127.0.0.1:0", RunTime: time.Millisecond, LoadInterval: 100 * time.Millisecond})
	is.NoErr(err)
	defer stopCluster(t, cluster)
	first := "bloc-17"
	second := otherKeyOwnedBy(t, cluster, ownerOf(t, cluster, first))
	load := &pacedLoad{cluster: cluster}
	ctx, stopLoad := context.WithCancel(t.Context())
	defer stopLoad()
	begin := time.Now()
	var running sync.WaitGroup
	for _, key := range []string{first, second, first, second} {
		running.Go(func() { load.run(ctx, t, key, 25*time.Millisecond) })
	}
	is.True(awaitDifferentServers(cluster, hotUnit(first), hotUnit(second)))
	t.Logf("hot keys on different backend servers after %s", time.Since(begin))
	stopLoad()
	running.Wait()
	begin = time.Now()
	for _, key := range []string{first, second} {
		is.True(awaitMerge(cluster, load, key))
	}
	t.Logf("hot keys merged back into their slices after %s", time.Since(begin))
	is.Equal(load.failed.Load(), int64(0))
	runs := runCounts(cluster)
	load.succeeded.Range(func(id, _ any) bool {
		is.Equal(runs[id.(string)], 1)
		return true
	})
	t.Logf("%d requests sent", load.attempts.Load())
}

// hotUnit returns the unit of the key while it is hot.
func hotUnit(key string) uint64 { return uint64(keyspace.HashKey("entretien", key).HotUnit()) }

const moveTimeout = 8 * time.Second

// awaitDifferentServers waits until two hot keys, as units of their own, have run on
// different backend servers, and reports success.
func awaitDifferentServers(cluster *Cluster, a, b uint64) bool {
	for end := time.Now().Add(moveTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		serverA, serverB := lastServer(cluster, a), lastServer(cluster, b)
		if serverA != "" && serverB != "" && serverA != serverB {
			return true
		}
	}
	return false
}

// lastServer returns the backend server at which a request of the unit started last.
func lastServer(cluster *Cluster, unit uint64) string {
	var last time.Time
	var found string
	for name, standin := range cluster.Backends {
		for _, run := range standin.Runs() {
			if run.Unit == unit && run.Start.After(last) {
				last, found = run.Start, name
			}
		}
	}
	return found
}

// awaitMerge sends a request for the key every 100 ms until one runs under the unit of
// the key's slice, and reports success.
func awaitMerge(cluster *Cluster, load *pacedLoad, key string) bool {
	slice := uint64(keyspace.Slice("entretien", key, 256))
	for end := time.Now().Add(moveTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, _, err := call{method: "POST", path: "/entretien/" + key, key: sampleKey}.send(context.Background(), cluster.VMs[0].CallerAddress())
		if err != nil || resp.StatusCode != http.StatusOK {
			load.failed.Add(1)
			continue
		}
		id := resp.Header.Get(backend.HeaderRequestID)
		load.succeeded.Store(id, true)
		for _, standin := range cluster.Backends {
			for _, run := range standin.Runs() {
				if run.RequestID == id && run.Unit == slice {
					return true
				}
			}
		}
	}
	return false
}

// runCounts returns how many times each request ran, by request identifier.
func runCounts(cluster *Cluster) map[string]int {
	counts := make(map[string]int)
	for _, standin := range cluster.Backends {
		for _, run := range standin.Runs() {
			counts[run.RequestID]++
		}
	}
	return counts
}
