package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
)

// limitModel is a fleet of VMs under a fake clock whose callers ask for more than a service
// bears, of which one backend server names a limit in its answers.
type limitModel struct {
	clock    *clock.Fake
	random   *rand.Rand
	service  *fleet.Service
	view     *directory.View
	vms      []*Servers
	running  []limitedRequest
	limit    float64 // 0 while none is named
	arrivals []limitedRequest
	// toldAt is when each VM received the first answer with a limit.
	toldAt map[*Servers]time.Duration
	onStep func() // nil if the VMs exchange nothing
}

// limitedRequest is a request at a backend server.
type limitedRequest struct {
	vm   *Servers
	b    *backend
	sent time.Duration
	ends time.Duration
}

// limitedServer is the backend server that names the limit, and workTime the time of a request.
const (
	limitedServer = "b0"
	workTime      = 50 * time.Millisecond
	modelStep     = 5 * time.Millisecond
)

// newLimitModel returns a fleet with the given number of VMs. The service has nine backend
// servers; if it is keyed, all requests are for keys of the first one. VMs are spread over the
// failure domains, and backend servers over half of them.
func newLimitModel(vms, domains int, keyed bool) *limitModel {
	m := &limitModel{
		clock: &clock.Fake{Time: time.Minute}, random: rand.New(rand.NewPCG(7, uint64(vms))),
		service: &fleet.Service{Name: "s", Keyed: keyed}, toldAt: make(map[*Servers]time.Duration),
	}
	m.view = &directory.View{Config: &fleet.Config{Services: []fleet.Service{*m.service}}, Backends: make(map[string]directory.Backend)}
	m.view.Config.Index()
	for i := range 9 {
		id := fmt.Sprint("b", i)
		m.view.Backends[id] = directory.Backend{Backend: fleet.Backend{ID: id, Service: "s", Domain: fmt.Sprint("d", i%max(1, domains/2)), Slots: 40, Started: 1}}
	}
	m.vms = make([]*Servers, vms)
	for i := range vms {
		m.vms[i] = m.newVM(i, domains, 3)
	}
	return m
}

// newVM returns the state of a process of a VM that knows nothing.
func (m *limitModel) newVM(number, domains int, seed uint64) *Servers {
	return NewServers(m.clock, fmt.Sprint("d", number%domains), ColdLimits{}, testProtocol{}, rand.New(rand.NewPCG(uint64(number), seed)), func() int { return len(m.vms) })
}

// run advances the clock by d in steps of 5 ms. requestsPerSecond arrive at all VMs together.
func (m *limitModel) run(d time.Duration, requestsPerSecond float64) {
	for end := m.clock.Time + d; m.clock.Time < end; m.clock.Time += modelStep {
		m.answerFinished()
		for range m.poisson(requestsPerSecond * modelStep.Seconds()) {
			m.request(m.vms[m.random.IntN(len(m.vms))])
		}
		if m.onStep != nil {
			m.onStep()
		}
	}
}

// poisson returns the number of events in a step with the given small mean.
func (m *limitModel) poisson(mean float64) int {
	count := 0
	for wait := m.random.ExpFloat64(); wait < mean; wait += m.random.ExpFloat64() {
		count++
	}
	return count
}

// request sends one request of a caller from a VM, if the VM may send it now.
func (m *limitModel) request(vm *Servers) {
	var b *backend
	if m.service.Keyed {
		w := &waiter{deadline: m.clock.Time + time.Second, ready: make(chan struct{})}
		var reason pickReason
		if b, reason = vm.acquireOrQueue(m.view, limitedServer, m.service, w, workTime, time.Second); reason != pickOK {
			return
		}
	} else if b, _ = vm.pick(m.view, m.service, nil, workTime, time.Second); b == nil {
		return
	}
	r := limitedRequest{vm: vm, b: b, sent: m.clock.Time, ends: m.clock.Time + workTime}
	m.running = append(m.running, r)
	if b.ID == limitedServer {
		m.arrivals = append(m.arrivals, r)
	}
}

