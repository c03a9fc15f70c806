package forward

import (
	"context"
	"time"
)

const (
	// probesPerDomain is the number of backend servers in this failure domain, and in others,
	// that a check of the paths asks.
	probesPerDomain = 2
	// probeTimeout bounds a check. A sound backend server answers its health check at once.
	probeTimeout = 350 * time.Millisecond
)

// probeTarget is a backend server that a check of the paths asks.
type probeTarget struct {
	b    *backend
	path string
}

// HasPath checks whether any of some random backend servers answers, in this failure domain and in
// others. It returns true if there are none. It asks one first, since most checks are due to a
// backend server that has ended.
func (s *Servers) HasPath(ctx context.Context) bool {
	targets := s.probeTargets()
	if len(targets) == 0 {
		return true
	}
	return probeAny(ctx, targets[:1]) || len(targets) > 1 && probeAny(ctx, targets[1:])
}

// probeAny reports whether any of the backend servers answers.
func probeAny(ctx context.Context, targets []probeTarget) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan bool, len(targets))
	for _, t := range targets {
		go func() { results <- t.b.pool.Probe(ctx, t.path) }()
	}
	for range targets {
		if <-results {
			return true
		}
	}
	return false
}

// probeTargets returns random usable backend servers: probesPerDomain in this failure domain and
// as many in others. Cold ones are left out if there are others.
func (s *Servers) probeTargets() []probeTarget {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return nil
	}
	var targets, cold []probeTarget
	local, remote := 0, 0
	// The order of a map is random.
	for _, b := range s.byID {
		service := s.view.Config.Service(b.Service)
		if service == nil || service.HealthPath == "" || !b.usable {
			continue
		}
		target := probeTarget{b, service.HealthPath}
		if now < b.ColdUntil {
			cold = append(cold, target)
			continue
		}
		count := &remote
		if b.local {
			count = &local
		}
		if *count < probesPerDomain {
			*count++
			targets = append(targets, target)
		}
	}
	if len(targets) == 0 {
		return cold[:min(len(cold), probesPerDomain)]
	}
	return targets
}

// ForgetFailures drops the failures of backend servers, once this VM has its paths back: they were
// its own. The catalogue shows which servers have restarted meanwhile.
func (s *Servers) ForgetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.byID {
		b.pause, b.pausedUntil, b.lastFailureShare = 0, 0, 0
		b.assumedColdUntil = 0
		b.coldUntil = b.ColdUntil
	}
}
