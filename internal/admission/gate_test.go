package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func newTestGate(t testing.TB) *Gate {
	g, err := New(Config{Slots: 4, MaxRequestTime: 5 * time.Second, UsualLatency: testLatency})
	if err != nil {
		t.Fatal(err)
	}
	g.Renew(time.Now().Add(time.Hour))
	return g
}

// Guards against data races and lost wake-ups: every request must be decided once,
// and the limit must hold at every admission.
func TestConcurrentAdmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(t)
		var wg sync.WaitGroup
		for worker := range 40 {
			wg.Go(func() {
				random := rand.New(rand.NewPCG(1, uint64(worker)))
				for range 50 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(200))*time.Millisecond)
					ticket, refusal := g.Admit(ctx, string(rune('a'+worker%8)), time.Now().Add(time.Second))
					if !refusal.Refused() {
						if n := g.Snapshot().InFlight; n > 4 {
							t.Errorf("%d requests in flight at a gate with 4 slots", n)
						}
						time.Sleep(testLatency)
						ticket.Done(goodObservation)
					}
					cancel()
				}
			})
		}
		wg.Wait()
		s := g.Snapshot()
		if s.InFlight != 0 || s.Queued != 0 || s.Limit != 4 {
			t.Errorf("state of the gate after the last request: %+v", s)
		}
	})
}

// Guards against a queued request that waits until its deadline although the backend
// server is frozen, and against one that keeps waiting after the role lease expired.
func TestQueuedRequestIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGate(t)
		_, refusal := g.Admit(t.Context(), "w", time.Time{})
		is.True(!refusal.Refused())
		begin := time.Now()
		_, refusal = g.Admit(t.Context(), "w", begin.Add(time.Second))
		is.Equal(refusal.Reason, DeadlineTooClose)
		is.True(time.Since(begin) < 510*time.Millisecond)

		g.Renew(time.Now().Add(100 * time.Millisecond))
		begin = time.Now()
		_, refusal = g.Admit(t.Context(), "w", begin.Add(5*time.Second))
		is.Equal(refusal.Reason, NoLease)
		is.Equal(time.Since(begin), 100*time.Millisecond)

		g.Renew(time.Now().Add(time.Hour))
		time.AfterFunc(time.Second, func() { g.Renew(time.Now().Add(100 * time.Millisecond)) })
		begin = time.Now()
		_, refusal = g.Admit(t.Context(), "w", begin.Add(5*time.Second))
		is.Equal(refusal.Reason, NoLease)
		is.True(time.Since(begin) <= 1100*time.Millisecond+recheckInterval)
	})
}

// Guards against a drain that admits requests or cancels those in flight.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGate(t)
		ticket, _ := g.Admit(t.Context(), "w", time.Time{})
		var queued Refusal
		go func() { _, queued = g.Admit(t.Context(), "w", time.Time{}) }()
		synctest.Wait()
		drained := g.Drain()
		synctest.Wait()
		is.Equal(queued.Reason, Draining)
		is.True(!ticket.MaySend().Refused()) // admitted before the drain
		select {
		case <-drained:
			t.Error("the drain ended with a request in flight")
		default:
		}
		ticket.Done(goodObservation)
		ticket.Done(goodObservation)
		<-drained
		is.Equal(g.Handover().InFlight, 0)
	})
}

// Guards against requests admitted before a restart of the backend server that are
// all sent to it while it is cold.
func TestMaySendAfterRestart(t *testing.T) {
	is := is.New(t)
	g := newTestGate(t)
	serveRounds(g.state, 60, goodObservation)
	var tickets []Ticket
	for range 4 {
		ticket, refusal := g.Admit(t.Context(), "w", time.Time{})
		is.True(!refusal.Refused())
		tickets = append(tickets, ticket)
	}
	tickets[0].Done(Observation{Result: ConnectionReset})
	is.Equal(tickets[1].MaySend().Reason, LimitLowered)
	is.Equal(Ticket{}.MaySend().Reason, Cancelled)
}

// Guards against slots that stay adopted after the requests of the former gate ended.
func TestFormerInFlight(t *testing.T) {
	is := is.New(t)
	g, err := New(Config{Slots: 4, MaxRequestTime: time.Hour, Takeover: &Takeover{}})
	is.NoErr(err)
	g.SetFormerInFlight(2)
	g.SetFormerInFlight(3) // an out-of-date number is higher and must be ignored
	is.Equal(g.Snapshot().Adopted, 2)
}

func BenchmarkAdmitDone(b *testing.B) {
	g := newTestGate(b)
	b.ReportAllocs()
	for b.Loop() {
		ticket, _ := g.Admit(b.Context(), "w", time.Time{})
		ticket.Done(goodObservation)
	}
}
