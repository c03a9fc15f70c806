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
	"fireflyfield/internal/keylease"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/share"
	"fireflyfield/internal/sharedlog"
)

// testProtocol is a protocol with short header names.
type testProtocol struct{}

func (testProtocol) ParseCall(h http.Header) CallHeaders {
	call := CallHeaders{ID: h.Get("X-Id"), TimeLeft: 2 * time.Second, CallerKey: h.Get("X-Key"), Key: NoKey}
	if number, err := strconv.Atoi(h.Get("X-Number")); err == nil {
		call.Key = number
	}
	return call
}

func (testProtocol) SetAttempt(h http.Header, a AttemptHeaders) { h.Set("X-Id", a.RequestID) }

func (testProtocol) ParseAnswer(status int, h http.Header) AnswerHeaders {
	return AnswerHeaders{ID: h.Get("X-Id"), Signed: h.Get("X-Signed") != "", NotRun: h.Get("X-Not-Run") != "", NotOwner: h.Get("X-Not-Owner") != ""}
}

func (testProtocol) SetAnswer(http.Header, string) {}

func (testProtocol) ResponseID(h http.Header) string { return h.Get("X-Id") }

type collected struct{ events chan Event }

func (c collected) Request(e *Event) { c.events <- *e }

// setup is a forwarder with backend servers that answer with functions.
type setup struct {
	*Forwarder
	events  chan Event
	service string
}

type behaviour func(w http.ResponseWriter, r *http.Request)

func signed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signed", "1")
	io.WriteString(w, "ran") //nolint:errcheck // the test sees the answer
}

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func build(t *testing.T, idempotent bool, servers ...behaviour) *setup {
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
	s := &setup{events: make(chan Event, 1000), service: "s"}
	s.Forwarder = New(Options{
		Clock: clock.System{}, Directory: d, Table: keylease.NewTable(zap.NewNop()),
		Servers: NewServers(clock.System{}, "d", ColdLimits{Factor: 1.5, Slack: 5}, testProtocol{}, random(), func() int { return 1 }),
		Limiter: share.NewLimiter("vm", share.Tolerance{}), Protocol: testProtocol{}, Observer: collected{s.events},
		RetryRatio: 1, MaxConfigAge: time.Minute, Random: random(),
	})
	// Requests of the last seconds fill the retry budget.
	for range 50 {
		s.budget("s").Request(time.Unix(0, int64(clock.System{}.Now())))
	}
	return s
}

func (s *setup) request(ctx context.Context, id string) *Answer {
	return s.Handle(ctx, &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"X-Id": {id}}, Received: clock.System{}.Now(),
	})
}

// TestUnsafeRunsOnce guards against a request that runs twice although it may run
// once, and against a promise of "not run" for an unknown outcome.
func TestUnsafeRunsOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	lose := func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
	s := build(t, false, lose, lose)
	answer := s.request(context.Background(), "1")
	is.Equal(answer.Status, http.StatusBadGateway)
	is.Equal(runs.Load(), int64(1))
	is.Equal((<-s.events).Reason, "outcome-unknown")
}

// TestIdempotentIsRetried guards against a lost answer that ends a request which may
// run again.
func TestIdempotentIsRetried(t *testing.T) {
	is := is.New(t)
	var first atomic.Bool
	flaky := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			panic(http.ErrAbortHandler)
		}
		signed(w, r)
	}
	answer := build(t, true, flaky, flaky).request(context.Background(), "1")
	is.Equal(answer.Status, http.StatusOK)
}

// TestShedIsRetried guards against a refusal while another backend server is free,
// for requests that may run once too.
func TestShedIsRetried(t *testing.T) {
	is := is.New(t)
	s := build(t, false, shed, signed)
	for i := range 10 {
		is.Equal(s.request(context.Background(), fmt.Sprint(i)).Status, http.StatusOK)
	}
}

// TestAllShed guards against a refusal without a time to come back.
func TestAllShed(t *testing.T) {
	is := is.New(t)
	answer := build(t, false, shed, shed).request(context.Background(), "1")
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	is.True(answer.Header.Get("Retry-After") != "")
}

// TestMaxAttempts guards against a request that runs on more backend servers than
// its route allows, with a hedge and a failure together.
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
	answer := build(t, true, slowFailure, slowFailure, slowFailure, slowFailure).request(context.Background(), "1")
	is.Equal(answer.Status, http.StatusInternalServerError)
	is.Equal(runs.Load(), int64(2))
}

