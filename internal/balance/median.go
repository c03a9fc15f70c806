package balance

import (
	"slices"
	"time"
)

const (
	// medianLifetime is how long a computed median is cached.
	medianLifetime = 10 * time.Millisecond
	// defaultLatency is used as the median until a server has answered.
	defaultLatency = 10 * time.Millisecond
)

// medianCache caches the median latency of the service's servers.
type medianCache struct {
	value      time.Duration
	validUntil time.Time
	scratch    []time.Duration
}

// get returns the median of the known latencies of servers that accept requests. Of
// two middle values it returns the lower.
func (m *medianCache) get(now time.Time, servers []*server) time.Duration {
	if now.Before(m.validUntil) {
		return m.value
	}
	m.validUntil = now.Add(medianLifetime)
	m.scratch = m.scratch[:0]
	for _, s := range servers {
		if s.acceptsRequests() && s.latency > 0 {
			m.scratch = append(m.scratch, s.latency)
		}
	}
	m.value = defaultLatency
	if n := len(m.scratch); n > 0 {
		slices.Sort(m.scratch)
		m.value = m.scratch[(n-1)/2]
	}
	return m.value
}
