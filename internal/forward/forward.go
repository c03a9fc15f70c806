package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"fireflyfield/internal/callerkey"
	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/httpheader"
	"fireflyfield/internal/keylease"
	"fireflyfield/internal/retry"
	"fireflyfield/internal/share"
)

const (
	// retryShare is the part of the fleet-wide retry ratio that is used.
	retryShare = 0.9
	// startSlack is the part of the retry slack that VMs use when they start.
	startSlack = 0.5
	// usualGain is the weight of one observation of a route's usual latency.
	usualGain = 0.03
	// retryAfterLeast and retryAfterSpread bound the time after which refused callers
	// return, spread evenly so that they do not return together.
	retryAfterLeast  = 150 * time.Millisecond
	retryAfterSpread = 250 * time.Millisecond
	// rateWaitPart: a request waits for the rate of its workspace for at most this part
	// of the time that it has; the rest is for a retry.
	rateWaitPart = 4
	// answerMargin is how long the VM waits beyond the time that it gave a backend
	// server, whose own answer at the deadline says more than a timeout.
	answerMargin = 30 * time.Millisecond
	// defaultTimeout bounds a request whose route and caller state no time.
	defaultTimeout = 10 * time.Second
)

// Options are the parts that a Forwarder works with.
type Options struct {
	Clock     clock.Clock
	Directory *directory.Directory
	Table     *keylease.Table
	Servers   *Servers
	Limiter   *share.Limiter
	Protocol  Protocol
	Observer  Observer
	// RetryRatio is the fleet-wide ratio of retries to requests, and RetrySlack the
	// number of retries that are allowed beyond it in its window.
	RetryRatio, RetrySlack float64
	// MaxConfigAge is the age of the configuration above which caller keys are not
	// accepted, since a withdrawal may have been missed.
	MaxConfigAge time.Duration
	Random       *rand.Rand
}

// Forwarder answers callers' requests. It is safe for concurrent use.
type Forwarder struct {
	Options

	mu      sync.Mutex
	random  *rand.Rand
	routes  map[string]*routeState
	budgets map[string]*retry.Budget
	keys    map[string]map[int]int // requests by service and key since the last report
}

// routeState is what this VM knows of one route. It is guarded by Forwarder.mu.
type routeState struct {
	usual  time.Duration // usual latency at a backend server
	credit []float64     // of weighted targets, in the order of the route
}

// New returns a forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{
		Options: o, random: o.Random, routes: make(map[string]*routeState),
		budgets: make(map[string]*retry.Budget), keys: make(map[string]map[int]int),
	}
}

// flight is one request on its way.
type flight struct {
	request  *Request
	call     CallHeaders
	view     *directory.View
	route    *fleet.Route
	service  *fleet.Service
	owner    *fleet.Workspace // workspace that holds the caller key
	deadline time.Duration
	event    Event
	tried    []string
	// sends counts the sends to backend servers; runs those of them that may have run.
	sends, runs int
	// ownerPause is the time before the next try after an owner refused the key.
	ownerPause time.Duration
	// unknown tells that an attempt may have run without an answer.
	unknown bool
	last    *Answer // last answer of a backend server that is no success
}

// Handle returns the final answer to a request. ctx ends when the caller has left.
func (f *Forwarder) Handle(ctx context.Context, r *Request) *Answer {
	call := f.Protocol.ParseCall(r.Header)
	fl := &flight{request: r, call: call, view: f.Directory.View(), ownerPause: ownerPause}
	fl.event = Event{ID: call.ID, Key: call.Key, Received: r.Received}
	answer := f.handle(ctx, fl)
	fl.event.Status = answer.Status
	fl.event.Took = f.Clock.Now() - r.Received
	f.Observer.Request(&fl.event)
	return answer
}

func (f *Forwarder) handle(ctx context.Context, fl *flight) *Answer {
	if answer := f.admit(ctx, fl); answer != nil {
		return answer
	}
	attempts, cancel := f.attemptContext(ctx, fl)
	defer cancel()
	return f.run(ctx, attempts, fl)
}

// admit checks route, caller key and rate. It returns the answer to a request that
// does not pass.
func (f *Forwarder) admit(ctx context.Context, fl *flight) *Answer {
	age := f.Directory.ConfigAge()
	fl.event.ConfigAge = age
	if fl.view == nil {
		return f.refuse(fl, http.StatusServiceUnavailable, "no-configuration")
	}
	fl.event.ConfigVersion = fl.view.Config.Version
	if age > f.MaxConfigAge {
		return f.refuse(fl, http.StatusServiceUnavailable, "configuration-stale")
	}
	path, _, _ := strings.Cut(fl.request.Target, "?")
	host, _, _ := strings.Cut(strings.ToLower(fl.request.Host), ":")
	fl.route = fl.view.Config.Match(host, path)
	if fl.route == nil {
		return f.reject(fl, http.StatusNotFound, "no-route")
	}
	fl.event.Route = fl.route.Name
	fl.owner = fl.view.Config.Workspace(fl.call.CallerKey)
	if fl.owner == nil && fl.view.Config.NeedsKey(fl.route) {
		return f.reject(fl, http.StatusUnauthorized, "caller-key-unknown")
	}
	fl.deadline = fl.request.Received + f.timeLeft(fl)
	return f.admitRate(ctx, fl)
}

