package dev

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/outcome"
	backendstandin "fireflyfield/internal/standin/backend"
)

// stopCluster closes the test's idle connections and then stops the cluster. Without
// this, stopping waits 5 s for connections that have not carried a request yet.
func stopCluster(t *testing.T, cluster *Cluster) {
	t.Helper()
	http.DefaultClient.CloseIdleConnections()
	if err := cluster.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// saturationKeys are caller keys of workspaces whose rates add up to 1500 requests/s.
var saturationKeys = []string{sampleKey, "example-key-pikine-nord", "example-key-gare-routiere"}

// saturate keeps the given number of requests to the path in flight, spread over VMs and
// workspaces, until the context ends. It returns the number of responses by status;
// status 0 stands for requests without a response.
func saturate(ctx context.Context, cluster *Cluster, path string, inFlight int) map[int]int {
	var mu sync.Mutex
	var running sync.WaitGroup
	statuses := make(map[int]int)
	for i := range inFlight {
		running.Go(func() {
			address := cluster.VMs[i%len(cluster.VMs)].CallerAddress()
			for ctx.Err() == nil {
				status := 0
				if resp, _, err := (call{method: "POST", path: path, key: saturationKeys[i%len(saturationKeys)]}).send(context.Background(), address); err == nil {
					status = resp.StatusCode
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				if status == http.StatusTooManyRequests {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	running.Wait()
	return statuses
}

// rotaSlots is the number of slots of each backend server of the service rota in the
// example, and rotaServers is the number of these servers.
const (
	rotaSlots   = 4
	rotaServers = 4
)

// awaitCondition polls until the condition holds, and fails the test after 2 min.
func awaitCondition(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Minute); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Error("condition does not hold within 2 min: " + condition)
			return
		}
	}
}

// totalRuns returns the number of requests that ran at all backend servers.
func totalRuns(cluster *Cluster) int {
	runs := 0
	for _, standin := range cluster.Backends {
		runs += len(standin.Runs())
	}
	return runs
}

// Guards against VMs that together send a cold backend server more requests than its
// reduced capacity: when the deployment starts, and after unannounced restarts under full
// load, also with load reports that falsely show idle and warm servers. Restarts are timed
// by the number of runs and not by the clock, because on a busy machine the deployment
// serves fewer requests per second. BenchmarkFullLoad measures that rate.
func TestColdStartUnderFullLoad(t *testing.T) {
	for _, misreported := range []bool{false, true} {
		t.Run(fmt.Sprintf("misreported=%t", misreported), func(t *testing.T) { restartUnderLoad(t, misreported) })
	}
}

// Guards against requests that are rejected, or fail other than by a restart, under full
// load.
func TestNoRejectionUnderFullLoad(t *testing.T) {
	is := is.New(t)
	for _, misreported := range []bool{false, true} {
		statuses := restartUnderLoad(t, misreported)
		total := 0
		for _, n := range statuses {
			total += n
		}
		is.Equal(total-statuses[http.StatusBadGateway], statuses[http.StatusOK])
	}
}

// restartUnderLoad restarts the backend servers of rota one after the other under full
// load, checks that none crashed, and returns the number of responses by status.
func restartUnderLoad(t *testing.T, misreported bool) map[int]int {
	t.Helper()
	is := is.New(t)
	cluster, err := Start(t.Context(), Options{Example: "dakar", Listen: "127.0.0.1:0", RunTime: 40 * time.Millisecond, WarmAfter: 40})
	is.NoErr(err)
	defer stopCluster(t, cluster)
	for _, standin := range cluster.Backends {
		standin.SetFaults(backendstandin.Faults{MisreportLoad: misreported})
	}
	ctx, stop := context.WithCancel(t.Context())
	maxLost := 0 // requests that the restarts can have interrupted
	runsAtRestart := make(map[string]int)
	restarts := make(chan struct{})
	go func() {
		defer close(restarts)
		defer stop()
		for i := 1; i <= rotaServers; i++ {
			awaitCondition(t, "enough runs before the restart", func() bool { return totalRuns(cluster) >= 500*i })
			name := fmt.Sprintf("rota-%d", i)
			runsAtRestart[name] = len(cluster.Backends[name].Runs())
			cluster.Backends[name].Restart()
			maxLost += rotaSlots
		}
		for name, runs := range runsAtRestart {
			awaitCondition(t, name+" is warm again", func() bool { return len(cluster.Backends[name].Runs()) > runs+40 })
		}
	}()
	statuses := saturate(ctx, cluster, "/rota/plan", 64)
	<-restarts
	t.Logf("responses by status: %v", statuses)
	for name, standin := range cluster.Backends {
		if n := standin.Crashes(); n > 0 {
			t.Errorf("%s crashed %d times by overload while cold", name, n)
		}
	}
	// Requests that ran during a restart have an unknown outcome, status 502.
	is.True(statuses[http.StatusBadGateway] <= maxLost)
	return statuses
}

// BenchmarkFullLoad measures how many requests per second the example serves under full
// load.
func BenchmarkFullLoad(b *testing.B) {
	for range b.N {
		cluster, err := Start(b.Context(), Options{Example: "dakar", Listen: "127.0.0.1:0", RunTime: 40 * time.Millisecond, WarmAfter: 40})
		if err != nil {
			b.Fatal(err)
		}
		ctx, stop := context.WithTimeout(b.Context(), 5*time.Second)
		statuses := saturate(ctx, cluster, "/rota/plan", 64)
		stop()
		b.ReportMetric(float64(statuses[http.StatusOK])/5, "answers/s")
		http.DefaultClient.CloseIdleConnections()
		if err := cluster.Stop(context.Background()); err != nil {
			b.Error(err)
		}
	}
}

// requestsInFlight returns the number of requests that are running at the stand-ins.
func requestsInFlight(cluster *Cluster) int {
	n := 0
	for _, standin := range cluster.Backends {
		n += standin.InFlight()
	}
	return n
}

// awaitIdle waits, at most 2 s, until no request is running, and reports success.
func awaitIdle(cluster *Cluster) bool {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if requestsInFlight(cluster) == 0 {
			return true
		}
	}
	return false
}

// Guards against requests that keep running at a backend server after the caller has
// disconnected or the deadline has passed, and against a request that timed out being
// reported as not run.
func TestAbandonedRequestsAreCancelled(t *testing.T) {
	is := is.New(t)
	cluster, err := Start(t.Context(), Options{Example: "dakar", Listen: "127.0.0.1:0", RunTime: time.Minute})
	is.NoErr(err)
	defer stopCluster(t, cluster)
	for _, path := range []string{"/rota/plan", "/entretien/bloc-17"} {
		for _, started := range cluster.VMs { // through local and remote gates
			ctx, disconnect := context.WithCancel(t.Context())
			var ended atomic.Bool
			go func() {
				_, _, _ = call{method: "POST", path: path, key: sampleKey}.send(ctx, started.CallerAddress())
				ended.Store(true)
			}()
			for end := time.Now().Add(2 * time.Second); requestsInFlight(cluster) == 0 && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			is.Equal(requestsInFlight(cluster), 1)
			disconnect()
			is.True(awaitIdle(cluster))
		}
	}
	begin := time.Now()
	resp, _, err := call{method: "POST", path: "/entretien/bloc-17", key: sampleKey}.send(t.Context(), cluster.VMs[0].CallerAddress())
	is.NoErr(err)
	t.Logf("response with status %d after %s", resp.StatusCode, time.Since(begin))
	is.Equal(resp.Header.Get(outcome.Header), "unknown")
	is.True(time.Since(begin) < 6*time.Second) // the service's timeout is 5 s
	is.True(awaitIdle(cluster))
	is.Equal(len(runCounts(cluster)), 0)
}
