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

// ownerModel is the owner of all keys as seen by one VM of 80, with a fake clock.
type ownerModel struct {
	*Servers
	clock   *clock.Fake
	view    *directory.View
	service *fleet.Service
}

// newOwnerModel returns a model of an owner that accepts maxConnections connections.
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

// acquire asks for a permit for a request with the given priority and time left.
func (m *ownerModel) acquire(priority int, timeLeft time.Duration) (*waiter, *backend, pickReason) {
	w := &waiter{priority: priority, deadline: m.clock.Time + timeLeft, ready: make(chan struct{})}
	b, reason := m.acquireOrQueue(m.view, "b", m.service, w, 100*time.Millisecond, timeLeft)
	return w, b, reason
}

func (m *ownerModel) finishRequest(b *backend) { m.endRequest(b, m.service, func(time.Duration) {}) }

// Requests must wait if the VM's only permit for the owner of their key will be free in
// time. They must be served by priority and deadline, and rejected at once if they
// would be served too late.
func TestOwnerQueue(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(130) // one permit for this VM
	_, b, reason := m.acquire(1, time.Second)
	is.Equal(reason, pickOK)
	late, _, reason := m.acquire(1, 900*time.Millisecond)
	is.Equal(reason, pickQueued)
	early, _, reason := m.acquire(1, 700*time.Millisecond)
	is.Equal(reason, pickQueued)
	important, _, reason := m.acquire(0, 900*time.Millisecond)
	is.Equal(reason, pickQueued)
	_, _, reason = m.acquire(1, 150*time.Millisecond)
	is.Equal(reason, pickTooLate) // it would be served after its deadline
	for _, w := range []*waiter{important, early, late} {
		is.True(!w.hasPermit)
		m.finishRequest(b)
		<-w.ready
		is.True(w.hasPermit)
	}
	m.finishRequest(b)
	is.Equal(b.ownInFlight, 0)
}

// No permit must be lost when a waiter gives up, and no waiter must wait on when its
// backend server has been removed.
func TestOwnerQueueCancelledWait(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(130)
	_, b, _ := m.acquire(1, time.Second)
	cancelled, _, _ := m.acquire(1, time.Second)
	admitted, _, _ := m.acquire(1, time.Second)
	is.Equal(m.endWait(m.view, b, m.service, cancelled, false), pickAllFull)
	m.finishRequest(b)
	<-admitted.ready
	is.Equal(m.endWait(m.view, b, m.service, admitted, true), pickNoServer) // the key moved at the moment it received the permit
	is.Equal(b.ownInFlight, 0)
	// Waiters of a backend server that is removed are woken up.
	_, _, reason := m.acquire(1, time.Second)
	is.Equal(reason, pickOK)
	last, _, _ := m.acquire(1, time.Second)
	_, reason = m.acquireOrQueue(&directory.View{Config: m.view.Config}, "b", m.service, last, time.Millisecond, time.Second)
	is.Equal(reason, pickNoServer)
	<-last.ready
	is.True(!last.hasPermit)
}

// A request whose wait ends without a permit must be rejected for the true reason: callers of a
// limited owner are told when to return, and one that has left may be replaced soon.
func TestEndOfWait(t *testing.T) {
	for reason, change := range map[pickReason]func(m *ownerModel, b *backend){
		pickOK:       func(m *ownerModel, b *backend) { m.finishRequest(b) },
		pickAllFull:  func(*ownerModel, *backend) {},
		pickLimited:  func(m *ownerModel, b *backend) { m.answered(b, &ResponseHeaders{Limit: 1, HasLimit: true}) },
		pickNoServer: func(m *ownerModel, b *backend) { m.answered(b, &ResponseHeaders{Pause: time.Second}) },
	} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			m := newOwnerModel(130)
			_, b, _ := m.acquire(1, time.Second)
			w, _, _ := m.acquire(1, time.Second)
			change(m, b)
			is.Equal(m.endWait(m.view, b, m.service, w, false), reason)
			is.Equal(len(b.queue), 0)
		})
	}
}

// answered records an answer of the owner to a request that ends later.
func (m *ownerModel) answered(b *backend, answer *ResponseHeaders) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyNotices(b, answer, m.clock.Time, m.clock.Time)
}

// An owner that resets new connections has too many of them. It must count as full for a
// while, so that it does not reset the connections of further requests too.
func TestConnectionResetMeansFull(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(530)
	_, b, _ := m.acquire(1, time.Second)
	m.connectionFailed(b, m.service, false, true)
	_, _, reason := m.acquire(1, time.Second)
	is.Equal(reason, pickAllFull)
	is.Equal(len(m.CollectReports(10)), 1) // the load is reported to the other VMs
	m.clock.Time += 5 * othersInFlightDecay
	_, _, reason = m.acquire(1, time.Second)
	is.Equal(reason, pickOK)
}

// BenchmarkOwnerBurst reports how many of 20 requests of a burst at one VM are served
// by their owner: when they are rejected for lack of a permit (baseline), and when they
// wait.
func BenchmarkOwnerBurst(b *testing.B) {
	for _, waits := range []bool{false, true} {
		b.Run(fmt.Sprintf("waiting=%v", waits), func(b *testing.B) {
			served := 0
			for range b.N {
				served += simulateBurst(waits)
			}
			b.ReportMetric(float64(served)/float64(b.N), "served/20")
		})
	}
}

// simulateBurst sends 20 requests within 400 ms to an owner with one permit that takes
// 50 ms for each, and returns how many are served within their timeout of 1 s.
func simulateBurst(waits bool) int {
	m := newOwnerModel(130)
	served := 0
	var running *backend
	var end time.Duration
	for ms := range 2000 {
		m.clock.Time = time.Minute + time.Duration(ms)*time.Millisecond
		if running != nil && m.clock.Time >= end {
			served++
			m.finishRequest(running)
			end = m.clock.Time + 50*time.Millisecond
			if running.ownInFlight == 0 {
				running = nil
			}
		}
		if ms >= 400 || ms%20 != 0 {
			continue
		}
		w, b, reason := m.acquire(1, time.Second)
		if reason == pickOK {
			running, end = b, m.clock.Time+50*time.Millisecond
		} else if reason == pickQueued && !waits {
			m.endWait(m.view, b, m.service, w, false)
		}
	}
	return served
}

// Queue wait must not count as slowness of the owner: the owner of a very busy key
// would count as slow, and its keys would move again and again.
func TestLatencyExcludesQueueWait(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(530)
	_, b, _ := m.acquire(1, time.Second)
	m.endRequest(b, m.service, func(time.Duration) { b.addLatency(4, Load{Running: 4, Waiting: 12, Slots: 4}) })
	latencies := m.TakeLatencies(func(service string) bool { return service == "s" })
	is.Equal(len(latencies), 1)
	is.Equal(latencies[0].Sum, float32(1))
	is.Equal(len(m.TakeLatencies(func(string) bool { return true })), 0)
}

// A backend server whose catalogue entry has expired must receive no request, even
// before the next batch of the catalogue removes it.
func TestExpiredServerGetsNoRequest(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(530)
	b := m.view.Backends["b"]
	b.ExpiresAt = m.clock.Time + time.Second
	m.view.Backends["b"] = b
	_, admitted, _ := m.acquire(1, time.Second)
	m.finishRequest(admitted)
	m.clock.Time += time.Second
	_, _, reason := m.acquire(1, time.Second)
	is.Equal(reason, pickNoServer)
	_, picked := m.pick(m.view, m.service, nil, time.Millisecond, time.Second)
	is.Equal(picked, pickNoServer)
}
