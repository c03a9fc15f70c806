package forward

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/loadshare"
	"fireflyfield/internal/membudget"
	"fireflyfield/internal/share"
	"fireflyfield/internal/upstream"
)

// ColdLimits bounds the requests that all VMs together may send to a cold backend
// server in one second: Factor times its cold rate, plus Slack.
type ColdLimits struct{ Factor, Slack float64 }

const (
	// coldFraction is the fraction of the bound of a cold backend server that is used.
	coldFraction = 0.75
	// connectionFraction is the fraction of a backend server's connections that
	// requests use. The rest is for grants, and for VMs that are not counted yet.
	connectionFraction = 0.8
	// sparseColdFraction is the fraction of the bound that is used if each VM sends
	// less than one request per window, each at a random time. The number of requests
	// in a window then varies: for a bound of 16 its mean is 5.6, and the bound is more
	// than four standard deviations above the mean.
	sparseColdFraction = 0.35
	// coldWindow is the window of the bound of a cold backend server.
	coldWindow = time.Second
	// sampleThreshold is the number of backend servers of a service above which a VM
	// prefers a fixed subset of them: maxLocalServers of its failure domain and
	// maxRemoteServers of others. If its failure domain has fewer than localSampleSize,
	// the subset has up to maxLocalServers of others. Each connection is then used
	// often enough to stay open.
	sampleThreshold  = 24
	maxLocalServers  = 10
	maxRemoteServers = 4
	// localSampleSize and remoteSampleSize are the numbers of random servers of that
	// subset that one choice compares.
	localSampleSize  = 6
	remoteSampleSize = 2
	// minEntryDelay is how long after a failed connection a catalogue entry must arrive
	// to replace the assumption that the backend server is cold: an earlier entry may
	// be from before its restart.
	minEntryDelay = time.Second
	// coldMargin is added to coldWindow, for requests that arrive earlier or later than
	// they were sent.
	coldMargin = 30 * time.Millisecond
)

// Servers holds the state of all backend servers at this VM and chooses among them. It
// is safe for concurrent use; its lock is acquired before those of the pools.
type Servers struct {
	clock     clock.Clock
	started   time.Duration // monotonic time when the process started
	domain    string
	cold      ColdLimits
	responder upstream.Responder
	vms       func() int
	// Memory bounds the bodies of responses that are held at the same time. Nil means no
	// bound. It is set before the first request.
	Memory *membudget.Budget
	// Source is the local IP address of connections to backend servers; nil leaves the choice to
	// the system. It is set before the first request.
	Source net.IP
	// KeyedLeaveGrace is how long a backend server that says that it leaves may receive
	// requests for the keys that it owns. It is set before the first request.
	KeyedLeaveGrace time.Duration
	// PublishLimit, if not nil, tells all other VMs of a limit. It must not block. It is set before
	// the first request.
	PublishLimit func(LimitNotice)
	// Log gets a line for each change of what backend servers say of themselves. It is set
	// before the first request.
	Log *zap.Logger

	mu              sync.Mutex
	random          *rand.Rand
	seed            uint64 // of rank
	notices         map[fleet.ProcessID]*notice
	byID            map[string]*backend
	byService       map[string][]*backend // usable backend servers, by rank
	localByService  map[string][]*backend // first maxLocalServers of byService in this failure domain
	remoteByService map[string][]*backend // first maxLocalServers of byService in other failure domains
	view            *directory.View
}

// NewServers returns the state for a VM in the given failure domain. vms returns the
// number of VMs that share the connections and cold limits of backend servers.
func NewServers(c clock.Clock, domain string, cold ColdLimits, responder upstream.Responder, random *rand.Rand, vms func() int) *Servers {
	return &Servers{
		clock: c, started: c.Now(), domain: domain, cold: cold, responder: responder, random: random, vms: vms, seed: random.Uint64(),
		notices: make(map[fleet.ProcessID]*notice), Log: zap.NewNop(),
		byID: make(map[string]*backend), byService: make(map[string][]*backend),
		localByService: make(map[string][]*backend), remoteByService: make(map[string][]*backend),
	}
}

// SetColdLimits replaces the bounds of cold backend servers.
func (s *Servers) SetColdLimits(cold ColdLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = cold
}