func (f *Forwarder) timeLeft(fl *flight) time.Duration {
	left := defaultTimeout
	if fl.route.Timeout > 0 {
		left = fl.route.Timeout
	}
	if fl.call.TimeLeft > 0 {
		left = min(left, fl.call.TimeLeft)
	}
	return left
}

func (f *Forwarder) admitRate(ctx context.Context, fl *flight) *Answer {
	if fl.owner == nil {
		return nil
	}
	fl.event.Workspace = fl.owner.Name
	now := f.Clock.Now()
	decision := f.Limiter.Take(fl.owner, now, (fl.deadline-now)/rateWaitPart)
	if decision.OK && decision.Wait == 0 {
		return nil
	}
	fl.event.Rate, fl.event.Burst = decision.Rate, decision.Burst
	if decision.OK {
		clock.Sleep(ctx, decision.Wait)
		fl.event.RateWait = f.Clock.Now() - now
		return nil
	}
	answer := f.refuse(fl, http.StatusTooManyRequests, "rate-exceeded")
	answer.Header.Set("Retry-After", formatSeconds(max(decision.Wait, retryAfterLeast)))
	return answer
}

// attemptContext returns the context of the attempts. A request that may run once
// goes on when its caller leaves: breaking it off would leave its outcome open.
func (f *Forwarder) attemptContext(ctx context.Context, fl *flight) (context.Context, context.CancelFunc) {
	if !fl.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, fl.deadline-f.Clock.Now()+answerMargin)
}

// target picks the service by the weights of the route, smoothly: over any run of
// requests each service gets its share.
func (f *Forwarder) target(route *fleet.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.routeState(route.Name)
	if len(state.credit) != len(route.Targets) {
		state.credit = make([]float64, len(route.Targets))
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

// routeState returns the state of a route. The caller holds the lock.
func (f *Forwarder) routeState(name string) *routeState {
	state := f.routes[name]
	if state == nil {
		state = &routeState{}
		f.routes[name] = state
	}
	return state
}

// usual returns the usual latency of a route at a backend server.
func (f *Forwarder) usual(route *fleet.Route) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if usual := f.routeState(route.Name).usual; usual > 0 {
		return usual
	}
	return route.Objective / 3
}

func (f *Forwarder) observe(route *fleet.Route, latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.routeState(route.Name)
	if state.usual == 0 {
		state.usual = latency
		return
	}
	state.usual += time.Duration(usualGain * float64(latency-state.usual))
}

// budget returns the retry budget of a service.
func (f *Forwarder) budget(service string) *retry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	budget := f.budgets[service]
	if budget == nil {
		var err error
		if budget, err = retry.NewBudget(min(1, f.RetryRatio*retryShare), 0); err != nil {
			panic("forward: retry ratio: " + err.Error())
		}
		f.fill(budget)
		f.budgets[service] = budget
	}
	return budget
}

// fill lets a VM that has just started retry before it has seen requests: after a
// loss of all VMs, many first attempts meet backend servers that have changed. The
// VMs together use a part of the slack that the fleet-wide limit leaves.
func (f *Forwarder) fill(budget *retry.Budget) {
	share := f.RetryRatio * retryShare
	if share <= 0 {
		return
	}
	now := time.Unix(0, int64(f.Clock.Now()))
	for range int(f.RetrySlack * startSlack / float64(max(1, f.Limiter.VMs())) / share) {
		budget.Request(now)
	}
}

func (f *Forwarder) countKey(service string, key int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := f.keys[service]
	if counts == nil {
		counts = make(map[int]int)
		f.keys[service] = counts
	}
	counts[key]++
}

// TakeKeyCounts returns the requests by service and key since the last call.
func (f *Forwarder) TakeKeyCounts() map[string][]share.KeyCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string][]share.KeyCount, len(f.keys))
	for service, counts := range f.keys {
		for key, count := range counts {
			out[service] = append(out[service], share.KeyCount{Key: key, Count: count})
		}
	}
	clear(f.keys)
	return out
}

// refuse returns an answer that promises that the request has not run.
func (f *Forwarder) refuse(fl *flight, status int, reason string) *Answer {
	answer := f.reject(fl, status, reason)
	answer.Header.Set("Retry-After", formatSeconds(f.retryAfter()))
	return answer
}

// reject returns an answer of this VM without a time to come back.
func (f *Forwarder) reject(fl *flight, status int, reason string) *Answer {
	fl.event.Reason = reason
	header := make(http.Header, 3)
	f.Protocol.SetAnswer(header, fl.call.ID)
	body := []byte(reason + "\n")
	header.Set("Content-Type", "text/plain")
	return &Answer{Status: status, Header: header, Body: body}
}

func (f *Forwarder) retryAfter() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return retryAfterLeast + time.Duration(f.random.Int64N(int64(retryAfterSpread)))
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// outbound returns the headers that are forwarded.
func (f *Forwarder) outbound(fl *flight) http.Header {
	header := fl.request.Header.Clone()
	httpheader.RemoveHopByHop(header)
	header.Del("Content-Length")
	header.Del("Expect")
	if fl.call.CallerKey != "" {
		callerkey.StripHeader(header, fl.call.CallerKey)
	}
	return header
}
