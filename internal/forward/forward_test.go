package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/freeport"
	"fireflyfield/internal/keylease"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/share"
	"fireflyfield/internal/sharedlog"
	"fireflyfield/internal/upstream"
)

// testProtocol is a Protocol with short header names.
type testProtocol struct{}

func (testProtocol) ParseRequest(h http.Header) RequestHeaders {
	call := RequestHeaders{ID: h.Get("X-Id"), TimeLeft: 2 * time.Second, CallerKey: h.Get("X-Key"), Key: NoKey}
	if number, err := strconv.Atoi(h.Get("X-Number")); err == nil {
		call.Key = number
	}
	return call
}

func (testProtocol) SetTimeLeft(http.Header, time.Duration) {}

func (testProtocol) SetAttempt(h http.Header, a AttemptHeaders) { h.Set("X-Id", a.RequestID) }

func (testProtocol) ParseResponse(status int, h http.Header) ResponseHeaders {
	return ResponseHeaders{ID: h.Get("X-Id"), Signed: h.Get("X-Signed") != "", NotRun: h.Get("X-Not-Run") != "", NotOwner: h.Get("X-Not-Owner") != ""}
}

func (testProtocol) SetAnswer(http.Header, string) {}

func (testProtocol) ResponseID(h http.Header) string { return h.Get("X-Id") }

// eventRecorder is an Observer that passes events to a channel.
type eventRecorder struct{ events chan Event }

func (c eventRecorder) Request(e *Event) { c.events <- *e }

// testForwarder is a Forwarder whose backend servers run test functions.
type testForwarder struct {
	*Forwarder
	events  chan Event
	service string
}

// serveFunc is the handler of a backend server.
type serveFunc func(w http.ResponseWriter, r *http.Request)

// respondSigned runs the request and sends a signed response.
func respondSigned(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signed", "1")
	io.WriteString(w, "ran") //nolint:errcheck // the test sees the answer
}

// respondNotRun rejects the request with the statement that it did not run.
func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// newTestForwarder starts a backend server for each function, and returns a forwarder
// with one route to them.
func newTestForwarder(t *testing.T, idempotent bool, servers ...serveFunc) *testForwarder {
	t.Helper()
	config := &fleet.Config{
		Version: 1,
		Routes: []fleet.Route{{
			Name: "r", Host: "h", Prefix: "/", Idempotent: idempotent, Timeout: 2 * time.Second,
			Objective: 300 * time.Millisecond, MaxAttempts: 2, Targets: []fleet.Target{{Service: "s", Weight: 1}},
		}},
		Services: []fleet.Service{{Name: "s", ColdFor: time.Second, ColdRate: 10}},
	}
	config.Index()
	var backends []sharedlog.Record
	for i, serve := range servers {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(serve)}
		go server.Serve(listener) //nolint:errcheck // it ends with Close
		t.Cleanup(func() { server.Close() })
		backends = append(backends, sharedlog.Record{Key: fmt.Sprint("b", i), Value: []byte(listener.Addr().String())})
	}
	d := directory.New(clock.System{}, zap.NewNop(), directory.Sources{
		OperatorTopic: "op", BackendTopic: "backends",
		DecodeOperator: func(sharedlog.Record) directory.OperatorChange {
			return directory.OperatorChange{Config: config}
		},
		DecodeBackend: func(r sharedlog.Record) directory.BackendChange {
			return directory.BackendChange{ID: r.Key, Backend: fleet.Backend{ID: r.Key, Service: "s", Address: string(r.Value), Domain: "d", Slots: 4}}
		},
	})
	followers := d.Followers()
	now := clock.System{}.Now()
	followers[1].Deliver(sharedlog.Batch{Records: backends}, directory.BatchInfo{Snapshot: true, ConfirmedAt: now})
	followers[0].Deliver(sharedlog.Batch{Records: []sharedlog.Record{{Key: "config", Value: []byte("c")}}}, directory.BatchInfo{Snapshot: true, ConfirmedAt: now})
	random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
	s := &testForwarder{events: make(chan Event, 1000), service: "s"}
	s.Forwarder = New(Options{
		Clock: clock.System{}, Directory: d, Table: keylease.NewTable(zap.NewNop()),
		Servers: NewServers(clock.System{}, "d", ColdLimits{Factor: 1.5, Slack: 5}, testProtocol{}, random(), func() int { return 1 }),
		Limiter: share.NewLimiter("vm", share.Tolerance{}), Protocol: testProtocol{}, Observer: eventRecorder{s.events},
		RetryRatio: 1, MaxConfigAge: time.Minute, Random: random(),
	})
	// Requests of the last seconds fill the retry budget.
	for range 50 {
		s.budget("s").Request(time.Unix(0, int64(clock.System{}.Now())))
	}
	return s
}

