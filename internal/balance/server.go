package balance

import "time"

const (
	// latencyWeight is the share of a new sample in the moving average. At 0.2 two
	// answers of a server slowed 10 times make it a straggler.
	latencyWeight = 0.2
	// stallFactor: a server with requests in flight and no answer for this multiple
	// of its latency counts as that slow.
	stallFactor = 2
	// probeWeight is the share of a probe in the moving average. Probes are too rare
	// for latencyWeight, and a single one may be fast by chance.
	probeWeight = 0.5
	// maxGoodProbeRatio: a probe that took at most this share of the average suggests
	// that the server has recovered.
	maxGoodProbeRatio = 0.25
	// confirmInterval is the wait before the probe that confirms a good one.
	confirmInterval = 50 * time.Millisecond
	// reportLifetime is the age at which a load report stops breaking ties.
	reportLifetime = time.Second
	// probeInterval is the time between the first two probes of one server by one VM.
	probeInterval = time.Second
	// maxProbeInterval: the interval doubles up to here while a straggler stays slow.
	// Probes are callers' requests; at one per second and VM they make up most of the
	// slowest 0.1% in the model.
	maxProbeInterval = 4 * time.Second
	// minFullDuration and maxFullTime bound how long a refusal marks a server as full.
	minFullDuration = time.Millisecond
	maxFullDuration = 100 * time.Millisecond
)

// server is what the VM knows of one backend server.
type server struct {
	Server
	state    State
	inFlight int
	// latency is a moving average; 0 before the first answer.
	latency time.Duration
	// lastProgress is when the last request ended, or the first of the present ones began.
	lastProgress time.Time
	reported     int
	reportedAt   time.Time
	fullUntil    time.Time
	// failed is set by a failure and cleared by the next answer.
	failed    bool
	nextProbe time.Time
	// probeWait is the interval between probes; 0 before the first one.
	probeWait time.Duration
}

func (s *server) acceptsRequests() bool { return s.state == Warm || s.state == Cold }

// expectedLatency is the latency that the next request has to expect; usual stands in
// before the first answer.
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

// score orders servers; lower is better.
func (s *server) score(now time.Time, usual time.Duration) float64 {
	return float64(s.inFlight+1) * float64(s.expectedLatency(now, usual))
}

// saturated reports whether one more request would have to wait.
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
// interval, since probes of it fail fast and can be tried again elsewhere.
func (s *server) beginProbe(now time.Time) {
	s.probeWait = min(max(2*s.probeWait, probeInterval), maxProbeInterval)
	if s.failed {
		s.probeWait = probeInterval
	}
	s.nextProbe = now.Add(s.probeWait)
}

func (s *server) setState(state State) {
	if s.state != state && state == Cold {
		// The restarted process has neither the failures nor the latency of the old.
		s.failed = false
		s.latency = 0
	}
	s.state = state
}
