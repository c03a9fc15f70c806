package admission

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_000_000, 0)

const testLatency = 10 * time.Millisecond

// newTestState returns a state with 4 slots and a role lease of one hour. configure
// may be nil.
func newTestState(t interface{ Fatal(...any) }, configure func(*Config)) *state {
	config := Config{Slots: 4, MaxRequestTime: 5 * time.Second, UsualLatency: testLatency}
	if configure != nil {
		configure(&config)
	}
	if err := config.normalize(); err != nil {
		t.Fatal(err)
	}
	s := newState(config, testStart)
	s.lease.expiresAt = testStart.Add(time.Hour)
	return s
}

// fillSlots admits requests until one is queued or refused, and returns those admitted.
func fillSlots(s *state, now time.Time) []slotID {
	var ids []slotID
	for {
		id, w, refusal := s.admit(now, "filler", time.Time{})
		if w != nil {
			s.withdraw(now, w, Cancelled)
		}
		if w != nil || refusal.Refused() {
			return ids
		}
		ids = append(ids, id)
	}
}

// serveRounds runs rounds of requests that fill the limit, and ends all with the same observation.
func serveRounds(s *state, rounds int, o Observation) {
	for range rounds {
		for _, id := range fillSlots(s, testStart) {
			s.finish(testStart, id, o)
		}
	}
}

var goodObservation = Observation{Result: Answered, Instance: "i1", Latency: testLatency}

// Guards against more load on a cold backend server than its responses justify.
func TestRampDoublesPerWindowAndRestarts(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, nil)
	is.Equal(len(fillSlots(s, testStart)), 1)
	s = newTestState(t, nil)
	serveRounds(s, rampWindow-1, goodObservation)
	is.Equal(s.ramp.limit, 1)
	serveRounds(s, 1, goodObservation)
	is.Equal(s.ramp.limit, 2)
	serveRounds(s, 3, Observation{Result: Answered, Instance: "i1", Latency: 3 * testLatency})
	is.Equal(s.ramp.goodResponses, 0)
	serveRounds(s, 3, goodObservation)
	serveRounds(s, 1, Observation{Result: Answered, Instance: "i1", Latency: 3 * testLatency})
	is.Equal(s.ramp.limit, 2)
	is.True(s.ramp.goodResponses <= 1) // slow responses cancel good ones
	serveRounds(s, 40, goodObservation)
	is.Equal(s.ramp.limit, 4)

	serveRounds(s, 1, Observation{Result: Shed, Instance: "i1"})
	is.Equal(s.ramp.limit, 2) // four sheds in one window halve the limit once
	serveRounds(s, 40, goodObservation)
	serveRounds(s, 1, Observation{Result: Answered, Instance: "i2", Latency: testLatency})
	is.Equal(s.ramp.limit, 1)
	serveRounds(s, 40, Observation{Result: Answered, Instance: "i2", Latency: testLatency})
	is.Equal(s.ramp.limit, 4)
	serveRounds(s, 1, Observation{Result: ConnectionReset})
	is.Equal(s.ramp.limit, 1)
	is.Equal(s.epoch, uint64(2)) // four resets in one epoch count as one restart
}

// Guards against a limit that grows from responses to requests that ran alone, which
// say nothing about a higher load.
func TestRampNeedsFilledLimit(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, nil)
	for range 100 {
		id, _, _ := s.admit(testStart, "w", time.Time{})
		s.finish(testStart, id, goodObservation)
	}
	is.Equal(s.ramp.limit, 2)
}

// Guards against a late response or report of a former instance that resets the ramp
// of the current one.
func TestLateResponseOfFormerInstance(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, nil)
	serveRounds(s, 60, goodObservation)
	ids := fillSlots(s, testStart)
	s.finish(testStart, ids[0], Observation{Result: Answered, Instance: "i2", Latency: testLatency})
	is.Equal(s.ramp.limit, 1)
	s.finish(testStart, ids[1], goodObservation)
	s.applyReport(testStart, LoadReport{Instance: "i1", State: StateWarm})
	is.Equal(s.instances.current, "i2")
	is.Equal(s.epoch, uint64(1))
}

