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
	// reportLife is how long a VM keeps its share without a new report. A VM that
	// cannot report also cannot confirm the caller keys, and refuses requests before.
	reportLife = 5 * time.Second
	// tightDemand is the ratio of demand to rate above which the shares follow the
	// demand; below it every VM has room for its callers with an even share.
	tightDemand = 0.5
	// evenPart is the part of a tight workspace's rate that is divided evenly, so that
	// a VM whose demand just starts is not left without.
	evenPart = 0.08
	// recentLife is the time constant of the requests of all VMs, by which the shares make
	// up for a surge that came before they could follow: about their delay.
	recentLife = 1500 * time.Millisecond
	// chance is the number of standard deviations above the rate from which on a count
	// says that callers ask for more than the rate.
	chance = 2
	// leastFactor is the least part of a rate that is divided after a surge.
	leastFactor = 0.2
)

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
	left := decay.Factor(now-r.at, recentLife)
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
	left := decay.Factor(now-r.at, recentLife)
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
