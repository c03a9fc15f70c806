package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fireflyfield/internal/decay"
	"fireflyfield/internal/fleet"
)

const (
	// reportTTL is how long a VM keeps its share without a new report. A VM that cannot
	// report can't confirm the caller keys either, and rejects requests before that.
	reportTTL = 5 * time.Second
	// tightDemandRatio is the ratio of demand to rate from which on a workspace is tight:
	// that of the demand at all VMs to the rate, or that of the demand at one VM to an even
	// share of the rate. The shares of a tight workspace follow the demand; otherwise an
	// even share is enough for every VM.
	tightDemandRatio = 0.5
	// evenFraction is the fraction of a tight workspace's rate that is divided evenly, so
	// that a VM whose demand has just started has a share too.
	evenFraction = 0.08
	// recentTimeConstant is the time constant of the request counts with which the shares
	// compensate for a surge that came before they could follow. It is about the delay of
	// the shares.
	recentTimeConstant = 1500 * time.Millisecond
	// minDeviations is the number of standard deviations by which a count must exceed the
	// rate before the workspace counts as over its rate.
	minDeviations = 2
	// seedPeriod is how long a new allocator keeps the allotment of its predecessor while it
	// waits for reports. VMs report once a second, over a few relays.
	seedPeriod = 2500 * time.Millisecond
	// minRateFactor is the smallest fraction of a rate that is divided after a surge.
	minRateFactor = 0.2
)

// Allocator computes the list of members and the allotments from the reports of the VMs.
// It is not safe for concurrent use.
type Allocator struct {
	reports map[string]*receivedReport
	members Members
	recent  map[string]*recentCounts
	// seed is the allotment of the predecessor. It stays in force until seededUntil or until
	// all its members have reported.
	seed        *Allotment
	seededUntil time.Duration
}

// recentCounts are the exponentially decaying numbers of requests of a workspace at all
// VMs. Unlike the sum of the demands that the VMs estimate, they are exact.
type recentCounts struct {
	requested, admitted float64
	updatedAt           time.Duration
}

func (r *recentCounts) add(c Counts, now time.Duration) {
	factor := decay.Factor(now-r.updatedAt, recentTimeConstant)
	r.requested, r.admitted, r.updatedAt = r.requested*factor+float64(c.Requested), r.admitted*factor+float64(c.Admitted), now
}

// receivedReport is the newest report of a VM.
type receivedReport struct {
	report     Report
	receivedAt time.Duration
}

// NewAllocator returns an allocator without reports.
func NewAllocator() *Allocator {
	return &Allocator{reports: make(map[string]*receivedReport), recent: make(map[string]*recentCounts)}
}

// Seed initializes the allocator with the members and the allotment of its predecessor,
// which stay in force until the VMs have reported. Otherwise the first VMs to report would
// be taken for the whole fleet.
func (a *Allocator) Seed(members Members, allotment Allotment, now time.Duration) {
	a.members = members
	for _, member := range members.List {
		a.reports[member.VM] = &receivedReport{report: Report{Member: member}, receivedAt: now}
	}
	if allotment.Epoch == members.Epoch && len(members.List) > 0 {
		a.seed, a.seededUntil = &allotment, now+seedPeriod
	}
}

// isSeeded reports whether the allotment of the predecessor is in force.
func (a *Allocator) isSeeded(now time.Duration) bool {
	if a.seed == nil {
		return false
	}
	waiting := slices.ContainsFunc(a.members.List, func(m Member) bool {
		r := a.reports[m.VM]
		return r != nil && r.report.Number == 0
	})
	if now >= a.seededUntil || !waiting {
		a.seed = nil
	}
	return a.seed != nil
}

// Observe replaces the report of a VM and adds its counts.
func (a *Allocator) Observe(report Report, now time.Duration) {
	a.reports[report.Member.VM] = &receivedReport{report: report, receivedAt: now}
	for workspace, counts := range report.Counts {
		r := a.recent[workspace]
		if r == nil {
			r = &recentCounts{updatedAt: now}
			a.recent[workspace] = r
		}
		r.add(counts, now)
	}
}

// rateFactor returns the fraction of a workspace's rate that is divided now, and whether
// its callers ask for more than the rate. The fraction is less than 1 after more requests
// were admitted than rate and burst allow.
func (a *Allocator) rateFactor(w *fleet.Workspace, now time.Duration) (factor float64, over bool) {
	r := a.recent[w.Name]
	if r == nil {
		return 1, false
	}
	decayed := decay.Factor(now-r.updatedAt, recentTimeConstant)
	expected := w.Rate * recentTimeConstant.Seconds()
	factor = min(1, max(minRateFactor, 1-(decayed*r.admitted-expected-w.Burst)/expected))
	return factor, factor < 1 || decayed*r.requested > expected+minDeviations*math.Sqrt(expected)
}

// Forget drops the report of a VM that stopped.
func (a *Allocator) Forget(vm string) { delete(a.reports, vm) }

// Members returns the VMs with a report within reportTTL, under a new epoch if the list
// has changed.
func (a *Allocator) Members(now time.Duration) Members {
	if a.isSeeded(now) {
		return a.members
	}
	var list []Member
	for vm, r := range a.reports {
		if now-r.receivedAt > reportTTL {
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

// Allot divides the rates of the workspaces among the members.
func (a *Allocator) Allot(workspaces []fleet.Workspace, members Members, now time.Duration) Allotment {
	if a.isSeeded(now) {
		return *a.seed
	}
	allotment := Allotment{
		Epoch: members.Epoch, Count: len(members.List), Reports: make([]byte, len(members.List)),
		Workspaces: make(map[string]WorkspaceAllotment),
	}
	for i, member := range members.List {
		if r := a.reports[member.VM]; r != nil {
			allotment.Reports[i] = r.report.Number
		}
	}
	for i := range workspaces {
		w := &workspaces[i]
		demands, total := a.demands(w.Name, members.List)
		if w.Rate <= 0 || len(demands) == 0 {
			continue
		}
		var entry WorkspaceAllotment
		if active := countActive(demands); active > minActiveVMs {
			entry.ActiveVMs = active
		}
		factor, over := a.rateFactor(w, now)
		entry.OverRate = over
		if !evenShareSuffices(w.Rate, factor, demands, total) {
			entry.Factor, entry.Demand = float32(factor), float32(total)
		}
		if entry != (WorkspaceAllotment{}) {
			allotment.Workspaces[w.Name] = entry
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

// countActive returns the number of VMs with demand.
func countActive(demands []float64) int {
	n := 0
	for _, demand := range demands {
		if demand > 0 {
			n++
		}
	}
	return n
}

// evenShareSuffices reports whether an even share of a workspace's rate is enough for each
// VM.
func evenShareSuffices(rate, factor float64, demands []float64, total float64) bool {
	even := 1 / float64(len(demands))
	return factor == 1 && total < tightDemandRatio*rate && slices.Max(demands) < tightDemandRatio*rate*even
}

// shareOf returns the share of a VM with the given demand among count VMs.
func (w *WorkspaceAllotment) shareOf(demand float64, count int) float64 {
	even := 1 / float64(count)
	part := even
	if w.Demand > 0 {
		part = evenFraction*even + (1-evenFraction)*demand/float64(w.Demand)
	}
	return float64(w.Factor) * part
}
