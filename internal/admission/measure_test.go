package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fireflyfield/internal/queuemodel"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// modelDuration is the simulated time in which requests arrive.
	modelDuration = 10 * time.Second
	// modelWarmEvery is the number of served requests after which the cold server
	// can run one more at once.
	modelWarmEvery = 20
)

// modelGate is one gate that events of the model drive instead of goroutines.
type modelGate struct {
	loop    *queuemodel.Loop
	state   *state
	serve   func(done func(took time.Duration))
	waiting []*modelRequest
}

// modelRequest is one request in the queue of a modelGate.
type modelRequest struct {
	w          *waiter
	enqueuedAt time.Time
	onEnd      func(wait time.Duration, refused bool)
}

func newModelGate(t *testing.T, loop *queuemodel.Loop, slots int, serve func(func(time.Duration))) *modelGate {
	config := Config{
		Slots: slots, MaxRequestTime: 5 * time.Second, UsualLatency: testLatency,
		// The default bound, which is proportional to the slots: four gates with 1 slot
		// have the same bound in total as one gate with 4.
		QueueBound: 16 * slots,
	}
	if err := config.normalize(); err != nil {
		t.Fatal(err)
	}
	g := &modelGate{loop: loop, state: newState(config, loop.Now()), serve: serve}
	g.state.lease.expiresAt = loop.Now().Add(time.Hour)
	return g
}

// request sends one request with a deadline after the timeout. onEnd is called once
// the request is admitted or refused, with the time that it waited for a slot.
func (g *modelGate) request(workspace string, timeout time.Duration, onEnd func(wait time.Duration, refused bool)) {
	now := g.loop.Now()
	id, w, refusal := g.state.admit(now, workspace, now.Add(timeout))
	switch {
	case refusal.Refused():
		onEnd(0, true)
	case w == nil:
		onEnd(0, false)
		g.run(id)
	default:
		g.waiting = append(g.waiting, &modelRequest{w, now, onEnd})
		g.scheduleCheck(w)
	}
	g.deliverDecisions()
}

// run serves an admitted request.
func (g *modelGate) run(id slotID) {
	g.serve(func(took time.Duration) {
		g.state.finish(g.loop.Now(), id, Observation{Result: Answered, Instance: "i1", Latency: took})
		g.deliverDecisions()
	})
}

// scheduleCheck schedules the check that Gate.wait makes when its timer fires.
func (g *modelGate) scheduleCheck(w *waiter) {
	g.loop.After(g.state.nextCheck(g.loop.Now(), w).Sub(g.loop.Now()), func() {
		if g.state.queue.lengthOf(w.workspace) == 0 || len(w.decided) > 0 {
			return
		}
		now := g.loop.Now()
		g.state.processQueue(now)
		if g.state.missesDeadline(now, w) {
			if refusal, ok := g.state.withdraw(now, w, DeadlineTooClose); ok {
				w.decided <- decision{refusal: refusal}
			}
			g.deliverDecisions()
			return
		}
		if w.latestStart.After(now) {
			g.scheduleCheck(w)
		}
	})
}

// deliverDecisions passes the decisions that were made to their requests.
func (g *modelGate) deliverDecisions() {
	undecided := g.waiting[:0]
	var ready []func()
	for _, q := range g.waiting {
		select {
		case d := <-q.w.decided:
			ready = append(ready, func() {
				q.onEnd(g.loop.Now().Sub(q.enqueuedAt), d.refusal.Refused())
				if !d.refusal.Refused() {
					g.run(d.slot)
				}
			})
		default:
			undecided = append(undecided, q)
		}
	}
	g.waiting = undecided
	for _, f := range ready {
		f()
	}
}

// scheduleArrivals calls f as a Poisson process with the rate per second until the end.
func scheduleArrivals(loop *queuemodel.Loop, random *rand.Rand, rate float64, end time.Time, f func()) {
	wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	if loop.Now().Add(wait).After(end) {
		return
	}
	loop.After(wait, func() {
		f()
		scheduleArrivals(loop, random, rate, end, f)
	})
}

// requestCounts counts the requests of one part of a run or of one workspace.
type requestCounts struct {
	sent, refused int
	wait          *hdrhistogram.Histogram
}

