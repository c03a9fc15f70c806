// Package dispatch brings one caller's request to a backend server: it asks for a
// route, sends attempts through gates and decides on retries and hedges.
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

// Request is a caller's request after authentication, with its whole body.
type Request struct {
	ID        string
	Workspace string
	Service   string
	Spec      *resource.ServiceSpec
	// Key is the owned key; empty for a service that is not divided by key.
	Key      string
	Method   string
	Target   string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// IdempotencyKey is the value of the header of that name.
	IdempotencyKey string
}

// Idempotent reports whether the request may run more than once.
func (r *Request) Idempotent() bool { return r.Spec.Idempotent(r.Method) }

// Route is the way to one backend server.
type Route struct {
	Server  string
	Keyed   bool
	Unit    uint64
	Fence   backend.Fence
	KeyHash uint64
	// Gate sends through the VM that is the gate of the backend server.
	Gate peer.Sender
	// Done tells the load balancer how the attempt ended; it is called exactly once.
	Done func(balance.Result)
}

// Avoid narrows the choice of a route.
type Avoid struct {
	// Servers were tried for this request already.
	Servers []string
	// Probes says that the attempt must not probe a slow backend server.
	Probes bool
}

// Router chooses backend servers.
type Router interface {
	// Route returns a way for the request. A refusal always has kind NotRun; one
	// with RetryAfter may be over soon.
	Route(r *Request, avoid Avoid) (Route, *outcome.Refusal)
	// Changed returns a channel that is closed when routes change.
	Changed() <-chan struct{}
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	router  Router
	waiting chan struct{}
	random  func() *rand.Rand
	// observer may be nil.
	observer Observer

	mu       sync.RWMutex
	policies map[string]*policy
}

// policy holds the budgets of one service.
type policy struct {
	retries *retry.Budget
	hedges  *retry.Budget
	decider *retry.Decider
	hedger  *retry.Hedger
}

// maxWaiting bounds the requests that wait for a route.
const maxWaiting = 4096

// New returns a Dispatcher. The function makes random sources.
func New(router Router, random func() *rand.Rand) *Dispatcher {
	return &Dispatcher{
		router:   router,
		waiting:  make(chan struct{}, maxWaiting),
		random:   random,
		policies: make(map[string]*policy),
	}
}

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
	p := &policy{retries: mustBudget(retry.RetryShare, retry.RetryFloor), hedges: mustBudget(retry.HedgeShare, retry.HedgeFloor)}
	p.decider = retry.NewDecider(p.retries, retry.NewBackoff(random))
	p.hedger = retry.NewHedger(p.hedges)
	return p
}

func mustBudget(share, floor float64) *retry.Budget {
	budget, err := retry.NewBudget(share, floor)
	if err != nil {
		panic(err) // the arguments are constants
	}
	return budget
}

// Dispatch sends the request until it ran, can't be tried again, or its deadline
// is too near. The context ends no later than the request's deadline.
func (d *Dispatcher) Dispatch(ctx context.Context, r *Request) (*backend.Response, *outcome.Refusal) {
	now := time.Now()
	policy := d.policy(r.Service)
	policy.retries.Request(now)
	policy.hedges.Request(now)
	progress := &progress{request: r, giveUpRoutes: now.Add(r.Deadline.Sub(now) / 2)}
	for {
		route, refusal := d.route(ctx, progress)
		if refusal != nil {
			return nil, progress.refusal(refusal)
		}
		resp, failure := d.attempt(ctx, policy, progress, route)
		if failure == nil {
			return resp, nil
		}
		progress.failed(route, failure)
		if !d.again(ctx, policy, progress, failure) {
			return nil, refuse(progress, failure)
		}
	}
}

// progress is what has happened to one request so far.
type progress struct {
	request *Request
	tried   []string
	// attempts counts those that a gate admitted or a backend server refused.
	attempts int
	// numbered is the number of the latest attempt, hedges included. Attempts are
	// numbered where they are started, by the goroutine of the request.
	numbered uint32
	// unknown is set once an attempt may have run the request.
	unknown bool
	// giveUpRoutes is the time from which a stale route is not waited out.
	giveUpRoutes time.Time
}

func (p *progress) failed(route Route, failure *backend.Failure) {
	p.unknown = p.unknown || failure.Kind != outcome.NotRun
	if staleRoute(failure) {
		return
	}
	p.attempts++
	p.tried = append(p.tried, route.Server)
}

// kind is the outcome of all attempts together.
func (p *progress) kind() outcome.Kind {
	if p.unknown {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// refusal corrects the outcome of a refusal by the attempts before it.
func (p *progress) refusal(refusal *outcome.Refusal) *outcome.Refusal {
	corrected := *refusal
	corrected.Kind = p.kind()
	return &corrected
}

// staleRoute reports whether the failure says that the route is out of date. No
// backend server has seen the request then, so that waiting for a new route costs
// none of them anything.
func staleRoute(failure *backend.Failure) bool {
	switch failure.Reason {
	case "not-gate", "gate-unknown", "gate-unreachable", "moved", "no-lease", backend.ReasonFence:
		return failure.Kind == outcome.NotRun
	default:
		return false
	}
}

// again decides on a further attempt and waits until it is due.
func (d *Dispatcher) again(ctx context.Context, policy *policy, p *progress, failure *backend.Failure) bool {
	if staleRoute(failure) && !p.unknown {
		return d.awaitChange(ctx, p)
	}
	r := p.request
	decision := policy.decider.Decide(time.Now(), retry.Request{
		Idempotent:    r.Idempotent(),
		Attempts:      max(1, p.attempts),
		Outcome:       p.kind(),
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

// refuse turns the last failure into the caller's answer.
func refuse(p *progress, failure *backend.Failure) *outcome.Refusal {
	r := p.request
	refusal := &outcome.Refusal{
		Kind:       p.kind(),
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
