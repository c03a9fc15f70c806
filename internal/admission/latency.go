package admission

import "time"

const (
	// latencyWeight is the weight of a new sample in the moving average, so that
	// about the last 10 responses count.
	latencyWeight = 0.1
	// maxSampleFactor bounds a sample to this multiple of the average. Otherwise one
	// long request would make the gate refuse requests with short deadlines.
	maxSampleFactor = 4
)

// latency is an exponentially weighted moving average of response times.
type latency struct{ mean time.Duration }

func (l *latency) add(sample time.Duration) {
	sample = min(sample, maxSampleFactor*l.mean)
	l.mean += time.Duration(latencyWeight * float64(sample-l.mean))
	// With a mean of 0, every later sample would be bounded to 0.
	l.mean = max(l.mean, time.Microsecond)
}