// Guards against an old load report with an unknown instance that makes the gate
// treat the running instance as a former one and ignore it from then on.
func TestOldReportDoesNotReplaceInstance(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, nil)
	serveRounds(s, 60, goodObservation)
	s.applyReport(testStart, LoadReport{Instance: "i0", State: StateWarm, Age: time.Second})
	is.Equal(s.instances.current, "i1")
	s.applyReport(testStart, LoadReport{Instance: "i0", State: StateWarm})
	is.Equal(s.instances.current, "i0") // newer than the last response
	serveRounds(s, 60, goodObservation)
	is.Equal(s.instances.current, "i1")
	is.Equal(s.ramp.limit, 4)
}

// Guards against requests from a VM that may no longer be the gate, and against a
// request of the former gate that exceeds the limit of the new one.
func TestLeaseAndReservation(t *testing.T) {
	cases := []struct {
		name                                   string
		servesWithoutLease, deciderKnown, warm bool
		wantAdmitted                           int
		wantReason                             Reason
	}{
		{"decider known", true, true, true, 0, NotGate},
		{"warm, grants checked", true, false, true, 1, Admitted},
		{"cold, grants checked", true, false, false, 0, NoLease},
		{"warm, keyed, grants not checked", false, false, true, 0, NoLease},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestState(t, func(config *Config) { config.ServesWithoutLease = c.servesWithoutLease })
			if c.warm {
				serveRounds(s, 60, goodObservation)
			}
			unsent := fillSlots(s, testStart)
			s.lease = lease{deciderKnown: c.deciderKnown}
			if len(unsent) > 1 || c.wantAdmitted == 0 {
				is.True(s.maySend(testStart, unsent[0]).Refused()) // admitted before the expiry
			}
			for _, id := range unsent {
				s.finish(testStart, id, Observation{})
			}
			_, reason := s.capacity(testStart)
			is.Equal(reason, c.wantReason)
			is.Equal(len(fillSlots(s, testStart)), c.wantAdmitted)
		})
	}
	t.Run("slot reserved for the former gate", func(t *testing.T) {
		is := is.New(t)
		s := newTestState(t, func(config *Config) {
			config.Takeover = &Takeover{Unreachable: true, Handover: &Handover{Instance: "i1", Limit: 4, Warm: true}}
		})
		is.Equal(len(fillSlots(s, testStart)), 3)
		s.ramp.restart()
		_, reason := s.capacity(testStart)
		is.Equal(reason, Reserved)
	})
}

// Guards against a new gate that ignores requests of the former gate in flight.
func TestTakeoverAdoptsInFlight(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, func(config *Config) { config.Takeover = &Takeover{} })
	is.Equal(len(fillSlots(s, testStart)), 0)
	s.applyReport(testStart, LoadReport{Instance: "i1", State: StateWarm, InFlight: 0, Age: time.Second})
	is.Equal(s.adopted.count, 4) // measured before the takeover
	s.applyReport(testStart, LoadReport{Instance: "i1", State: StateWarm, InFlight: 1})
	is.Equal(s.ramp.limit, 2)
	is.Equal(len(fillSlots(s, testStart)), 1)
	s.adopted.expire(testStart.Add(5 * time.Second))
	is.Equal(s.adopted.count, 0)
}

// Guards against queueing a request that can't be served by its deadline.
func TestRefusesRequestThatWouldMissItsDeadline(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, nil)
	fillSlots(s, testStart)
	_, _, refusal := s.admit(testStart, "w", testStart.Add(testLatency))
	is.Equal(refusal.Reason, DeadlineTooClose)
	is.True(refusal.RetryAfter > 0)
	_, w, _ := s.admit(testStart, "w", testStart.Add(2*testLatency))
	is.True(w != nil)
	_, _, refusal = s.admit(testStart, "w", testStart.Add(2*testLatency))
	is.Equal(refusal.Reason, DeadlineTooClose) // would start after the one queued before it
}

