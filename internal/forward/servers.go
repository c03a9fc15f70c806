package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/loadshare"
	"fireflyfield/internal/upstream"
)

// ColdLimits bound what all VMs together may send to a cold backend server in one
// second: Factor times its rate, plus Slack.
type ColdLimits struct{ Factor, Slack float64 }

const (
	// coldSafety is the part of the bound of a cold backend server that is used.
	coldSafety = 0.75
	// connectionPart is the part of a backend server's connections that requests use.
	// The rest is for grants, and for VMs that are not counted yet.
	connectionPart = 0.8
	// coldScattered is the part of the bound that is used if VMs send less than one
	// request in a window, each at its own time: at a third of a bound of 16, more than
	// four standard deviations stay below it.
	coldScattered = 0.35
	// coldWindow is the window of that bound.
	coldWindow = time.Second
	// sampleAbove is the number of backend servers of a service above which a choice is
	// among sampleLocal random ones of the failure domain and sampleOther of all.
	sampleAbove = 24
	sampleLocal = 6
	sampleOther = 2
	// suspectTime is how long after a refused connection an entry must arrive to tell
	// that the backend server is warm: an older entry may be from before its restart.
	suspectTime = time.Second
	// coldGuard is added to the window, for requests that arrive earlier or later
	// than they were sent.
	coldGuard = 30 * time.Millisecond
)

// Servers holds the state of all backend servers at this VM. It is safe for
// concurrent use; its lock comes before those of the pools.
type Servers struct {
	clock     clock.Clock
	domain    string
	cold      ColdLimits
	responder upstream.Responder
	vms       func() int

	mu        sync.Mutex
	random    *rand.Rand
	byID      map[string]*backend
	byService map[string][]*backend
	localOf   map[string][]*backend // those of byService in this failure domain
	view      *directory.View
}

// NewServers returns the state of a VM in the failure domain. vms is the number of
// VMs that share cold backend servers.
func NewServers(c clock.Clock, domain string, cold ColdLimits, responder upstream.Responder, random *rand.Rand, vms func() int) *Servers {
	return &Servers{
		clock: c, domain: domain, cold: cold, responder: responder, random: random, vms: vms,
		byID: make(map[string]*backend), byService: make(map[string][]*backend), localOf: make(map[string][]*backend),
	}
}

// SetCold replaces the bounds of cold backend servers.
func (s *Servers) SetCold(cold ColdLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = cold
}

// sync takes a new view. The caller holds the lock.
func (s *Servers) sync(view *directory.View) {
	if view == s.view {
		return
	}
	s.view = view
	now := s.clock.Now()
	for id, known := range s.byID {
		listed, ok := view.Backends[id]
		if !ok || listed.Address != known.Address || listed.Started != known.Started {
			known.pool.Close()
			delete(s.byID, id)
		}
	}
	clear(s.byService)
	clear(s.localOf)
	for id, listed := range view.Backends {
		known := s.byID[id]
		if known == nil {
			known = &backend{
				pool: upstream.NewPool(listed.Address, s.clock, s.responder), slowness: 1, speed: 1,
				local: listed.Domain == s.domain,
			}
			s.byID[id] = known
		}
		if listed.Updated > known.suspectAt+suspectTime {
			known.suspectUntil = 0
		}
		wasCold := now < known.coldUntil
		known.coldUntil = max(known.suspectUntil, listed.ColdUntil)
		if service := view.Config.Service(listed.Service); !wasCold && now < known.coldUntil && service != nil {
			s.beginCold(known, service, now)
		}
		known.Backend = listed
		if view.Usable(&listed) {
			s.byService[listed.Service] = append(s.byService[listed.Service], known)
			if known.local {
				s.localOf[listed.Service] = append(s.localOf[listed.Service], known)
			}
		}
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *backend) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

// pickReason says why no backend server was picked.
type pickReason string

const (
	pickedNone    pickReason = ""
	pickNoServer  pickReason = "no-backend"
	pickAllFull   pickReason = "backends-full"
	pickTooLate   pickReason = "no-time"
	pickColdLimit pickReason = "backends-cold"
)

// pick chooses the backend server with the least cost and counts the request there.
func (s *Servers) pick(view *directory.View, service *fleet.Service, tried []string, usual, left time.Duration) (*backend, pickReason) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync(view)
	best, reason := s.cheapest(service, tried, now, usual, left, false)
	if best == nil && reason == pickNoServer {
		best, reason = s.cheapest(service, tried, now, usual, left, true)
	}
	if best == nil {
		return nil, reason
	}
	s.count(best, service, now)
	return best, pickedNone
}

// cheapest returns the backend server with the least cost. With paused set, those
// whose connections failed lately are taken too.
func (s *Servers) cheapest(service *fleet.Service, tried []string, now, usual, left time.Duration, paused bool) (*backend, pickReason) {
	var best *backend
	lowest := 0.0
	connections := s.connections(service)
	reason := pickNoServer
	for _, b := range s.candidates(service.Name, paused) {
		if slices.Contains(tried, b.ID) || !paused && now < b.pausedUntil {
			continue
		}
		standing := b.standing(now)
		switch {
		case now < b.coldUntil && now < b.nextCold:
			reason = pickColdLimit
			continue
		case standing.Full() || b.own >= connections:
			reason = pickAllFull
			continue
		case standing.Expected(usual) > left:
			reason = pickTooLate
			continue
		}
		cost := standing.Cost() * (1 + 0.1*s.random.Float64())
		if best == nil || cost < lowest {
			best, lowest = b, cost
		}
	}
	return best, reason
}

