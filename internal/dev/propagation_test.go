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

// severableProxy is a TCP proxy to the platform whose connections a test can cut.
type severableProxy struct {
	socket net.Listener
	target string
	cut    atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

func newSeverableProxy(t *testing.T, target string) *severableProxy {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &severableProxy{socket: socket, target: target}
	go p.serve()
	t.Cleanup(func() {
		_ = socket.Close()
		p.setCut(true)
	})
	return p
}

func (p *severableProxy) serve() {
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

// setCut cuts the platform off or reconnects it. It closes all open connections.
func (p *severableProxy) setCut(cut bool) {
	p.cut.Store(cut)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

// startVMBehindProxy starts a further VM that reaches the platform through the proxy,
// and waits until it is ready.
func startVMBehindProxy(t *testing.T, cluster *Cluster, proxy *severableProxy) *vm.VM {
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

// inForceLimit is the time within which an accepted change must be in force on every VM.
const inForceLimit = 9 * time.Second

// inForceTimes applies one change per seed through a VM that the seed selects among the
// first connected VMs. It returns, in ascending order, the times from acceptance until
// the change is in force on every VM.
func inForceTimes(t *testing.T, cluster *Cluster, seeds int, connected int) []time.Duration {
	t.Helper()
	is := is.New(t)
	var times []time.Duration
	for seed := range seeds {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		vms := operatorClient(t, cluster.VMs[random.IntN(connected)].OperatorAddress())
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

// Guards against an accepted configuration change that does not reach every VM, in
// particular one that is cut off from the platform.
func TestConfigurationInForce(t *testing.T) {
	cluster := startDakar(t)
	proxy := newSeverableProxy(t, cluster.platformAddress)
	cutOff := startVMBehindProxy(t, cluster, proxy)
	const seeds = 20
	whole := inForceTimes(t, cluster, seeds, len(cluster.VMs)-1)
	t.Logf("%d VMs, %d seeds: median %s, worst %s", len(cluster.VMs), seeds, whole[seeds/2], whole[seeds-1])
	proxy.setCut(true)
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
		if time.Since(accepted) > drainLimit {
			t.Fatal("the VM that is cut off from the platform still accepts a withdrawn caller key")
		}
	}
	t.Logf("withdrawn caller key rejected at the VM that is cut off after %s", time.Since(accepted))
	proxy.setCut(false)
}
