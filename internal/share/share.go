// Package share divides the rates of workspaces among VMs. Each VM reports what its
// callers ask for; one VM computes the shares and publishes them; each VM limits
// its requests to its share. The shares of one workspace sum to at most one.
package share

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"fireflyfield/internal/fleet"
)

const (
	// reportLife is how long a VM keeps its share without a new report. A VM that
	// cannot report also cannot confirm the caller keys, and refuses requests before.
	reportLife = 5 * time.Second
	// tightDemand is the ratio of demand to rate above which the shares follow the
	// demand; below it every VM has room for its callers with an even share.
	tightDemand = 0.5
	// evenPart is the part of a tight workspace's rate that is divided evenly, so that
	// a VM whose demand just starts is not left without.
	evenPart = 0.08
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
	// recentLife is the time constant of the requests of all VMs, by which the shares make
	// up for a surge that came before they could follow: about their delay.
	recentLife = 1500 * time.Millisecond
	// chance is the number of standard deviations above the rate from which on a count
	// says that callers ask for more than the rate.
	chance = 2
	// leastFactor is the least part of a rate that is divided after a surge.
	leastFactor = 0.2
	// maxRetryAfter bounds the time after which a refused caller may come back.
	maxRetryAfter = 2 * time.Second
	// demandFast and demandSlow are the time constants of the demand that a VM reports,
	// which is the greater of the two rates: a share grows soon after its demand and
	// does not shrink between the requests of a few callers.
	demandFast = 2 * time.Second
	demandSlow = 8 * time.Second
)

// KeyCount is a number of requests for one key since the last report.
type KeyCount struct {
	Key   int `cbor:"1,keyasint"`
	Count int `cbor:"2,keyasint"`
}

// Latency is how long a backend server took for some answers.
type Latency struct {
	Backend string `cbor:"1,keyasint"`
	Answers int    `cbor:"2,keyasint"`
	// Sum is the sum of the latencies, each as a multiple of its route's usual one.
	Sum float32 `cbor:"3,keyasint"`
}

// Member is a VM that reports.
type Member struct {
	VM     string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	// Address is HOST:PORT at which other VMs reach it.
	Address string `cbor:"3,keyasint"`
}

// Members are the VMs that report, by failure domain and name.
type Members struct {
	// Epoch identifies the list; it changes with it.
	Epoch int64    `cbor:"1,keyasint"`
	List  []Member `cbor:"2,keyasint"`
}

// Counts are numbers of requests.
type Counts struct {
	Asked  int `cbor:"1,keyasint"`
	Passed int `cbor:"2,keyasint,omitempty"` // let through
}

// Report is what one VM tells about its load.
type Report struct {
	Member Member `cbor:"1,keyasint"`
	// Demand is the number of requests per second by workspace, refused ones included.
	Demand map[string]float32 `cbor:"2,keyasint,omitempty"`
	// Counts are the requests since the last report, by workspace.
	Counts map[string]Counts `cbor:"5,keyasint,omitempty"`
	// Keys are the requests of keyed services by key since the last report.
	Keys map[string][]KeyCount `cbor:"3,keyasint,omitempty"`
	// Latencies are those at backend servers of keyed services since the last report.
	Latencies []Latency `cbor:"4,keyasint,omitempty"`
}

// Allotment is the division of all rates among VMs.
type Allotment struct {
	// Epoch is that of the members that the shares are for.
	Epoch int64 `cbor:"1,keyasint"`
	// Count is the number of members.
	Count int `cbor:"3,keyasint"`
	// Shares are the shares of tight workspaces in the order of the members. Every VM
	// has an even share of the others.
	Shares map[string][]float32 `cbor:"2,keyasint,omitempty"`
	// Over lists the workspaces whose demand exceeds their rate.
	Over []string `cbor:"4,keyasint,omitempty"`
	// Active is the number of VMs with callers of a workspace, where it exceeds callersAt.
	Active map[string]int `cbor:"6,keyasint,omitempty"`
}

// Encode returns the content of a report or allotment.
func Encode(v any) ([]byte, error) {
	content, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "share")
	}
	return content, nil
}

// Decode parses the content of a report or allotment.
func Decode(content []byte, v any) error {
	if err := cbor.Unmarshal(content, v); err != nil {
		return errors.Wrap(err, "share")
	}
	return nil
}

// Allocator computes allotments from reports. It is not safe for concurrent use.
type Allocator struct {
	reports map[string]*received
	members Members
	recent  map[string]*recent
}

// recent are the decaying numbers of requests of a workspace at all VMs. Unlike the sum
// of the demands that the VMs estimate, they are exact.
type recent struct {
	asked, passed float64
	at            time.Duration
}

func (r *recent) add(c Counts, now time.Duration) {
	left := decay(now-r.at, recentLife)
	r.asked, r.passed, r.at = r.asked*left+float64(c.Asked), r.passed*left+float64(c.Passed), now
}

type received struct {
	report Report
	at     time.Duration
}

// NewAllocator returns an allocator without reports.
func NewAllocator() *Allocator {
	return &Allocator{reports: make(map[string]*received), recent: make(map[string]*recent)}
}

