package forward

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/loadshare"
	"fireflyfield/internal/share"
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
	// sampleAbove is the number of backend servers of a service above which a VM uses
	// few of them: nearServers of its failure domain and farServers of others. Requests
	// then come often enough to a connection that it stays open.
	sampleAbove = 24
	nearServers = 10
	farServers  = 4
	// sampleNear and sampleFar are how many random ones of them a choice compares.
	sampleNear = 6
	sampleFar  = 2
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
	started   time.Duration // when the process began
	domain    string
	cold      ColdLimits
	responder upstream.Responder
	vms       func() int

	mu        sync.Mutex
	random    *rand.Rand
	seed      uint64 // of the ranks
	byID      map[string]*backend
	byService map[string][]*backend // those that may be used, by rank
	nearOf    map[string][]*backend // the first ones of byService in this failure domain
	farOf     map[string][]*backend // the first ones of byService in other failure domains
	view      *directory.View
}

// NewServers returns the state of a VM in the failure domain. vms is the number of
// VMs that share cold backend servers.
func NewServers(c clock.Clock, domain string, cold ColdLimits, responder upstream.Responder, random *rand.Rand, vms func() int) *Servers {
	return &Servers{
		clock: c, started: c.Now(), domain: domain, cold: cold, responder: responder, random: random, vms: vms, seed: random.Uint64(),
		byID: make(map[string]*backend), byService: make(map[string][]*backend),
		nearOf: make(map[string][]*backend), farOf: make(map[string][]*backend),
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
	changed := false
	for id, known := range s.byID {
		listed, ok := view.Backends[id]
		if !ok || listed.Address != known.Address || listed.Started != known.Started {
			known.pool.Close()
			for w := known.queue.pop(); w != nil; w = known.queue.pop() {
				close(w.ready)
			}
			delete(s.byID, id)
			changed = true
		}
	}
	for id, listed := range view.Backends {
		known := s.byID[id]
		if known == nil {
			known = &backend{
				pool: upstream.NewPool(listed.Address, s.clock, s.responder), slowness: 1, speed: 1,
				local: listed.Domain == s.domain, rank: s.rank(id),
			}
			s.byID[id] = known
		}
		if listed.Updated > known.suspectAt+suspectTime {
			known.suspectUntil = 0
		}
		wasCold := now < known.coldUntil
		known.coldUntil = max(known.suspectUntil, listed.ColdUntil)
		if service := view.Config.Service(listed.Service); service != nil {
			known.keyed = service.Keyed
			if !wasCold && now < known.coldUntil {
				s.beginCold(known, service, now)
			}
		}
		usable := view.Usable(&listed)
		changed = changed || usable != known.usable || listed.Service != known.Service
		known.Backend, known.usable = listed, usable
	}
	if changed {
		s.relist()
	}
}

// rank is the place of a backend server in this VM's own order: each VM uses other
// ones, and few change when one comes or goes.
func (s *Servers) rank(id string) uint64 {
	digest := xxhash.NewWithSeed(s.seed)
	_, _ = digest.WriteString(id) // a hash never fails
	return digest.Sum64()
}

// relist builds the lists of the backend servers that may be used. The caller holds
// the lock.
func (s *Servers) relist() {
	clear(s.byService)
	clear(s.nearOf)
	clear(s.farOf)
	for _, b := range s.byID {
		if b.usable {
			s.byService[b.Service] = append(s.byService[b.Service], b)
		}
	}
	for service, list := range s.byService {
		slices.SortFunc(list, func(a, b *backend) int { return cmp.Compare(a.rank, b.rank) })
		for _, b := range list {
			switch {
			case b.local && len(s.nearOf[service]) < nearServers:
				s.nearOf[service] = append(s.nearOf[service], b)
			case !b.local && len(s.farOf[service]) < nearServers:
				s.farOf[service] = append(s.farOf[service], b)
			}
		}
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
	pickQueued    pickReason = "queued"
)

// pick chooses the backend server with the least cost and counts the request there.
func (s *Servers) pick(view *directory.View, service *fleet.Service, tried []string, usual, left time.Duration) (*backend, pickReason) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync(view)
	var best *backend
	var reason pickReason
	all := s.byService[service.Name]
	for _, list := range [][]*backend{s.sample(service.Name), all} {
		if best, reason = s.cheapest(service, list, tried, now, usual, left, false); best != nil {
			break
		}
	}
	if best == nil && reason == pickNoServer {
		best, reason = s.cheapest(service, all, tried, now, usual, left, true)
	}
	if best == nil {
		return nil, reason
	}
	s.count(best, service, now)
	return best, pickedNone
}

// cheapest returns the backend server with the least cost. With paused set, those
// whose connections failed lately are taken too.
func (s *Servers) cheapest(service *fleet.Service, list []*backend, tried []string, now, usual, left time.Duration, paused bool) (*backend, pickReason) {
	var best *backend
	lowest := 0.0
	connections := s.connections(service)
	reason := pickNoServer
	for _, b := range list {
		if slices.Contains(tried, b.ID) || !paused && now < b.pausedUntil {
			continue
		}
		standing := b.standing(now)
		if closed := b.closed(&standing, now, usual, left); closed != pickedNone {
			reason = closed
			continue
		}
		if b.own >= connections {
			reason = pickAllFull
			continue
		}
		cost := standing.Cost() * (1 + 0.1*s.random.Float64())
		if best == nil || cost < lowest {
			best, lowest = b, cost
		}
	}
	return best, reason
}

// sample returns the backend servers to choose from at first. Of many, it returns some
// at random: if all VMs took the least busy one by the same reports, they would crowd it.
func (s *Servers) sample(service string) []*backend {
	list := s.byService[service]
	if len(list) <= sampleAbove {
		return list
	}
	near, far := s.nearOf[service], s.farOf[service]
	if len(near) >= sampleNear {
		far = far[:min(len(far), farServers)]
	}
	sample := make([]*backend, 0, sampleNear+sampleFar)
	for i := range sampleNear + sampleFar {
		from := near
		if i >= sampleNear || len(near) == 0 {
			from = far
		}
		if len(from) > 0 {
			sample = append(sample, from[s.random.IntN(len(from))])
		}
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
// comes at a random time: if all sent at once, and again after a window, connections
// that take longer the first time would bring both into one second. A process that has
// just started waits for a window: what it sent before its restart counts too.
func (s *Servers) beginCold(b *backend, service *fleet.Service, now time.Duration) {
	from := max(now, s.started+coldWindow+coldGuard)
	b.nextCold = max(b.nextCold, from+time.Duration(s.random.Float64()*float64(s.coldSpacing(service))))
}

// owner counts a request at a given backend server, for keyed services. If all places
// of this VM there are taken and one will be free in time, it queues the waiter.
func (s *Servers) owner(view *directory.View, id string, service *fleet.Service, w *waiter, usual, left time.Duration) (*backend, pickReason) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync(view)
	b := s.byID[id]
	if b == nil || !view.Usable(&b.Backend) {
		return nil, pickNoServer
	}
	standing := b.standing(now)
	if reason := b.closed(&standing, now, usual, left); reason != pickedNone {
		return nil, reason
	}
	if b.own < s.connections(service) && len(b.queue) == 0 {
		s.count(b, service, now)
		return b, pickedNone
	}
	expected := standing.Expected(usual)
	if wait := expected * time.Duration(b.queue.ahead(w)+1) / time.Duration(max(1, b.own)); wait+expected > left {
		return nil, pickTooLate
	}
	b.queue.push(w)
	return b, pickQueued
}

// holds reports whether a waiter has got a place.
func (s *Servers) holds(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.placed
}

// leave takes a waiter that gave up out of the queue, and gives its place back if it
// has one.
func (s *Servers) leave(b *backend, service *fleet.Service, w *waiter) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.placed {
		s.free(b, service, now)
		return
	}
	b.queue.remove(w)
}

// free ends the place of a request. The first waiter gets it, unless the backend server
// should take no request now. The caller holds the lock.
func (s *Servers) free(b *backend, service *fleet.Service, now time.Duration) {
	b.own--
	w := b.queue.pop()
	if w == nil {
		return
	}
	standing := b.standing(now)
	if b.closed(&standing, now, 0, 0) == pickedNone {
		s.count(b, service, now)
		w.placed = true
	}
	close(w.ready)
}

// ended notes the end of a request at a backend server and applies a change.
func (s *Servers) ended(b *backend, service *fleet.Service, change func(now time.Duration)) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	change(now)
	s.free(b, service, now)
}