func (s *testForwarder) request(ctx context.Context, id string) *Answer {
	return s.Handle(ctx, &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"X-Id": {id}}, Received: clock.System{}.Now(),
	})
}

// assignAllKeys makes the service a keyed one, of which the first backend server owns all keys.
func (s *testForwarder) assignAllKeys(t *testing.T) {
	t.Helper()
	s.Directory.View().Config.Services[0].Keyed = true
	s.publishOwner(t)
}

// publishOwner assigns all keys to the first backend server.
func (s *testForwarder) publishOwner(t *testing.T) {
	t.Helper()
	assignment := keyrange.Assignment{Holder: "vm", Services: map[string][]keyrange.Entry{
		"s": {{Range: keyrange.Range{First: 0, Last: keyrange.MaxKey}, Backend: "b0", Fence: 1}},
	}}
	content, err := assignment.Encode()
	if err != nil {
		t.Fatal(err)
	}
	lessor := keylease.NewLessor(keylease.LessorOptions{Clock: clock.System{}, Table: s.Table, Logger: zap.NewNop()})
	lessor.Follower().Deliver(sharedlog.Batch{Records: []sharedlog.Record{{Key: "assignment", Value: content}}, Next: 1}, directory.BatchInfo{Snapshot: true})
}

// keyedRequest sends a request for key 7.
func (s *testForwarder) keyedRequest(id string) *Answer {
	return s.Handle(context.Background(), &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"X-Id": {id}, "X-Number": {"7"}}, Received: clock.System{}.Now(),
	})
}

// A request that is not idempotent must run at most once, and its caller must not be
// told "not run" when the outcome is unknown. Both backend servers lose the response.
func TestNonIdempotentRunsOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	dropResponse := func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
	s := newTestForwarder(t, false, dropResponse, dropResponse)
	answer := s.request(context.Background(), "1")
	is.Equal(answer.Status, http.StatusBadGateway)
	is.Equal(runs.Load(), int64(1))
	is.Equal((<-s.events).Reason, "outcome-unknown")
}

// A lost response must not end an idempotent request: it may run again.
func TestLostResponseIsRetried(t *testing.T) {
	is := is.New(t)
	var first atomic.Bool
	dropFirst := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			panic(http.ErrAbortHandler)
		}
		respondSigned(w, r)
	}
	answer := newTestForwarder(t, true, dropFirst, dropFirst).request(context.Background(), "1")
	is.Equal(answer.Status, http.StatusOK)
}

// A request must not be rejected while another backend server has capacity. That holds
// for requests that are not idempotent too, since a rejected request did not run.
func TestNotRunIsRetried(t *testing.T) {
	is := is.New(t)
	s := newTestForwarder(t, false, respondNotRun, respondSigned)
	for i := range 10 {
		is.Equal(s.request(context.Background(), fmt.Sprint(i)).Status, http.StatusOK)
	}
}

// The rejection of a request that no backend server ran must say when to try again.
func TestRetryAfterWhenNoServerRunsRequest(t *testing.T) {
	is := is.New(t)
	answer := newTestForwarder(t, false, respondNotRun, respondNotRun).request(context.Background(), "1")
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	is.True(answer.Header.Get("Retry-After") != "")
}

