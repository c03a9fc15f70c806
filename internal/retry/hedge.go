package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the latency percentile after which a request is hedged.
	hedgePercentile = 95
	// hedgeWindow is the time over which latencies are collected.
	hedgeWindow = 5 * time.Second
	// minHedgeSamples is the number of latencies below which a window says nothing
	// about its p95.
	minHedgeSamples = 100
	// maxHedgeLatency is the largest latency that is told apart.
	maxHedgeLatency = 5 * time.Minute
	// hedgeDigits is the number of significant digits of the histogram.
	hedgeDigits = 2
)

// Hedger decides when an idempotent request that has no response yet is sent a
// second time. It is safe for concurrent use; its lock is a leaf.
type Hedger struct {
	budget *Budget

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	// until is the end of the present window; zero before the first sample.
	until time.Time
	// delay is the p95 of the last window with enough samples; 0 if none.
	delay time.Duration
}

// NewHedger returns a Hedger that knows no latency yet and hedges nothing. The
// caller counts each request with budget.Request.
func NewHedger(budget *Budget) *Hedger {
	return &Hedger{
		budget:  budget,
		latency: hdrhistogram.New(1, maxHedgeLatency.Microseconds(), hedgeDigits),
	}
}

// Observe records the time from the first send of a request to its response. For a
// hedged request it is the first response's, so the p95 does not follow a
// straggler that hedges hide; the budget bounds the hedges all the same.
func (h *Hedger) Observe(now time.Time, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	micros := min(max(latency, time.Microsecond), maxHedgeLatency).Microseconds()
	// The value was bounded to the histogram's range, the only error there is.
	_ = h.latency.RecordValue(micros)
}

func (h *Hedger) rotate(now time.Time) {
	if now.Before(h.until) {
		return
	}
	if h.latency.TotalCount() >= minHedgeSamples {
		h.delay = time.Duration(h.latency.ValueAtPercentile(hedgePercentile)) * time.Microsecond
	}
	h.latency.Reset()
	h.until = now.Add(hedgeWindow)
}

// Delay returns the time after which the request may be hedged; ok is false if it
// must not be. The request's body has to be available for a second attempt.
func (h *Hedger) Delay(now time.Time, r Request) (delay time.Duration, ok bool) {
	if !r.Idempotent || !r.BodyAvailable || !r.OtherServer {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	if h.delay == 0 || now.Add(h.delay+r.Expected).After(r.Deadline) {
		return 0, false
	}
	return h.delay, true
}

// Take takes one hedge out of the budget. Call it when the delay has passed without
// a response; if it returns false, no hedge may be sent.
func (h *Hedger) Take(now time.Time) bool { return h.budget.Take(now) }
