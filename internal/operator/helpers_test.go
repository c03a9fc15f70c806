package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/operator/client"
	"fireflyfield/internal/platform"
	"fireflyfield/internal/platform/platformtest"
	"fireflyfield/internal/resource"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const testToken = "operators-secret-7d1f"

// fakeStatus is a StatusSource that returns a fixed overview.
type fakeStatus struct{ overview api.Overview }

func (f fakeStatus) Overview() api.Overview { return f.overview }
func (fakeStatus) Ready() error             { return nil }

// fixture holds a shared log and a network on which tests start VMs with operators'
// listeners, on a fake clock.
type fixture struct {
	t       *testing.T
	ctx     context.Context
	log     *platformtest.Log
	network *pipeNetwork
}

// testVM is a running VM of a fixture.
type testVM struct {
	name     string
	follower *config.Follower
	server   *http.Server
}

// close closes the VM's listener and connections.
func (vm testVM) close() { _ = vm.server.Close() }

// withFakeClock runs the test with a new fixture in a synctest bubble.
func withFakeClock(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		test(&fixture{t: t, ctx: ctx, log: platformtest.NewLog(), network: newPipeNetwork()})
	})
}

func (f *fixture) startVM(name string) testVM { return f.startVMOn(name, f.log) }

func (f *fixture) startVMOn(name string, log platform.Log) testVM {
	core, logged := observer.New(zap.DebugLevel)
	f.t.Cleanup(func() {
		for _, entry := range logged.All() {
			if strings.Contains(fmt.Sprint(entry.Message, entry.ContextMap()), testToken) {
				f.t.Errorf("a log line contains the token: %s", entry.Message)
			}
		}
	})
	follower := config.NewFollower(log, config.NewState(), zap.New(core), rand.New(rand.NewPCG(1, 1)))
	go func() { _ = follower.Run(f.ctx) }()
	options := Options{Follower: follower, Status: fakeStatus{}, Token: testToken, Logger: zap.New(core)}
	server := &http.Server{Handler: NewHandler(options)}
	listener := f.network.listen(name)
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return testVM{name: name, follower: follower, server: server}
}

// startUnresponsive starts a server that accepts connections and never answers.
func (f *fixture) startUnresponsive(name string) {
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })}
	listener := f.network.listen(name)
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
}

func (f *fixture) transport() *http.Transport {
	transport := &http.Transport{DialContext: f.network.dial}
	f.t.Cleanup(transport.CloseIdleConnections)
	return transport
}

func (f *fixture) client(vms ...testVM) *client.Client {
	var addresses []string
	for _, vm := range vms {
		addresses = append(addresses, vm.name+":80")
	}
	c, err := client.New(addresses, testToken, f.transport())
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

func domainDocument(name string) json.RawMessage {
	return json.RawMessage(`{"apiVersion":"fireflyfield/v1","kind":"FailureDomain","metadata":{"name":"` + name + `"},"spec":{}}`)
}

func putDomain(n byte, name string, base uint64) api.ApplyRequest {
	return api.ApplyRequest{ID: uuid.UUID{n}, Changes: []api.Change{{Op: api.OpPut, Base: base, Resource: domainDocument(name)}}}
}

func deleteDomain(n byte, name string, base uint64) api.ApplyRequest {
	return api.ApplyRequest{ID: uuid.UUID{n}, Changes: []api.Change{{Op: api.OpDelete, Base: base, Kind: resource.KindFailureDomain, Name: name}}}
}

// request sends a raw request and returns the status and the body.
func (f *fixture) request(vm testVM, method, path, token, body string) (int, string) {
	r, err := http.NewRequestWithContext(f.ctx, method, "http://"+vm.name+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Content-Type", api.ContentJSON)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := f.transport().RoundTrip(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode, string(data)
}
