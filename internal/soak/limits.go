package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fireflyfield/internal/clock"
	"fireflyfield/platform/platformtest"
)

const (
	// A backend server that names a limit of L requests per second may get limitFactor times L
	// times limitWindow, and limitSlack more, in each limitWindow from stableWindow after the
	// first such answer on, from the VMs that have passed one on limitNoticeTime before.
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitNoticeTime = 500 * time.Millisecond
	// limitDuration is how long a backend server names a limit.
	limitDuration = stableWindow + limitWindow + 2*time.Second
	// minLimit and maxLimit bound the limits, in requests per second. Without limits a backend
	// server gets about 7.
	minLimit, maxLimit = 1.0, 4.0
)

func randomLimit(random *rand.Rand) float64 { return minLimit + (maxLimit-minLimit)*random.Float64() }

// nameLimit makes a backend server name a limit for limitDuration or until ctx ends, and checks
// the requests that it gets meanwhile.
func (s *Soak) nameLimit(ctx context.Context, b *backend, limit float64) {
	server := b.currentBackend()
	named := time.Now()
	s.recordEvent("%s limits its requests to %.1f per second", server.ID, limit)
	server.SetLimit(limit)
	clock.Sleep(ctx, limitDuration)
	arrivals := server.Arrivals()
	server.SetLimit(0)
	if b.disrupted.since(named) {
		s.recordEvent("%s ends its limit, not checked: its connections were impaired", server.ID)
		return
	}
	excused := make(map[string]bool)
	for _, v := range s.vms {
		excused[v.sourceIP] = v.disrupted.since(named)
	}
	counted := countedArrivals(arrivals, excused)
	most, allowed := platformtest.MostInWindow(counted, limitWindow), int(limitFactor*limit*limitWindow.Seconds()+limitSlack)
	s.recordEvent("%s ends its limit: %d requests, %d counted, at most %d in %s, %d allowed, excused VMs %v",
		server.ID, len(arrivals), len(counted), most, limitWindow, allowed, excused)
	if most > allowed {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.addViolation("%s got %d requests in %s at a limit of %.1f per second, %d are allowed; by address: %v",
			server.ID, most, limitWindow, limit, allowed, bySource(arrivals))
	}
}

// countedArrivals returns the times of the requests that the limit bounds, in order. excused are
// the addresses of the VMs that a restart, freeze or cut excuses.
func countedArrivals(arrivals []platformtest.Arrival, excused map[string]bool) []time.Time {
	var first time.Time // when the first answer with the limit was sent
	told := make(map[string]time.Time)
	for _, a := range arrivals {
		if a.AnsweredAt.IsZero() {
			continue
		}
		if first.IsZero() || a.AnsweredAt.Before(first) {
			first = a.AnsweredAt
		}
		if at, ok := told[a.Source]; !ok || a.AnsweredAt.Before(at) {
			told[a.Source] = a.AnsweredAt
		}
	}
	var counted []time.Time
	for _, a := range arrivals {
		at, ok := told[a.Source]
		if ok && !excused[a.Source] && a.At.Sub(at) >= limitNoticeTime && a.At.Sub(first) >= stableWindow {
			counted = append(counted, a.At)
		}
	}
	return counted
}

// bySource returns the number of requests by the address of their VM.
func bySource(arrivals []platformtest.Arrival) map[string]int {
	counts := make(map[string]int)
	for _, a := range arrivals {
		counts[a.Source]++
	}
	return counts
}

// runLimitPhase lets one backend server of each service name a limit, with no other fault.
func (s *Soak) runLimitPhase(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 82))
	var wait sync.WaitGroup
	for first := 0; first < len(s.backends); first += s.options.BackendsPerService {
		b, limit := s.backends[first+random.IntN(s.options.BackendsPerService)], randomLimit(random)
		wait.Go(func() { s.nameLimit(ctx, b, limit) })
	}
	wait.Wait()
}