func newRequestCounts() *requestCounts {
	return &requestCounts{wait: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (c *requestCounts) record(wait time.Duration, refused bool) {
	c.sent++
	if refused {
		c.refused++
		return
	}
	_ = c.wait.RecordValue(wait.Microseconds())
}

func (c *requestCounts) servedShare() float64 { return 1 - float64(c.refused)/float64(c.sent) }

// waitPercentile returns a percentile of the time that admitted requests waited.
func (c *requestCounts) waitPercentile(percentile float64) time.Duration {
	return time.Duration(c.wait.ValueAtPercentile(percentile)) * time.Microsecond
}

// Guards against one gate overloading a cold backend server more often than gates
// on several VMs that split its slots. The results are in
// docs/decisions/0010-admission.md.
func TestMeasureColdServer(t *testing.T) {
	cases := []struct {
		name  string
		slots []int // slots of each gate
	}{
		{"one gate", []int{4}},
		{"split, 4 VMs with 1 slot", []int{1, 1, 1, 1}},
		{"split, every VM with 1 slot", []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
	}
	for _, rate := range []float64{80, 240} {
		excessive := map[string]int{}
		for _, c := range cases {
			loop := queuemodel.NewLoop(testStart)
			server := &queuemodel.ColdServer{
				Loop: loop, Random: rand.New(rand.NewPCG(1, 2)), Slots: 4, Mean: testLatency, WarmEvery: modelWarmEvery,
			}
			var gates []*modelGate
			for _, slots := range c.slots {
				gates = append(gates, newModelGate(t, loop, slots, server.Serve))
			}
			random := rand.New(rand.NewPCG(1, 1))
			cold, warm := newRequestCounts(), newRequestCounts()
			scheduleArrivals(loop, random, rate, testStart.Add(modelDuration), func() {
				count := warm
				if loop.Now().Before(testStart.Add(time.Second)) {
					count = cold
				}
				gates[random.IntN(len(gates))].request("w", time.Second, count.record)
			})
			loop.Run()
			excessive[c.name] = server.Excessive
			t.Logf("%3.0f/s, %-28s over capacity %4d of %d starts, worst excess %d; first second: wait p50 %8s p99 %9s refused %3d of %d; then: p50 %8s p99 %8s refused %d of %d",
				rate, c.name, server.Excessive, server.Starts, server.WorstExcess,
				cold.waitPercentile(50), cold.waitPercentile(99), cold.refused, cold.sent,
				warm.waitPercentile(50), warm.waitPercentile(99), warm.refused, warm.sent)
		}
		for _, c := range cases[1:] {
			if excessive[cases[0].name] >= excessive[c.name] {
				t.Errorf("%g/s: one gate exceeds the capacity %d times, %s %d times", rate, excessive[cases[0].name], c.name, excessive[c.name])
			}
		}
	}
}

// Guards against the backlog of one workspace delaying or displacing the requests of
// the others. The results are in docs/decisions/0010-admission.md.
func TestMeasureFairness(t *testing.T) {
	const (
		workspaces = 8
		fairShare  = 50.0 // a server with 4 slots and 10 ms per request serves 400/s
		greedyRate = 5 * fairShare
		modestRate = 0.8 * fairShare
		timeout    = 300 * time.Millisecond
	)
	worst := map[string]float64{}
	for _, name := range []string{"fair queue", "FIFO queue"} {
		loop := queuemodel.NewLoop(testStart)
		server := &queuemodel.Server{Loop: loop, Random: rand.New(rand.NewPCG(1, 2)), Slots: 4, Mean: testLatency}
		gate := newModelGate(t, loop, 4, func(done func(time.Duration)) {
			begin := loop.Now()
			server.Serve(func() { done(loop.Now().Sub(begin)) })
		})
		counts := make([]*requestCounts, workspaces)
		for i := range counts {
			counts[i] = newRequestCounts()
			queueName, rate := fmt.Sprint(i), modestRate
			if i == 0 {
				rate = greedyRate
			}
			if name == "FIFO queue" {
				queueName = "all" // a single queue is served in order of arrival
			}
			scheduleArrivals(loop, rand.New(rand.NewPCG(1, uint64(10+i))), rate, testStart.Add(modelDuration), func() {
				gate.request(queueName, timeout, counts[i].record)
			})
		}
		loop.Run()
		w := counts[1]
		var wait time.Duration
		for _, c := range counts[1:] {
			wait = max(wait, c.waitPercentile(99))
			if c.servedShare() < w.servedShare() {
				w = c
			}
		}
		worst[name] = w.servedShare()
		t.Logf("%s: worst-served workspace %.1f%% served, worst p99 wait %s; greedy workspace %.1f%% served, p99 wait %s",
			name, 100*w.servedShare(), wait, 100*counts[0].servedShare(), counts[0].waitPercentile(99))
	}
	if worst["fair queue"] <= worst["FIFO queue"] {
		t.Errorf("served share of the worst-served workspace, by queue: %v", worst)
	}
}
