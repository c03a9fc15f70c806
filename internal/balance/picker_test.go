package balance

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testLatency = 10 * time.Millisecond

// fakeClock is a clock that tests set.
type fakeClock struct{ now time.Time }

// newTestPicker returns a Picker with 5 servers in domain a and 5 in domain b, all
// with the usual latency.
func newTestPicker(t testing.TB, policy Policy) (*Picker, *fakeClock) {
	c := &fakeClock{now: time.Unix(1_000_000, 0)}
	p, err := New(Config{
		FailureDomain: "a", Policy: policy, Slots: 4,
		Random: rand.New(rand.NewPCG(1, 1)),
		Now:    func() time.Time { return c.now },
	})
	if err != nil {
		t.Fatal(err)
	}
	var servers []Server
	for i := range 10 {
		servers = append(servers, Server{Name: strconv.Itoa(i), FailureDomain: "ab"[i/5 : i/5+1]})
	}
	p.SetServers(servers)
	for _, s := range p.servers {
		s.latency = testLatency
	}
	return p, c
}

// pickCounts picks n times and returns how often each server was picked. The requests
// stay in flight.
func pickCounts(t testing.TB, p *Picker, n int, o Options) map[string]int {
	counts := map[string]int{}
	for range n {
		choice, err := p.Pick(o)
		if err != nil {
			t.Fatal(err)
		}
		counts[choice.Server().Name]++
	}
	return counts
}

// pickAndEnd is like pickCounts, but ends each request at once without a result.
func pickAndEnd(t testing.TB, p *Picker, n int, o Options) map[string]int {
	counts := map[string]int{}
	for range n {
		choice, err := p.Pick(o)
		if err != nil {
			t.Fatal(err)
		}
		counts[choice.Server().Name]++
		choice.Done(Result{})
	}
	return counts
}

// Guards against requests to draining or leaving servers, under every policy.
func TestDrainingAndLeavingServersGetNoRequests(t *testing.T) {
	for policy := TwoChoices; policy <= LeastReported; policy++ {
		is := is.New(t)
		p, _ := newTestPicker(t, policy)
		for i := range 8 {
			p.SetState(strconv.Itoa(i), []State{Draining, Leaving}[i%2])
		}
		p.Report("1", Report{State: Warm}) // out of date
		counts := pickCounts(t, p, 50, Options{Exclude: []string{"9"}})
		is.Equal(counts, map[string]int{"8": 50})
		p.SetState("8", Leaving)
		_, err := p.Pick(Options{Exclude: []string{"9"}})
		is.True(errors.Is(err, ErrNoServer))
	}
}

// Guards against more than one request of this VM in flight at a cold server while
// others have free slots.
func TestColdServerGetsOneRequest(t *testing.T) {
	is := is.New(t)
	p, _ := newTestPicker(t, TwoChoices)
	p.SetState("0", Cold)
	is.Equal(pickCounts(t, p, 17, Options{})["0"], 1)
}

// Guards against requests that leave the failure domain without need, and against
// requests that stay in one that is overloaded or has no server left.
func TestDomainPreference(t *testing.T) {
	is := is.New(t)
	p, c := newTestPicker(t, TwoChoices)
	inDomain := func(counts map[string]int) (n int) {
		for i := range 5 {
			n += counts[strconv.Itoa(i)]
		}
		return n
	}
	is.Equal(inDomain(pickCounts(t, p, 20, Options{})), 20)
	is.Equal(inDomain(pickCounts(t, p, 20, Options{})), 0) // every local slot is in use

	p, _ = newTestPicker(t, TwoChoices)
	for i := range 5 {
		p.find(strconv.Itoa(i)).fullUntil = c.now.Add(time.Second)
	}
	is.Equal(inDomain(pickCounts(t, p, 10, Options{})), 0) // marked as full, as after refusals by the gates

	p, _ = newTestPicker(t, TwoChoices)
	for i := range 5 {
		p.find(strconv.Itoa(i)).latency = 25 * time.Millisecond
	}
	is.True(inDomain(pickCounts(t, p, 10, Options{})) < 3) // slow, as from queues of other VMs' requests
}

