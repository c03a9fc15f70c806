package report

import (
	"slices"
	"time"

	"fireflyfield/internal/trace"
)

// MarkInsideRate returns the events by time, in which a refusal for rate is marked as
// inside the rate if the requests of the workspace up to and with this one keep to
// its rate and burst. Every request counts, refused or not: counting only the
// admitted ones would call refusals wrongful while the workspace offers several
// times its rate. One VM can't tell, since it does not see the requests of the
// others; the merged trace can.
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

// rateBucket is the token bucket of one workspace over all VMs, charged with every
// request. A nil bucket stands for a workspace whose rate is not known; it has no
// tokens.
type rateBucket struct {
	rate  trace.Rate
	level float64
	at    int64
}

// setRate keeps the level of a bucket whose rate changes. Every VM records the
// rate; only the first record of a revision counts.
func setRate(buckets map[string]*rateBucket, at int64, rate trace.Rate) {
	b := buckets[rate.Workspace]
	if b == nil {
		buckets[rate.Workspace] = &rateBucket{rate: rate, level: float64(rate.Burst), at: at}
		return
	}
	if rate.Revision > b.rate.Revision {
		b.fill(at)
		b.rate = rate
	}
}

func (b *rateBucket) fill(at int64) {
	b.level += b.rate.RequestsPerSecond * time.Duration(at-b.at).Seconds()
	b.level = min(b.level, float64(b.rate.Burst))
	b.at = at
}

// take charges one request and reports whether there was a token for it. The level
// does not sink below minus one burst, so that a workspace which offered much more
// than its rate counts as inside again soon after it stopped.
func (b *rateBucket) take(at int64) bool {
	if b == nil {
		return false
	}
	b.fill(at)
	b.level = max(b.level-1, -float64(b.rate.Burst))
	return b.level >= 0
}
