package quota

import (
	"time"

	"fireflyfield/internal/decay"
)

const demandTimeConstant = 200 * time.Millisecond

// demand estimates a rate of requests as an exponentially decaying count. The
// weight divided by demandTimeConstant is the rate.
type demand struct {
	weight    float64
	lastDecay time.Time
}

// decay lowers the weight to its value at now.
func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.lastDecay); elapsed > 0 {
		d.weight *= decay.Factor(elapsed, demandTimeConstant)
		d.lastDecay = now
	}
}

// add counts n requests; a negative n takes back requests that did not happen.
func (d *demand) add(now time.Time, n int64) {
	d.decay(now)
	d.weight = max(0, d.weight+float64(n))
}

// expectedWithin returns the number of requests expected in the span of time that
// begins at now.
func (d *demand) expectedWithin(now time.Time, span time.Duration) float64 {
	d.decay(now)
	return d.weight * span.Seconds() / demandTimeConstant.Seconds()
}