// applyView updates the state to a new view. A request may have loaded its view before
// another one applied a newer view. The caller holds s.mu.
func (s *Servers) applyView(view *directory.View) {
	if view == s.view || s.view != nil && view.Number < s.view.Number {
		return
	}
	s.view = view
	now := s.clock.Now()
	changed := false
	for id, known := range s.byID {
		listed, ok := view.Backends[id]
		if !ok || listed.Address != known.Address || listed.Started != known.Started {
			known.pool.Close()
			known.queue.wakeAll()
			delete(s.byID, id)
			changed = true
		}
	}
	for id, listed := range view.Backends {
		known := s.byID[id]
		if known == nil {
			known = &backend{
				pool: upstream.NewPool(listed.Address, s.clock, s.responder, s.Memory), slowness: 1, relativeLatency: 1,
				process: listed.Process(), local: listed.Domain == s.domain, rank: s.rank(id), notice: s.notices[listed.Process()],
			}
			known.pool.Source = s.Source
			s.byID[id] = known
		}
		if listed.Updated > known.refusedAt+minEntryDelay {
			known.assumedColdUntil = 0
		}
		wasCold := now < known.coldUntil
		known.coldUntil = max(known.assumedColdUntil, listed.ColdUntil)
		if service := view.Config.Service(listed.Service); service != nil {
			known.keyed = service.Keyed
			if !wasCold && now < known.coldUntil {
				s.startCold(known, service, now)
			}
		}
		listedService := known.Service
		known.Backend = listed
		usable := view.Usable(&listed) && (known.keyed || !s.hasLeft(known, now))
		changed = changed || usable != known.usable || listed.Service != listedService
		known.usable = usable
	}
	if changed {
		s.rebuildLists()
	}
}

// rank returns the position of a backend server in this VM's own order, a hash of its
// ID. Each VM thus prefers a different subset, and few preferences change when a backend
// server is added or removed.
func (s *Servers) rank(id string) uint64 {
	digest := xxhash.NewWithSeed(s.seed)
	_, _ = digest.WriteString(id) // a hash never fails
	return digest.Sum64()
}

// rebuildLists rebuilds the lists of usable backend servers. The caller holds s.mu.
func (s *Servers) rebuildLists() {
	clear(s.byService)
	clear(s.localByService)
	clear(s.remoteByService)
	for _, b := range s.byID {
		if b.usable {
			s.byService[b.Service] = append(s.byService[b.Service], b)
		}
	}
	for service, list := range s.byService {
		slices.SortFunc(list, func(a, b *backend) int { return cmp.Compare(a.rank, b.rank) })
		for _, b := range list {
			switch {
			case b.local && len(s.localByService[service]) < maxLocalServers:
				s.localByService[service] = append(s.localByService[service], b)
			case !b.local && len(s.remoteByService[service]) < maxLocalServers:
				s.remoteByService[service] = append(s.remoteByService[service], b)
			}
		}
	}
}

// pickReason says why no backend server was picked; pickOK if one was. The rejection of
// a request states it to the caller and to the decision log.
type pickReason string

const (
	pickOK        pickReason = ""
	pickNoServer  pickReason = "no-backend"
	pickAllFull   pickReason = "backends-full"
	pickTooLate   pickReason = "no-time"
	pickColdLimit pickReason = "backends-cold"
	pickPaused    pickReason = "backends-paused"
	pickLimited   pickReason = "backends-limited"
	pickQueued    pickReason = "queued"
)

// hasDelay reports whether it is known when a backend server is available again.
func (r pickReason) hasDelay() bool { return r == pickPaused || r == pickLimited }

// pick chooses the backend server with the least cost and takes a permit for it. It
// compares a sample first, then all, and includes those with recent connection failures
// only if there is no other. The backend servers in tried are left out.
func (s *Servers) pick(view *directory.View, service *fleet.Service, tried []string, usualLatency, timeLeft time.Duration) (*backend, pickReason) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView(view)
	var best *backend
	var reason pickReason
	all := s.byService[service.Name]
	for _, list := range [][]*backend{s.sample(service.Name), all} {
		if best, reason = s.cheapest(service, list, tried, now, usualLatency, timeLeft, false); best != nil {
			break
		}
	}
	if best == nil && reason == pickNoServer {
		best, reason = s.cheapest(service, all, tried, now, usualLatency, timeLeft, true)
	}
	if best == nil {
		return nil, reason
	}
	s.startRequest(best, service, now)
	return best, pickOK
}

// cheapest returns the backend server of the list with the least cost. If includePaused
// is set, those whose connections failed recently are candidates too. If none can take
// the request, the reason is that of the last one that was ruled out. The caller holds
// s.mu.
func (s *Servers) cheapest(service *fleet.Service, list []*backend, tried []string, now, usualLatency, timeLeft time.Duration, includePaused bool) (*backend, pickReason) {
	var best *backend
	lowest := 0.0
	connections := s.maxConnections(service)
	reason := pickNoServer
	for _, b := range list {
		if slices.Contains(tried, b.ID) || !includePaused && now < b.pausedUntil {
			continue
		}
		stats := b.stats(now)
		if unavailable := b.unavailableReason(&stats, now, usualLatency, timeLeft); unavailable != pickOK {
			// Without a pause or a limit the caller may come back sooner.
			if !unavailable.hasDelay() || reason == pickNoServer {
				reason = unavailable
			}
			continue
		}
		if b.ownInFlight >= connections {
			reason = pickAllFull
			continue
		}
		// The random factor keeps VMs with the same reports from all choosing the same
		// backend server.
		cost := stats.Cost() * (1 + 0.1*s.random.Float64())
		if best == nil || cost < lowest {
			best, lowest = b, cost
		}
	}
	return best, reason
}

