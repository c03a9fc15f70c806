package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is a rate in tokens per second and a burst in tokens. One request takes one
// token.
type Limit struct {
	Rate  float64
	Burst int64
}

// Split returns the part of the total limit that belongs to one failure domain. The
// parts of the burst are whole tokens, because a part below one token could never be
// lent. Domains that get one token more than others are chosen by the workspace's
// hash. A domain without a part of the burst has no part of the rate and only borrows
// from other domains.
func Split(total Limit, workspace, domain string, domains []string) Limit {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	domainIndex := slices.Index(sorted, domain)
	if domainIndex < 0 {
		return Limit{}
	}
	count := int64(len(sorted))
	firstIndex := int64(xxhash.Sum64String(workspace) % uint64(count))
	position := (int64(domainIndex) - firstIndex + count) % count
	burst := total.Burst / count
	if position < total.Burst%count {
		burst++
	}
	if burst == 0 {
		return Limit{}
	}
	return Limit{Rate: total.Rate / float64(min(count, total.Burst)), Burst: burst}
}

// reportInterval returns the time between a holder's reports that keeps unreported
// tokens to a small part of the burst.
func (l Limit) reportInterval() time.Duration {
	if l.Rate <= 0 {
		return minReportInterval
	}
	seconds := float64(l.Burst) / l.Rate / reportsPerBurst
	if seconds >= maxReportInterval.Seconds() {
		return maxReportInterval
	}
	return max(minReportInterval, time.Duration(seconds*float64(time.Second)))
}

// holderCap returns the largest number of tokens of the bucket that one holder may
// have at once. A new keeper that lacks the answer of one holder can then still lend
// half of the burst.
func (l Limit) holderCap() int64 { return (l.Burst + 1) / 2 }
