package share

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fireflyfield/internal/decay"
	"fireflyfield/internal/fleet"
)

const (
	// unlistedFraction is the share of a VM that is not in the newest list of members, or
	// whose newest allotment is of another epoch than that list, as a fraction of an even
	// share.
	unlistedFraction = 0.3
	// assumedVMs is the number of VMs that is assumed before the first allotment.
	assumedVMs = 24
	// burstTolerance is the fraction of the tolerance that is granted as burst. The rest
	// covers shares that change while they are being published.
	burstTolerance = 0.6
	// minBurst is the smallest burst of a VM, in requests.
	minBurst = 1
	// burstFloor is the burst, in requests, that a VM gets whatever its share, and
	// overRateBurstFloor the same for a workspace over its rate, where less would leave
	// much of the rate unused. Both are limited to burstOverlap times the total burst
	// divided by the number of VMs with callers, which in a large fleet is taken to be at
	// least minActiveVMs. The bursts of all VMs may add up to burstOverlap times the total,
	// since callers that send at random rarely use them at the same time.
	burstFloor         = 4
	overRateBurstFloor = 2
	minActiveVMs       = 10
	burstOverlap       = 6
	// maxWait bounds the time that a request of a workspace within its rate waits for the
	// VM's share. It is about the time after which a rejected caller retries.
	maxWait = 400 * time.Millisecond
	// maxRetryAfter bounds the time after which a rejected caller is told to retry.
	maxRetryAfter = 2 * time.Second
	// fastTimeConstant and slowTimeConstant are the time constants of the two rates of
	// which a VM reports the greater as its demand. So a share grows soon after the demand
	// and does not shrink between the requests of a few callers.
	fastTimeConstant = 2 * time.Second
	slowTimeConstant = 8 * time.Second
)

// Tolerance is how far the requests of all VMs together may exceed the limit in a
// window: by Factor times what the limit allows in the window, plus Slack requests.
type Tolerance struct {
	Window time.Duration
	Factor float64
	Slack  float64
}

// Limiter limits the requests of one VM to its shares. It is safe for concurrent use; no
// other lock is acquired while its lock is held.
type Limiter struct {
	vm        string
	tolerance Tolerance

	count atomic.Int64 // of VMs in allotment

	mu        sync.Mutex
	allotment Allotment
	members   Members
	index     int // of this VM among the members; -1 if it is not listed
	buckets   map[string]*bucket
	demand    map[string]*meter
	counts    map[string]Counts // since the last TakeCounts
	// reported are the demands of the last reports by report number, of which lastNumber is
	// the newest.
	reported   map[uint8]map[string]float32
	lastNumber uint8
}

// keptReports is the number of own reports whose demands are kept. An allotment names one
// that was sent within reportTTL.
const keptReports = 8

// bucket is a token bucket; one token admits one request.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// meter measures a rate with two exponentially decaying averages, in requests per second.
type meter struct {
	fast, slow float64
	updatedAt  time.Duration
}

// add counts n requests.
func (m *meter) add(now time.Duration, n float64) {
	m.fast = m.fast*decay.Factor(now-m.updatedAt, fastTimeConstant) + n/fastTimeConstant.Seconds()
	m.slow = m.slow*decay.Factor(now-m.updatedAt, slowTimeConstant) + n/slowTimeConstant.Seconds()
	m.updatedAt = now
}

// rate returns the greater of the two averages, in requests per second.
func (m *meter) rate(now time.Duration) float64 {
	return max(m.fast*decay.Factor(now-m.updatedAt, fastTimeConstant), m.slow*decay.Factor(now-m.updatedAt, slowTimeConstant))
}

// NewLimiter returns the limiter of the VM with the given name. Until it gets an
// allotment, it assumes a fraction of an even share among assumedVMs VMs. Its report numbers
// start at a random one, so that they are not taken for those of an earlier process.
func NewLimiter(vm string, tolerance Tolerance) *Limiter {
	return &Limiter{vm: vm, tolerance: tolerance, index: -1, buckets: make(map[string]*bucket), demand: make(map[string]*meter), counts: make(map[string]Counts),
		reported: make(map[uint8]map[string]float32), lastNumber: uint8(rand.N(256))}
}

// SetTolerance replaces the tolerance within which bursts are granted.
func (l *Limiter) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = t
}

// SetAllotment replaces the allotment. Its shares apply only together with the list of
// members of the same epoch.
func (l *Limiter) SetAllotment(a Allotment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allotment = a
	l.count.Store(int64(a.Count))
}

// Current returns the newest members and allotment that were set.
func (l *Limiter) Current() (Members, Allotment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members, l.allotment
}

// SetMembers replaces the list of members.
func (l *Limiter) SetMembers(m Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = m
	l.index = slices.IndexFunc(m.List, func(member Member) bool { return member.VM == l.vm })
}

// VMCount returns the number of VMs in the newest allotment, or assumedVMs before the
// first one. It takes no lock, since it is asked for several times for each request.
func (l *Limiter) VMCount() int {
	if count := l.count.Load(); count > 0 {
		return int(count)
	}
	return assumedVMs
}