// A request must not run on more backend servers than its route allows, also when a
// hedge and a retry after a failure come together.
func TestMaxAttempts(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	slowFailure := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		time.Sleep(300 * time.Millisecond)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "1")
		w.WriteHeader(http.StatusInternalServerError)
	}
	answer := newTestForwarder(t, true, slowFailure, slowFailure, slowFailure, slowFailure).request(context.Background(), "1")
	is.Equal(answer.Status, http.StatusInternalServerError)
	is.Equal(runs.Load(), int64(2))
}

// A request must not wait for a slow backend server while another one could answer.
func TestHedge(t *testing.T) {
	is := is.New(t)
	var slow atomic.Int64
	slowFirst := func(w http.ResponseWriter, r *http.Request) {
		if slow.Add(1) == 1 {
			time.Sleep(1500 * time.Millisecond)
		}
		respondSigned(w, r)
	}
	started := time.Now()
	answer := newTestForwarder(t, true, slowFirst, slowFirst).request(context.Background(), "1")
	is.Equal(answer.Status, http.StatusOK)
	is.True(time.Since(started) < time.Second)
}

// A VM must be able to retry right after its start, when it has received no request
// yet. All VMs together must not exceed the fleet's retry slack.
func TestRetriesAfterStart(t *testing.T) {
	is := is.New(t)
	s := newTestForwarder(t, true, respondSigned)
	s.RetryRatio, s.RetrySlack = 0.2, 60
	now := time.Unix(0, int64(clock.System{}.Now()))
	budget := s.budget("new service")
	taken := 0
	for budget.Take(now) {
		taken++
	}
	is.True(taken >= 1)
	is.True(taken*s.Limiter.VMCount() <= 60)
}

// A success that no backend server signed must not reach the caller.
func TestUnsignedSuccess(t *testing.T) {
	is := is.New(t)
	unsigned := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		io.WriteString(w, "not signed") //nolint:errcheck // the test sees the answer
	}
	is.Equal(newTestForwarder(t, false, unsigned).request(context.Background(), "1").Status, http.StatusBadGateway)
}

// Idempotent requests must stop when their caller leaves. Requests that are not
// idempotent must run to their end.
func TestCallerDisconnect(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent=", idempotent), func(t *testing.T) {
			is := is.New(t)
			cancelled := make(chan bool, 1)
			slow := func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
					cancelled <- true
				case <-time.After(800 * time.Millisecond):
					cancelled <- false
				}
				respondSigned(w, r)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			newTestForwarder(t, idempotent, slow).request(ctx, "1")
			is.Equal(<-cancelled, idempotent)
		})
	}
}

// Caller keys must not be accepted once a withdrawal may have been missed.
func TestStaleConfiguration(t *testing.T) {
	is := is.New(t)
	s := newTestForwarder(t, true, respondSigned)
	s.MaxConfigAge = time.Nanosecond
	is.Equal(s.request(context.Background(), "1").Status, http.StatusServiceUnavailable)
}

// The share of each target must match its weight.
func TestTargetWeights(t *testing.T) {
	is := is.New(t)
	s := newTestForwarder(t, true, respondSigned)
	route := &fleet.Route{Name: "split", Targets: []fleet.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for range 1000 {
		counts[s.chooseService(route)]++
	}
	is.True(counts["b"] >= 98 && counts["b"] <= 102)
}

// All VMs together must not send a cold backend server more than its bound in any
// second, also across a restart of all VMs.
func TestColdLimit(t *testing.T) {
	for _, vms := range []int{1, 5, 10, 12, 80} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			fake := &clock.Fake{}
			service := &fleet.Service{Name: "s", ColdRate: 9.3}
			const bound = 18 // 9.3 x 1.5 + 5, rounded down
			// All VMs are killed and restart without knowing what they sent.
			const killed, down = 6300 * time.Millisecond, 300 * time.Millisecond
			// The first request of a process waits for its connection.
			const dial = 60 * time.Millisecond
			view := &directory.View{Config: &fleet.Config{Services: []fleet.Service{*service}}, Backends: map[string]directory.Backend{
				"b": {Backend: fleet.Backend{ID: "b", Service: "s", Slots: 1000}, ColdUntil: 20 * time.Second},
			}}
			view.Config.Index()
			start := func() (all []*Servers) {
				for i := range vms {
					all = append(all, NewServers(fake, "d", ColdLimits{Factor: 1.5, Slack: 5}, testProtocol{},
						rand.New(rand.NewPCG(uint64(i), 3)), func() int { return vms }))
				}
				return all
			}
			all := start()
			var sent []time.Duration
			connected := make(map[*Servers]bool)
			for ; fake.Time < 20*time.Second; fake.Time += 5 * time.Millisecond {
				if fake.Time == killed+down {
					all = start()
				}
				for _, s := range all {
					if fake.Time >= killed && fake.Time < killed+down {
						continue
					}
					if b, _ := s.pick(view, service, nil, time.Millisecond, time.Second); b != nil {
						sentAt := fake.Time
						if !connected[s] {
							sentAt += dial
							connected[s] = true
						}
						sent = append(sent, sentAt)
						s.endRequest(b, service, func(time.Duration) {})
					}
				}
			}
			slices.Sort(sent)
			for first, last := 0, 0; last < len(sent); last++ {
				for sent[last]-sent[first] >= time.Second {
					first++
				}
				if n := last - first + 1; n > bound {
					t.Fatalf("%d requests in the second before %s, want at most %d", n, sent[last], bound)
				}
			}
			if len(sent) < 20 {
				t.Errorf("%d requests in 20 s: the cold backend server receives too few", len(sent))
			}
		})
	}
}

