package admission

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const testLatency = 10 * time.Millisecond

// newTestState returns a state with 4 slots and a role lease of one hour.
func newTestState(t interface{ Fatal(...any) }, change func(*Config)) *state {
	config := Config{Slots: 4, LongestDeadline: 5 * time.Second, UsualLatency: testLatency}
	if change != nil {
		change(&config)
	}
	if err := config.complete(); err != nil {
		t.Fatal(err)
	}
	s := newState(config, start)
	s.lease.expires = start.Add(time.Hour)
	return s
}

// fill admits requests until one is not admitted at once.
func fill(s *state, now time.Time) []slotID {
	var ids []slotID
	for {
		id, w, refusal := s.enter(now, "filler", time.Time{})
		if w != nil {
			s.withdraw(now, w, Cancelled)
		}
		if w != nil || refusal.Refused() {
			return ids
		}
		ids = append(ids, id)
	}
}

// serve runs rounds of requests that fill the limit, with one result for all.
func serve(s *state, rounds int, o Observation) {
	for range rounds {
		for _, id := range fill(s, start) {
			s.leave(start, id, o)
		}
	}
}

var good = Observation{Result: Answered, Instance: "i1", Latency: testLatency}

// Guards against load on a cold backend server beyond what its answers justify.
func TestRampDoublesPerWindowAndRestarts(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, nil)
	is.Equal(len(fill(s, start)), 1)
	s = newTestState(t, nil)
	serve(s, rampWindow-1, good)
	is.Equal(s.ramp.limit, 1)
	serve(s, 1, good)
	is.Equal(s.ramp.limit, 2)
	serve(s, 3, Observation{Result: Answered, Instance: "i1", Latency: 3 * testLatency})
	is.Equal(s.ramp.good, 0)
	serve(s, 3, good)
	serve(s, 1, Observation{Result: Answered, Instance: "i1", Latency: 3 * testLatency})
	is.Equal(s.ramp.limit, 2)
	is.True(s.ramp.good <= 1) // slow answers set the ramp back
	serve(s, 40, good)
	is.Equal(s.ramp.limit, 4)

	serve(s, 1, Observation{Result: Shed, Instance: "i1"})
	is.Equal(s.ramp.limit, 2) // four sheds of one window halve once
	serve(s, 40, good)
	serve(s, 1, Observation{Result: Answered, Instance: "i2", Latency: testLatency})
	is.Equal(s.ramp.limit, 1)
	serve(s, 40, Observation{Result: Answered, Instance: "i2", Latency: testLatency})
	is.Equal(s.ramp.limit, 4)
	serve(s, 1, Observation{Result: ConnectionReset})
	is.Equal(s.ramp.limit, 1)
	is.Equal(s.epoch, uint64(2)) // four resets of one epoch are one restart
}

// Guards against growth without evidence: answers to requests that ran alone.
func TestRampNeedsFilledLimit(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, nil)
	for range 100 {
		id, _, _ := s.enter(start, "w", time.Time{})
		s.leave(start, id, good)
	}
	is.Equal(s.ramp.limit, 2)
}

// Guards against a late answer or report of an ended instance undoing the ramp of
// the present one.
func TestLateAnswerOfEndedInstance(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, nil)
	serve(s, 60, good)
	ids := fill(s, start)
	s.leave(start, ids[0], Observation{Result: Answered, Instance: "i2", Latency: testLatency})
	is.Equal(s.ramp.limit, 1)
	s.leave(start, ids[1], good)
	s.report(start, LoadReport{Instance: "i1", State: StateWarm})
	is.Equal(s.instances.current, "i2")
	is.Equal(s.epoch, uint64(1))
}

// Guards against an old load report that names an unknown instance: it must not
// make the gate ignore the live one for good.
func TestOldReportDoesNotReplaceInstance(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, nil)
	serve(s, 60, good)
	s.report(start, LoadReport{Instance: "i0", State: StateWarm, Age: time.Second})
	is.Equal(s.instances.current, "i1")
	s.report(start, LoadReport{Instance: "i0", State: StateWarm})
	is.Equal(s.instances.current, "i0") // newer than the last answer
	serve(s, 60, good)
	is.Equal(s.instances.current, "i1")
	is.Equal(s.ramp.limit, 4)
}

