// Package decay computes exponential decay, by which old observations lose their weight.
package decay

import (
	"math"
	"time"
)

// Factor is the part of a weight that is left after some time, with a time constant.
func Factor(elapsed, constant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / constant.Seconds())
}
