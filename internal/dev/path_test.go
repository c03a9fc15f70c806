package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/outcome"
	"fireflyfield/internal/resource"
	backendstandin "fireflyfield/internal/standin/backend"
	"fireflyfield/internal/vm"
)

// sampleKey is a caller key of the workspace sandaga in the example dakar.
const sampleKey = "example-key-sandaga"

// startDakar starts the example dakar and stops it at the end of the test.
func startDakar(t *testing.T) *Cluster {
	t.Helper()
	cluster, err := Start(t.Context(), Options{Example: "dakar", Listen: "127.0.0.1:0", RunTime: time.Millisecond, LeaveDelay: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := cluster.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return cluster
}

// call describes one request of a caller; key is the caller key, empty for none.
type call struct {
	method, path, key, body string
	header                  http.Header
}

// send sends the request and returns the response and its whole body.
func (c call) send(ctx context.Context, address string) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// Guards against rejections that do not state their reason, are not marked as not run, or
// repeat the caller key.
func TestRejectionsNameTheirReason(t *testing.T) {
	cluster := startDakar(t)
	cases := []struct {
		name   string
		call   call
		status int
		reason string
	}{
		{"no caller key", call{method: "GET", path: "/entretien/a"}, 401, "no-caller-key"},
		{"unknown caller key", call{method: "GET", path: "/entretien/a", key: "wrong"}, 401, "unknown-caller-key"},
		{"unknown service", call{method: "GET", path: "/nothing/a", key: sampleKey}, 404, "unknown-service"},
		{"no service", call{method: "GET", path: "/", key: sampleKey}, 404, "no-service"},
		{"no owned key", call{method: "GET", path: "/entretien/", key: sampleKey}, 400, "no-key"},
		{"body too large", call{method: "POST", path: "/rota/a", key: sampleKey, body: strings.Repeat("x", 1<<20+1)}, 413, "body-too-large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resp, body, err := c.call.send(t.Context(), cluster.VMs[0].CallerAddress())
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get("Content-Type"), "application/problem+json")
			is.Equal(resp.Header.Get(outcome.Header), "not-run")
			var problem struct{ Reason, Detail string }
			is.NoErr(json.Unmarshal(body, &problem))
			is.Equal(problem.Reason, c.reason)
			is.True(problem.Detail != "")
			is.True(!strings.Contains(string(body), "wrong")) // must not repeat the caller key
		})
	}
}

// Guards against a caller key that is forwarded to a backend server, from any header or
// from the query.
func TestBackendServerSeesNoCallerKey(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	requests := []call{
		{method: "GET", path: "/rota/plan", key: sampleKey},
		{method: "POST", path: "/entretien/bloc-1?token=" + sampleKey + "&x=1", key: sampleKey, header: http.Header{"X-Api-Key": {sampleKey}, "Cookie": {"k=" + sampleKey}}},
	}
	for _, request := range requests {
		resp, body, err := request.send(t.Context(), cluster.VMs[0].CallerAddress())
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(!strings.Contains(string(body), sampleKey))
	}
}

// Guards against callers that set headers reserved for use between VMs and backend
// servers.
func TestInternalHeadersAreRemoved(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	header := http.Header{"Fireflyfield-Workspace": {"mairie"}, "Fireflyfield-Fence": {"9.9"}, "Backend-Instance": {"x"}}
	resp, body, err := call{method: "GET", path: "/rota/plan", key: sampleKey, header: header}.send(t.Context(), cluster.VMs[0].CallerAddress())
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	var echo backendstandin.Echo
	is.NoErr(json.Unmarshal(body, &echo))
	is.Equal(echo.Workspace, "sandaga")
	is.Equal(echo.Header.Get("Fireflyfield-Fence"), "")
}

// Guards against a response that a backend server truncated being passed on as complete.
func TestTruncatedResponseIsDetected(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	for _, standin := range cluster.Backends {
		standin.SetFaults(backendstandin.Faults{CutAfterBytes: 20})
	}
	for _, started := range cluster.VMs {
		_, _, err := call{method: "POST", path: "/entretien/bloc-17", key: sampleKey}.send(t.Context(), started.CallerAddress())
		is.True(err != nil) // the connection must break before Content-Length is reached
	}
}

// Guards against a planned stop of a VM that fails requests.
func TestPlannedVMStopFailsNoRequest(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	// The failure domain needs a second VM to take over the roles of the stopped one.
	second, err := cluster.AddVM("vm-medina-2", "medina", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(second.AwaitReady(t.Context()))
	load := startLoad(t, cluster)
	time.Sleep(200 * time.Millisecond)
	begin := time.Now()
	is.NoErr(cluster.StopVM(context.Background(), cluster.VMs[1]))
	t.Logf("stop took %s", time.Since(begin))
	time.Sleep(200 * time.Millisecond)
	load.finish()
	is.True(load.sent.Load() > 0)
	is.Equal(load.failed.Load(), int64(0))
}

// Guards against a planned stop of a backend server that fails requests. The server is
// drained first and stopped when no request is left at it.
func TestPlannedBackendServerStopFailsNoRequest(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	load := startLoad(t, cluster)
	time.Sleep(200 * time.Millisecond)
	leaving := cluster.Backends["entretien-2"]
	is.NoErr(cluster.Put(t.Context(), resource.Resource{
		APIVersion: resource.APIVersion,
		Metadata:   resource.Metadata{Name: "leave"},
		Spec:       &resource.DrainSpec{BackendServer: &resource.BackendTarget{Service: "entretien", Name: "entretien-2"}},
	}))
	time.Sleep(drainDelay)
	before := len(leaving.Runs())
	leaving.Restart() // aborts any request that is still running there
	time.Sleep(500 * time.Millisecond)
	load.finish()
	is.True(load.sent.Load() > 0)
	is.Equal(load.failed.Load(), int64(0))
	is.Equal(len(leaving.Runs()), before) // no new requests
}

// drainDelay is the time after which a drained backend server must not receive new
// requests.
const drainDelay = 3 * time.Second

// load sends non-idempotent requests through all ready VMs and counts the failed ones.
type load struct {
	sent, failed atomic.Int64
	stop         context.CancelFunc
	running      sync.WaitGroup
}

// startLoad starts the load, which runs until finish is called.
func startLoad(t *testing.T, cluster *Cluster) *load {
	t.Helper()
	const workers = 8
	ctx, stop := context.WithCancel(t.Context())
	l := &load{stop: stop}
	for range workers {
		l.running.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				l.request(t, readyVM(cluster, i).CallerAddress(), i)
				time.Sleep(40 * time.Millisecond) // stays within the workspace's rate
			}
		})
	}
	return l
}

func (l *load) request(t *testing.T, address string, i int) {
	resp, body, err := call{method: "POST", path: fmt.Sprintf("/entretien/bloc-%d", i%40), key: sampleKey}.send(context.Background(), address)
	l.sent.Add(1)
	if err != nil || resp.StatusCode != http.StatusOK {
		l.failed.Add(1)
		t.Log(address, err, string(body))
	}
}

// finish stops the load and waits for the last responses.
func (l *load) finish() {
	l.stop()
	l.running.Wait()
}

// readyVM selects a VM as the platform's load balancer does: only among those that
// report that they are ready.
func readyVM(cluster *Cluster, i int) *vm.VM {
	for {
		if candidate := cluster.VMs[i%len(cluster.VMs)]; candidate.Ready() {
			return candidate
		}
		i++
	}
}
