package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/callerkey"
	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/httpheader"
	"fireflyfield/internal/keylease"
	"fireflyfield/internal/quarantine"
	"fireflyfield/internal/reach"
	"fireflyfield/internal/retry"
	"fireflyfield/internal/share"
	"fireflyfield/internal/upstream"
)

const (
	// retryRatioFraction is the fraction of the fleet-wide retry ratio that is used.
	retryRatioFraction = 0.9
	// startSlackFraction is the fraction of the retry slack that VMs use when they
	// start.
	startSlackFraction = 0.5
	// usualLatencyGain is the weight of one response in the moving average that is a
	// route's usual latency.
	usualLatencyGain = 0.03
	// minRetryAfter is the least time after which rejected callers should return. It is
	// extended by up to retryAfterJitter, so that they don't return together.
	minRetryAfter    = 150 * time.Millisecond
	retryAfterJitter = 250 * time.Millisecond
	// rateWaitDivisor bounds the wait for the rate of the workspace: it lasts at most
	// the request's time left divided by rateWaitDivisor. The rest is for the attempts,
	// a retry included.
	rateWaitDivisor = 4
	// answerMargin is how long the VM waits beyond the time left that it states to a
	// backend server, whose own response at the deadline says more than a timeout.
	answerMargin = 30 * time.Millisecond
	// defaultTimeout is the timeout of a route that states none.
	defaultTimeout = 10 * time.Second
)

// Options are the dependencies and settings of a Forwarder.
type Options struct {
	Clock     clock.Clock
	Directory *directory.Directory
	Table     *keylease.Table
	Servers   *Servers
	Limiter   *share.Limiter
	Protocol  Protocol
	Observer  Observer
	// Quarantine records which requests were in flight when a backend server ended. Nil means
	// one of its own.
	Quarantine *quarantine.Detector
	// Reach decides whether this VM has lost its paths to the backend servers. Nil means one of
	// its own.
	Reach *reach.Monitor
	// Detours sends requests to other VMs while this one has no path. Nil means none.
	Detours *Detours
	// RetryRatio is the fleet-wide ratio of retries to requests, and RetrySlack the
	// number of retries that the fleet may make beyond it.
	RetryRatio, RetrySlack float64
	// MaxConfigAge is the age of the configuration above which requests are rejected,
	// since the withdrawal of a caller key may have been missed.
	MaxConfigAge time.Duration
	// Random is guarded by the Forwarder's own lock and must not be used elsewhere.
	Random *rand.Rand
}

// Forwarder answers callers' requests. It is safe for concurrent use.
type Forwarder struct {
	Options

	exitNs atomic.Int64 // monotonic time of End, in ns; 0 while unknown
	// ending ends when End is called.
	ending context.Context
	end    context.CancelFunc

	mu        sync.Mutex
	random    *rand.Rand
	routes    map[string]*routeState
	budgets   map[string]*retry.Budget
	keyCounts map[string]map[int]int // requests by service and key since the last TakeKeyCounts
}

// routeState is the state of one route at this VM. Forwarder.mu guards it.
type routeState struct {
	usualLatency time.Duration // moving average of the latencies at backend servers
	credit       []float64     // weighted round-robin credit of each target of the route
}

// New returns a Forwarder with no known latencies. It creates the retry budget of a
// service at the service's first request.
func New(o Options) *Forwarder {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewDetector(zap.NewNop(), nil)
	}
	if o.Reach == nil {
		o.Reach = reach.NewMonitor()
	}
	ending, end := context.WithCancel(context.Background())
	return &Forwarder{
		Options: o, ending: ending, end: end, random: o.Random, routes: make(map[string]*routeState),
		budgets: make(map[string]*retry.Budget), keyCounts: make(map[string]map[int]int),
	}
}

// requestState is the state of one request while it is handled.
type requestState struct {
	request   *Request
	call      RequestHeaders
	view      *directory.View
	route     *fleet.Route
	service   *fleet.Service
	workspace *fleet.Workspace // workspace of the caller key; nil if unknown
	deadline  time.Duration
	event     Event
	// fingerprint identifies repetitions of the request. It is set once it is admitted.
	fingerprint quarantine.Fingerprint
	// tried are the IDs of backend servers that pick leaves out for this request.
	tried []string
	// sends is the number of sends to backend servers, and runs the number of those
	// that may have run.
	sends, runs int
	// conns are the connections on which it was sent.
	conns []upstream.ConnID
	// ownerRetryDelay is the longest delay before the next attempt after an owner
	// rejected the key.
	ownerRetryDelay time.Duration
	// withdrawn is set if the last attempt was not sent since its backend server may receive
	// no request any more. The next attempt is no retry then.
	withdrawn bool
	// reached is set if a backend server may have received the request. Until then an attempt is
	// no repetition for the backend servers, so it takes nothing out of the budget.
	reached bool
	// detoured is set if another VM sent the request.
	detoured bool
	// outcomeUnknown is set if an attempt may have run but brought no valid response.
	outcomeUnknown bool
	lastResponse   *Answer // last failure response of a backend server
	// responses are all responses of backend servers, which hold memory.
	responses []*upstream.Response
}

