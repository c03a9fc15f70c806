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

// lookupKey belongs to another workspace than sampleKey, so that looking owners up
// does not use the rate that a test's load needs.
const lookupKey = "example-key-pikine-nord"

// ownerOf asks for the key and returns the backend server that answered.
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

// neighbour returns a key of another slice that the backend server owns.
func neighbour(t *testing.T, cluster *Cluster, server string) string {
	t.Helper()
	for i := 0; ; i++ {
		if key := fmt.Sprintf("rue-%d", i); ownerOf(t, cluster, key) == server {
			return key
		}
	}
}

// paced sends requests with the interval between two until the context ends, and
// counts those that were not answered with status 200.
type paced struct {
	cluster *Cluster
	sent    sync.Map // request identifiers that were answered
	count   atomic.Int64
	failed  atomic.Int64
}

func (p *paced) run(ctx context.Context, t *testing.T, key string, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		address := p.cluster.VMs[i%len(p.cluster.VMs)].CallerAddress()
		resp, body, err := call{method: "POST", path: "/entretien/" + key, key: sampleKey}.send(context.Background(), address)
		p.count.Add(1)
		if err == nil && resp.StatusCode == http.StatusTooManyRequests {
			<-ticker.C // refused by the rate, which says nothing about moves
			continue
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			p.failed.Add(1)
			t.Log(key, err, string(body))
			return
		}
		p.sent.Store(resp.Header.Get(backend.HeaderRequestID), true)
		<-ticker.C
	}
}

// Guards against hot keys that stay together on one loaded backend server, that
// are never merged back, or whose moves lose requests or run them twice.
func TestHotKeysPartAndReturn(t *testing.T) {
	is := is.New(t)
	cluster, err := Start(t.Context(), Options{Example: "dakar", Listen: "127.0.0.1:0", RunTime: time.Millisecond, LoadInterval: 100 * time.Millisecond})
	is.NoErr(err)
	defer stopCluster(t, cluster)
	first := "bloc-17"
	second := neighbour(t, cluster, ownerOf(t, cluster, first))
	load := &paced{cluster: cluster}
	heated, cool := context.WithCancel(t.Context())
	defer cool()
	begin := time.Now()
	var running sync.WaitGroup
	for _, key := range []string{first, second, first, second} {
		running.Go(func() { load.run(heated, t, key, 25*time.Millisecond) })
	}
	is.True(awaitApart(cluster, hotUnit(first), hotUnit(second)))
	t.Logf("one of two hot keys of a backend server moved after %s", time.Since(begin))
	cool()
	running.Wait()
	begin = time.Now()
	for _, key := range []string{first, second} {
		is.True(awaitMerge(cluster, load, key))
	}
	t.Logf("merged back after %s", time.Since(begin))
	is.Equal(load.failed.Load(), int64(0))
	runs := runCounts(cluster)
	load.sent.Range(func(id, _ any) bool {
		is.Equal(runs[id.(string)], 1)
		return true
	})
	t.Logf("%d requests", load.count.Load())
}

func hotUnit(key string) uint64 { return uint64(keyspace.HashKey("entretien", key).Hot()) }

const moveTimeout = 8 * time.Second

// awaitApart waits until two hot keys ran as units of their own on different
// backend servers.
func awaitApart(cluster *Cluster, a, b uint64) bool {
	for end := time.Now().Add(moveTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		serverA, serverB := lastServer(cluster, a), lastServer(cluster, b)
		if serverA != "" && serverB != "" && serverA != serverB {
			return true
		}
	}
	return false
}

// lastServer returns the backend server on which the unit ran last.
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

// awaitMerge asks for the key now and then until its request runs in its slice.
func awaitMerge(cluster *Cluster, load *paced, key string) bool {
	slice := uint64(keyspace.Slice("entretien", key, 256))
	for end := time.Now().Add(moveTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, _, err := call{method: "POST", path: "/entretien/" + key, key: sampleKey}.send(context.Background(), cluster.VMs[0].CallerAddress())
		if err != nil || resp.StatusCode != http.StatusOK {
			load.failed.Add(1)
			continue
		}
		id := resp.Header.Get(backend.HeaderRequestID)
		load.sent.Store(id, true)
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

// runCounts returns how often each request ran.
func runCounts(cluster *Cluster) map[string]int {
	counts := make(map[string]int)
	for _, standin := range cluster.Backends {
		for _, run := range standin.Runs() {
			counts[run.RequestID]++
		}
	}
	return counts
}
