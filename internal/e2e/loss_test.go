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

// servedWithin is the stated target for a key after a loss.
const servedWithin = 2 * time.Second

// prober sends requests for a set of keys and notes for how long each key was not
// served.
type prober struct {
	d    *deployment
	keys int

	mu       sync.Mutex
	lastGood map[int]time.Time
	worst    map[int]time.Duration
	refusals map[string]int
	servers  map[int]string

	stop chan struct{}
	done sync.WaitGroup
}

// startProber probes the keys through the VMs in turn; each VM is called until it
// is marked as gone.
func startProber(d *deployment, keys int, vms ...string) *prober {
	p := &prober{
		d: d, keys: keys,
		lastGood: make(map[int]time.Time), worst: make(map[int]time.Duration),
		refusals: make(map[string]int), servers: make(map[int]string),
		stop: make(chan struct{}),
	}
	for key := range keys {
		p.done.Go(func() { p.probe(key, vms) })
	}
	return p
}

const probeInterval = 20 * time.Millisecond

func (p *prober) probe(key int, vms []string) {
	for i := 0; ; i++ {
		select {
		case <-p.stop:
			return
		case <-time.After(probeInterval):
		}
		vm := p.d.vms[vms[(key+i)%len(vms)]]
		status, echo, raw, err := send(http.MethodGet, vm.address(), fmt.Sprintf("/keyed/key-%d", key), "")
		p.note(key, status == http.StatusOK && err == nil, echo.Server, raw)
	}
}

func (p *prober) note(key int, good bool, server, raw string) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !good {
		p.refusals[reason(raw)]++
		return
	}
	if last, ok := p.lastGood[key]; ok {
		p.worst[key] = max(p.worst[key], now.Sub(last))
	}
	p.lastGood[key] = now
	p.servers[key] = server
}

func reason(raw string) string {
	_, after, _ := strings.Cut(raw, `"reason":"`)
	word, _, _ := strings.Cut(after, `"`)
	return word
}

// reset forgets the gaps so far, for example those of the start.
func (p *prober) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.worst)
	clear(p.refusals)
}

// finish stops the probes and returns the longest time that a key was not served.
func (p *prober) finish() time.Duration {
	close(p.stop)
	p.done.Wait()
	now := time.Now()
	var worst time.Duration
	for key := range p.keys {
		worst = max(worst, p.worst[key], now.Sub(p.lastGood[key]))
	}
	return worst
}

// owned returns the keys that the backend server answered last.
func (p *prober) owned(server string) int {
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

// decider returns the VM of the failure domain that last reported the role.
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
	t.Fatal("no decider found")
	return ""
}

func threeVMs(t *testing.T) *deployment {
	t.Helper()
	return deploy(t, topology{domains: map[string][]string{"a": {"a-1", "a-2", "a-3"}, "b": {"b-1"}}, perDomain: 3, runTime: time.Millisecond})
}

// kill ends a process without warning.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	_ = p.command.Wait() // the error says that it was killed
}

// Guards against a key that stays without an owner after the loss of its backend
// server, of the decider, or of both at once.
func TestKeysServedAfterLoss(t *testing.T) {
	cases := []struct {
		name   string
		strike func(t *testing.T, d *deployment, decider string)
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
			d := threeVMs(t)
			// Callers reach VMs of the other failure domain, as a balancer would send
			// them on once a VM does not answer.
			p := startProber(d, 24, "b-1")
			time.Sleep(time.Second)
			p.reset()
			c.strike(t, d, d.decider(t, "a-1", "a-2", "a-3"))
			time.Sleep(5 * time.Second)
			worst := p.finish()
			t.Logf("longest time without service %s, refusals %v", worst, p.refusals)
			is.True(worst <= servedWithin)
		})
	}
}

// Guards against a backend server that was frozen past its lease and still runs
// requests for keys which another one owns by now.
func TestFrozenBackendServerReturns(t *testing.T) {
	is := is.New(t)
	d := threeVMs(t)
	p := startProber(d, 24, "b-1", "a-1", "a-2", "a-3")
	time.Sleep(time.Second)
	frozen := d.backends["keyed-a-0"]
	before := p.owned("keyed-a-0")
	is.True(before > 0)
	frozen.signal(t, syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	is.Equal(p.owned("keyed-a-0"), 0)
	frozen.signal(t, syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	p.finish()
	is.Equal(doubleRuns(t, d), 0)
}
