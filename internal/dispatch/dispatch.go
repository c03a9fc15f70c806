// Package dispatch decides when a caller's request is sent to a backend server, sent
// again or hedged, and what the caller is answered if all attempts fail. It leaves
// the choice of the backend server to a Router and the sending to the gates.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/balance"
	"fireflyfield/internal/clock"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/resource"
	"fireflyfield/internal/retry"
)

// Request is an authenticated request of a caller, with its whole body.
type Request struct {
	ID        string
	Workspace string
	Service   string
	Spec      *resource.ServiceSpec
	// Key is the key whose owner must run the request; empty for a service that is not
	// keyed.
	Key      string
	Method   string
	Target   string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// IdempotencyKey is the value of the header Idempotency-Key; empty if there is none.
	IdempotencyKey string
}

// Idempotent reports whether the request may safely run more than once.
func (r *Request) Idempotent() bool { return r.Spec.Idempotent(r.Method) }

// Route leads to one backend server. Unit, Fence and KeyHash are set for a keyed
// service.
type Route struct {
	Server  string
	Keyed   bool
	Unit    uint64
	Fence   backend.Fence
	KeyHash uint64
	// Gate sends attempts through the VM that is the gate of the backend server.
	Gate peer.Sender
	// Done reports to the load balancer how the attempt ended. It is called exactly
	// once.
	Done func(balance.Result)
}

// Avoid restricts the choice of a route.
type Avoid struct {
	// Servers are the names of backend servers that this request has tried already.
	Servers []string
	// Probes says that the attempt must not probe a slow backend server.
	Probes bool
}

// Router chooses backend servers.
type Router interface {
	// Route returns a route for the request, or a refusal. A refusal always has kind
	// NotRun; with RetryAfter set, there may be a route soon.
	Route(r *Request, avoid Avoid) (Route, *outcome.Refusal)
	// Changed returns a channel that is closed when routes change.
	Changed() <-chan struct{}
}

// Dispatcher sends callers' requests to backend servers and keeps the retry and hedge
// budgets of each service. It is safe for concurrent use.
type Dispatcher struct {
	router Router
	// waitSlots bounds the requests that wait for a route.
	waitSlots chan struct{}
	random    func() *rand.Rand
	// observer may be nil.
	observer Observer

	mu       sync.RWMutex
	policies map[string]*policy
}

// policy holds the retry and hedge budgets of one service.
type policy struct {
	retries     *retry.Budget
	hedges      *retry.Budget
	retryPolicy *retry.Policy
	hedger      *retry.Hedger
}

// maxWaiting is the largest number of requests that wait for a route at a time.
const maxWaiting = 4096

// New returns a Dispatcher that asks the router for routes. random must return a new
// random source on each call; each service gets its own.
func New(router Router, random func() *rand.Rand) *Dispatcher {
	return &Dispatcher{
		router:    router,
		waitSlots: make(chan struct{}, maxWaiting),
		random:    random,
		policies:  make(map[string]*policy),
	}
}