// sample returns the backend servers to compare first: all if there are few, or else a
// random sample. If all VMs picked the least loaded one by the same reports, they would
// overload it. The caller holds s.mu.
func (s *Servers) sample(service string) []*backend {
	list := s.byService[service]
	if len(list) <= sampleThreshold {
		return list
	}
	local, remote := s.localByService[service], s.remoteByService[service]
	if len(local) >= localSampleSize {
		remote = remote[:min(len(remote), maxRemoteServers)]
	}
	sample := make([]*backend, 0, localSampleSize+remoteSampleSize)
	for i := range localSampleSize + remoteSampleSize {
		from := local
		if i >= localSampleSize || len(local) == 0 {
			from = remote
		}
		if len(from) > 0 {
			sample = append(sample, from[s.random.IntN(len(from))])
		}
	}
	return sample
}

// startRequest takes a permit for a request that is about to be sent. The caller holds
// s.mu.
func (s *Servers) startRequest(b *backend, service *fleet.Service, now time.Duration) {
	b.ownInFlight++
	b.pool.SetMaxOpen(s.maxConnections(service))
	if now < b.coldUntil {
		b.nextColdRequest = now + s.coldSpacing(service)
	}
	if b.notice != nil && b.notice.limit.named {
		b.notice.limit.sent(s.vms(), now)
	}
}

// maxConnections returns the number of connections that this VM may have to one backend
// server of the service: its part of what the backend server accepts. Above its limit
// the backend server resets connections, including those for grants.
func (s *Servers) maxConnections(service *fleet.Service) int {
	if service.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(1, int(connectionFraction*float64(service.MaxConnections)/float64(max(1, s.vms()))))
}

// coldSpacing returns the time between this VM's requests to a cold backend server. In
// any window each VM sends at most its part of the bound. If that part is less than one
// request, the VMs send at independent times, and a larger part of the bound stays
// unused.
func (s *Servers) coldSpacing(service *fleet.Service) time.Duration {
	bound := service.ColdRate*s.cold.Factor + s.cold.Slack
	vms := float64(max(1, s.vms()))
	if whole := int(bound * coldFraction / vms); whole >= 1 {
		return (coldWindow + coldMargin) / time.Duration(whole)
	}
	return time.Duration(float64(coldWindow) * vms / max(bound*sparseColdFraction, 0.01))
}

// startCold schedules the first request to a backend server that turned cold, at a
// random time for each VM. If all VMs sent their first requests at once, these would be
// delayed by connecting, and could arrive within one second of the second requests. A
// process that has just started waits for a window first: what it sent before its
// restart counts too. The caller holds s.mu.
func (s *Servers) startCold(b *backend, service *fleet.Service, now time.Duration) {
	from := max(now, s.started+coldWindow+coldMargin)
	b.nextColdRequest = max(b.nextColdRequest, from+time.Duration(s.random.Float64()*float64(s.coldSpacing(service))))
}

// acquireOrQueue takes a permit for the backend server with the given ID, for keyed
// services. If none is free and one will be in time, it queues w and returns the backend
// server with pickQueued.
func (s *Servers) acquireOrQueue(view *directory.View, id string, service *fleet.Service, w *waiter, usualLatency, timeLeft time.Duration) (*backend, pickReason) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView(view)
	b := s.byID[id]
	if b == nil || !s.takesRequests(b, now) {
		return nil, pickNoServer
	}
	stats := b.stats(now)
	if reason := b.unavailableReason(&stats, now, usualLatency, timeLeft); reason != pickOK {
		return nil, reason
	}
	if b.ownInFlight < s.maxConnections(service) && len(b.queue) == 0 {
		s.startRequest(b, service, now)
		return b, pickOK
	}
	expected := stats.ExpectedLatency(usualLatency)
	if wait := expected * time.Duration(b.queue.ahead(w)+1) / time.Duration(max(1, b.ownInFlight)); wait+expected > timeLeft {
		return nil, pickTooLate
	}
	b.queue.push(w)
	return b, pickQueued
}

// mayReceive reports whether a request that was chosen for the backend server earlier may be
// sent to it now.
func (s *Servers) mayReceive(view *directory.View, b *backend) bool {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView(view)
	return s.stillTakesRequests(b, now)
}

// stillTakesRequests reports whether a backend server that was chosen earlier has not left,
// restarted or asked for a pause since. The caller holds s.mu.
func (s *Servers) stillTakesRequests(b *backend, now time.Duration) bool {
	return s.byID[b.process.Backend] == b && s.takesRequests(b, now) && !b.expired(now) && b.remainingPause(now) == 0
}

