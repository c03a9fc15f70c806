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
	modelDuration = 10 * time.Second
	// modelWarmEvery is the number of served requests after which the cold server
	// bears one more at once.
	modelWarmEvery = 20
)

// station is one gate driven by the model's clock instead of by goroutines.
type station struct {
	loop    *queuemodel.Loop
	state   *state
	serve   func(done func(took time.Duration))
	waiting []*queued
}

// queued is one request that waits at a station.
type queued struct {
	w     *waiter
	begin time.Time
	ended func(wait time.Duration, refused bool)
}

func newStation(t *testing.T, loop *queuemodel.Loop, slots int, serve func(func(time.Duration))) *station {
	config := Config{
		Slots: slots, LongestDeadline: 5 * time.Second, UsualLatency: testLatency,
		// 64 requests are the default bound for 4 slots; splits keep the sum.
		QueueBound: 16 * slots,
	}
	if err := config.complete(); err != nil {
		t.Fatal(err)
	}
	s := &station{loop: loop, state: newState(config, loop.Now()), serve: serve}
	s.state.lease.expires = loop.Now().Add(time.Hour)
	return s
}

// request admits one request; ended gets its wait for a slot.
func (s *station) request(workspace string, patience time.Duration, ended func(wait time.Duration, refused bool)) {
	now := s.loop.Now()
	id, w, refusal := s.state.enter(now, workspace, now.Add(patience))
	switch {
	case refusal.Refused():
		ended(0, true)
	case w == nil:
		ended(0, false)
		s.run(id)
	default:
		s.waiting = append(s.waiting, &queued{w, now, ended})
		s.wake(w)
	}
	s.settle()
}

func (s *station) run(id slotID) {
	s.serve(func(took time.Duration) {
		s.state.leave(s.loop.Now(), id, Observation{Result: Answered, Instance: "i1", Latency: took})
		s.settle()
	})
}

// wake does what Gate.wait does at the end of its timer.
func (s *station) wake(w *waiter) {
	s.loop.After(s.state.wakeAt(s.loop.Now(), w).Sub(s.loop.Now()), func() {
		if s.state.queue.lengthOf(w.workspace) == 0 || len(w.settled) > 0 {
			return
		}
		now := s.loop.Now()
		s.state.sweep(now)
		if s.state.hopeless(now, w) {
			if refusal, ok := s.state.withdraw(now, w, DeadlineTooClose); ok {
				w.settled <- verdict{refusal: refusal}
			}
			s.settle()
			return
		}
		if w.latestStart.After(now) {
			s.wake(w)
		}
	})
}

// settle hands out the verdicts that are ready.
func (s *station) settle() {
	still := s.waiting[:0]
	var ready []func()
	for _, q := range s.waiting {
		select {
		case v := <-q.w.settled:
			ready = append(ready, func() {
				q.ended(s.loop.Now().Sub(q.begin), v.refusal.Refused())
				if !v.refusal.Refused() {
					s.run(v.slot)
				}
			})
		default:
			still = append(still, q)
		}
	}
	s.waiting = still
	for _, f := range ready {
		f()
	}
}

// arrivals calls f at Poisson times with the rate per second.
func arrivals(loop *queuemodel.Loop, random *rand.Rand, rate float64, end time.Time, f func()) {
	wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	if loop.Now().Add(wait).After(end) {
		return
	}
	loop.After(wait, func() {
		f()
		arrivals(loop, random, rate, end, f)
	})
}