// releaseResponses returns the memory of all responses but that of the final answer.
func (rs *requestState) releaseResponses(answer *Answer) {
	for _, response := range rs.responses {
		if response != answer.response {
			response.Release()
		}
	}
}

// Handle handles a request and returns its final answer, of which the caller must call Done.
// ctx ends when the caller has left.
func (f *Forwarder) Handle(ctx context.Context, r *Request) *Answer {
	return f.handleRequest(ctx, r, false)
}

// handleRequest is Handle. detoured is set for a request of another VM.
func (f *Forwarder) handleRequest(ctx context.Context, r *Request, detoured bool) *Answer {
	call := f.Protocol.ParseRequest(r.Header)
	rs := &requestState{request: r, call: call, view: f.Directory.View(), ownerRetryDelay: ownerRetryDelay, detoured: detoured}
	rs.event = Event{ID: call.ID, Key: call.Key, Received: r.Received, Detoured: detoured}
	answer := f.handle(ctx, rs)
	rs.releaseResponses(answer)
	rs.event.Status = answer.Status
	rs.event.Took = f.Clock.Now() - r.Received
	f.Observer.Request(&rs.event)
	return answer
}

func (f *Forwarder) handle(ctx context.Context, rs *requestState) *Answer {
	if answer := f.admit(ctx, rs); answer != nil {
		return answer
	}
	rs.fingerprint = rs.newFingerprint()
	if answer := f.rejectUnsendable(rs); answer != nil {
		return answer
	}
	if answer := f.declineDetour(rs); answer != nil {
		return answer
	}
	ctx, stop := f.untilEnd(ctx, rs)
	defer stop()
	attempts, cancel := f.attemptContext(ctx, rs)
	defer cancel()
	if answer := f.detour(attempts, rs); answer != nil {
		return answer
	}
	return f.runAttempts(ctx, attempts, rs)
}

// SetExit states when End will be called. From now on a request whose deadline lies later is
// rejected, since its backend server could still be at work then: the caller may send it to
// another VM at once.
func (f *Forwarder) SetExit(at time.Duration) { f.exitNs.Store(int64(at)) }

// End ends the requests that are in progress, shortly before the process ends, so that the answers
// behind them on their connections can be written. Those of other VMs are not ended: an idempotent
// one that is cut off with its connection is sent to a third VM.
func (f *Forwarder) End() {
	f.SetExit(f.Clock.Now())
	f.end()
}