// takesRequests reports whether the backend server is usable by the applied view and has not said
// that it leaves. The caller holds s.mu.
func (s *Servers) takesRequests(b *backend, now time.Duration) bool {
	return s.view.Usable(&b.Backend) && !s.hasLeft(b, now)
}

// endWait ends the wait of a request for a permit. It returns pickOK if the request has one and may
// use it; moved says that it may not, since the owner of its key has changed. If not, it removes
// the waiter from the queue, or releases its permit, and says why the request has none.
func (s *Servers) endWait(view *directory.View, b *backend, service *fleet.Service, w *waiter, moved bool) pickReason {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case w.hasPermit && !moved:
		return pickOK
	case w.hasPermit:
		s.releasePermit(b, service, now)
	default:
		b.queue.remove(w)
	}
	s.applyView(view)
	switch {
	case moved || !s.stillTakesRequests(b, now):
		return pickNoServer
	case b.limitWait(now) > 0:
		return pickLimited
	}
	return pickAllFull
}

// releasePermit releases the permit of a request and gives it to the first waiter,
// unless the backend server should receive no request now. The caller holds s.mu.
func (s *Servers) releasePermit(b *backend, service *fleet.Service, now time.Duration) {
	b.ownInFlight--
	w := b.queue.pop()
	if w == nil {
		return
	}
	stats := b.stats(now)
	// Usual latency and time left are 0, so that the deadline, which was checked when w
	// was queued, is not checked again.
	if b.unavailableReason(&stats, now, 0, 0) == pickOK && s.takesRequests(b, now) {
		s.startRequest(b, service, now)
		w.hasPermit = true
	}
	close(w.ready)
	if b.ownInFlight == 0 {
		b.queue.wakeAll() // no request is left whose end would wake them
	}
}

// endRequest applies change to the state of the backend server under the lock and
// releases the permit of the request.
func (s *Servers) endRequest(b *backend, service *fleet.Service, change func(now time.Duration)) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	change(now)
	s.releasePermit(b, service, now)
}

// connectionFailed ends a request whose connection broke or could not be made. refused
// is set if no connection could be made, reset if the backend server reset a new
// connection because it has too many.
func (s *Servers) connectionFailed(b *backend, service *fleet.Service, refused, reset bool) {
	s.endRequest(b, service, func(now time.Duration) {
		wasCold := now < b.coldUntil
		b.recordConnectionFailure(now, refused, service.ColdFor)
		if reset {
			b.markFull(now)
		}
		if !wasCold && now < b.coldUntil {
			s.startCold(b, service, now)
		}
	})
}

// CollectReports returns the load reports that are new since the last call, at most
// max. They cover backend servers in this failure domain and owners of keys, which
// receive requests from all failure domains.
func (s *Servers) CollectReports(max int) []loadshare.Report {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []loadshare.Report
	for _, b := range s.byID {
		if !b.unreported || !b.local && !b.keyed || len(reports) >= max {
			continue
		}
		b.unreported = false
		reports = append(reports, loadshare.Report{
			Backend: b.ID, InFlight: int(b.othersInFlight) + b.ownInFlight, Slowness: int(100 * b.slowness), AgeMs: (now - b.reportAt).Milliseconds(),
		})
	}
	return reports
}

// ApplyReports applies load reports of another VM that are newer than the known ones.
func (s *Servers) ApplyReports(reports []loadshare.Report) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		b := s.byID[r.Backend]
		reportedAt := now - time.Duration(r.AgeMs)*time.Millisecond
		if b == nil || reportedAt <= b.reportAt {
			continue
		}
		b.applyLoad(Load{Running: r.InFlight, Slots: b.Slots, Slowness: float64(r.Slowness) / 100}, reportedAt)
		b.unreported = false
	}
}

// TakeLatencies returns the latencies since the last call at backend servers of the
// services for which wanted returns true. Latencies of other services are dropped.
func (s *Servers) TakeLatencies(wanted func(service string) bool) []share.Latency {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []share.Latency
	for _, b := range s.byID {
		if b.latencyCount > 0 && wanted(b.Service) {
			out = append(out, share.Latency{Backend: b.ID, Responses: b.latencyCount, Sum: float32(b.latencySum)})
		}
		b.latencyCount, b.latencySum = 0, 0
	}
	return out
}

// estimate returns the estimated number of requests in flight at a backend server, and
// the age of the load report behind the estimate.
func (s *Servers) estimate(b *backend) (inFlight float64, age time.Duration) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := b.stats(now)
	return stats.inFlight(), stats.ReportAge
}

// ExpireIdle closes connections that have been idle for too long.
func (s *Servers) ExpireIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.byID {
		b.pool.ExpireIdle()
	}
}