// tally counts the requests of one run or one workspace.
type tally struct {
	sent, refused int
	wait          *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{wait: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (c *tally) ended(wait time.Duration, refused bool) {
	c.sent++
	if refused {
		c.refused++
		return
	}
	_ = c.wait.RecordValue(wait.Microseconds())
}

func (c *tally) served() float64 { return 1 - float64(c.refused)/float64(c.sent) }

func (c *tally) at(percentile float64) time.Duration {
	return time.Duration(c.wait.ValueAtPercentile(percentile)) * time.Microsecond
}

// Guards against more load at a cold backend server than with each VM limiting
// itself. The figures are in docs/decisions/0010-admission.md.
func TestMeasureColdServer(t *testing.T) {
	cases := []struct {
		name  string
		slots []int // of each gate
	}{
		{"one gate", []int{4}},
		{"split, 4 VMs with 1 slot", []int{1, 1, 1, 1}},
		{"split, every VM with 1 slot", []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
	}
	for _, rate := range []float64{80, 240} {
		excessive := map[string]int{}
		for _, c := range cases {
			loop := queuemodel.NewLoop(start)
			server := &queuemodel.ColdServer{
				Loop: loop, Random: rand.New(rand.NewPCG(1, 2)), Slots: 4, Mean: testLatency, WarmEvery: modelWarmEvery,
			}
			var gates []*station
			for _, slots := range c.slots {
				gates = append(gates, newStation(t, loop, slots, server.Serve))
			}
			random := rand.New(rand.NewPCG(1, 1))
			cold, warm := newTally(), newTally()
			arrivals(loop, random, rate, start.Add(modelDuration), func() {
				count := warm
				if loop.Now().Before(start.Add(time.Second)) {
					count = cold
				}
				gates[random.IntN(len(gates))].request("w", time.Second, count.ended)
			})
			loop.Run()
			excessive[c.name] = server.Excessive
			t.Logf("%3.0f/s, %-28s over capacity %4d of %d starts, worst excess %d; first second: wait p50 %8s p99 %9s refused %3d of %d; then: p50 %8s p99 %8s refused %d of %d",
				rate, c.name, server.Excessive, server.Starts, server.WorstExcess,
				cold.at(50), cold.at(99), cold.refused, cold.sent,
				warm.at(50), warm.at(99), warm.refused, warm.sent)
		}
		for _, c := range cases[1:] {
			if excessive[cases[0].name] >= excessive[c.name] {
				t.Errorf("%g/s: one gate exceeds the capacity %d times, %s %d times", rate, excessive[cases[0].name], c.name, excessive[c.name])
			}
		}
	}
}

// Guards against the backlog of one workspace delaying or displacing the others.
// The figures are in docs/decisions/0010-admission.md.
func TestMeasureFairness(t *testing.T) {
	const (
		workspaces = 8
		share      = 50.0 // a server with 4 slots and 10 ms bears 400/s
		greedy     = 5 * share
		modest     = 0.8 * share
		patience   = 300 * time.Millisecond
	)
	worst := map[string]float64{}
	for _, name := range []string{"fair queue", "FIFO queue"} {
		loop := queuemodel.NewLoop(start)
		server := &queuemodel.Server{Loop: loop, Random: rand.New(rand.NewPCG(1, 2)), Slots: 4, Mean: testLatency}
		gate := newStation(t, loop, 4, func(done func(time.Duration)) {
			begin := loop.Now()
			server.Serve(func() { done(loop.Now().Sub(begin)) })
		})
		tallies := make([]*tally, workspaces)
		for i := range tallies {
			tallies[i] = newTally()
			lane, rate := fmt.Sprint(i), modest
			if i == 0 {
				rate = greedy
			}
			if name == "FIFO queue" {
				lane = "all" // one lane is served in order of arrival
			}
			arrivals(loop, rand.New(rand.NewPCG(1, uint64(10+i))), rate, start.Add(modelDuration), func() {
				gate.request(lane, patience, tallies[i].ended)
			})
		}
		loop.Run()
		w := tallies[1]
		var wait time.Duration
		for _, c := range tallies[1:] {
			wait = max(wait, c.at(99))
			if c.served() < w.served() {
				w = c
			}
		}
		worst[name] = w.served()
		t.Logf("%s: worst-served workspace %.1f%% served, worst p99 wait %s; greedy workspace %.1f%% served, p99 wait %s",
			name, 100*w.served(), wait, 100*tallies[0].served(), tallies[0].at(99))
	}
	if worst["fair queue"] <= worst["FIFO queue"] {
		t.Errorf("worst-served workspace: %v", worst)
	}
}
