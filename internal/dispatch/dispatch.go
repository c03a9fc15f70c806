// Package dispatch brings one caller's request to a backend server: it asks for a
// route, sends an attempt through the gate and decides on further attempts.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/resource"
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
}

// Router chooses backend servers.
type Router interface {
	// Route returns a way for the request. The servers in tried have refused it
	// already; a router of a service that is not divided by key avoids them. A
	// refusal always has kind NotRun.
	Route(r *Request, tried []string) (Route, *outcome.Refusal)
	// Changed returns a channel that is closed when routes change.
	Changed() <-chan struct{}
	// Observe reports how an attempt at the server went.
	Observe(r *Request, route Route, took time.Duration, failure *backend.Failure)
}

// Budget bounds attempts beyond the first.
type Budget interface {
	// Request counts a first attempt.
	Request()
	// Retry takes one further attempt from the budget, or returns false.
	Retry() bool
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	router  Router
	budget  Budget
	waiting chan struct{}
}

const (
	// maxWaiting bounds the requests that wait for a route.
	maxWaiting = 4096
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 6
	// routeRetryInterval is the time between looks at the routes when nothing
	// announced a change.
	routeRetryInterval = 25 * time.Millisecond
	// retryAfterNoRoute is advised when no backend server can take a request; a key
	// is owned again within two seconds of a loss.
	retryAfterNoRoute = 2 * time.Second
)

// New returns a Dispatcher.
func New(router Router, budget Budget) *Dispatcher {
	return &Dispatcher{router: router, budget: budget, waiting: make(chan struct{}, maxWaiting)}
}

// Dispatch sends the request until it ran, can't be tried again, or its deadline
// is too near. The context ends no later than the request's deadline.
func (d *Dispatcher) Dispatch(ctx context.Context, r *Request) (*backend.Response, *outcome.Refusal) {
	d.budget.Request()
	var tried []string
	for attempt := 1; ; attempt++ {
		route, refusal := d.route(ctx, r, tried)
		if refusal != nil {
			return nil, refusal
		}
		resp, failure := d.attempt(ctx, r, route)
		if failure == nil {
			return resp, nil
		}
		if !d.mayRetry(ctx, r, failure, attempt) {
			return nil, refuse(r, failure)
		}
		tried = append(tried, route.Server)
	}
}

// route waits for a route while the request's time allows it.
func (d *Dispatcher) route(ctx context.Context, r *Request, tried []string) (Route, *outcome.Refusal) {
	changed := d.router.Changed()
	route, refusal := d.router.Route(r, tried)
	if refusal == nil || refusal.RetryAfter == 0 {
		return route, refusal
	}
	select {
	case d.waiting <- struct{}{}:
		defer func() { <-d.waiting }()
	default:
		return Route{}, refusal
	}
	giveUp := time.NewTimer(time.Until(r.Deadline) / 2)
	defer giveUp.Stop()
	ticker := time.NewTicker(routeRetryInterval)
	defer ticker.Stop()
	for refusal != nil && refusal.RetryAfter != 0 {
		select {
		case <-changed:
		case <-ticker.C:
		case <-giveUp.C:
			return Route{}, refusal
		case <-ctx.Done():
			return Route{}, refusal
		}
		changed = d.router.Changed()
		route, refusal = d.router.Route(r, tried)
	}
	return route, refusal
}

func (d *Dispatcher) attempt(ctx context.Context, r *Request, route Route) (*backend.Response, *backend.Failure) {
	start := time.Now()
	resp, err := route.Gate.Send(ctx, peer.Attempt{
		Service:    r.Service,
		Server:     route.Server,
		Keyed:      route.Keyed,
		Unit:       route.Unit,
		Fence:      route.Fence,
		KeyHash:    route.KeyHash,
		RequestID:  r.ID,
		Workspace:  r.Workspace,
		DeadlineMs: r.Deadline.UnixMilli(),
		Idempotent: r.Idempotent(),
		Method:     r.Method,
		Target:     r.Target,
		Header:     r.Header,
		Body:       r.Body,
	})
	var failure *backend.Failure
	if err != nil {
		failure = err.(*backend.Failure)
	}
	d.router.Observe(r, route, time.Since(start), failure)
	return resp, failure
}

// mayRetry allows a further attempt only where it can't run the request twice.
func (d *Dispatcher) mayRetry(ctx context.Context, r *Request, failure *backend.Failure, attempt int) bool {
	safe := failure.Kind == outcome.NotRun || r.Idempotent()
	if !safe || attempt >= maxAttempts || ctx.Err() != nil {
		return false
	}
	return d.budget.Retry()
}

// refuse turns the last failure into the caller's answer.
func refuse(r *Request, failure *backend.Failure) *outcome.Refusal {
	refusal := &outcome.Refusal{
		Kind:       failure.Kind,
		Status:     http.StatusServiceUnavailable,
		Reason:     failure.Reason,
		Detail:     "no backend server of service " + r.Service + " ran the request",
		RetryAfter: max(failure.RetryAfter, time.Second),
	}
	if failure.Kind == outcome.Unknown {
		refusal.Status = http.StatusBadGateway
		refusal.Detail = "the answer of service " + r.Service + " was lost; the request may have run"
		if !r.Idempotent() {
			refusal.RetryAfter = 0
		}
	}
	return refusal
}

// NoRoute is the refusal of a router that has no backend server for the request
// now but may have one soon.
func NoRoute(reason, detail string) *outcome.Refusal {
	return &outcome.Refusal{
		Kind:       outcome.NotRun,
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: retryAfterNoRoute,
	}
}
