package report

import (
	"slices"
	"time"

	"fireflyfield/internal/trace"
)

// JudgeRates returns the events by time, in which a refusal for rate is marked as
// inside the rate if the workspace still had a token at the request's arrival. One
// VM can't tell, since it does not see what the other VMs admitted; the merged
// trace can.
func JudgeRates(events []trace.Event) []trace.Event {
	sorted := slices.SortedStableFunc(slices.Values(events), trace.Compare)
	buckets := make(map[string]*rateBucket)
	inside := make(map[string]bool)
	for i, event := range sorted {
		switch body := event.Body.(type) {
		case trace.Rate:
			setRate(buckets, event.Time, body)
		case trace.Admitted:
			buckets[body.Workspace].take(event.Time)
		case trace.Request:
			inside[body.Request] = buckets[body.Workspace].has(event.Time)
		case trace.Answer:
			if body.Reason == trace.RefusedRate && inside[body.Request] {
				body.InsideRate = true
				sorted[i].Body = body
			}
		}
	}
	return sorted
}

// rateBucket is the token bucket of one workspace over all VMs. A nil bucket
// stands for a workspace whose rate is not known; it has no tokens.
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

func (b *rateBucket) has(at int64) bool {
	if b == nil {
		return false
	}
	b.fill(at)
	return b.level >= 1
}

func (b *rateBucket) take(at int64) {
	if b != nil {
		b.fill(at)
		b.level--
	}
}
