package share

import (
	"slices"
	"sync"
	"time"

	"fireflyfield/internal/decay"
	"fireflyfield/internal/fleet"
)

const (
	// unlistedPart is the share of a VM that the newest allotment does not list,
	// relative to an even share.
	unlistedPart = 0.3
	// unknownVMs is the number of VMs that is assumed before the first allotment.
	unknownVMs = 24
	// toleranceUsed is the part of the tolerance that is handed out as burst; the rest
	// is for shares that change while they are under way.
	toleranceUsed = 0.6
	// minBurst is the least burst of a VM's share, in requests.
	minBurst = 1
	// callersAt is the least number of VMs at which a workspace of a large fleet is taken
	// to have callers: a VM's burst is at least that part of the whole, but no more than
	// smallBurst requests, whatever its share, and overBurst beyond the rate, where less
	// would leave much of the rate unused.
	// The bursts of all VMs may be burstOverlap times the whole together, since callers
	// that send at random rarely use them at the same time.
	smallBurst   = 4
	overBurst    = 2
	callersAt    = 10
	burstOverlap = 6
	// maxWait is how long a request of a workspace inside its rate waits for its VM's
	// share: about as long as a refused caller waits until it returns.
	maxWait = 400 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused caller may come back.
	maxRetryAfter = 2 * time.Second
	// demandFast and demandSlow are the time constants of the demand that a VM reports,
	// which is the greater of the two rates: a share grows soon after its demand and
	// does not shrink between the requests of a few callers.
	demandFast = 2 * time.Second
	demandSlow = 8 * time.Second
)

// Tolerance is how far the requests of all VMs together may exceed a limit in a
// window: by a part of what the limit allows in the window, and by a number of
// requests.
type Tolerance struct {
	Window time.Duration
	Factor float64
	Slack  float64
}

// Limiter limits the requests of one VM to its shares. It is safe for concurrent
// use; its lock is a leaf.
type Limiter struct {
	vm        string
	tolerance Tolerance

	mu        sync.Mutex
	allotment Allotment
	members   Members
	index     int // of this VM among the members; -1 if it is not listed
	buckets   map[string]*bucket
	demand    map[string]*meter
	counts    map[string]Counts // since the last TakeCounts
}

type bucket struct {
	tokens float64
	at     time.Duration
}

// meter is a pair of exponentially decaying rates.
type meter struct {
	fast, slow float64
	at         time.Duration
}

func (m *meter) add(now time.Duration, n float64) {
	m.fast = m.fast*decay.Factor(now-m.at, demandFast) + n/demandFast.Seconds()
	m.slow = m.slow*decay.Factor(now-m.at, demandSlow) + n/demandSlow.Seconds()
	m.at = now
}

// rate returns the greater rate.
func (m *meter) rate(now time.Duration) float64 {
	return max(m.fast*decay.Factor(now-m.at, demandFast), m.slow*decay.Factor(now-m.at, demandSlow))
}

// NewLimiter returns the limiter of a VM.
func NewLimiter(vm string, tolerance Tolerance) *Limiter {
	return &Limiter{vm: vm, tolerance: tolerance, index: -1, buckets: make(map[string]*bucket), demand: make(map[string]*meter), counts: make(map[string]Counts)}
}

// SetTolerance replaces the tolerance.
func (l *Limiter) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = t
}

// SetAllotment replaces the shares.
func (l *Limiter) SetAllotment(a Allotment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allotment = a
}

// Current returns the newest members and allotment.
func (l *Limiter) Current() (Members, Allotment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members, l.allotment
}

// SetMembers replaces the list of VMs.
func (l *Limiter) SetMembers(m Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = m
	l.index = slices.IndexFunc(m.List, func(member Member) bool { return member.VM == l.vm })
}

// VMCount is the number of VMCount in the newest allotment, or an assumed one.
func (l *Limiter) VMCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count()
}

func (l *Limiter) count() int {
	if l.allotment.Count == 0 {
		return unknownVMs
	}
	return l.allotment.Count
}

// share returns this VM's share of a workspace's rate. The caller holds the lock.
func (l *Limiter) share(workspace string) float64 {
	even := 1 / float64(l.count())
	if l.index < 0 || l.members.Epoch != l.allotment.Epoch {
		return even * unlistedPart
	}
	if shares := l.allotment.Shares[workspace]; l.index < len(shares) {
		return float64(shares[l.index])
	}
	return even
}

// Decision is the outcome of Take with what decided it.
type Decision struct {
	OK bool
	// Wait is how long the request must wait before it runs, or, if it is refused, how
	// long its caller should wait.
	Wait time.Duration
	// Rate and Burst are this VM's part of the limit, in requests per second and
	// requests; 0 means no limit.
	Rate, Burst float64
}

// Take takes one request out of the workspace's share. While the demand of all VMs
// is inside the rate, a request that finds the share of this VM used up may wait for
// it, for at most patience: that answers callers that happen to send together at one
// of many VMs.
func (l *Limiter) Take(w *fleet.Workspace, now, patience time.Duration) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.demand[w.Name]
	if m == nil {
		m = &meter{at: now}
		l.demand[w.Name] = m
	}
	m.add(now, 1)
	if w.Rate <= 0 {
		return Decision{OK: true}
	}
	counts := l.counts[w.Name]
	counts.Asked++
	d := l.decide(w, now, patience)
	if d.OK {
		counts.Passed++
	}
	l.counts[w.Name] = counts
	return d
}

// decide takes a token out of the workspace's bucket. The caller holds the lock.
func (l *Limiter) decide(w *fleet.Workspace, now, patience time.Duration) (d Decision) {
	d.Rate, d.Burst = l.limit(w)
	b := l.buckets[w.Name]
	if b == nil {
		b = &bucket{tokens: d.Burst, at: now}
		l.buckets[w.Name] = b
	}
	b.tokens = min(d.Burst, b.tokens+d.Rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		d.Wait = min(maxRetryAfter, time.Duration((1-b.tokens)/d.Rate*float64(time.Second)))
		if d.Wait > min(patience, maxWait) || l.over(w.Name) {
			return d
		}
	}
	b.tokens--
	d.OK = true
	return d
}

// over reports whether the demand for a workspace exceeds its rate. The caller holds
// the lock.
func (l *Limiter) over(workspace string) bool { return slices.Contains(l.allotment.Over, workspace) }

// limit returns this VM's part of the rate and the burst of a workspace. The caller
// holds the lock.
func (l *Limiter) limit(w *fleet.Workspace) (rate, burst float64) {
	share := l.share(w.Name)
	extra := l.tolerance.Factor*(w.Rate*l.tolerance.Window.Seconds()+w.Burst) + l.tolerance.Slack
	extra *= toleranceUsed
	whole := w.Burst + extra
	callers := max(l.allotment.Active[w.Name], min(l.count(), callersAt))
	least := float64(smallBurst)
	if l.over(w.Name) {
		least = overBurst
	}
	burst = max(minBurst, whole*share, min(least, burstOverlap*whole/float64(callers)))
	return w.Rate * share, burst
}

// TakeCounts returns the requests since the last call, by workspace.
func (l *Limiter) TakeCounts() map[string]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	l.counts = make(map[string]Counts)
	return counts
}

// Demand returns the requests per second by workspace.
func (l *Limiter) Demand(now time.Duration) map[string]float32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float32, len(l.demand))
	for name, m := range l.demand {
		if rate := m.rate(now); rate > 0.05 {
			out[name] = float32(rate)
		}
	}
	return out
}
