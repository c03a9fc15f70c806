package forward

import (
	"time"

	"fireflyfield/internal/decay"
)

const (
	// remoteCost is the cost of a backend server in another failure domain, in
	// requests per slot count: it counts as that much busier.
	remoteCost = 0.35
	// crowding is the share of the slots above which waiting is expected: other VMs
	// send too, and their requests are known late.
	crowding = 0.75
	// slownessLife is how fast a reported slowness loses its meaning; it changes many
	// times a second.
	slownessLife = 250 * time.Millisecond
	// reportLife is how fast the reported number of other VMs' requests loses its
	// meaning.
	reportLife = 400 * time.Millisecond
	// failureCost is the cost of a backend server that fails every request.
	failureCost = 6
	// queueFactor is the number of requests, as a multiple of the slots, above which a
	// backend server takes no further request.
	queueFactor = 2.5
)

// Standing is what a VM knows of one backend server at one moment.
type Standing struct {
	Slots int
	// Own is the number of this VM's requests in flight.
	Own int
	// Others is the number of other VMs' requests by the last report, and OthersMean
	// their mean.
	Others, OthersMean float64
	// Slowness is the reported slowness, and ReportAge the age of the report.
	Slowness  float64
	ReportAge time.Duration
	// Speed is how long requests take here relative to the other backend servers.
	Speed float64
	// Failures is the recent share of failed requests.
	Failures float64
	Remote   bool
}

// busy estimates the number of requests in flight.
func (s *Standing) busy() float64 {
	fresh := decay.Left(s.ReportAge, reportLife)
	return float64(s.Own) + s.Others*fresh + s.OthersMean*(1-fresh)
}

// slowness estimates how long work takes now relative to other backend servers.
func (s *Standing) slowness() float64 {
	fresh := decay.Left(s.ReportAge, slownessLife)
	return s.Speed * (1 + (s.Slowness-1)*fresh)
}

// Cost estimates what one more request costs at the backend server: its expected
// time as a multiple of the usual time, and penalties. It answers uneven load
// (requests of other VMs, busy neighbours, slow machines) and grey failures, which
// show in answers and not in health checks.
func (s *Standing) Cost() float64 {
	slots := float64(s.Slots)
	busy := s.busy()
	waiting := max(0, busy+1-crowding*slots) / slots
	cost := s.slowness()*(1+waiting) + 0.3*busy/slots + failureCost*s.Failures
	if s.Remote {
		cost += remoteCost
	}
	return cost
}

// Full reports whether the backend server should take no further request.
func (s *Standing) Full() bool { return s.busy()+1 > queueFactor*float64(s.Slots) }

// Expected estimates how long one more request takes that usually takes usual.
func (s *Standing) Expected(usual time.Duration) time.Duration {
	slots := float64(s.Slots)
	waiting := max(0, s.busy()+1-slots) / slots
	return time.Duration(float64(usual) * s.slowness() * (1 + waiting))
}