// answerFinished delivers the answers of the requests that have ended.
func (m *limitModel) answerFinished() {
	m.running = slices.DeleteFunc(m.running, func(r limitedRequest) bool {
		if m.clock.Time < r.ends {
			return false
		}
		answer := ResponseHeaders{Signed: true, HasLoad: true, Load: Load{Slots: 40, Slowness: 1}}
		if r.b.ID == limitedServer && m.limit > 0 {
			answer.Limit, answer.HasLimit = m.limit, true
			if _, told := m.toldAt[r.vm]; !told {
				m.toldAt[r.vm] = m.clock.Time
			}
		}
		r.vm.endRequest(r.b, m.service, func(now time.Duration) {
			r.vm.applyNotices(r.b, &answer, r.sent, now)
			r.b.applyLoad(answer.Load, now)
			r.b.recordSuccess(1, now)
		})
		return true
	})
}

// most returns the largest number of requests in 4 s from the given time on, of VMs that were
// told half a second before.
func (m *limitModel) most(from time.Duration) int {
	var counted []time.Duration
	for _, r := range m.arrivals {
		if told, ok := m.toldAt[r.vm]; ok && r.sent >= from && r.sent >= told+500*time.Millisecond {
			counted = append(counted, r.sent)
		}
	}
	return mostInWindow(counted, from)
}

// mostInWindow returns the largest number of times from the given one on that fall into 4 s.
func mostInWindow(times []time.Duration, from time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first] < from || times[first] <= at-4*time.Second {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

// between returns the number of requests at the limited server from one time on until before
// another.
func (m *limitModel) between(from, until time.Duration) int {
	count := 0
	for _, r := range m.arrivals {
		if r.sent >= from && r.sent < until {
			count++
		}
	}
	return count
}

// since returns the number of requests at the limited server from the given time on.
func (m *limitModel) since(from time.Duration) int { return m.between(from, m.clock.Time+1) }

// A backend server that names a limit must not get more than one and a half times of it in 4 s
// from all VMs together, 5 requests allowed beside: each VM went on choosing it by load, at four
// times its limit. It must still get a good part of what it accepts.
func TestServerLimit(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		for _, vms := range []int{1, 10, 80, 295} {
			for _, limit := range []float64{1, 4.5, 20} {
				t.Run(fmt.Sprintf("keyed=%v/vms=%d/limit=%g", keyed, vms, limit), func(t *testing.T) {
					is := is.New(t)
					m := newLimitModel(vms, 1, keyed)
					demand := float64(40 * 9)
					if keyed {
						demand = 60
					}
					m.run(4*time.Second, demand)
					named := m.clock.Time
					m.limit = limit
					m.run(40*time.Second, demand)
					from := named + 3*time.Second
					is.True(m.most(from) <= int(1.5*limit*4+5))
					average := float64(m.since(from)) / (m.clock.Time - from).Seconds()
					is.True(average >= limit/2)
				})
			}
		}
	}
}

// When a backend server names a limit no more, it must get its part of the requests again.
func TestServerLimitEnds(t *testing.T) {
	is := is.New(t)
	m := newLimitModel(10, 1, false)
	m.limit = 4.5
	m.run(8*time.Second, 360)
	limited := m.clock.Time
	m.run(8*time.Second, 360)
	is.True(m.since(limited) < 8*8)
	m.limit = 0
	m.run(5*time.Second, 360)
	ended := m.clock.Time
	m.run(8*time.Second, 360)
	is.True(m.since(ended) > 8*20)
}

// An answer that was made before the limit, or that may have been, must not end it: it arrives
// on another connection after the answer that names the limit.
func TestLimitOutlastsEarlierAnswers(t *testing.T) {
	is := is.New(t)
	var l requestLimit
	is.True(l.observe(true, 4, 2*time.Second, 2*time.Second, 10, 0.5))
	is.True(!l.observe(false, 0, 1900*time.Millisecond, 3*time.Second, 10, 0.5))
	is.True(l.named)
	is.True(l.observe(false, 0, 2100*time.Millisecond, 4*time.Second, 10, 0.5))
	is.True(!l.named)
	is.Equal(l.wait(4*time.Second), time.Duration(0))
}

