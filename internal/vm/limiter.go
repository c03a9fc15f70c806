package vm

import (
	"context"
	"net/http"
	"time"

	"fireflyfield/internal/outcome"
	"fireflyfield/internal/quota"
)

// Take implements caller.Limiter: it takes one token for a request of the workspace.
// If there is none, it may wait for a short time before it rejects the request.
func (q *quotas) Take(ctx context.Context, workspace string) *outcome.Refusal {
	if !q.hasLimit(workspace) {
		return nil
	}
	waitUntil := time.Now().Add(quota.DefaultPolicy.MaxWait)
	decision := q.takeToken(ctx, workspace)
	for waits := 0; decision.Outcome != quota.Granted && waits < maxTokenWaits && time.Now().Before(waitUntil); {
		wait := decision.RetryAfter
		if wait >= quota.RetryAfterUnknown {
			// A recovering keeper does not know when it will have tokens. This wait does
			// not count towards maxTokenWaits.
			wait = recoveryPollInterval
		} else {
			waits++
		}
		if !q.waitForToken(ctx, wait) {
			break
		}
		decision = q.takeToken(ctx, workspace)
	}
	if decision.Outcome == quota.Granted {
		return nil
	}
	return rateRefusal(decision.RetryAfter)
}

// takeToken tries once to take a token. It waits for a decision of the keeper if the
// holder needs one.
func (q *quotas) takeToken(ctx context.Context, workspace string) quota.Decision {
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
	// maxTokenWait is the longest time to the next token for which a request waits
	// instead of being rejected. A keeper that has just taken over starts with an
	// empty bucket, so that requests within the rate would be rejected without a wait.
	maxTokenWait = 100 * time.Millisecond
	// maxTokenWaits is the maximum number of waits of one request.
	maxTokenWaits = 2
	// recoveryPollInterval is the time between two tries while the keeper recovers.
	recoveryPollInterval = 25 * time.Millisecond
	// maxWaitingRequests bounds the requests that wait at the same time.
	maxWaitingRequests = 1024
)

// waitForToken waits for the duration. It returns false if the request should be
// rejected instead: the wait is too long, too many requests wait, or the context has
// ended.
func (q *quotas) waitForToken(ctx context.Context, d time.Duration) bool {
	if d > maxTokenWait {
		return false
	}
	select {
	case q.waitSlots <- struct{}{}:
		defer func() { <-q.waitSlots }()
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