// Guards against load from a gate that may no longer be the gate, and against the
// former gate's request coming on top of a new gate's limit.
func TestLeaseAndReservation(t *testing.T) {
	cases := []struct {
		name                        string
		withoutLease, known, warmed bool
		want                        int
		reason                      Reason
	}{
		{"decider known", true, true, true, 0, NotGate},
		{"warm, checking", true, false, true, 1, Admitted},
		{"cold, checking", true, false, false, 0, NoLease},
		{"warm, keyed and not checking", false, false, true, 0, NoLease},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestState(t, func(config *Config) { config.ServesWithoutLease = c.withoutLease })
			if c.warmed {
				serve(s, 60, good)
			}
			unsent := fill(s, start)
			s.lease = lease{deciderKnown: c.known}
			if len(unsent) > 1 || c.want == 0 {
				is.True(s.maySend(start, unsent[0]).Refused()) // admitted before the expiry
			}
			for _, id := range unsent {
				s.leave(start, id, Observation{})
			}
			_, reason := s.capacity(start)
			is.Equal(reason, c.reason)
			is.Equal(len(fill(s, start)), c.want)
		})
	}
	t.Run("reserved", func(t *testing.T) {
		is := is.New(t)
		s := newTestState(t, func(config *Config) {
			config.Takeover = &Takeover{Unreachable: true, Handover: &Handover{Instance: "i1", Limit: 4, Warm: true}}
		})
		is.Equal(len(fill(s, start)), 3)
		s.ramp.restart()
		_, reason := s.capacity(start)
		is.Equal(reason, Reserved)
	})
}

// Guards against a new gate ignoring requests that the former one left in flight.
func TestTakeoverAdoptsInFlight(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, func(config *Config) { config.Takeover = &Takeover{} })
	is.Equal(len(fill(s, start)), 0)
	s.report(start, LoadReport{Instance: "i1", State: StateWarm, InFlight: 0, Age: time.Second})
	is.Equal(s.adopted.count, 4) // read before the takeover
	s.report(start, LoadReport{Instance: "i1", State: StateWarm, InFlight: 1})
	is.Equal(s.ramp.limit, 2)
	is.Equal(len(fill(s, start)), 1)
	s.adopted.expire(start.Add(5 * time.Second))
	is.Equal(s.adopted.count, 0)
}

// Guards against a request waiting although it can't be served in time.
func TestRefusesWhatCannotBeServed(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, nil)
	fill(s, start)
	_, _, refusal := s.enter(start, "w", start.Add(testLatency))
	is.Equal(refusal.Reason, DeadlineTooClose)
	is.True(refusal.RetryAfter > 0)
	_, w, _ := s.enter(start, "w", start.Add(2*testLatency))
	is.True(w != nil)
	_, _, refusal = s.enter(start, "w", start.Add(2*testLatency))
	is.Equal(refusal.Reason, DeadlineTooClose) // behind the first
}

// Guards against one workspace keeping the others out of the queue or delaying them
// by its backlog.
func TestQueueIsFair(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, func(config *Config) { config.QueueBound = 4 })
	id := fill(s, start)[0]
	var flood []*waiter
	for range 4 {
		_, w, _ := s.enter(start, "flood", time.Time{})
		flood = append(flood, w)
	}
	_, _, refusal := s.enter(start, "flood", time.Time{})
	is.Equal(refusal.Reason, QueueFull)
	_, w, _ := s.enter(start, "small", time.Time{})
	is.True(w != nil)
	is.Equal(settled(t, flood[3]).refusal.Reason, QueueFull)
	s.leave(start, id, good)
	s.leave(start, settled(t, flood[0]).slot, good)
	is.True(!settled(t, w).refusal.Refused()) // second turn, ahead of the backlog
}

func settled(t *testing.T, w *waiter) verdict {
	t.Helper()
	select {
	case v := <-w.settled:
		return v
	default:
		t.Fatal("the request still waits")
		return verdict{}
	}
}