// The cost must rise with each property that makes a backend server a worse choice, and
// old reports must not count.
func TestCost(t *testing.T) {
	base := ServerStats{Slots: 4, RelativeLatency: 1, Slowness: 1}
	worse := map[string]ServerStats{
		"busy":    {Slots: 4, RelativeLatency: 1, Slowness: 1, OwnInFlight: 4},
		"crowded": {Slots: 4, RelativeLatency: 1, Slowness: 1, OthersInFlight: 4},
		"slow":    {Slots: 4, RelativeLatency: 2, Slowness: 1},
		"noisy":   {Slots: 4, RelativeLatency: 1, Slowness: 3},
		"failing": {Slots: 4, RelativeLatency: 1, Slowness: 1, FailureShare: 0.3},
		"remote":  {Slots: 4, RelativeLatency: 1, Slowness: 1, Remote: true},
	}
	for name, s := range worse {
		if s.Cost() <= base.Cost() {
			t.Errorf("a %s backend server costs %.2f, an idle one %.2f", name, s.Cost(), base.Cost())
		}
	}
	old := ServerStats{Slots: 4, RelativeLatency: 1, Slowness: 3, OthersInFlight: 8, ReportAge: time.Minute}
	if old.Cost() > 1.01*base.Cost() {
		t.Errorf("cost with a report that is one minute old: %.2f, want that of an idle backend server", old.Cost())
	}
}

// A caller key must not be forwarded in any header. Headers that the Connection header
// names must not be forwarded either.
func TestCallerKeyIsStripped(t *testing.T) {
	s := newTestForwarder(t, true, respondSigned)
	rs := &requestState{call: RequestHeaders{CallerKey: "secret"}, request: &Request{Header: http.Header{
		"X-Copy": {"a secret value"}, "Connection": {"X-Drop"}, "X-Drop": {"1"}, "X-Keep": {"2"},
	}}}
	header := s.forwardedHeader(rs)
	if got := fmt.Sprint(header); strings.Contains(got, "secret") || header.Get("X-Drop") != "" || header.Get("X-Keep") != "2" {
		t.Errorf("forwarded headers: %s", got)
	}
}

// Requests of a workspace within its rate that arrive together at one VM must be
// delayed for a moment and not be rejected.
func TestRateOverrunIsDelayed(t *testing.T) {
	is := is.New(t)
	s := newTestForwarder(t, true, respondSigned)
	workspace := &fleet.Workspace{Name: "w", Rate: 480, Burst: 24}
	now := clock.System{}.Now()
	rejected, delayed := 0, 0
	for range 6 {
		rs := &requestState{workspace: workspace, deadline: now + time.Minute, event: Event{Received: now}}
		if s.admitRate(context.Background(), rs) != nil {
			rejected++
		}
		if rs.event.RateWait > 0 {
			delayed++
		}
	}
	is.Equal(rejected, 0)
	is.True(delayed > 0)
	// Without time to wait, the request is rejected at once.
	s.Limiter.Take(workspace, clock.System{}.Now(), time.Second)
	rs := &requestState{workspace: workspace, deadline: clock.System{}.Now() + time.Millisecond}
	answer := s.admitRate(context.Background(), rs)
	is.Equal(answer.Status, http.StatusTooManyRequests)
}