// untilEnd returns a context that ends also with End, unless the request is of another VM.
func (f *Forwarder) untilEnd(ctx context.Context, rs *requestState) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if rs.detoured {
		return ctx, cancel
	}
	stop := context.AfterFunc(f.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// outlivesProcess reports whether a request may still be in progress at End.
func (f *Forwarder) outlivesProcess(rs *requestState) bool {
	exit := time.Duration(f.exitNs.Load())
	return exit != 0 && rs.deadline+answerMargin > exit
}

// rejectAtStop rejects a request that may still be in progress when the process ends, or returns
// nil if it may be sent. A request that may have run is sent again, since its caller can't be told
// that it has not.
func (f *Forwarder) rejectAtStop(rs *requestState) *Answer {
	if rs.mayHaveRun() || !f.outlivesProcess(rs) {
		return nil
	}
	return f.decline(rs, "vm-stops")
}

// rejectUnsendable rejects a request that may not be sent, or returns nil.
func (f *Forwarder) rejectUnsendable(rs *requestState) *Answer {
	if answer := f.rejectQuarantined(rs); answer != nil {
		return answer
	}
	return f.rejectAtStop(rs)
}

// mayHaveRun reports whether a backend server may have run the request or runs it now.
func (rs *requestState) mayHaveRun() bool {
	return rs.runs > 0 || rs.outcomeUnknown || rs.lastResponse != nil
}

// admit checks that the request is not an attempt of a VM, the configuration's age, the route, the caller key and the rate. It
// returns the rejection, or nil if the request is admitted.
func (f *Forwarder) admit(ctx context.Context, rs *requestState) *Answer {
	age := f.Directory.ConfigAge()
	rs.event.ConfigAge = age
	if rs.view == nil {
		return f.rejectWithRetryAfter(rs, http.StatusServiceUnavailable, "no-configuration")
	}
	rs.event.ConfigVersion = rs.view.Config.Version
	if _, listed := rs.view.Backends[rs.call.Instance]; listed {
		// A VM has sent it here as an attempt: the entry of the backend server has the address
		// of this VM. Without the rejection the VMs would send it to each other.
		return f.reject(rs, http.StatusMisdirectedRequest, "address-of-vm")
	}
	if age > f.MaxConfigAge {
		return f.rejectWithRetryAfter(rs, http.StatusServiceUnavailable, "configuration-stale")
	}
	path, _, _ := strings.Cut(rs.request.Target, "?")
	host, _, _ := strings.Cut(strings.ToLower(rs.request.Host), ":")
	rs.route = rs.view.Config.Match(host, path)
	if rs.route == nil {
		return f.reject(rs, http.StatusNotFound, "no-route")
	}
	rs.event.Route = rs.route.Name
	rs.workspace = rs.view.Config.Workspace(rs.call.CallerKey)
	if rs.workspace == nil && rs.view.Config.NeedsKey(rs.route) {
		return f.reject(rs, http.StatusUnauthorized, "caller-key-unknown")
	}
	rs.deadline = rs.request.Received + f.timeLeft(rs)
	if answer := f.rejectAtStop(rs); answer != nil {
		return answer
	}
	if rs.detoured {
		return nil // the VM that the caller is connected to has admitted it
	}
	return f.admitRate(ctx, rs)
}

// timeLeft returns the time from receipt to the deadline: the route's timeout or
// defaultTimeout, or what the caller states if that is less.
func (f *Forwarder) timeLeft(rs *requestState) time.Duration {
	timeLeft := defaultTimeout
	if rs.route.Timeout > 0 {
		timeLeft = rs.route.Timeout
	}
	if rs.call.TimeLeft > 0 {
		timeLeft = min(timeLeft, rs.call.TimeLeft)
	}
	return timeLeft
}

// admitRate applies the rate of the workspace: it may delay the request. It returns the
// rejection, or nil if the request is admitted.
func (f *Forwarder) admitRate(ctx context.Context, rs *requestState) *Answer {
	if rs.workspace == nil {
		return nil
	}
	rs.event.Workspace = rs.workspace.Name
	now := f.Clock.Now()
	decision := f.Limiter.Take(rs.workspace, now, (rs.deadline-now)/rateWaitDivisor)
	if decision.OK && decision.Wait == 0 {
		return nil
	}
	rs.event.Rate, rs.event.Burst = decision.Rate, decision.Burst
	if decision.OK {
		clock.Sleep(ctx, decision.Wait)
		rs.event.RateWait = f.Clock.Now() - now
		return nil
	}
	answer := f.rejectWithRetryAfter(rs, http.StatusTooManyRequests, "rate-exceeded")
	answer.Header.Set("Retry-After", formatSeconds(max(decision.Wait, minRetryAfter)))
	return answer
}

// attemptContext returns the context of the attempts for a context of untilEnd. A request
// that is not idempotent continues when its caller leaves, since cancelling it would leave
// its outcome unknown.
func (f *Forwarder) attemptContext(ctx context.Context, rs *requestState) (context.Context, context.CancelFunc) {
	stop := func() {}
	if !rs.route.Idempotent {
		ctx, stop = f.untilEnd(context.WithoutCancel(ctx), rs)
	}
	ctx, cancel := context.WithTimeout(ctx, rs.deadline-f.Clock.Now()+answerMargin)
	return ctx, func() {
		cancel()
		stop()
	}
}

// chooseService picks a target of the route by smooth weighted round-robin: over any
// sequence of requests, each service receives its share.
func (f *Forwarder) chooseService(route *fleet.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.routeState(route.Name)
	if len(state.credit) != len(route.Targets) {
		state.credit = make([]float64, len(route.Targets))
		// Random credits keep the VMs from all starting with the same target.
		for i := range state.credit {
			state.credit[i] = f.random.Float64() * route.Targets[i].Weight
		}
	}
	total, best := 0.0, 0
	for i, target := range route.Targets {
		total += target.Weight
		state.credit[i] += target.Weight
		if state.credit[i] > state.credit[best] {
			best = i
		}
	}
	state.credit[best] -= total
	return route.Targets[best].Service
}

// routeState returns the state of a route. The caller holds f.mu.
func (f *Forwarder) routeState(name string) *routeState {
	state := f.routes[name]
	if state == nil {
		state = &routeState{}
		f.routes[name] = state
	}
	return state
}

// usualLatency returns the usual latency of a route at a backend server, or a third of
// the route's objective before the first response.
func (f *Forwarder) usualLatency(route *fleet.Route) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if usualLatency := f.routeState(route.Name).usualLatency; usualLatency > 0 {
		return usualLatency
	}
	return route.Objective / 3
}

