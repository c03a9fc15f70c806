package report

import (
	"slices"
	"time"

	"fireflyfield/internal/trace"
)

// MarkInsideRate returns the events ordered by time and marks each rate refusal as
// inside the rate if the requests of the workspace up to and including this one keep to
// its rate and burst. Refused requests count as well: if only admitted ones counted,
// refusals would appear wrongful while the workspace sends several times its rate. This
// needs the merged trace, since one VM doesn't see the requests at the others.
func MarkInsideRate(events []trace.Event) []trace.Event {
	sorted := slices.SortedStableFunc(slices.Values(events), trace.Compare)
	buckets := make(map[string]*rateBucket)
	inside := make(map[string]bool)
	for i, event := range sorted {
		switch body := event.Body.(type) {
		case trace.Rate:
			setRate(buckets, event.Time, body)
		case trace.Request:
			inside[body.Request] = buckets[body.Workspace].take(event.Time)
		case trace.Answer:
			if body.Reason == trace.RefusedRate && inside[body.Request] {
				body.InsideRate = true
				sorted[i].Body = body
			}
		}
	}
	return sorted
}

// rateBucket is the token bucket of one workspace over all VMs; every request takes a
// token. A nil bucket stands for a workspace whose rate is not known; it has no tokens.
type rateBucket struct {
	rate   trace.Rate
	tokens float64
	// filledAt is the time of the last refill in Unix ns.
	filledAt int64
}

// setRate creates the bucket of a workspace or changes its rate, keeping its tokens.
// Every VM records the rate; records of the same or an earlier revision are ignored.
func setRate(buckets map[string]*rateBucket, now int64, rate trace.Rate) {
	b := buckets[rate.Workspace]
	if b == nil {
		buckets[rate.Workspace] = &rateBucket{rate: rate, tokens: float64(rate.Burst), filledAt: now}
		return
	}
	if rate.Revision > b.rate.Revision {
		b.refill(now)
		b.rate = rate
	}
}

// refill adds the tokens for the time since the last refill, up to the burst.
func (b *rateBucket) refill(now int64) {
	b.tokens += b.rate.RequestsPerSecond * time.Duration(now-b.filledAt).Seconds()
	b.tokens = min(b.tokens, float64(b.rate.Burst))
	b.filledAt = now
}

// take takes a token for one request and reports whether there was one. The number of
// tokens doesn't fall below minus one burst, so that a workspace that exceeded its rate
// by far counts as inside it again soon after it stops.
func (b *rateBucket) take(now int64) bool {
	if b == nil {
		return false
	}
	b.refill(now)
	b.tokens = max(b.tokens-1, -float64(b.rate.Burst))
	return b.tokens >= 0
}
