package dev

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/platform"
	"fireflyfield/internal/resource"
	"fireflyfield/internal/vm"
)

// cutProxy passes connections on to the platform until it is cut.
type cutProxy struct {
	socket net.Listener
	target string
	cut    atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

func newCutProxy(t *testing.T, target string) *cutProxy {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &cutProxy{socket: socket, target: target}
	go p.serve()
	t.Cleanup(func() {
		_ = socket.Close()
		p.set(true)
	})
	return p
}

func (p *cutProxy) serve() {
	for {
		in, err := p.socket.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil || p.cut.Load() {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		go func() { _, _ = io.Copy(out, in) }()
		go func() { _, _ = io.Copy(in, out) }()
	}
}

// set cuts the platform off, with the connections that are open, or brings it back.
func (p *cutProxy) set(cut bool) {
	p.cut.Store(cut)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

// startBehind starts a further VM that reaches the platform through the proxy.
func startBehind(t *testing.T, cluster *Cluster, proxy *cutProxy) *vm.VM {
	t.Helper()
	started, err := vm.Start(vm.Options{
		Name: "vm-cut", FailureDomain: "rufisque", Platform: proxy.socket.Addr().String(),
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0",
	})
	if err != nil {
		t.Fatal(err)
	}
	cluster.VMs = append(cluster.VMs, started)
	cluster.Platform.SetVM(platform.VM{Name: "vm-cut", FailureDomain: "rufisque", PeerAddress: started.PeerAddress(), State: platform.VMLive})
	if err := started.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return started
}

// inForceLimit is the time within which an accepted change is in force everywhere.
const inForceLimit = 9 * time.Second

// inForceTimes applies one change per seed through a VM drawn by the seed, and
// returns the times from accepted to in force on every VM, sorted.
func inForceTimes(t *testing.T, cluster *Cluster, seeds int, reaching int) []time.Duration {
	t.Helper()
	is := is.New(t)
	var times []time.Duration
	for seed := range seeds {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		vms := operatorClient(t, cluster.VMs[random.IntN(reaching)].OperatorAddress())
		list, err := vms.Get(t.Context(), resource.ID{Kind: resource.KindRate, Name: "ngor"})
		is.NoErr(err)
		changed := decode(t, fmt.Sprintf(`{"apiVersion":"fireflyfield/v1","kind":"Rate","metadata":{"name":"ngor"},"spec":{"workspace":"ngor","requestsPerSecond":%d,"burst":50}}`, 1000+random.IntN(1_000_000)))
		revision, err := put(t.Context(), vms, changed, list.Items[0].Metadata.Revision)
		is.NoErr(err)
		accepted := time.Now()
		for _, started := range cluster.VMs {
			for started.Revision() < revision {
				is.True(time.Since(accepted) < inForceLimit)
				time.Sleep(time.Millisecond)
			}
		}
		times = append(times, time.Since(accepted))
	}
	slices.Sort(times)
	return times
}

// Guards against an accepted configuration that does not reach a VM, above all one
// that is cut off from the platform.
func TestConfigurationInForce(t *testing.T) {
	cluster := startDakar(t)
	proxy := newCutProxy(t, cluster.platform)
	cutOff := startBehind(t, cluster, proxy)
	const seeds = 20
	whole := inForceTimes(t, cluster, seeds, len(cluster.VMs)-1)
	t.Logf("%d VMs, %d seeds: median %s, worst %s", len(cluster.VMs), seeds, whole[seeds/2], whole[seeds-1])
	proxy.set(true)
	cut := inForceTimes(t, cluster, seeds, len(cluster.VMs)-1)
	t.Logf("%d VMs, one cut off from the platform, %d seeds: median %s, worst %s", len(cluster.VMs), seeds, cut[seeds/2], cut[seeds-1])
	remove(t, operatorClient(t, cluster.VMs[0].OperatorAddress()), resource.ID{Kind: resource.KindCallerKey, Name: "sandaga-1"})
	accepted := time.Now()
	for {
		resp, _, err := call{method: http.MethodGet, path: "/rota/plan", key: sampleKey}.send(t.Context(), cutOff.CallerAddress())
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == http.StatusUnauthorized {
			break
		}
		if time.Since(accepted) > leaveLimit {
			t.Fatal("the VM that is cut off accepts a withdrawn key")
		}
	}
	t.Logf("key refused at the VM that is cut off after %s", time.Since(accepted))
	proxy.set(false)
}
