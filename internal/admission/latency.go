package admission

import "time"

const (
	// latencyWeight is the share of a new sample in the average: about the last 10
	// answers count.
	latencyWeight = 0.1
	// latencyClip bounds a sample to this multiple of the average, so that one long
	// request does not make the gate refuse requests with short deadlines.
	latencyClip = 4
)

// latency is an exponentially weighted moving average of response times.
type latency struct{ mean time.Duration }

func (l *latency) add(sample time.Duration) {
	sample = min(sample, latencyClip*l.mean)
	l.mean += time.Duration(latencyWeight * float64(sample-l.mean))
	// A mean of 0 would clip every later sample to 0.
	l.mean = max(l.mean, time.Microsecond)
}