// recordLatency adds the latency of a response to the usual latency of its route.
func (f *Forwarder) recordLatency(route *fleet.Route, latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.routeState(route.Name)
	if state.usualLatency == 0 {
		state.usualLatency = latency
		return
	}
	state.usualLatency += time.Duration(usualLatencyGain * float64(latency-state.usualLatency))
}

// budget returns the retry budget of a service, and creates it at the first call.
func (f *Forwarder) budget(service string) *retry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	budget := f.budgets[service]
	if budget == nil {
		var err error
		if budget, err = retry.NewBudget(min(1, f.RetryRatio*retryRatioFraction), 0); err != nil {
			panic("forward: invalid retry ratio: " + err.Error())
		}
		f.prefillBudget(budget)
		f.budgets[service] = budget
	}
	return budget
}

// prefillBudget counts requests that were not made, so that a VM that has just started
// may retry before it has received requests: after a loss of all VMs, many first
// attempts reach backend servers that have changed.
// All VMs together use startSlackFraction of the slack of the fleet-wide limit.
func (f *Forwarder) prefillBudget(budget *retry.Budget) {
	ratio := f.RetryRatio * retryRatioFraction
	if ratio <= 0 {
		return
	}
	now := time.Unix(0, int64(f.Clock.Now()))
	for range int(f.RetrySlack * startSlackFraction / float64(max(1, f.Limiter.VMCount())) / ratio) {
		budget.Request(now)
	}
}

// countKey counts a request for TakeKeyCounts.
func (f *Forwarder) countKey(service string, key int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := f.keyCounts[service]
	if counts == nil {
		counts = make(map[int]int)
		f.keyCounts[service] = counts
	}
	counts[key]++
}

// TakeKeyCounts returns the number of requests by service and key since the last call.
func (f *Forwarder) TakeKeyCounts() map[string][]share.KeyCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string][]share.KeyCount, len(f.keyCounts))
	for service, counts := range f.keyCounts {
		for key, count := range counts {
			out[service] = append(out[service], share.KeyCount{Key: key, Count: count})
		}
	}
	clear(f.keyCounts)
	return out
}

// rejectWithRetryAfter returns a rejection with a Retry-After header. It is for
// requests that have not run, so that the caller may send them again.
func (f *Forwarder) rejectWithRetryAfter(rs *requestState, status int, reason string) *Answer {
	answer := f.reject(rs, status, reason)
	answer.Header.Set("Retry-After", formatSeconds(f.retryAfter()))
	return answer
}

// reject returns a rejection without a Retry-After header.
func (f *Forwarder) reject(rs *requestState, status int, reason string) *Answer {
	rs.event.Reason = reason
	header := make(http.Header, 3)
	f.Protocol.SetAnswer(header, rs.call.ID)
	body := []byte(reason + "\n")
	header.Set("Content-Type", "text/plain")
	return &Answer{Status: status, Header: header, Body: body}
}

// retryAfter returns a random time for the Retry-After header.
func (f *Forwarder) retryAfter() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return minRetryAfter + time.Duration(f.random.Int64N(int64(retryAfterJitter)))
}

// formatSeconds formats d as seconds with three decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// endToEndHeader returns a copy of the headers of the request without those that concern one
// connection only. Package upstream sets Content-Length again.
func (rs *requestState) endToEndHeader() http.Header {
	header := rs.request.Header.Clone()
	httpheader.RemoveHopByHop(header)
	header.Del("Content-Length")
	header.Del("Expect")
	return header
}

// forwardedHeader returns the headers that are sent to a backend server: those of the
// request without hop-by-hop headers, Expect and the caller key. Package upstream sets
// Content-Length again.
func (f *Forwarder) forwardedHeader(rs *requestState) http.Header {
	header := rs.endToEndHeader()
	if rs.call.CallerKey != "" {
		callerkey.StripHeader(header, rs.call.CallerKey)
	}
	return header
}
