package forward

import (
	"time"

	"fireflyfield/internal/decay"
)

const (
	// remoteCost is added to the cost of a backend server in another failure domain, in
	// multiples of the usual latency: as much as that many queued requests per slot.
	remoteCost = 0.35
	// queueingThreshold is the fraction of the slots above which queueing is expected.
	// It is below 1, since other VMs send too and their requests are known late.
	queueingThreshold = 0.75
	// slownessDecay is the time constant with which a reported slowness loses weight.
	// It is short, since slowness changes many times a second.
	slownessDecay = 250 * time.Millisecond
	// othersInFlightDecay is the time constant with which the reported number of other
	// VMs' requests loses weight against its mean.
	othersInFlightDecay = 400 * time.Millisecond
	// failureCost is the cost of a backend server that fails every request, in
	// multiples of the usual latency.
	failureCost = 6
	// maxInFlightFactor is the number of requests in flight, as a multiple of the
	// slots, above which a backend server receives no further request.
	maxInFlightFactor = 2.5
)

// ServerStats is what a VM knows of one backend server at one moment.
type ServerStats struct {
	Slots int
	// OwnInFlight is the number of this VM's requests in flight.
	OwnInFlight int
	// OthersInFlight is the number of other VMs' requests by the last load report, and
	// OthersInFlightMean its moving average.
	OthersInFlight, OthersInFlightMean float64
	// Slowness is how long work took at the last load report relative to usual, and
	// ReportAge the age of that report.
	Slowness  float64
	ReportAge time.Duration
	// RelativeLatency is the moving average of this VM's latencies there, as multiples
	// of the usual latency of the route.
	RelativeLatency float64
	// FailureShare is the recent share of failed requests, from 0 to 1.
	FailureShare float64
	Remote       bool
}

// inFlight estimates the number of requests in flight, of this VM and of others.
func (s *ServerStats) inFlight() float64 {
	fresh := decay.Factor(s.ReportAge, othersInFlightDecay)
	return float64(s.OwnInFlight) + s.OthersInFlight*fresh + s.OthersInFlightMean*(1-fresh)
}

// slowness estimates how long work takes now as a multiple of the usual time.
func (s *ServerStats) slowness() float64 {
	fresh := decay.Factor(s.ReportAge, slownessDecay)
	return s.RelativeLatency * (1 + (s.Slowness-1)*fresh)
}

// Cost estimates the cost of one more request at the backend server: its expected
// latency as a multiple of the usual latency, plus penalties. It accounts for uneven
// load (requests of other VMs, noisy neighbours, slow machines) and for grey failures,
// which show in responses but not in health checks.
func (s *ServerStats) Cost() float64 {
	slots := float64(s.Slots)
	inFlight := s.inFlight()
	waiting := max(0, inFlight+1-queueingThreshold*slots) / slots
	// 0.3*inFlight/slots prefers the less loaded backend server even if no queueing is
	// expected.
	cost := s.slowness()*(1+waiting) + 0.3*inFlight/slots + failureCost*s.FailureShare
	if s.Remote {
		cost += remoteCost
	}
	return cost
}

// Full reports whether the backend server should receive no further request.
func (s *ServerStats) Full() bool { return s.inFlight()+1 > maxInFlightFactor*float64(s.Slots) }

// ExpectedLatency estimates the latency of one more request, queue wait included, from
// the usual latency of its route.
func (s *ServerStats) ExpectedLatency(usualLatency time.Duration) time.Duration {
	slots := float64(s.Slots)
	waiting := max(0, s.inFlight()+1-slots) / slots
	return time.Duration(float64(usualLatency) * s.slowness() * (1 + waiting))
}