// TestHedge guards against a request that waits for a slow backend server while
// another could have answered.
func TestHedge(t *testing.T) {
	is := is.New(t)
	var slow atomic.Int64
	oneSlow := func(w http.ResponseWriter, r *http.Request) {
		if slow.Add(1) == 1 {
			time.Sleep(1500 * time.Millisecond)
		}
		signed(w, r)
	}
	started := time.Now()
	answer := build(t, true, oneSlow, oneSlow).request(context.Background(), "1")
	is.Equal(answer.Status, http.StatusOK)
	is.True(time.Since(started) < time.Second)
}

// TestRetriesAfterStart guards against a VM that cannot retry after its start since
// it has seen no request yet, and against one that uses all of the fleet's slack.
func TestRetriesAfterStart(t *testing.T) {
	is := is.New(t)
	s := build(t, true, signed)
	s.RetryRatio, s.RetrySlack = 0.2, 60
	now := time.Unix(0, int64(clock.System{}.Now()))
	budget := s.budget("new service")
	taken := 0
	for budget.Take(now) {
		taken++
	}
	is.True(taken >= 1)
	is.True(taken*s.Limiter.VMs() <= 60)
}

// TestUnsignedSuccess guards against bytes that are no backend server's answer and
// reach the caller as a success.
func TestUnsignedSuccess(t *testing.T) {
	is := is.New(t)
	forged := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		io.WriteString(w, "not signed") //nolint:errcheck // the test sees the answer
	}
	is.Equal(build(t, false, forged).request(context.Background(), "1").Status, http.StatusBadGateway)
}

// TestLeftCaller guards against work that goes on for a caller that has left, and
// against one-time requests that are broken off.
func TestLeftCaller(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent=", idempotent), func(t *testing.T) {
			is := is.New(t)
			ended := make(chan bool, 1)
			slow := func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
					ended <- true
				case <-time.After(800 * time.Millisecond):
					ended <- false
				}
				signed(w, r)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			build(t, idempotent, slow).request(ctx, "1")
			is.Equal(<-ended, idempotent)
		})
	}
}

// TestStaleConfiguration guards against caller keys that are accepted after a
// withdrawal could have been missed.
func TestStaleConfiguration(t *testing.T) {
	is := is.New(t)
	s := build(t, true, signed)
	s.MaxConfigAge = time.Nanosecond
	is.Equal(s.request(context.Background(), "1").Status, http.StatusServiceUnavailable)
}

// TestWeights guards against targets whose share differs from their weight.
func TestWeights(t *testing.T) {
	is := is.New(t)
	s := build(t, true, signed)
	route := &fleet.Route{Name: "split", Targets: []fleet.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for range 1000 {
		counts[s.target(route)]++
	}
	is.True(counts["b"] >= 98 && counts["b"] <= 102)
}

// TestColdLimit guards against a cold backend server that gets more from all VMs
// together than it bears in any second.
func TestColdLimit(t *testing.T) {
	for _, vms := range []int{1, 5, 10, 12, 80} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			fake := &clock.Fake{}
			service := &fleet.Service{Name: "s", ColdRate: 9.3}
			const bound = 18 // 9.3 x 1.5 + 5, rounded down
			// All VMs are killed and come back without a memory of what they sent.
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
						at := fake.Time
						if !connected[s] {
							at += dial
							connected[s] = true
						}
						sent = append(sent, at)
						s.ended(b, service, func(time.Duration) {})
					}
				}
			}
			slices.Sort(sent)
			for first, last := 0, 0; last < len(sent); last++ {
				for sent[last]-sent[first] >= time.Second {
					first++
				}
				if n := last - first + 1; n > bound {
					t.Fatalf("%d requests in the second up to %s, at most %d are allowed", n, sent[last], bound)
				}
			}
			if len(sent) < 20 {
				t.Errorf("%d requests in 20 s: the cold backend server is left idle", len(sent))
			}
		})
	}
}