// Guards against any sequence of events breaking the limit, the queue bound, the
// lease or the single verdict per request.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestState(t, func(config *Config) {
			config.QueueBound = 5
			config.ServesWithoutLease = rapid.Bool().Draw(t, "without lease")
			if rapid.Bool().Draw(t, "takeover") {
				config.Takeover = &Takeover{Unreachable: rapid.Bool().Draw(t, "unreachable")}
			}
		})
		m := &model{s: s, now: start}
		t.Repeat(map[string]func(*rapid.T){
			"enter": m.enter,
			"leave": m.leave,
			"sweep": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				m.settle(t, func() { s.sweep(m.now) })
			},
			"lease": func(t *rapid.T) {
				m.settle(t, func() {
					s.lease.expires = m.now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "s")) * time.Second)
					s.lease.deciderKnown = rapid.Bool().Draw(t, "known")
					s.sweep(m.now)
				})
			},
			"report": func(t *rapid.T) {
				r := LoadReport{
					Instance: rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "instance"),
					InFlight: rapid.IntRange(-1, 6).Draw(t, "in flight"),
					State:    ServerState(rapid.IntRange(0, 3).Draw(t, "state")),
				}
				m.settle(t, func() { s.report(m.now, r); s.sweep(m.now) })
			},
		})
	})
}

// model drives a state and remembers the tickets and the waiters.
type model struct {
	s       *state
	now     time.Time
	tickets []slotID
	waiters []*waiter
}

func (m *model) enter(t *rapid.T) {
	workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
	deadline := m.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "deadline ms")) * time.Millisecond)
	m.settle(t, func() {
		id, w, refusal := m.s.enter(m.now, workspace, deadline)
		switch {
		case w != nil:
			m.waiters = append(m.waiters, w)
		case !refusal.Refused():
			m.tickets = append(m.tickets, id)
		}
	})
}

func (m *model) leave(t *rapid.T) {
	if len(m.tickets) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")
	id := m.tickets[i]
	m.tickets = append(m.tickets[:i], m.tickets[i+1:]...)
	o := Observation{
		Result:   Result(rapid.IntRange(0, int(TimedOut)).Draw(t, "result")),
		Instance: rapid.SampledFrom([]string{"", "i1", "i2", "i3"}).Draw(t, "instance"),
		Latency:  time.Duration(rapid.IntRange(0, 100).Draw(t, "latency ms")) * time.Millisecond,
	}
	m.settle(t, func() { m.s.leave(m.now, id, o) })
	if m.s.leave(m.now, id, o) {
		t.Fatal("a ticket was ended twice")
	}
}

// settle runs a step, collects the verdicts and checks the state.
func (m *model) settle(t *rapid.T, step func()) {
	before := len(m.tickets)
	step()
	queued := 0
	var waiting []*waiter
	for _, w := range m.waiters {
		select {
		case v := <-w.settled:
			if !v.refusal.Refused() {
				m.tickets = append(m.tickets, v.slot)
			}
		default:
			waiting = append(waiting, w)
			queued++
		}
	}
	m.waiters = waiting
	capacity, reason := m.s.capacity(m.now)
	switch {
	case queued != m.s.queue.length || queued > m.s.config.QueueBound:
		t.Fatalf("%d requests wait, the queue has %d", queued, m.s.queue.length)
	case queued > 0 && reason != Admitted:
		t.Fatalf("%d requests wait although %s", queued, reason)
	case len(m.tickets) != m.s.slots.inUse:
		t.Fatalf("%d tickets, %d slots in use", len(m.tickets), m.s.slots.inUse)
	case len(m.tickets) > before && m.s.slots.inUse > capacity:
		t.Fatalf("admitted to %d in flight with capacity %d", m.s.slots.inUse, capacity)
	case len(m.tickets) > before && !m.s.lease.valid(m.now) && m.s.slots.inUse > 1:
		t.Fatalf("%d in flight after an admission without a lease", m.s.slots.inUse)
	}
}

// The seed of the property tests is fixed unless the command line gives one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
