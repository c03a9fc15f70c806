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
	r := &modelRun{
		loop:    queuemodel.NewLoop(time.Unix(1_000_000, 0)),
		random:  rand.New(rand.NewPCG(seed, 1)),
		domains: domains,
		latency: hdrhistogram.New(1, time.Hour.Microseconds(), 3),
	}
	var servers []Server
	for i := range modelServers {
		r.servers = append(r.servers, &queuemodel.Server{
			Loop: r.loop, Random: rand.New(rand.NewPCG(seed, uint64(10+i))), Slots: modelSlots, Mean: modelServiceTime,
		})
		servers = append(servers, Server{Name: fmt.Sprint(i), FailureDomain: domainOf(i, domains)})
	}
	r.servers[slowedServer].Slowdown = slow
	for i := range modelVMs {
		p, err := New(Config{
			FailureDomain: domainOf(i, domains), Policy: policy, Slots: modelSlots,
			Random: rand.New(rand.NewPCG(seed, uint64(100+i))), Now: r.loop.Now,
		})
		if err != nil {
			t.Fatal(err)
		}
		p.SetServers(servers)
		r.pickers = append(r.pickers, p)
	}
	return r
}

func (r *modelRun) run(t *testing.T) {
	end := r.loop.Now().Add(*modelDuration)
	r.loop.Every(modelReportInterval, end, r.sendReports)
	r.scheduleArrivals(t, end)
	r.loop.Run()
}

func (r *modelRun) sendReports() {
	for i, s := range r.servers {
		for _, p := range r.pickers {
			p.Report(fmt.Sprint(i), Report{InFlight: s.InFlight()})
		}
	}
}

func (r *modelRun) scheduleArrivals(t *testing.T, end time.Time) {
	wait := time.Duration(r.random.ExpFloat64() / modelRate * float64(time.Second))
	if r.loop.Now().Add(wait).After(end) {
		return
	}
	r.loop.After(wait, func() {
		r.sendRequest(t)
		r.scheduleArrivals(t, end)
	})
}

func (r *modelRun) sendRequest(t *testing.T) {
	vm := r.random.IntN(modelVMs)
	choice, err := r.pickers[vm].Pick(Options{})
	if err != nil {
		t.Fatal(err)
	}
	sentAt := r.loop.Now()
	var roundTrip time.Duration
	if choice.Server().FailureDomain != domainOf(vm, r.domains) {
		roundTrip = crossDomainRoundTrip
	}
	var i int
	fmt.Sscan(choice.Server().Name, &i)
	r.loop.After(roundTrip/2, func() {
		r.servers[i].Serve(func() {
			r.loop.After(roundTrip-roundTrip/2, func() {
				took := r.loop.Now().Sub(sentAt)
				choice.Done(Result{Kind: Answered, Latency: took})
				_ = r.latency.RecordValue(took.Microseconds())
			})
		})
	})
}

func (r *modelRun) latencyPercentile(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// Guards against a p99 latency above that of the baseline policies when one server is
// slowed 10 times. The results are in docs/decisions/0011-balancing.md.
func TestMeasureSlowServer(t *testing.T) {
	names := map[Policy]string{TwoChoices: "picker", Random: "random", LeastReported: "least reported"}
	for _, domains := range []int{1, 4} {
		for _, slow := range []float64{1, slowdownFactor} {
			p99 := map[Policy]time.Duration{}
			for policy := TwoChoices; policy <= LeastReported; policy++ {
				r := newModelRun(t, policy, domains, slow, 1)
				r.run(t)
				p99[policy] = r.latencyPercentile(99)
				t.Logf("%d domains, server 0 slowed %2.0fx, %-14s p50 %8s p99 %8s p99.9 %8s of %d requests",
					domains, slow, names[policy], r.latencyPercentile(50), r.latencyPercentile(99), r.latencyPercentile(99.9), r.latency.TotalCount())
			}
			if slow > 1 && p99[TwoChoices] > min(p99[Random], p99[LeastReported]) {
				t.Errorf("%d domains, server 0 slowed %gx: p99 by policy %v, want the picker not above the others", domains, slow, p99)
			}
		}
	}
}