// The key range lease of an owner may expire while the shared log is unavailable; the
// lease holder renews it when the log is available again. A request must not use up its
// attempts at that owner within the first 100 ms.
func TestOwnerLeaseRenewedWhileRetrying(t *testing.T) {
	is := is.New(t)
	renewed := time.Now().Add(250 * time.Millisecond)
	s := newTestForwarder(t, false, func(w http.ResponseWriter, r *http.Request) {
		if time.Now().Before(renewed) {
			w.Header().Set("X-Not-Owner", "1")
			respondNotRun(w, r)
			return
		}
		respondSigned(w, r)
	})
	s.assignAllKeys(t)
	is.Equal(s.keyedRequest("1").Status, http.StatusOK)
	is.Equal((<-s.events).OwnerFence, int64(1))
}

// noticeModel is one VM with three backend servers of an unkeyed service and one of a keyed
// one, under a fake clock.
type noticeModel struct {
	*Servers
	clock *clock.Fake
	view  *directory.View
}

func newNoticeModel() *noticeModel {
	m := &noticeModel{clock: &clock.Fake{Time: time.Minute}}
	m.Servers = NewServers(m.clock, "d", ColdLimits{}, testProtocol{}, rand.New(rand.NewPCG(1, 1)), func() int { return 1 })
	m.KeyedLeaveGrace = 2 * time.Second
	m.view = &directory.View{
		Config:   &fleet.Config{Services: []fleet.Service{{Name: "s"}, {Name: "k", Keyed: true}}},
		Backends: make(map[string]directory.Backend),
	}
	for _, id := range []string{"s1", "s2", "s3", "k1"} {
		m.view.Backends[id] = directory.Backend{Backend: fleet.Backend{ID: id, Service: id[:1], Domain: "d", Slots: 4, Started: 1}}
	}
	m.view.Config.Index()
	return m
}

// service returns a service of the configuration.
func (m *noticeModel) service(name string) *fleet.Service { return m.view.Config.Service(name) }

// answer ends a request to the backend server with an answer that states the given notices.
func (m *noticeModel) answer(id string, headers ResponseHeaders) {
	b := m.byID[id]
	b.ownInFlight++
	m.endRequest(b, m.service(b.Service), func(now time.Duration) { m.applyNotices(b, &headers, now, now) })
}

// targets returns the backend servers that 100 requests of an unkeyed service go to.
func (m *noticeModel) targets(name string) map[string]int {
	counts := make(map[string]int)
	for range 100 {
		b, reason := m.pick(m.view, m.service(name), nil, 100*time.Millisecond, time.Second)
		if b == nil {
			counts[string(reason)]++
			continue
		}
		counts[b.ID]++
		m.endRequest(b, m.service(name), func(time.Duration) {})
	}
	return counts
}

// owner asks for a permit for the owner of a key.
func (m *noticeModel) owner() pickReason {
	w := &waiter{deadline: m.clock.Time + time.Second, ready: make(chan struct{})}
	b, reason := m.acquireOrQueue(m.view, "k1", m.service("k"), w, 100*time.Millisecond, time.Second)
	if b != nil {
		m.endRequest(b, m.service("k"), func(time.Duration) {})
	}
	return reason
}