// A request must wait for its owner if the limit allows one soon. If not, it must be rejected at
// once, and the caller told when the owner takes a request of any VM.
func TestLimitedOwner(t *testing.T) {
	is := is.New(t)
	f := newTestForwarder(t, false, respondSigned)
	f.assignAllKeys(t)
	is.Equal(f.keyedRequest("1").Status, http.StatusOK)
	name := func(limit float64) {
		f.Servers.mu.Lock()
		defer f.Servers.mu.Unlock()
		now := f.Clock.Now()
		b := f.Servers.byID["b0"]
		f.Servers.applyNotices(b, &ResponseHeaders{Limit: limit, HasLimit: true}, now, now)
		b.notice.limit.sent(1, now)
	}
	name(4)
	is.Equal(f.keyedRequest("2").Status, http.StatusOK)
	name(0.4)
	answer := f.keyedRequest("3")
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	is.True(answer.Header.Get("Retry-After") > "2.5")
	for range 2 {
		<-f.events
	}
	event := <-f.events
	is.Equal(event.Reason, "owner-backends-limited")
	is.True(event.OwnerWait < 100*time.Millisecond)
}

// Of 80 VMs, each may send one request in 22 s to a backend server that accepts 4 in a second.
// A caller must be told to return when the server takes a request of any VM.
func TestRetryAfterAtLimitedServer(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(530)
	_, b, _ := m.acquire(1, time.Second)
	m.endRequest(b, m.service, func(now time.Duration) {
		m.applyNotices(b, &ResponseHeaders{Limit: 4, HasLimit: true}, now, now)
	})
	m.clock.Time += m.limitWaitOf("b")
	_, b, reason := m.acquire(1, time.Second)
	is.Equal(reason, pickOK)
	m.finishRequest(b)
	is.True(m.limitWaitOf("b") > 20*time.Second)
	is.True(m.shortestDelay("s", "b") < 300*time.Millisecond)
}

// A rejection without a limit must not end it: a backend server in need rejects requests, and
// each VM would send freely until the next answer.
func TestRejectionKeepsLimit(t *testing.T) {
	is := is.New(t)
	m := newNoticeModel()
	m.targets("s")
	m.answer("s1", ResponseHeaders{Signed: true, Limit: 4, HasLimit: true})
	m.clock.Time += time.Second
	m.answer("s1", ResponseHeaders{NotRun: true})
	is.Equal(m.LimitedCount(), 1)
	m.answer("s1", ResponseHeaders{Signed: true})
	is.Equal(m.LimitedCount(), 0)
}

// Requests that wait for a permit must all be woken when their owner may get none for a while
// and no request of this VM is left there: nothing else would wake them before their wait ends,
// and new requests queued up behind them.
func TestWaitersOfLimitedOwner(t *testing.T) {
	is := is.New(t)
	m := newOwnerModel(130) // one permit for this VM
	_, b, _ := m.acquire(1, time.Second)
	var waiting []*waiter
	for range 3 {
		w, _, reason := m.acquire(1, time.Second)
		is.Equal(reason, pickQueued)
		waiting = append(waiting, w)
	}
	m.endRequest(b, m.service, func(now time.Duration) {
		m.applyNotices(b, &ResponseHeaders{Signed: true, Limit: 1, HasLimit: true}, now, now)
	})
	for _, w := range waiting {
		select {
		case <-w.ready:
			is.True(!w.hasPermit)
		default:
			t.Error("a request is not woken")
		}
	}
	m.clock.Time += m.limitWaitOf("b")
	_, _, reason := m.acquire(1, time.Second)
	is.Equal(reason, pickOK)
}