// policy returns the policy of the service and creates it on first use.
func (d *Dispatcher) policy(service string) *policy {
	d.mu.RLock()
	known, ok := d.policies[service]
	d.mu.RUnlock()
	if ok {
		return known
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.policies[service]; ok {
		return known
	}
	created := newPolicy(d.random())
	d.policies[service] = created
	return created
}

func newPolicy(random *rand.Rand) *policy {
	p := &policy{retries: mustNewBudget(retry.RetryShare, retry.RetryFloor), hedges: mustNewBudget(retry.HedgeShare, retry.HedgeFloor)}
	p.retryPolicy = retry.NewPolicy(p.retries, retry.NewBackoff(random))
	p.hedger = retry.NewHedger(p.hedges)
	return p
}

func mustNewBudget(share, floor float64) *retry.Budget {
	budget, err := retry.NewBudget(share, floor)
	if err != nil {
		panic(err) // the arguments are valid constants
	}
	return budget
}

// Dispatch sends the request until a backend server has answered it, it may not be
// tried again, or its deadline is too close. The context must end no later than the
// request's deadline.
func (d *Dispatcher) Dispatch(ctx context.Context, r *Request) (*backend.Response, *outcome.Refusal) {
	now := time.Now()
	policy := d.policy(r.Service)
	policy.retries.Request(now)
	policy.hedges.Request(now)
	progress := &progress{request: r, routeDeadline: now.Add(r.Deadline.Sub(now) / 2)}
	for {
		route, refusal := d.route(ctx, progress)
		if refusal != nil {
			return nil, progress.withOutcome(refusal)
		}
		resp, failure := d.attempt(ctx, policy, progress, route)
		if failure == nil {
			return resp, nil
		}
		progress.recordFailure(route, failure)
		if !d.awaitRetry(ctx, policy, progress, failure) {
			return nil, refusalAfter(progress, failure)
		}
	}
}

// progress records the attempts at one request so far.
type progress struct {
	request *Request
	// tried holds the backend servers of the attempts that attempts counts.
	tried []string
	// attempts counts the failed attempts, other than those over a stale route. An
	// attempt and its hedge count as one.
	attempts int
	// lastAttempt is the number of the latest attempt, hedges included. Only the
	// goroutine of the request uses it: it numbers attempts before it starts them.
	lastAttempt uint32
	// unknown is set once an attempt may have run the request.
	unknown bool
	// routeDeadline is the time after which the request does not wait for a route.
	routeDeadline time.Time
}

func (p *progress) recordFailure(route Route, failure *backend.Failure) {
	p.unknown = p.unknown || failure.Kind != outcome.NotRun
	if staleRoute(failure) {
		return
	}
	p.attempts++
	p.tried = append(p.tried, route.Server)
}

// outcome returns the outcome of all attempts together.
func (p *progress) outcome() outcome.Kind {
	if p.unknown {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// withOutcome returns the refusal with the outcome of the attempts before it.
func (p *progress) withOutcome(refusal *outcome.Refusal) *outcome.Refusal {
	corrected := *refusal
	corrected.Kind = p.outcome()
	return &corrected
}

// staleRoute reports whether the failure means that the route is out of date. The
// request has not run then, so waiting for a new route puts no load on backend
// servers and does not use the retry budget.
func staleRoute(failure *backend.Failure) bool {
	switch failure.Reason {
	case "not-gate", "gate-unknown", "gate-unreachable", "moved", "no-lease", backend.ReasonFence:
		return failure.Kind == outcome.NotRun
	default:
		return false
	}
}

// awaitRetry decides whether to make a further attempt, and waits until it is due. It
// returns false if there must be none.
func (d *Dispatcher) awaitRetry(ctx context.Context, policy *policy, p *progress, failure *backend.Failure) bool {
	if staleRoute(failure) && !p.unknown {
		return d.awaitChange(ctx, p)
	}
	r := p.request
	decision := policy.retryPolicy.Decide(time.Now(), retry.Request{
		Idempotent:    r.Idempotent(),
		Attempts:      max(1, p.attempts), // 0 if only stale routes failed so far
		Outcome:       p.outcome(),
		BodyAvailable: true,
		Deadline:      r.Deadline,
		RetryAfter:    failure.RetryAfter,
		OtherServer:   !r.Spec.Keyed(),
	})
	if decision.Verdict != retry.Again || !clock.Sleep(ctx, decision.Delay) {
		return false
	}
	d.retried(r.Service)
	return true
}

// refusalAfter returns the caller's answer after the last failure.
func refusalAfter(p *progress, failure *backend.Failure) *outcome.Refusal {
	r := p.request
	refusal := &outcome.Refusal{
		Kind:       p.outcome(),
		Status:     http.StatusServiceUnavailable,
		Reason:     failure.Reason,
		Detail:     "no backend server of service " + r.Service + " ran the request",
		RetryAfter: max(failure.RetryAfter, time.Second),
	}
	if refusal.Kind == outcome.Unknown {
		refusal.Status = http.StatusBadGateway
		refusal.Detail = "the answer of service " + r.Service + " was lost; the request may have run"
		if !r.Idempotent() {
			refusal.RetryAfter = 0
		}
	}
	return refusal
}
