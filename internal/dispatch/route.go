package dispatch

import (
	"context"
	"net/http"
	"time"

	"fireflyfield/internal/outcome"
)

const (
	// routePollInterval is the time after which a waiting request asks for a route again
	// if no change was announced.
	routePollInterval = 25 * time.Millisecond
	// retryAfterNoRoute is the Retry-After of a request without a route. A key whose
	// owner was lost has an owner again within two seconds.
	retryAfterNoRoute = 2 * time.Second
)

// NoRoute returns the refusal of a Router that has no backend server for the request
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

// route returns a route. If there is none but may be one soon, it waits for it during
// the first half of the time until the request's deadline.
func (d *Dispatcher) route(ctx context.Context, p *progress) (Route, *outcome.Refusal) {
	for {
		route, refusal := d.router.Route(p.request, Avoid{Servers: p.tried, Probes: p.attempts > 0})
		if refusal == nil || refusal.RetryAfter == 0 || !d.awaitChange(ctx, p) {
			return route, refusal
		}
	}
}

// awaitChange waits until routes may have changed. It returns false if the request may
// not wait any longer, its context ended, or too many requests wait.
func (d *Dispatcher) awaitChange(ctx context.Context, p *progress) bool {
	if !time.Now().Before(p.routeDeadline) {
		return false
	}
	select {
	case d.waitSlots <- struct{}{}:
		defer func() { <-d.waitSlots }()
	default:
		return false
	}
	timer := time.NewTimer(routePollInterval)
	defer timer.Stop()
	select {
	case <-d.router.Changed():
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
