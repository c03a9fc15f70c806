package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/trace"
)

// tokenTolerance is the number of tokens by which floating-point rounding may make the
// bucket's level too low.
const tokenTolerance = 1e-6

// tokenUse is the use of one rate token by a request.
type tokenUse struct {
	usedAt int64
	event  trace.Event
}

// checkRate checks invariant 6. It replays the token uses of each workspace at all VMs
// against one token bucket, which is equivalent to the bound rate x window + burst for
// every time window. While a change of the rate may not yet be in force at every VM,
// the higher value applies.
func checkRate(h *history, o Options, found *findings) {
	rates := ratesByWorkspace(h)
	uses := tokenUsesByWorkspace(h)
	reached := false
	for _, workspace := range slices.Sorted(maps.Keys(rates)) {
		bucket := newBucket(rates[workspace], o)
		for _, use := range uses[workspace] {
			found.checked++
			if !bucket.take(use.usedAt) {
				limit := bucket.limit(use.usedAt)
				reason := fmt.Sprintf("workspace %s exceeded its rate of %g requests/s with burst %d", workspace, limit.RequestsPerSecond, limit.Burst)
				found.addViolation(reason, limit.event, use.event)
			}
			reached = reached || bucket.tokens < 1
		}
	}
	found.require(len(rates) > 0, "no rate was set")
	found.require(reached || anyRateRefusal(h), "no workspace reached its rate limit")
}

// rateChange is an accepted rate with the time in Unix ns from which it may apply.
type rateChange struct {
	trace.Rate
	acceptedAt int64
	event      trace.Event
}

// ratesByWorkspace returns the rate changes of each workspace in the order of time. A
// revision that several VMs record counts once.
func ratesByWorkspace(h *history) map[string][]rateChange {
	rates := make(map[string][]rateChange)
	for _, event := range h.sorted {
		body, ok := event.Body.(trace.Rate)
		if !ok {
			continue
		}
		list := rates[body.Workspace]
		repeated := body.Revision != 0 && slices.ContainsFunc(list, func(c rateChange) bool { return c.Revision == body.Revision })
		if !repeated {
			rates[body.Workspace] = append(list, rateChange{body, event.Time, event})
		}
	}
	return rates
}

// tokenUsesByWorkspace returns the token uses of each workspace, sorted by time. A
// request counts when it takes its token; one that ran without a token counts once,
// when it arrived.
func tokenUsesByWorkspace(h *history) map[string][]tokenUse {
	uses := make(map[string][]tokenUse)
	for _, r := range h.requestOrder {
		switch {
		case len(r.admitted) > 0:
			for _, a := range r.admitted {
				uses[a.body.Workspace] = append(uses[a.body.Workspace], tokenUse{a.event.Time, a.event})
			}
		case len(r.starts) > 0 && len(r.received) > 0:
			first := r.received[0]
			uses[first.body.Workspace] = append(uses[first.body.Workspace], tokenUse{first.event.Time, first.event})
		}
	}
	for _, list := range uses {
		slices.SortStableFunc(list, func(a, b tokenUse) int { return cmp.Compare(a.usedAt, b.usedAt) })
	}
	return uses
}

func anyRateRefusal(h *history) bool {
	for _, r := range h.requestOrder {
		for _, answer := range r.answers {
			if answer.body.Reason == trace.RefusedRate {
				return true
			}
		}
	}
	return false
}

// bucket is the token bucket of one workspace. Times are in Unix ns.
type bucket struct {
	changes    []rateChange
	grace      int64
	clockSlack time.Duration
	tokens     float64
	updatedAt  int64
}

func newBucket(changes []rateChange, o Options) *bucket {
	b := &bucket{changes: changes, grace: int64(o.ConfigGrace), clockSlack: 2 * o.ClockTolerance, updatedAt: changes[0].acceptedAt}
	b.tokens = float64(changes[0].Burst)
	return b
}

// limit returns the highest rate and the highest burst that may be in force at some VM:
// those of the latest change and of every change replaced no longer than the grace ago.
func (b *bucket) limit(at int64) rateChange {
	var highest rateChange
	for i, change := range b.changes {
		if i > 0 && change.acceptedAt > at {
			break
		}
		if i+1 < len(b.changes) && b.changes[i+1].acceptedAt+b.grace < at {
			continue
		}
		if highest.event.Body == nil {
			highest = change
		}
		highest.RequestsPerSecond = max(highest.RequestsPerSecond, change.RequestsPerSecond)
		highest.Burst = max(highest.Burst, change.Burst)
	}
	return highest
}

// take removes one token and reports whether one was available.
func (b *bucket) take(at int64) bool {
	limit := b.limit(at)
	if at < b.updatedAt {
		// Requests before the first known rate do not count.
		return true
	}
	b.tokens += limit.RequestsPerSecond * time.Duration(at-b.updatedAt).Seconds()
	b.tokens = min(b.tokens, float64(limit.Burst))
	b.updatedAt = at
	b.tokens--
	if b.tokens+limit.RequestsPerSecond*b.clockSlack.Seconds() >= -tokenTolerance {
		return true
	}
	// No token was available. The request takes none, so that it does not turn the
	// next one into a violation.
	b.tokens++
	return false
}