// share returns this VM's share of a workspace's rate. The caller must hold the lock.
func (l *Limiter) share(workspace string) float64 {
	even := 1 / float64(l.VMCount())
	if l.index < 0 || l.members.Epoch != l.allotment.Epoch {
		return even * unlistedFraction
	}
	entry := l.allotment.Workspaces[workspace]
	if entry.Factor == 0 {
		return even
	}
	if l.index >= len(l.allotment.Reports) {
		return even * unlistedFraction
	}
	demand, ok := l.reported[l.allotment.Reports[l.index]]
	if !ok {
		// The allotment is based on a report of an earlier process of this VM, or on none.
		return even * unlistedFraction
	}
	return entry.shareOf(float64(demand[workspace]), l.VMCount())
}

// Decision is the result of Take, with the limits on which it is based.
type Decision struct {
	OK bool
	// Wait is how long an admitted request must wait before it runs, or how long the caller
	// of a rejected one should wait before a retry.
	Wait time.Duration
	// Rate and Burst are this VM's limits, in requests per second and in requests; 0 means
	// no limit.
	Rate, Burst float64
}

// Take admits or rejects one request of a workspace. While the demand at all VMs is
// within the rate, a request that finds this VM's share used up may be admitted with a
// wait of at most waitLimit and maxWait, so that callers which happen to send at the same
// time to one of many VMs are not rejected.
func (l *Limiter) Take(w *fleet.Workspace, now, waitLimit time.Duration) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.demand[w.Name]
	if m == nil {
		m = &meter{updatedAt: now}
		l.demand[w.Name] = m
	}
	m.add(now, 1)
	if w.Rate <= 0 {
		return Decision{OK: true}
	}
	counts := l.counts[w.Name]
	counts.Requested++
	d := l.decide(w, now, waitLimit)
	if d.OK {
		counts.Admitted++
	}
	l.counts[w.Name] = counts
	return d
}

// decide admits or rejects a request. An admitted one takes a token out of the
// workspace's bucket; if it must wait for the token, the bucket goes below zero. The
// caller must hold the lock.
func (l *Limiter) decide(w *fleet.Workspace, now, waitLimit time.Duration) (d Decision) {
	d.Rate, d.Burst = l.limit(w)
	b := l.buckets[w.Name]
	if b == nil {
		b = &bucket{tokens: d.Burst, updatedAt: now}
		l.buckets[w.Name] = b
	}
	b.tokens = min(d.Burst, b.tokens+d.Rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		d.Wait = min(maxRetryAfter, time.Duration((1-b.tokens)/d.Rate*float64(time.Second)))
		if d.Wait > min(waitLimit, maxWait) || l.overRate(w.Name) {
			return d
		}
	}
	b.tokens--
	d.OK = true
	return d
}

// overRate reports whether the demand for a workspace exceeds its rate. The caller must
// hold the lock.
func (l *Limiter) overRate(name string) bool { return l.allotment.Workspaces[name].OverRate }

// limit returns this VM's share of the rate of a workspace and its burst. The caller must
// hold the lock.
func (l *Limiter) limit(w *fleet.Workspace) (rate, burst float64) {
	share := l.share(w.Name)
	extra := l.tolerance.Factor*(w.Rate*l.tolerance.Window.Seconds()+w.Burst) + l.tolerance.Slack
	extra *= burstTolerance
	total := w.Burst + extra
	activeVMs := max(l.allotment.Workspaces[w.Name].ActiveVMs, min(l.VMCount(), minActiveVMs))
	floor := float64(burstFloor)
	if l.overRate(w.Name) {
		floor = overRateBurstFloor
	}
	burst = max(minBurst, total*share, min(floor, burstOverlap*total/float64(activeVMs)))
	return w.Rate * share, burst
}

// TakeCounts returns the numbers of requests since its last call, by workspace, and
// resets them. Workspaces without a rate are not counted.
func (l *Limiter) TakeCounts() map[string]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	l.counts = make(map[string]Counts)
	return counts
}

// NextReport returns the estimated demand in requests per second, by workspace, for the next
// report, and the number of that report. It omits workspaces with at most 0.05 requests per
// second. The caller must not change the map.
func (l *Limiter) NextReport(now time.Duration) (uint8, map[string]float32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := make(map[string]float32, len(l.demand))
	for name, m := range l.demand {
		if rate := m.rate(now); rate > 0.05 {
			demand[name] = float32(rate)
		}
	}
	delete(l.reported, nextNumber(l.lastNumber, 255-keptReports))
	l.lastNumber = nextNumber(l.lastNumber, 1)
	l.reported[l.lastNumber] = demand
	return l.lastNumber, demand
}

// nextNumber returns the report number that follows n by the given distance. Numbers run
// from 1 to 255.
func nextNumber(n uint8, distance int) uint8 { return uint8((int(n)-1+255+distance)%255 + 1) }
