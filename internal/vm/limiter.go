package vm

import (
	"context"
	"net/http"
	"time"

	"fireflyfield/internal/outcome"
	"fireflyfield/internal/quota"
)

// Take implements caller.Limiter.
func (q *quotas) Take(ctx context.Context, workspace string) *outcome.Refusal {
	if !q.limited(workspace) {
		return nil
	}
	giveUp := time.Now().Add(quota.DefaultPolicy.MaxWait)
	decision := q.take(ctx, workspace)
	for waits := 0; decision.Outcome != quota.Granted && waits < shortWaits && time.Now().Before(giveUp); {
		wait := decision.RetryAfter
		if wait >= quota.RetryAfterUnknown {
			// A keeper that is recovering can't tell when it will have tokens.
			wait = recoveryInterval
		} else {
			waits++
		}
		if !q.waitForToken(ctx, wait) {
			break
		}
		decision = q.take(ctx, workspace)
	}
	if decision.Outcome == quota.Granted {
		return nil
	}
	return rateRefusal(decision.RetryAfter)
}

func (q *quotas) take(ctx context.Context, workspace string) quota.Decision {
	decision := q.holder.Take(workspace, time.Now())
	if decision.Outcome != quota.Waiting {
		return decision
	}
	select {
	case decision = <-decision.Wait:
		return decision
	case <-ctx.Done():
		return quota.Decision{RetryAfter: quota.RetryAfterUnknown}
	}
}

const (
	// shortWait is the longest advised time for which a request waits here instead
	// of being refused. A keeper that has just taken over starts with an empty
	// bucket and would refuse requests inside the rate.
	shortWait = 100 * time.Millisecond
	// shortWaits is the number of times that one request waits.
	shortWaits = 2
	// recoveryInterval is the time between looks at a keeper that is recovering.
	recoveryInterval = 25 * time.Millisecond
	// maxShortWaits bounds the requests that wait in this way.
	maxShortWaits = 1024
)

// waitForToken waits for a short time until the next token is expected.
func (q *quotas) waitForToken(ctx context.Context, d time.Duration) bool {
	if d > shortWait {
		return false
	}
	select {
	case q.waiting <- struct{}{}:
		defer func() { <-q.waiting }()
	default:
		return false
	}
	sleep(ctx, d)
	return ctx.Err() == nil
}

func rateRefusal(retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{
		Kind:       outcome.NotRun,
		Status:     http.StatusTooManyRequests,
		Reason:     "rate-exceeded",
		Detail:     "the workspace has used up its rate and burst",
		RetryAfter: max(retryAfter, time.Millisecond),
	}
}