// Seed takes over the members and shares of an earlier allocator, until the VMs
// report. Without it, the first reports would look like the whole fleet.
func (a *Allocator) Seed(members Members, allotment Allotment, workspaces []fleet.Workspace, now time.Duration) {
	a.members = members
	for i, member := range members.List {
		demand := make(map[string]float32)
		for _, w := range workspaces {
			if shares := allotment.Shares[w.Name]; allotment.Epoch == members.Epoch && i < len(shares) {
				demand[w.Name] = shares[i] * float32(w.Rate)
			}
		}
		a.Observe(Report{Member: member, Demand: demand}, now)
	}
}

// Observe takes the newest report of a VM.
func (a *Allocator) Observe(report Report, now time.Duration) {
	a.reports[report.Member.VM] = &received{report: report, at: now}
	for workspace, counts := range report.Counts {
		r := a.recent[workspace]
		if r == nil {
			r = &recent{at: now}
			a.recent[workspace] = r
		}
		r.add(counts, now)
	}
}

// factor is the part of a workspace's rate that is divided now, which is less than 1 after
// more requests were let through than rate and burst allow, and whether its callers ask
// for more than the rate.
func (a *Allocator) factor(w *fleet.Workspace, now time.Duration) (factor float64, over bool) {
	r := a.recent[w.Name]
	if r == nil {
		return 1, false
	}
	left := decay(now-r.at, recentLife)
	usual := w.Rate * recentLife.Seconds()
	factor = min(1, max(leastFactor, 1-(left*r.passed-usual-w.Burst)/usual))
	return factor, factor < 1 || left*r.asked > usual+chance*math.Sqrt(usual)
}

// Forget drops the report of a VM that stopped.
func (a *Allocator) Forget(vm string) { delete(a.reports, vm) }

// Members returns the VMs that report.
func (a *Allocator) Members(now time.Duration) Members {
	var list []Member
	for vm, r := range a.reports {
		if now-r.at > reportLife {
			delete(a.reports, vm)
			continue
		}
		list = append(list, r.report.Member)
	}
	slices.SortFunc(list, func(x, y Member) int {
		return cmp.Or(cmp.Compare(x.Domain, y.Domain), cmp.Compare(x.VM, y.VM))
	})
	if !slices.Equal(list, a.members.List) {
		a.members = Members{Epoch: a.members.Epoch + 1, List: list}
	}
	return a.members
}

// Allot divides the rates of all workspaces among the members.
func (a *Allocator) Allot(workspaces []fleet.Workspace, members Members, now time.Duration) Allotment {
	allotment := Allotment{
		Epoch: members.Epoch, Count: len(members.List), Shares: make(map[string][]float32), Active: make(map[string]int),
	}
	for i := range workspaces {
		w := &workspaces[i]
		demands, total := a.demands(w.Name, members.List)
		if w.Rate <= 0 || len(demands) == 0 {
			continue
		}
		if active := countActive(demands); active > callersAt {
			allotment.Active[w.Name] = active
		}
		factor, over := a.factor(w, now)
		if shares := divide(w.Rate, factor, demands, total); shares != nil {
			allotment.Shares[w.Name] = shares
		}
		if over {
			allotment.Over = append(allotment.Over, w.Name)
		}
	}
	return allotment
}

// demands returns the demand for a workspace by member, and its sum.
func (a *Allocator) demands(workspace string, members []Member) (demands []float64, total float64) {
	demands = make([]float64, len(members))
	for i, member := range members {
		if r := a.reports[member.VM]; r != nil {
			demands[i] = float64(r.report.Demand[workspace])
		}
		total += demands[i]
	}
	return demands, total
}

func countActive(demands []float64) int {
	n := 0
	for _, demand := range demands {
		if demand > 0 {
			n++
		}
	}
	return n
}

// divide returns the shares of a tight workspace, or nil.
func divide(rate, factor float64, demands []float64, total float64) []float32 {
	even := 1 / float64(len(demands))
	if factor == 1 && total < tightDemand*rate && slices.Max(demands) < tightDemand*rate*even {
		return nil
	}
	shares := make([]float32, len(demands))
	for i, demand := range demands {
		part := even
		if total > 0 {
			part = evenPart*even + (1-evenPart)*demand/total
		}
		shares[i] = float32(factor * part)
	}
	return shares
}

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
	m.fast = m.fast*decay(now-m.at, demandFast) + n/demandFast.Seconds()
	m.slow = m.slow*decay(now-m.at, demandSlow) + n/demandSlow.Seconds()
	m.at = now
}

// rate returns the greater rate.
func (m *meter) rate(now time.Duration) float64 {
	return max(m.fast*decay(now-m.at, demandFast), m.slow*decay(now-m.at, demandSlow))
}

func decay(elapsed, life time.Duration) float64 { return math.Exp(-elapsed.Seconds() / life.Seconds()) }

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

// Known returns the newest members and allotment.
func (l *Limiter) Known() (Members, Allotment) {
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

// VMs is the number of VMs in the newest allotment, or an assumed one.
func (l *Limiter) VMs() int {
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

// Return gives back a request that did not run.
func (l *Limiter) Return(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[workspace]; b != nil {
		b.tokens++
	}
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