// Guards against the backlog of one workspace keeping the requests of others out of
// the queue or delaying them.
func TestQueueIsFair(t *testing.T) {
	is := is.New(t)
	s := newTestState(t, func(config *Config) { config.QueueBound = 4 })
	id := fillSlots(s, testStart)[0]
	var flood []*waiter
	for range 4 {
		_, w, _ := s.admit(testStart, "flood", time.Time{})
		flood = append(flood, w)
	}
	_, _, refusal := s.admit(testStart, "flood", time.Time{})
	is.Equal(refusal.Reason, QueueFull)
	_, w, _ := s.admit(testStart, "small", time.Time{})
	is.True(w != nil)
	is.Equal(decisionOf(t, flood[3]).refusal.Reason, QueueFull)
	s.finish(testStart, id, goodObservation)
	s.finish(testStart, decisionOf(t, flood[0]).slot, goodObservation)
	is.True(!decisionOf(t, w).refusal.Refused()) // served second, before the rest of the backlog
}

func decisionOf(t *testing.T, w *waiter) decision {
	t.Helper()
	select {
	case d := <-w.decided:
		return d
	default:
		t.Fatal("the request has not been decided")
		return decision{}
	}
}

// Guards against sequences of events after which more requests are in flight than
// the limit or the role lease permits, the queue exceeds its bound, or a request is
// decided more than once.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestState(t, func(config *Config) {
			config.QueueBound = 5
			config.ServesWithoutLease = rapid.Bool().Draw(t, "without lease")
			if rapid.Bool().Draw(t, "takeover") {
				config.Takeover = &Takeover{Unreachable: rapid.Bool().Draw(t, "unreachable")}
			}
		})
		m := &stateModel{s: s, now: testStart}
		t.Repeat(map[string]func(*rapid.T){
			"admit":  m.admit,
			"finish": m.finish,
			"process queue": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "elapsed ms")) * time.Millisecond)
				m.runStep(t, func() { s.processQueue(m.now) })
			},
			"change lease": func(t *rapid.T) {
				m.runStep(t, func() {
					s.lease.expiresAt = m.now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "lease s")) * time.Second)
					s.lease.deciderKnown = rapid.Bool().Draw(t, "decider known")
					s.processQueue(m.now)
				})
			},
			"load report": func(t *rapid.T) {
				r := LoadReport{
					Instance: rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "instance"),
					InFlight: rapid.IntRange(-1, 6).Draw(t, "in flight"),
					State:    ServerState(rapid.IntRange(0, 3).Draw(t, "state")),
				}
				m.runStep(t, func() { s.applyReport(m.now, r); s.processQueue(m.now) })
			},
		})
	})
}

// stateModel drives a state and keeps the tickets and waiters that are not ended.
type stateModel struct {
	s       *state
	now     time.Time
	tickets []slotID
	waiters []*waiter
}

func (m *stateModel) admit(t *rapid.T) {
	workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
	deadline := m.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "deadline ms")) * time.Millisecond)
	m.runStep(t, func() {
		id, w, refusal := m.s.admit(m.now, workspace, deadline)
		switch {
		case w != nil:
			m.waiters = append(m.waiters, w)
		case !refusal.Refused():
			m.tickets = append(m.tickets, id)
		}
	})
}

func (m *stateModel) finish(t *rapid.T) {
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
	m.runStep(t, func() { m.s.finish(m.now, id, o) })
	if m.s.finish(m.now, id, o) {
		t.Fatal("the second end of a ticket was accepted")
	}
}

// runStep runs a step, collects the decisions and checks the invariants of the state.
func (m *stateModel) runStep(t *rapid.T, step func()) {
	before := len(m.tickets)
	step()
	queued := 0
	var waiting []*waiter
	for _, w := range m.waiters {
		select {
		case d := <-w.decided:
			if !d.refusal.Refused() {
				m.tickets = append(m.tickets, d.slot)
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
		t.Fatalf("%d requests are undecided, but the queue holds %d", queued, m.s.queue.length)
	case queued > 0 && reason != Admitted:
		t.Fatalf("%d requests are queued although no request may be sent: %s", queued, reason)
	case len(m.tickets) != m.s.slots.inUse:
		t.Fatalf("%d tickets are open, but %d slots are in use", len(m.tickets), m.s.slots.inUse)
	case len(m.tickets) > before && m.s.slots.inUse > capacity:
		t.Fatalf("a request was admitted: %d in flight with capacity %d", m.s.slots.inUse, capacity)
	case len(m.tickets) > before && !m.s.lease.valid(m.now) && m.s.slots.inUse > 1:
		t.Fatalf("a request was admitted without a role lease: %d in flight", m.s.slots.inUse)
	}
}

// init fixes the seed of the property tests; a seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