// candidates returns the backend servers to choose from. Of many, it returns some at
// random: if all VMs took the least busy one by the same reports, they would crowd it.
func (s *Servers) candidates(service string, all bool) []*backend {
	list := s.byService[service]
	if all || len(list) <= sampleAbove {
		return list
	}
	local := s.localOf[service]
	sample := make([]*backend, 0, sampleLocal+sampleOther)
	for range sampleLocal {
		if len(local) > 0 {
			sample = append(sample, local[s.random.IntN(len(local))])
		}
	}
	for range sampleOther {
		sample = append(sample, list[s.random.IntN(len(list))])
	}
	return sample
}

// count notes a request that is about to be sent.
func (s *Servers) count(b *backend, service *fleet.Service, now time.Duration) {
	b.own++
	b.pool.SetLimit(s.connections(service))
	if now < b.coldUntil {
		b.nextCold = now + s.coldSpacing(service)
	}
}

// connections is the number of connections that this VM may have to one backend
// server of the service: its part of what the backend server accepts. Beyond that
// the backend server resets connections, also those for grants.
func (s *Servers) connections(service *fleet.Service) int {
	if service.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(1, int(connectionPart*float64(service.MaxConnections)/float64(max(1, s.vms()))))
}

// coldSpacing is the time between this VM's requests to a cold backend server. In
// any window each VM sends at most its part of the bound. Where that is less than
// one request, the VMs send at times of their own, and more of the bound is left.
func (s *Servers) coldSpacing(service *fleet.Service) time.Duration {
	bound := service.ColdRate*s.cold.Factor + s.cold.Slack
	vms := float64(max(1, s.vms()))
	if whole := int(bound * coldSafety / vms); whole >= 1 {
		return (coldWindow + coldGuard) / time.Duration(whole)
	}
	return time.Duration(float64(coldWindow) * vms / max(bound*coldScattered, 0.01))
}

// beginCold notes that a backend server turned cold. The first request of each VM
// comes at a random time, so that not all VMs send theirs at once.
func (s *Servers) beginCold(b *backend, service *fleet.Service, now time.Duration) {
	spacing := s.coldSpacing(service)
	if spacing > coldWindow+coldGuard {
		b.nextCold = now + time.Duration(s.random.Float64()*float64(spacing))
	}
}

// owner counts a request at a given backend server, for keyed services.
func (s *Servers) owner(view *directory.View, id string, service *fleet.Service, usual, left time.Duration) (*backend, pickReason) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync(view)
	b := s.byID[id]
	if b == nil || !view.Usable(&b.Backend) {
		return nil, pickNoServer
	}
	standing := b.standing(now)
	switch {
	case now < b.coldUntil && now < b.nextCold:
		return nil, pickColdLimit
	case standing.Full() || b.own >= s.connections(service):
		return nil, pickAllFull
	case standing.Expected(usual) > left:
		return nil, pickTooLate
	}
	s.count(b, service, now)
	return b, pickedNone
}

// broke notes that a connection to a backend server broke or could not be made.
func (s *Servers) broke(b *backend, service *fleet.Service, refused bool) {
	s.update(func(now time.Duration) {
		b.own--
		wasCold := now < b.coldUntil
		b.broken(now, refused, service.ColdFor)
		if !wasCold && now < b.coldUntil {
			s.beginCold(b, service, now)
		}
	})
}

// CollectReports returns the load reports of backend servers of this failure domain
// that are new since the last call, at most max.
func (s *Servers) CollectReports(max int) []loadshare.Report {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []loadshare.Report
	for _, b := range s.byID {
		if !b.unshared || !b.local || len(reports) >= max {
			continue
		}
		b.unshared = false
		reports = append(reports, loadshare.Report{
			Backend: b.ID, Busy: int(b.others) + b.own, Slowness: int(100 * b.slowness), AgeMs: (now - b.reportAt).Milliseconds(),
		})
	}
	return reports
}

// ApplyReports takes load reports of another VM that are newer than what is known.
func (s *Servers) ApplyReports(reports []loadshare.Report) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		b := s.byID[r.Backend]
		at := now - time.Duration(r.AgeMs)*time.Millisecond
		if b == nil || r.Busy < 0 || r.Slowness <= 0 || at <= b.reportAt {
			continue
		}
		b.report(Load{Running: r.Busy, Slots: b.Slots, Slowness: float64(r.Slowness) / 100}, at)
		b.unshared = false
	}
}

// estimate returns the estimated number of requests at a backend server, and the
// age of the report that it rests on.
func (s *Servers) estimate(b *backend) (busy float64, age time.Duration) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	standing := b.standing(now)
	return standing.busy(), standing.ReportAge
}

// update runs a change of one backend server's state under the lock.
func (s *Servers) update(change func(now time.Duration)) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	change(now)
}

// ExpireIdle closes connections that were idle for too long.
func (s *Servers) ExpireIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.byID {
		b.pool.Expire()
	}
}

// Dials is the number of connections that were opened to backend servers that are
// listed now.
func (s *Servers) Dials() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, b := range s.byID {
		sum += b.pool.Dials()
	}
	return sum
}
