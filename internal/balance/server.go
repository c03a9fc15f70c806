package balance

import "time"

const (
	// latencyWeight is the weight of a new sample in the moving average. With 0.2, two
	// responses of a server slowed 10 times make it a straggler.
	latencyWeight = 0.2
	// stallFactor is the multiple of its latency after which a server with requests in
	// flight and no response counts as stalled. Its expected latency is then the time
	// since its last progress.
	stallFactor = 2
	// probeWeight is the weight of a probe in the moving average. Probes are too rare
	// for latencyWeight, and a weight of 1 would trust a single one that happens to be
	// fast.
	probeWeight = 0.5
	// maxGoodProbeRatio is the ratio of a probe's latency to the moving average up to
	// which the probe suggests that the server has recovered.
	maxGoodProbeRatio = 0.25
	// confirmInterval is the time after a good probe until the next one, which confirms
	// it.
	confirmInterval = 50 * time.Millisecond
	// reportLifetime is the age at which a load report stops breaking ties.
	reportLifetime = time.Second
	// probeInterval is the time between the first two probes of a server by one VM, and
	// between all probes of a failed server.
	probeInterval = time.Second
	// maxProbeInterval bounds the interval, which doubles while a straggler stays slow.
	// Probes are callers' requests: with one per second and VM they make up most of the
	// slowest 0.1% in the model.
	maxProbeInterval = 4 * time.Second
	// minFullDuration and maxFullDuration bound the time for which a refusal marks a
	// server as full.
	minFullDuration = time.Millisecond
	maxFullDuration = 100 * time.Millisecond
)

// server holds what the VM has observed of one backend server.
type server struct {
	Server
	state    State
	inFlight int
	// latency is the moving average of response times; 0 before the first response.
	latency time.Duration
	// lastProgress is the time at which a request last ended, or began while none was in
	// flight.
	lastProgress time.Time
	reported     int
	reportedAt   time.Time
	fullUntil    time.Time
	// failed is set by a failure and cleared by the next response or a restart.
	failed    bool
	nextProbe time.Time
	// probeWait is the current interval between probes; 0 before the first probe since the
	// server was last picked for a request that is no probe.
	probeWait time.Duration
}

func (s *server) acceptsRequests() bool { return s.state == Warm || s.state == Cold }

// expectedLatency returns the latency to expect for the next request. usual is used
// before the first response.
func (s *server) expectedLatency(now time.Time, usual time.Duration) time.Duration {
	known := s.latency
	if known == 0 {
		known = usual
	}
	if s.inFlight == 0 {
		return known
	}
	if stalled := now.Sub(s.lastProgress); stalled > stallFactor*known {
		return stalled
	}
	return known
}

// score returns the rank of the server in a comparison; lower is better.
func (s *server) score(now time.Time, usual time.Duration) float64 {
	return float64(s.inFlight+1) * float64(s.expectedLatency(now, usual))
}

// saturated reports whether one more request would have to wait: the requests of this
// VM fill the slots, or a refusal marked the server as full.
func (s *server) saturated(now time.Time, slots int) bool {
	if s.state == Cold {
		slots = 1
	}
	return s.inFlight >= slots || now.Before(s.fullUntil)
}

func (s *server) beginRequest(now time.Time) {
	if s.inFlight == 0 {
		s.lastProgress = now
	}
	s.inFlight++
}

func (s *server) endRequest(now time.Time, probe bool, r Result) {
	s.inFlight--
	s.lastProgress = now
	switch r.Kind {
	case Answered:
		s.failed = false
		s.recordLatency(now, r.Latency, probe)
	case Refused:
		s.fullUntil = now.Add(min(max(r.RetryAfter, minFullDuration), maxFullDuration))
	case Failed:
		s.failed = true
		s.nextProbe = now.Add(probeInterval)
	case Abandoned:
	}
}

func (s *server) recordLatency(now time.Time, sample time.Duration, probe bool) {
	if s.latency == 0 {
		s.latency = max(sample, 1)
		return
	}
	weight := latencyWeight
	if probe {
		weight = probeWeight
	}
	if probe && float64(sample) <= maxGoodProbeRatio*float64(s.latency) {
		s.nextProbe = now.Add(confirmInterval)
	}
	s.latency += time.Duration(weight * float64(sample-s.latency))
}

// beginProbe sets the time of the next probe. A failed server keeps the short
// interval, because a probe of it fails fast and can be retried at another server.
func (s *server) beginProbe(now time.Time) {
	s.probeWait = min(max(2*s.probeWait, probeInterval), maxProbeInterval)
	if s.failed {
		s.probeWait = probeInterval
	}
	s.nextProbe = now.Add(s.probeWait)
}

func (s *server) setState(state State) {
	if s.state != state && state == Cold {
		// Failures and latency of the earlier process say nothing about a restarted one.
		s.failed = false
		s.latency = 0
	}
	s.state = state
}
