package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
)

// ownerModel is one owner of keys as one VM of 80 sees it.
type ownerModel struct {
	*Servers
	clock   *clock.Fake
	view    *directory.View
	service *fleet.Service
}

func newOwnerModel(maxConnections int) *ownerModel {
	m := &ownerModel{clock: &clock.Fake{Time: time.Minute}}
	m.service = &fleet.Service{Name: "s", Keyed: true, MaxConnections: maxConnections}
	m.Servers = NewServers(m.clock, "d", ColdLimits{}, testProtocol{}, rand.New(rand.NewPCG(1, 1)), func() int { return 80 })
	m.view = &directory.View{
		Config:   &fleet.Config{Services: []fleet.Service{*m.service}},
		Backends: map[string]directory.Backend{"b": {Backend: fleet.Backend{ID: "b", Service: "s", Domain: "d", Slots: 4}}},
	}
	m.view.Config.Index()
	return m
}

func (m *ownerModel) ask(priority int, left time.Duration) (*waiter, *backend, pickReason) {
	w := &waiter{priority: priority, deadline: m.clock.Time + left, ready: make(chan struct{})}
	b, reason := m.owner(m.view, "b", m.service, w, 100*time.Millisecond, left)
	return w, b, reason
}

func (m *ownerModel) end(b *backend) { m.ended(b, m.service, func(time.Duration) {}) }

// TestOwnerQueue guards against requests that are rejected although their VM's only
// place at the owner of their key is free in time, against an order that ignores
// importance and deadlines, and against requests that wait in vain.
func TestOwnerQueue(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(130) // one place for this VM
	_, b, reason := m.ask(1, time.Second)
	is.Equal(reason, pickedNone)
	late, _, reason := m.ask(1, 900*time.Millisecond)
	is.Equal(reason, pickQueued)
	early, _, reason := m.ask(1, 700*time.Millisecond)
	is.Equal(reason, pickQueued)
	important, _, reason := m.ask(0, 900*time.Millisecond)
	is.Equal(reason, pickQueued)
	_, _, reason = m.ask(1, 150*time.Millisecond)
	is.Equal(reason, pickTooLate) // it would be served after its deadline
	for _, w := range []*waiter{important, early, late} {
		is.True(!m.holds(w))
		m.end(b)
		<-w.ready
		is.True(m.holds(w))
	}
	m.end(b)
	is.Equal(b.own, 0)
}

// TestOwnerQueueLeave guards against places that are lost when a waiter gives up.
func TestOwnerQueueLeave(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(130)
	_, b, _ := m.ask(1, time.Second)
	gone, _, _ := m.ask(1, time.Second)
	placed, _, _ := m.ask(1, time.Second)
	m.leave(b, m.service, gone)
	m.end(b)
	<-placed.ready
	m.leave(b, m.service, placed) // it gave up at the moment it got the place
	is.Equal(b.own, 0)
	// A backend server that went away leaves nobody waiting.
	_, _, reason := m.ask(1, time.Second)
	is.Equal(reason, pickedNone)
	last, _, _ := m.ask(1, time.Second)
	_, reason = m.owner(&directory.View{Config: m.view.Config}, "b", m.service, last, time.Millisecond, time.Second)
	is.Equal(reason, pickNoServer)
	<-last.ready
	is.True(!m.holds(last))
}

// TestResetMeansFull guards against requests that follow each other into an owner
// that breaks off new connections because it has too many.
func TestResetMeansFull(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(530)
	_, b, _ := m.ask(1, time.Second)
	m.broke(b, m.service, false, true)
	_, _, reason := m.ask(1, time.Second)
	is.Equal(reason, pickAllFull)
	is.Equal(len(m.CollectReports(10)), 1) // the other VMs hear of it
	m.clock.Time += 5 * reportLife
	_, _, reason = m.ask(1, time.Second)
	is.Equal(reason, pickedNone)
}

// BenchmarkOwnerBurst prints how many requests of a burst at one VM are served, when
// its places at an owner are all that there is (baseline) and when requests wait.
func BenchmarkOwnerBurst(b *testing.B) {
	for _, waits := range []bool{false, true} {
		b.Run(fmt.Sprintf("waiting=%v", waits), func(b *testing.B) {
			served := 0
			for range b.N {
				served += burst(waits)
			}
			b.ReportMetric(float64(served)/float64(b.N), "served/20")
		})
	}
}

// burst sends 20 requests within 400 ms to an owner with one place that takes 50 ms
// for each, and returns how many are served within their second.
func burst(waits bool) int {
	m := newOwnerModel(130)
	served := 0
	var running *backend
	var end time.Duration
	for ms := range 2000 {
		m.clock.Time = time.Minute + time.Duration(ms)*time.Millisecond
		if running != nil && m.clock.Time >= end {
			served++
			m.end(running)
			end = m.clock.Time + 50*time.Millisecond
			if running.own == 0 {
				running = nil
			}
		}
		if ms >= 400 || ms%20 != 0 {
			continue
		}
		w, b, reason := m.ask(1, time.Second)
		if reason == pickedNone {
			running, end = b, m.clock.Time+50*time.Millisecond
		} else if reason == pickQueued && !waits {
			m.leave(b, m.service, w)
		}
	}
	return served
}

// TestQueueIsNotSlowness guards against the owner of a very busy key that counts as
// slow because requests queue there: its keys would move on and on.
func TestQueueIsNotSlowness(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(530)
	_, b, _ := m.ask(1, time.Second)
	m.ended(b, m.service, func(time.Duration) { b.worked(4, Load{Running: 4, Waiting: 12, Slots: 4}) })
	latencies := m.TakeLatencies(func(service string) bool { return service == "s" })
	is.Equal(len(latencies), 1)
	is.Equal(latencies[0].Sum, float32(1))
	is.Equal(len(m.TakeLatencies(func(string) bool { return true })), 0)
}

// TestLapsedServerGetsNothing guards against requests to a backend server whose entry
// counts as gone by now, until the next batch of the catalogue says so.
func TestLapsedServerGetsNothing(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(530)
	b := m.view.Backends["b"]
	b.ExpiresAt = m.clock.Time + time.Second
	m.view.Backends["b"] = b
	_, placed, _ := m.ask(1, time.Second)
	m.end(placed)
	m.clock.Time += time.Second
	_, _, reason := m.ask(1, time.Second)
	is.Equal(reason, pickNoServer)
	_, picked := m.pick(m.view, m.service, nil, time.Millisecond, time.Second)
	is.Equal(picked, pickNoServer)
}
