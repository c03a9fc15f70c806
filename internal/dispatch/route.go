package dispatch

import (
	"context"
	"net/http"
	"time"

	"fireflyfield/internal/outcome"
)

const (
	// routePollInterval is the time between looks at the routes when nothing announced
	// a change.
	routePollInterval = 25 * time.Millisecond
	// retryAfterNoRoute is advised when no backend server can take a request; a key
	// is owned again within two seconds of a loss.
	retryAfterNoRoute = 2 * time.Second
)

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

// route returns a route, for which it waits during the first half of the
// request's time.
func (d *Dispatcher) route(ctx context.Context, p *progress) (Route, *outcome.Refusal) {
	for {
		route, refusal := d.router.Route(p.request, Avoid{Servers: p.tried, Probes: p.attempts > 0})
		if refusal == nil || refusal.RetryAfter == 0 || !d.awaitChange(ctx, p) {
			return route, refusal
		}
	}
}

// awaitChange waits until routes may have changed. It returns false when the
// request has waited long enough or too many requests wait.
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