// Guards against a slow or failed server that gets more than probes, and against one
// that is not used again after it has recovered.
func TestStragglerGetsProbesOnly(t *testing.T) {
	is := is.New(t)
	p, c := newTestPicker(t, TwoChoices)
	p.find("0").latency = 4 * testLatency
	is.Equal(pickAndEnd(t, p, 5, Options{NoProbe: true})["0"], 0)
	probe, err := p.Pick(Options{})
	is.NoErr(err)
	is.True(probe.Probe())
	is.Equal(probe.Server().Name, "0")
	is.Equal(pickAndEnd(t, p, 5, Options{})["0"], 0)
	c.now = c.now.Add(probeInterval - 1)
	probe.Done(Result{Kind: Answered, Latency: 4 * testLatency})
	is.Equal(pickAndEnd(t, p, 2, Options{})["0"], 0)
	for _, wait := range []time.Duration{1, 2 * probeInterval, maxProbeInterval, maxProbeInterval} {
		c.now = c.now.Add(wait - 1)
		is.Equal(pickAndEnd(t, p, 1, Options{})["0"], 0)
		c.now = c.now.Add(1)
		probe, _ = p.Pick(Options{})
		is.True(probe.Probe())
		probe.Done(Result{Kind: Answered, Latency: 4 * testLatency})
	}
	p.find("0").latency = 10 * testLatency // the probes below are fast again
	for _, wait := range []time.Duration{maxProbeInterval, confirmInterval, confirmInterval} {
		c.now = c.now.Add(wait)
		probe, _ = p.Pick(Options{})
		is.True(probe.Probe())
		probe.Done(Result{Kind: Answered, Latency: testLatency})
	}
	is.True(p.find("0").latency < stragglerFactor*testLatency)
	p.find("0").latency = testLatency / 2 // the best candidate if it had not failed
	probe.server.beginRequest(c.now)
	probe.Done(Result{Kind: Failed})
	is.Equal(pickAndEnd(t, p, 5, Options{})["0"], 0)
}

// Guards against requests piling up at a frozen server whose recorded latency is still
// low because no response arrives.
func TestFrozenServerIsAvoided(t *testing.T) {
	is := is.New(t)
	p, c := newTestPicker(t, TwoChoices)
	frozen := p.find("0")
	frozen.beginRequest(c.now)
	c.now = c.now.Add(5 * testLatency)
	is.Equal(pickCounts(t, p, 10, Options{NoProbe: true})["0"], 0)
}

// Guards against refusing a request when the only server that accepts requests is a
// failed one.
func TestStragglerAsLastResort(t *testing.T) {
	is := is.New(t)
	p, _ := newTestPicker(t, TwoChoices)
	p.find("0").failed = true
	for i := 1; i < 10; i++ {
		p.SetState(strconv.Itoa(i), Leaving)
	}
	is.Equal(pickCounts(t, p, 3, Options{NoProbe: true})["0"], 3)
}

// Guards against load reports that decide more than ties.
func TestReportsBreakTies(t *testing.T) {
	is := is.New(t)
	p, c := newTestPicker(t, TwoChoices)
	for i := range 10 {
		p.Report(strconv.Itoa(i), Report{InFlight: 3})
	}
	p.SetServers([]Server{{"0", "a"}, {"1", "a"}})
	p.Report("0", Report{InFlight: 0})
	pc := pickContext{now: c.now, median: testLatency, slots: 4}
	is.Equal(pc.better(p.find("1"), p.find("0")), p.find("0"))
	is.Equal(pickCounts(t, p, 1, Options{})["0"], 1)
	is.Equal(pickCounts(t, p, 1, Options{})["1"], 1) // own requests in flight outweigh reports
	p.Report("0", Report{InFlight: 9, Age: 2 * reportLifetime})
	is.Equal(pc.better(p.find("0"), p.find("1")), p.find("0")) // the report has expired
}

func BenchmarkPickDone(b *testing.B) {
	p, _ := newTestPicker(b, TwoChoices)
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := p.Pick(Options{})
		choice.Done(Result{Kind: Answered, Latency: testLatency})
	}
}
