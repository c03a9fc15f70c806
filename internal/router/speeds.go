package router

import (
	"time"

	"fireflyfield/internal/decay"
	"fireflyfield/internal/share"
)

const (
	// latencyTimeConstant is the time constant with which observed latencies decay. It
	// covers tens of responses of a backend server with a few requests per second.
	latencyTimeConstant = 8 * time.Second
	// priorAnswers is the number of responses of usual latency that is added to those of
	// each backend server, so that a few responses do not determine its speed.
	priorAnswers = 8
	// minSpeed and maxSpeed limit the estimate; 1 is the usual speed.
	minSpeed, maxSpeed = 0.35, 1.8
)

// speedModel estimates the speed of each backend server from the latencies that all
// VMs report. It detects hardware of different speeds behind one service, and backend
// servers that become slow.
type speedModel struct{ byServer map[string]*serverLatency }

// serverLatency holds the decayed number of responses of a backend server and the sum of
// their latencies relative to the usual one.
type serverLatency struct {
	answers, latencySum float64
	updatedAt           time.Duration
}

func newSpeedModel() *speedModel { return &speedModel{byServer: make(map[string]*serverLatency)} }

// observe adds the latencies that one VM reports for a backend server. A report
// whose values are not positive is ignored, and so is one whose sum is NaN.
func (s *speedModel) observe(l share.Latency, now time.Duration) {
	if l.Responses <= 0 || !(l.Sum > 0) {
		return
	}
	latency := s.byServer[l.Backend]
	if latency == nil {
		latency = &serverLatency{updatedAt: now}
		s.byServer[l.Backend] = latency
	}
	remaining := latency.remainingWeight(now)
	latency.answers = latency.answers*remaining + float64(l.Responses)
	latency.latencySum = latency.latencySum*remaining + float64(l.Sum)
	latency.updatedAt = now
}

// remainingWeight returns the weight, from 0 to 1, that past observations still have.
func (s *serverLatency) remainingWeight(now time.Duration) float64 {
	return decay.Factor(now-s.updatedAt, latencyTimeConstant)
}

// estimate returns the speed of a backend server relative to the usual speed. An unknown
// one has speed 1.
func (s *speedModel) estimate(backend string, now time.Duration) float64 {
	latency := s.byServer[backend]
	if latency == nil {
		return 1
	}
	remaining := latency.remainingWeight(now)
	mean := (latency.latencySum*remaining + priorAnswers) / (latency.answers*remaining + priorAnswers)
	return min(maxSpeed, max(minSpeed, 1/mean))
}

// dropStale removes backend servers without a report for four time constants.
func (s *speedModel) dropStale(now time.Duration) {
	for backend, latency := range s.byServer {
		if now-latency.updatedAt > 4*latencyTimeConstant {
			delete(s.byServer, backend)
		}
	}
}