// broke notes that a connection to a backend server broke or could not be made. reset
// tells that the backend server broke off a new connection: it has too many.
func (s *Servers) broke(b *backend, service *fleet.Service, refused, reset bool) {
	s.ended(b, service, func(now time.Duration) {
		wasCold := now < b.coldUntil
		b.broken(now, refused, service.ColdFor)
		if reset {
			b.shed(now)
		}
		if !wasCold && now < b.coldUntil {
			s.beginCold(b, service, now)
		}
	})
}

// CollectReports returns the load reports of backend servers that are new since the last
// call, at most max: of those in this failure domain, and of owners of keys, which
// requests from all failure domains reach.
func (s *Servers) CollectReports(max int) []loadshare.Report {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []loadshare.Report
	for _, b := range s.byID {
		if !b.unshared || !b.local && !b.keyed || len(reports) >= max {
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

// TakeLatencies returns the latencies at backend servers of some services since the
// last call.
func (s *Servers) TakeLatencies(wanted func(service string) bool) []share.Latency {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []share.Latency
	for _, b := range s.byID {
		if b.latencies > 0 && wanted(b.Service) {
			out = append(out, share.Latency{Backend: b.ID, Answers: b.latencies, Sum: float32(b.latencySum)})
		}
		b.latencies, b.latencySum = 0, 0
	}
	return out
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

// ExpireIdle closes connections that were idle for too long.
func (s *Servers) ExpireIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.byID {
		b.pool.Expire()
	}
}