// A backend server that has said in an answer that it leaves must receive no further
// request, although the catalogue lists it as ready, and even if it is unlisted for a
// moment. The owner of keys serves them until shortly before the time is up.
func TestLeavingServer(t *testing.T) {
	is := is.New(t)
	m := newNoticeModel()
	is.Equal(len(m.targets("s")), 3)
	m.answer("s1", ResponseHeaders{Leaving: true})
	m.answer("k1", ResponseHeaders{Leaving: true})
	is.Equal(m.targets("s")["s1"], 0)
	is.Equal(m.LeavingOwners(), map[string]int64{"k1": 1})

	listed := m.view
	m.view = &directory.View{Config: listed.Config, Backends: map[string]directory.Backend{"s2": listed.Backends["s2"]}}
	m.targets("s")
	m.view = listed
	is.Equal(m.targets("s")["s1"], 0)

	m.clock.Time += m.KeyedLeaveGrace - leaveMargin - time.Millisecond
	is.Equal(m.owner(), pickOK)
	m.clock.Time += time.Millisecond
	is.Equal(m.owner(), pickNoServer)

	restarted := listed.Backends["s1"]
	restarted.Started = 2
	m.view = &directory.View{Config: listed.Config, Backends: map[string]directory.Backend{"s1": restarted}}
	is.Equal(m.targets("s")["s1"], 100)
}

// During a burst a backend server that rejects requests and asks for a pause must receive
// none until the pause ends. Requests of a service whose servers all pause must be rejected
// at once, with the time at which the first pause ends.
func TestPausedServers(t *testing.T) {
	is := is.New(t)
	m := newNoticeModel()
	m.targets("s")
	m.answer("s1", ResponseHeaders{NotRun: true, Pause: 2 * time.Second})
	m.answer("s1", ResponseHeaders{NotRun: true, Pause: time.Second})
	is.Equal(m.targets("s")["s1"], 0)
	m.answer("s2", ResponseHeaders{NotRun: true, Pause: 3 * time.Second})
	m.answer("s3", ResponseHeaders{NotRun: true, Pause: 4 * time.Second})
	is.Equal(m.targets("s")[string(pickPaused)], 100)
	is.Equal(m.shortestDelay("s", ""), 2*time.Second)
	m.clock.Time += 1500 * time.Millisecond
	is.Equal(m.targets("s")[string(pickPaused)], 100)
	m.clock.Time += 500 * time.Millisecond
	is.Equal(m.targets("s")["s1"], 100)

	m.owner()
	m.answer("k1", ResponseHeaders{NotRun: true, Pause: time.Second})
	is.Equal(m.owner(), pickPaused)
	is.Equal(m.shortestDelay("k", "k1"), time.Second)
	m.clock.Time += time.Second
	is.Equal(m.owner(), pickOK)
}

// While the VM stops, a request that may still run at the end of the process must be rejected
// as not run: one on a kept connection 4.2 s after the stop signal was sent to a backend
// server and cut off 1.5 s later. One that ends in time must be served.
func TestRequestsBeforeExit(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	f := newTestForwarder(t, false, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		respondSigned(w, r)
	})
	now := clock.System{}.Now() // the deadline of a request is 2 s after its receipt
	f.SetExit(now + 3*time.Second)
	is.Equal(f.request(context.Background(), "fits").Status, http.StatusOK)
	f.SetExit(now + time.Second)
	answer := f.request(context.Background(), "too long")
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	is.True(answer.Header.Get("Retry-After") != "")
	is.Equal(runs.Load(), int64(1))
}

// TestRefusedConnectionIsNoRetry guards against a request that is rejected for lack of a retry
// budget although no backend server has received it, as when many connections are refused.
func TestRefusedConnectionIsNoRetry(t *testing.T) {
	is := is.New(t)
	for range 10 {
		s := newTestForwarder(t, false, respondSigned, respondSigned)
		now := clock.System{}.Now()
		s.Servers.pick(s.Directory.View(), &s.Directory.View().Config.Services[0], nil, time.Millisecond, time.Second) // creates the states
		refusing := s.Servers.byID["b0"]
		refusing.pool.Close()
		port, err := freeport.Adjacent(1)
		is.NoErr(err)
		refusing.pool = upstream.NewPool(fmt.Sprintf("127.0.0.1:%d", port), clock.System{}, testProtocol{}, nil)
		for s.budget("s").Take(time.Unix(0, int64(now))) {
		}
		answer := s.request(context.Background(), "1")
		is.Equal(answer.Status, http.StatusOK)
	}
}
