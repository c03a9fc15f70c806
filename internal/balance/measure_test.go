package balance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fireflyfield/internal/queuemodel"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	modelServers     = 10
	modelVMs         = 10
	modelSlots       = 4
	modelServiceTime = 10 * time.Millisecond
	// modelRate is the rate of requests per second: 60% of the capacity of healthy
	// servers.
	modelRate = 0.6 * modelServers * modelSlots * float64(time.Second/modelServiceTime)
	// modelReportInterval is the time between load reports, and so their greatest age.
	modelReportInterval = 200 * time.Millisecond
	// crossDomainRoundTrip is the network delay to another failure domain and back.
	crossDomainRoundTrip = 3 * time.Millisecond
	// slowedServer is the index of the slowed server, and slowdownFactor the multiple
	// of its service times.
	slowedServer, slowdownFactor = 0, 10
)

// modelDuration is short by default because the race detector slows the model down.
var modelDuration = flag.Duration("model.duration", 2*time.Second, "simulated time of each run of the queueing model")

// modelRun is one run of the model: VMs, each with a Picker, send requests to shared
// servers.
type modelRun struct {
	loop    *queuemodel.Loop
	random  *rand.Rand
	domains int
	servers []*queuemodel.Server
	pickers []*Picker
	latency *hdrhistogram.Histogram
}

func domainOf(i, domains int) string { return fmt.Sprint("d", i%domains) }

func newModelRun(t *testing.T, policy Policy, domains int, slow float64, seed uint64) *modelRun {
	f := &modelRun{
		loop:    queuemodel.NewLoop(time.Unix(1_000_000, 0)),
		random:  rand.New(rand.NewPCG(seed, 1)),
		domains: domains,
		latency: hdrhistogram.New(1, time.Hour.Microseconds(), 3),
	}
	var names []Server
	for i := range modelServers {
		f.servers = append(f.servers, &queuemodel.Server{
			Loop: f.loop, Random: rand.New(rand.NewPCG(seed, uint64(10+i))), Slots: modelSlots, Mean: modelServiceTime,
		})
		names = append(names, Server{Name: fmt.Sprint(i), FailureDomain: domainOf(i, domains)})
	}
	f.servers[slowedServer].Slowdown = slow
	for i := range modelVMs {
		p, err := New(Config{
			FailureDomain: domainOf(i, domains), Policy: policy, Slots: modelSlots,
			Random: rand.New(rand.NewPCG(seed, uint64(100+i))), Now: f.loop.Now,
		})
		if err != nil {
			t.Fatal(err)
		}
		p.SetServers(names)
		f.pickers = append(f.pickers, p)
	}
	return f
}

func (f *modelRun) run(t *testing.T) {
	end := f.loop.Now().Add(*modelDuration)
	f.loop.Every(modelReportInterval, end, f.sendReports)
	f.scheduleArrivals(t, end)
	f.loop.Run()
}

func (f *modelRun) sendReports() {
	for i, s := range f.servers {
		for _, p := range f.pickers {
			p.Report(fmt.Sprint(i), Report{InFlight: s.InFlight()})
		}
	}
}

func (f *modelRun) scheduleArrivals(t *testing.T, end time.Time) {
	wait := time.Duration(f.random.ExpFloat64() / modelRate * float64(time.Second))
	if f.loop.Now().Add(wait).After(end) {
		return
	}
	f.loop.After(wait, func() {
		f.sendRequest(t)
		f.scheduleArrivals(t, end)
	})
}

func (f *modelRun) sendRequest(t *testing.T) {
	vm := f.random.IntN(modelVMs)
	choice, err := f.pickers[vm].Pick(Options{})
	if err != nil {
		t.Fatal(err)
	}
	sentAt := f.loop.Now()
	var roundTrip time.Duration
	if choice.Server().FailureDomain != domainOf(vm, f.domains) {
		roundTrip = crossDomainRoundTrip
	}
	var i int
	fmt.Sscan(choice.Server().Name, &i)
	f.loop.After(roundTrip/2, func() {
		f.servers[i].Serve(func() {
			f.loop.After(roundTrip-roundTrip/2, func() {
				took := f.loop.Now().Sub(sentAt)
				choice.Done(Result{Kind: Answered, Latency: took})
				_ = f.latency.RecordValue(took.Microseconds())
			})
		})
	})
}

func (f *modelRun) latencyPercentile(percentile float64) time.Duration {
	return time.Duration(f.latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// Guards against a p99 latency above that of the baseline policies when one server is
// slowed 10 times. The results are in docs/decisions/0011-balancing.md.
func TestMeasureSlowServer(t *testing.T) {
	names := map[Policy]string{TwoChoices: "picker", Random: "random", LeastReported: "least reported"}
	for _, domains := range []int{1, 4} {
		for _, slow := range []float64{1, slowdownFactor} {
			p99 := map[Policy]time.Duration{}
			for policy := TwoChoices; policy <= LeastReported; policy++ {
				f := newModelRun(t, policy, domains, slow, 1)
				f.run(t)
				p99[policy] = f.latencyPercentile(99)
				t.Logf("%d domains, server 0 slowed %2.0fx, %-14s p50 %8s p99 %8s p99.9 %8s of %d requests",
					domains, slow, names[policy], f.latencyPercentile(50), f.latencyPercentile(99), f.latencyPercentile(99.9), f.latency.TotalCount())
			}
			if slow > 1 && p99[TwoChoices] > min(p99[Random], p99[LeastReported]) {
				t.Errorf("%d domains, server 0 slowed %gx: p99 by policy %v, want the picker not above the others", domains, slow, p99)
			}
		}
	}
}
