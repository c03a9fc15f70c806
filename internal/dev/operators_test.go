package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/operator/client"
	"fireflyfield/internal/platform"
	"fireflyfield/internal/resource"
)

// pollInterval is the interval at which tests poll a status.
const pollInterval = 5 * time.Millisecond

// operatorClient returns a client of the operator interface at the addresses.
func operatorClient(t *testing.T, addresses ...string) *client.Client {
	t.Helper()
	made, err := client.New(addresses, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// decode decodes one resource from its JSON form, which is valid YAML.
func decode(t *testing.T, text string) resource.Resource {
	t.Helper()
	decoded, faults := resource.DecodeDocument([]byte(text), 1)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return decoded
}

// put applies one resource on top of the base revision and returns its new revision.
func put(ctx context.Context, vms *client.Client, r resource.Resource, base uint64) (uint64, error) {
	change, err := config.Put(r, base)
	if err != nil {
		return 0, err
	}
	response, err := vms.Apply(ctx, api.ApplyRequest{ID: uuid.New(), Changes: []api.Change{{Op: api.OpPut, Base: base, Resource: json.RawMessage(change.Document)}}})
	return response.Revision, err
}

// remove deletes the resource at its current revision.
func remove(t *testing.T, vms *client.Client, id resource.ID) {
	t.Helper()
	list, err := vms.Get(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	change := api.Change{Op: api.OpDelete, Base: list.Items[0].Metadata.Revision, Kind: id.Kind, Name: id.Name}
	if _, err := vms.Apply(t.Context(), api.ApplyRequest{ID: uuid.New(), Changes: []api.Change{change}}); err != nil {
		t.Fatal(err)
	}
}

// awaitStatus polls the overview until the condition holds and returns it. It fails the
// test after the limit.
func awaitStatus(t *testing.T, vms *client.Client, condition string, limit time.Duration, holds func(api.Overview) bool) api.Overview {
	t.Helper()
	var overview api.Overview
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(pollInterval) {
		var err error
		if overview, err = vms.Status(t.Context()); err != nil {
			t.Fatal(err)
		}
		if holds(overview) {
			return overview
		}
	}
	t.Fatalf("%s: does not hold within %s: %+v", condition, limit, overview)
	return overview
}

// vmStates returns the states of the VMs by name.
func vmStates(overview api.Overview) map[string]string {
	states := make(map[string]string)
	for _, vm := range overview.VMs {
		states[vm.Name] = vm.State
	}
	return states
}

// Guards against a status that waits for a VM that hangs, omits that VM, or does not
// count every slice.
func TestStatusReportsMissingVM(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	hanging, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	is.NoErr(err)
	defer func() { is.NoErr(hanging.Close()) }()
	cluster.Platform.SetVM(platform.VM{Name: "vm-hanging", FailureDomain: "medina", PeerAddress: hanging.Addr().String(), State: platform.VMLive})
	vms := operatorClient(t, cluster.VMs[0].OperatorAddress())
	overview := awaitStatus(t, vms, "vm-hanging is missing", 10*time.Second, func(o api.Overview) bool {
		states := vmStates(o)
		return len(states) == 5 && states["vm-hanging"] == api.VMMissing && states["vm-pikine"] == api.VMLive && ownedSlices(o, "entretien") == 256
	})
	is.Equal(vmStates(overview)["vm-plateau"], api.VMLive)
	begin := time.Now()
	for range 100 {
		cluster.VMs[0].Overview()
	}
	is.True(time.Since(begin) < time.Second) // asking the hanging VM takes 250 ms until the timeout
	list, err := vms.Get(t.Context(), resource.ID{Kind: resource.KindService, Name: "rota"})
	is.NoErr(err)
	is.True(strings.Contains(fmt.Sprint(list.Items[0].Status.Conditions), "on 4 of 5 VMs, missing: vm-hanging"))
}

// ownedSlices returns the number of slices of the service that have an owner.
func ownedSlices(overview api.Overview, service string) int {
	total := 0
	for _, server := range overview.BackendServers {
		if server.Service == service {
			total += server.Slices
		}
	}
	return total
}

// startTraffic sends requests through every VM until the returned function is called.
func startTraffic(cluster *Cluster) func() {
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for worker := range 4 {
		running.Go(func() {
			for i := worker; ctx.Err() == nil; i += 4 {
				path := fmt.Sprintf("/entretien/bloc-%d", i%200)
				if i/4%2 == 0 { // i%4 selects the VM, and each VM prefers the backend servers of its failure domain
					path = "/rota/plan"
				}
				_, _, _ = call{method: "POST", path: path, key: sampleKey}.send(ctx, cluster.VMs[i%len(cluster.VMs)].CallerAddress())
				time.Sleep(20 * time.Millisecond) // stays within the workspace's rate
			}
		})
	}
	return func() {
		stop()
		running.Wait()
	}
}

// runsStartedAfter returns the number of requests that started at the backend servers
// after the time.
func runsStartedAfter(cluster *Cluster, servers []string, since time.Time) int {
	count := 0
	for _, server := range servers {
		for _, run := range cluster.Backends[server].Runs() {
			if run.Start.After(since) {
				count++
			}
		}
	}
	return count
}

// drainLimit is the time after which the target of a drain must not receive new
// requests, and a withdrawn caller key must be rejected.
const drainLimit = 3 * time.Second

// drain applies a Drain, waits until it is done, and checks its progress and that its
// targets receive no new requests afterwards.
func drain(t *testing.T, cluster *Cluster, vms *client.Client, name, spec string, servers []string) {
	t.Helper()
	is := is.New(t)
	revision, err := put(t.Context(), vms, decode(t, fmt.Sprintf(`{"apiVersion":"fireflyfield/v1","kind":"Drain","metadata":{"name":%q},"spec":%s}`, name, spec)), 0)
	is.NoErr(err)
	accepted := time.Now()
	var steps []int
	overview := awaitStatus(t, vms, "drain "+name, 15*time.Second, func(o api.Overview) bool {
		for _, status := range o.Drains {
			if status.Name == name && (len(steps) == 0 || steps[len(steps)-1] != status.SlicesLeft) {
				steps = append(steps, status.SlicesLeft)
			}
			if status.Name == name && status.Done {
				return true
			}
		}
		return false
	})
	done := time.Now()
	t.Logf("drain %s at revision %d: done after %s, slices left %v", name, revision, done.Sub(accepted), steps)
	is.True(len(steps) > 1) // progress was shown
	is.True(steps[0] > 0)
	is.Equal(steps[len(steps)-1], 0)
	for _, status := range overview.Drains {
		is.True(!status.Since.IsZero())
		is.True(status.Since.Before(done))
	}
	time.Sleep(time.Until(accepted.Add(drainLimit + time.Second)))
	is.Equal(runsStartedAfter(cluster, servers, done), 0)
	is.Equal(runsStartedAfter(cluster, servers, accepted.Add(drainLimit)), 0)
}

// Guards against a drain that is reported as done too early, shows no progress, or whose
// targets still receive new requests.
func TestDrainsShowProgress(t *testing.T) {
	cluster := startDakar(t)
	vms := operatorClient(t, cluster.VMs[0].OperatorAddress())
	stop := startTraffic(cluster)
	defer stop()
	awaitStatus(t, vms, "all slices are owned", 10*time.Second, func(o api.Overview) bool { return ownedSlices(o, "entretien") == 256 })
	drain(t, cluster, vms, "one-server", `{"backendServer":{"service":"entretien","name":"entretien-1"}}`, []string{"entretien-1"})
	var servers []string
	for _, r := range cluster.resources {
		if spec, ok := r.Spec.(*resource.ServiceSpec); ok {
			for _, server := range spec.BackendServers {
				if server.FailureDomain == "medina" {
					servers = append(servers, server.Name)
				}
			}
		}
	}
	drain(t, cluster, vms, "medina", `{"failureDomain":"medina"}`, servers)
}

// Guards against concurrent changes to the same revision that are both accepted.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	id := resource.ID{Kind: resource.KindRate, Name: "kermel"}
	const rounds, operators = 5, 8
	for round := range rounds {
		list, err := operatorClient(t, cluster.VMs[0].OperatorAddress()).Get(t.Context(), id)
		is.NoErr(err)
		base := list.Items[0].Metadata.Revision
		accepted := make(chan uint64, operators)
		var running sync.WaitGroup
		for i := range operators {
			vms := operatorClient(t, cluster.VMs[i%2].OperatorAddress())
			changed := decode(t, fmt.Sprintf(`{"apiVersion":"fireflyfield/v1","kind":"Rate","metadata":{"name":"kermel"},"spec":{"workspace":"kermel","requestsPerSecond":%d,"burst":50}}`, 100*(round+1)+i))
			running.Go(func() {
				if revision, err := put(context.Background(), vms, changed, base); err == nil {
					accepted <- revision
				}
			})
		}
		running.Wait()
		is.Equal(len(accepted), 1)
		revision := <-accepted
		awaitStatus(t, operatorClient(t, cluster.VMs[0].OperatorAddress()), "the accepted change is in force", 5*time.Second, func(o api.Overview) bool { return o.Revision >= revision })
	}
}

// streamServer starts a backend server that streams a line every 10 ms, and returns its
// address.
func streamServer(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderInstance, "stream-1")
		if strings.HasPrefix(r.URL.Path, "/control/") {
			return
		}
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, "line\n"); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a withdrawn caller key that keeps working, for new requests or for a
// response that was streaming before.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	is := is.New(t)
	cluster := startDakar(t)
	vms := operatorClient(t, cluster.VMs[0].OperatorAddress())
	_, err := put(t.Context(), vms, decode(t, fmt.Sprintf(`{"apiVersion":"fireflyfield/v1","kind":"Service","metadata":{"name":"flux"},"spec":{"timeout":"30s","backendServers":[{"name":"flux-1","address":%q,"failureDomain":"pikine"}]}}`, streamServer(t))), 0)
	is.NoErr(err)
	var stream *http.Response
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(pollInterval) {
		req, err := http.NewRequest(http.MethodGet, "http://"+cluster.VMs[1].CallerAddress()+"/flux/x", nil)
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+sampleKey)
		stream, err = http.DefaultClient.Do(req)
		is.NoErr(err)
		if stream.StatusCode == http.StatusOK {
			break
		}
		is.NoErr(stream.Body.Close())
	}
	is.Equal(stream.StatusCode, http.StatusOK)
	defer func() { _ = stream.Body.Close() }()
	_, err = io.ReadFull(stream.Body, make([]byte, 20))
	is.NoErr(err)
	remove(t, vms, resource.ID{Kind: resource.KindCallerKey, Name: "sandaga-1"})
	accepted := time.Now()
	_, err = io.Copy(io.Discard, stream.Body)
	is.True(err != nil) // the truncated response must not look complete
	cut := time.Since(accepted)
	for _, started := range cluster.VMs {
		for {
			resp, _, err := call{method: "GET", path: "/rota/plan", key: sampleKey}.send(t.Context(), started.CallerAddress())
			is.NoErr(err)
			if resp.StatusCode == http.StatusUnauthorized {
				break
			}
			is.True(time.Since(accepted) < drainLimit)
		}
	}
	t.Logf("stream cut after %s, caller key rejected at every VM after %s", cut, time.Since(accepted))
	is.True(cut < drainLimit)
}
