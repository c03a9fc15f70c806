package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is a rate in tokens per second and a burst in tokens.
type Limit struct {
	Rate  float64
	Burst int64
}

// Split returns the part of one failure domain. The parts of the burst are whole
// tokens, because a part below one token could never be lent; a domain without a
// part of the burst has no part of the rate and only draws.
func Split(total Limit, workspace, domain string, domains []string) Limit {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	index := slices.Index(sorted, domain)
	if index < 0 {
		return Limit{}
	}
	count := int64(len(sorted))
	first := int64(xxhash.Sum64String(workspace) % uint64(count))
	position := (int64(index) - first + count) % count
	burst := total.Burst / count
	if position < total.Burst%count {
		burst++
	}
	if burst == 0 {
		return Limit{}
	}
	return Limit{Rate: total.Rate / float64(min(count, total.Burst)), Burst: burst}
}

// window returns the report interval that keeps unreported tokens to a small part
// of the burst.
func (l Limit) window() time.Duration {
	if l.Rate <= 0 {
		return minWindow
	}
	seconds := float64(l.Burst) / l.Rate / windowsPerBurst
	if seconds >= maxWindow.Seconds() {
		return maxWindow
	}
	return max(minWindow, time.Duration(seconds*float64(time.Second)))
}

// holderCap is the most that one holder may have at once. A new keeper that
// misses one holder's answer then still has half of the burst to lend.
func (l Limit) holderCap() int64 { return (l.Burst + 1) / 2 }
