package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxUnservedTime is the longest time for which a key may not be served after a loss.
const maxUnservedTime = 2 * time.Second

// prober sends requests for a set of keys and measures for how long each key was not
// served.
type prober struct {
	d    *deployment
	keys int

	mu sync.Mutex
	// lastServed maps each key to the time of its last successful response.
	lastServed map[int]time.Time
	// longestGap maps each key to the longest time between two successful responses.
	longestGap map[int]time.Duration
	// rejections counts the failed requests by the reason in the response; the reason is
	// empty if there is none.
	rejections map[string]int
	// servers maps each key to the backend server that served it last.
	servers map[int]string

	stop chan struct{}
	done sync.WaitGroup
}

// startProber probes each key through the VMs in turn until finish is called.
func startProber(d *deployment, keys int, vms ...string) *prober {
	p := &prober{
		d: d, keys: keys,
		lastServed: make(map[int]time.Time), longestGap: make(map[int]time.Duration),
		rejections: make(map[string]int), servers: make(map[int]string),
		stop: make(chan struct{}),
	}
	for key := range keys {
		p.done.Go(func() { p.probe(key, vms) })
	}
	return p
}

const probeInterval = 20 * time.Millisecond

// probe sends requests for one key until the prober is stopped.
func (p *prober) probe(key int, vms []string) {
	for i := 0; ; i++ {
		select {
		case <-p.stop:
			return
		case <-time.After(probeInterval):
		}
		vm := p.d.vms[vms[(key+i)%len(vms)]]
		status, echo, raw, err := send(http.MethodGet, vm.address(), fmt.Sprintf("/keyed/key-%d", key), "")
		p.recordResult(key, status == http.StatusOK && err == nil, echo.Server, raw)
	}
}

// recordResult records whether a request for the key was served, and by which backend
// server.
func (p *prober) recordResult(key int, served bool, server, raw string) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !served {
		p.rejections[problemReason(raw)]++
		return
	}
	if last, ok := p.lastServed[key]; ok {
		p.longestGap[key] = max(p.longestGap[key], now.Sub(last))
	}
	p.lastServed[key] = now
	p.servers[key] = server
}

// problemReason returns the reason in a problem document, or an empty string.
func problemReason(raw string) string {
	_, after, _ := strings.Cut(raw, `"reason":"`)
	value, _, _ := strings.Cut(after, `"`)
	return value
}

// reset discards the gaps and rejections so far, such as those of the start.
func (p *prober) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.longestGap)
	clear(p.rejections)
}

// finish stops the probes and returns the longest time for which a key was not served.
func (p *prober) finish() time.Duration {
	close(p.stop)
	p.done.Wait()
	now := time.Now()
	var worst time.Duration
	for key := range p.keys {
		worst = max(worst, p.longestGap[key], now.Sub(p.lastServed[key]))
	}
	return worst
}

// keysServedBy returns the number of keys that the backend server served last.
func (p *prober) keysServedBy(server string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, owner := range p.servers {
		if owner == server {
			count++
		}
	}
	return count
}

// decider returns the first of the VMs whose latest log line about the decider role says
// that it holds the role.
func (d *deployment) decider(t *testing.T, names ...string) string {
	t.Helper()
	for _, name := range names {
		lines := strings.Split(d.vms[name].stderr.String(), "\n")
		for i := len(lines) - 1; i >= 0; i-- {
			if strings.Contains(lines[i], `"decider role"`) {
				if strings.Contains(lines[i], `"held":true`) {
					return name
				}
				break
			}
		}
	}
	t.Fatal("none of the VMs has logged that it holds the decider role")
	return ""
}

// deployThreeVMs starts a deployment with three VMs in the failure domain a, one of which
// is its decider, and one VM in b.
func deployThreeVMs(t *testing.T) *deployment {
	t.Helper()
	return deploy(t, topology{domains: map[string][]string{"a": {"a-1", "a-2", "a-3"}, "b": {"b-1"}}, perDomain: 3, runTime: time.Millisecond})
}

// kill kills the process with SIGKILL and waits for its end.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	_ = p.command.Wait() // always an error, as the process was killed
}

// Guards against keys that are not served for too long after the loss of their backend
// server, of the decider, or of both at once.
func TestKeysServedAfterLoss(t *testing.T) {
	cases := []struct {
		name        string
		injectFault func(t *testing.T, d *deployment, decider string)
	}{
		{"backend server killed", func(t *testing.T, d *deployment, _ string) { d.backends["keyed-a-0"].kill(t) }},
		{"backend server frozen", func(t *testing.T, d *deployment, _ string) { d.backends["keyed-a-0"].signal(t, syscall.SIGSTOP) }},
		{"decider killed", func(t *testing.T, d *deployment, decider string) { d.vms[decider].kill(t) }},
		{"decider frozen", func(t *testing.T, d *deployment, decider string) { d.vms[decider].signal(t, syscall.SIGSTOP) }},
		{"decider and backend server killed", func(t *testing.T, d *deployment, decider string) {
			d.vms[decider].kill(t)
			d.backends["keyed-a-0"].kill(t)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := deployThreeVMs(t)
			// The probes use only the VM of the other failure domain, as a load balancer
			// would once a VM does not respond.
			p := startProber(d, 24, "b-1")
			time.Sleep(time.Second)
			p.reset()
			c.injectFault(t, d, d.decider(t, "a-1", "a-2", "a-3"))
			time.Sleep(5 * time.Second)
			worst := p.finish()
			t.Logf("longest time without service %s, rejections %v", worst, p.rejections)
			is.True(worst <= maxUnservedTime)
		})
	}
}

// Guards against a backend server that was frozen until its leases expired and, once
// resumed, still runs requests for keys that another one owns by then.
func TestFrozenBackendServerReturns(t *testing.T) {
	is := is.New(t)
	d := deployThreeVMs(t)
	p := startProber(d, 24, "b-1", "a-1", "a-2", "a-3")
	time.Sleep(time.Second)
	frozen := d.backends["keyed-a-0"]
	before := p.keysServedBy("keyed-a-0")
	is.True(before > 0)
	frozen.signal(t, syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	is.Equal(p.keysServedBy("keyed-a-0"), 0)
	frozen.signal(t, syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	p.finish()
	is.Equal(fencingViolations(t, d), 0)
}
