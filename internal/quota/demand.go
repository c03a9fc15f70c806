package quota

import (
	"time"

	"fireflyfield/internal/decay"
)

const demandTimeConstant = 200 * time.Millisecond

// demand is an exponentially weighted estimate of a rate.
type demand struct {
	weight float64
	last   time.Time
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.last); elapsed > 0 {
		d.weight *= decay.Factor(elapsed, demandTimeConstant)
		d.last = now
	}
}

func (d *demand) add(now time.Time, n int64) {
	d.decay(now)
	d.weight = max(0, d.weight+float64(n))
}

// within returns the number expected in the duration.
func (d *demand) within(now time.Time, span time.Duration) float64 {
	d.decay(now)
	return d.weight * span.Seconds() / demandTimeConstant.Seconds()
}