// TestCost guards against a choice that ignores what makes a backend server a bad one.
func TestCost(t *testing.T) {
	base := Standing{Slots: 4, Speed: 1, Slowness: 1}
	worse := map[string]Standing{
		"busy":    {Slots: 4, Speed: 1, Slowness: 1, Own: 4},
		"crowded": {Slots: 4, Speed: 1, Slowness: 1, Others: 4},
		"slow":    {Slots: 4, Speed: 2, Slowness: 1},
		"noisy":   {Slots: 4, Speed: 1, Slowness: 3},
		"failing": {Slots: 4, Speed: 1, Slowness: 1, Failures: 0.3},
		"remote":  {Slots: 4, Speed: 1, Slowness: 1, Remote: true},
	}
	for name, s := range worse {
		if s.Cost() <= base.Cost() {
			t.Errorf("a %s backend server costs %.2f, an idle one %.2f", name, s.Cost(), base.Cost())
		}
	}
	old := Standing{Slots: 4, Speed: 1, Slowness: 3, Others: 8, ReportAge: time.Minute}
	if old.Cost() > 1.01*base.Cost() {
		t.Errorf("a report of a minute ago still counts: %.2f", old.Cost())
	}
}

// TestCallerKeyIsStripped guards against a caller key in any forwarded header.
func TestCallerKeyIsStripped(t *testing.T) {
	s := build(t, true, signed)
	fl := &flight{call: CallHeaders{CallerKey: "secret"}, request: &Request{Header: http.Header{
		"X-Copy": {"a secret value"}, "Connection": {"X-Drop"}, "X-Drop": {"1"}, "X-Keep": {"2"},
	}}}
	header := s.outbound(fl)
	if got := fmt.Sprint(header); strings.Contains(got, "secret") || header.Get("X-Drop") != "" || header.Get("X-Keep") != "2" {
		t.Errorf("forwarded headers %s", got)
	}
}

// TestShortOverrun guards against refusals of requests that only need to wait for
// a moment: callers of a workspace inside its rate that send together at one VM.
func TestShortOverrun(t *testing.T) {
	is := is.New(t)
	s := build(t, true, signed)
	workspace := &fleet.Workspace{Name: "w", Rate: 480, Burst: 24}
	now := clock.System{}.Now()
	refused, delayed := 0, 0
	for range 6 {
		fl := &flight{owner: workspace, deadline: now + time.Minute, event: Event{Received: now}}
		if s.admitRate(context.Background(), fl) != nil {
			refused++
		}
		if fl.event.RateWait > 0 {
			delayed++
		}
	}
	is.Equal(refused, 0)
	is.True(delayed > 0)
	// Without time to wait, the request is refused at once.
	s.Limiter.Take(workspace, clock.System{}.Now(), time.Second)
	fl := &flight{owner: workspace, deadline: clock.System{}.Now() + time.Millisecond}
	answer := s.admitRate(context.Background(), fl)
	is.Equal(answer.Status, http.StatusTooManyRequests)
}

// TestOwnerWithoutLease guards against requests that use up their attempts within a tenth
// of a second at an owner whose lease ran out while the log was away: the holder of the
// lease on assignments renews it when the log is back.
func TestOwnerWithoutLease(t *testing.T) {
	is := is.New(t)
	renewed := time.Now().Add(250 * time.Millisecond)
	s := build(t, false, func(w http.ResponseWriter, r *http.Request) {
		if time.Now().Before(renewed) {
			w.Header().Set("X-Not-Owner", "1")
			shed(w, r)
			return
		}
		signed(w, r)
	})
	s.Directory.View().Config.Services[0].Keyed = true
	assignment := keyrange.Assignment{Holder: "vm", Services: map[string][]keyrange.Entry{
		"s": {{Range: keyrange.Range{First: 0, Last: keyrange.MaxKey}, Backend: "b0", Fence: 1}},
	}}
	content, err := assignment.Encode()
	is.NoErr(err)
	lessor := keylease.NewLessor(keylease.LessorOptions{Clock: clock.System{}, Table: s.Table, Logger: zap.NewNop()})
	lessor.Follower().Deliver(sharedlog.Batch{Records: []sharedlog.Record{{Key: "assignment", Value: content}}, Next: 1}, directory.BatchInfo{Snapshot: true})
	answer := s.Handle(context.Background(), &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"X-Id": {"1"}, "X-Number": {"7"}}, Received: clock.System{}.Now(),
	})
	is.Equal(answer.Status, http.StatusOK)
	is.Equal((<-s.events).OwnerFence, int64(1))
}
