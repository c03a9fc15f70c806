package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the latency percentile after which a request is hedged.
	hedgePercentile = 95
	// hedgeWindow is the length of the window over which latencies are collected.
	hedgeWindow = 5 * time.Second
	// minHedgeSamples is the number of latencies that a window needs for a usable p95.
	minHedgeSamples = 100
	// maxHedgeLatency bounds the recorded latencies; longer ones count as this.
	maxHedgeLatency = 5 * time.Minute
	// hedgeHistogramDigits is the number of significant decimal digits of the
	// histogram.
	hedgeHistogramDigits = 2
)

// Hedger decides when an idempotent request that has no response yet is sent a second
// time. It is safe for concurrent use and acquires no other lock while it holds its
// own.
type Hedger struct {
	budget *Budget

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	// windowEnd is the end of the current window; zero before the first sample.
	windowEnd time.Time
	// delay is the p95 of the last window with enough samples; 0 if there was none.
	delay time.Duration
}

// NewHedger returns a Hedger that has no latencies yet and allows no hedge until it
// has. Its user counts each request with budget.Request.
func NewHedger(budget *Budget) *Hedger {
	return &Hedger{
		budget:    budget,
		latencies: hdrhistogram.New(1, maxHedgeLatency.Microseconds(), hedgeHistogramDigits),
	}
}

// Observe records the time from the first send of a request to its response. For a
// hedged request, that is the first response to arrive, so that the p95 leaves out slow
// attempts that hedges replaced. The budget limits the hedges in any case.
func (h *Hedger) Observe(now time.Time, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	micros := min(max(latency, time.Microsecond), maxHedgeLatency).Microseconds()
	// RecordValue fails only for values out of range, and micros is within it.
	_ = h.latencies.RecordValue(micros)
}

// rotate starts a new window if the current one has ended. The caller holds h.mu.
func (h *Hedger) rotate(now time.Time) {
	if now.Before(h.windowEnd) {
		return
	}
	if h.latencies.TotalCount() >= minHedgeSamples {
		h.delay = time.Duration(h.latencies.ValueAtPercentile(hedgePercentile)) * time.Microsecond
	}
	h.latencies.Reset()
	h.windowEnd = now.Add(hedgeWindow)
}

// Delay returns the delay after which the request may be hedged. ok is false if it must
// not be hedged: it is not idempotent, its body can't be sent again, no other backend
// server is available, no p95 is known, or the hedge could not be answered by the
// deadline.
func (h *Hedger) Delay(now time.Time, r Request) (delay time.Duration, ok bool) {
	if !r.Idempotent || !r.BodyAvailable || !r.OtherServer {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	if h.delay == 0 || now.Add(h.delay+r.UsualLatency).After(r.Deadline) {
		return 0, false
	}
	return h.delay, true
}

// Take reports whether the budget allows a hedge, and if so counts it. It is to be
// called when the delay has passed without a response.
func (h *Hedger) Take(now time.Time) bool { return h.budget.Take(now) }
