package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/trace"
)

// tokenSlack absorbs the rounding of the bucket's level in floating point.
const tokenSlack = 1e-6

// spending is one request that used up a token.
type spending struct {
	at    int64
	event trace.Event
}

// checkRate is invariant 6. It replays the spending of each workspace over all VMs
// against one token bucket, which is equal to the bound rate x window + burst for
// every window. While a change of the rate may not be in force everywhere, the
// higher value holds.
func checkRate(h *history, o Options, found *findings) {
	rates := ratesOf(h)
	spent := spendingOf(h)
	reached := false
	for _, workspace := range slices.Sorted(maps.Keys(rates)) {
		bucket := newBucket(rates[workspace], o)
		for _, spend := range spent[workspace] {
			found.checked++
			if !bucket.take(spend.at) {
				limit := bucket.limit(spend.at)
				reason := fmt.Sprintf("workspace %s exceeds %g/s with burst %d", workspace, limit.RequestsPerSecond, limit.Burst)
				found.violate(reason, limit.event, spend.event)
			}
			reached = reached || bucket.level < 1
		}
	}
	found.need(len(rates) > 0, "no rate was set")
	found.need(reached || refusedForRate(h), "no workspace reached its rate")
}

// rateChange is a rate with the time from which it may apply.
type rateChange struct {
	trace.Rate
	at    int64
	event trace.Event
}

func ratesOf(h *history) map[string][]rateChange {
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

// spendingOf counts a request once, from the moment of its token. A request that
// ran without a token counts from its arrival.
func spendingOf(h *history) map[string][]spending {
	spent := make(map[string][]spending)
	for _, r := range h.order {
		switch {
		case len(r.admitted) > 0:
			for _, a := range r.admitted {
				spent[a.body.Workspace] = append(spent[a.body.Workspace], spending{a.event.Time, a.event})
			}
		case len(r.starts) > 0 && len(r.received) > 0:
			first := r.received[0]
			spent[first.body.Workspace] = append(spent[first.body.Workspace], spending{first.event.Time, first.event})
		}
	}
	for _, list := range spent {
		slices.SortStableFunc(list, func(a, b spending) int { return cmp.Compare(a.at, b.at) })
	}
	return spent
}

func refusedForRate(h *history) bool {
	for _, r := range h.order {
		for _, answer := range r.answers {
			if answer.body.Reason == trace.RefusedRate {
				return true
			}
		}
	}
	return false
}

// bucket is the token bucket of one workspace.
type bucket struct {
	changes []rateChange
	grace   int64
	slack   time.Duration
	level   float64
	at      int64
}

func newBucket(changes []rateChange, o Options) *bucket {
	b := &bucket{changes: changes, grace: int64(o.ConfigGrace), slack: 2 * o.ClockTolerance, at: changes[0].at}
	b.level = float64(changes[0].Burst)
	return b
}

// limit returns the highest rate and burst that some VM may work by: those of the
// latest change and of every one that was replaced less than the grace ago.
func (b *bucket) limit(at int64) rateChange {
	var highest rateChange
	for i, change := range b.changes {
		if i > 0 && change.at > at {
			break
		}
		if i+1 < len(b.changes) && b.changes[i+1].at+b.grace < at {
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

// take removes one token and reports whether there was one.
func (b *bucket) take(at int64) bool {
	limit := b.limit(at)
	if at < b.at {
		// Spending before the rate is known does not count.
		return true
	}
	b.level += limit.RequestsPerSecond * time.Duration(at-b.at).Seconds()
	b.level = min(b.level, float64(limit.Burst))
	b.at = at
	b.level--
	if b.level+limit.RequestsPerSecond*b.slack.Seconds() >= -tokenSlack {
		return true
	}
	// The token was not there: the next request is judged on its own.
	b.level++
	return false
}
