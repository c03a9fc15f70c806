// Package decay computes the exponential decay of the weight of old observations. Callers
// choose the time constants.
package decay

import (
	"math"
	"time"
)

// Factor returns the factor, from 1 down to 0, by which a weight has decayed after elapsed
// with the given time constant.
func Factor(elapsed, constant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / constant.Seconds())
}
