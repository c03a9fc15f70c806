package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// stragglerFactor is the multiple of the median latency above which a server gets
	// probes only.
	stragglerFactor = 3
	// slowFactor is the multiple of the median latency above which the candidate of the
	// VM's failure domain is compared with one elsewhere. The latency shows queues at
	// the gates that requests of other VMs fill.
	slowFactor = 2
	// tieTolerance is the difference, as a fraction of the lower score, below which two
	// scores count as equal.
	tieTolerance = 0.1
)

// pickContext holds the values that all comparisons of one Pick use.
type pickContext struct {
	now    time.Time
	median time.Duration
	slots  int
}

// twoChoices picks a server, in this order of preference: one that is due for a
// probe, a free one in the VM's failure domain, a free one elsewhere, a saturated
// one, a suspect one.
func (p *Picker) twoChoices(now time.Time, o Options) (chosen *server, probe bool) {
	pc := pickContext{now: now, median: p.median.get(now, p.servers), slots: p.config.Slots}
	p.local, p.remote = p.local[:0], p.remote[:0]
	var due, suspect *server
	for _, s := range p.servers {
		switch {
		case !s.acceptsRequests() || slices.Contains(o.Exclude, s.Name):
		case pc.suspect(s):
			suspect = pc.better(suspect, s)
			if due == nil && pc.probeDue(s) {
				due = s
			}
		case s.FailureDomain == p.config.FailureDomain:
			p.local = append(p.local, s)
		default:
			p.remote = append(p.remote, s)
		}
	}
	if due != nil && !o.NoProbe {
		due.beginProbe(now)
		return due, true
	}
	if chosen := p.chooseByDomain(pc); chosen != nil {
		chosen.probeWait = 0
		return chosen, false
	}
	// Only suspect servers are left, so each request also serves as a probe.
	return suspect, suspect != nil
}

// chooseByDomain returns the candidate of the VM's failure domain unless it is
// overloaded and one elsewhere is better. It returns nil if there are no candidates.
func (p *Picker) chooseByDomain(pc pickContext) *server {
	local := p.bestOfTwo(pc, p.local)
	if local != nil && !pc.overloaded(local) {
		return local
	}
	remote := p.bestOfTwo(pc, p.remote)
	switch {
	case local == nil:
		return remote
	case remote == nil || remote.saturated(pc.now, pc.slots):
		return local
	case local.saturated(pc.now, pc.slots):
		return remote
	}
	return pc.better(local, remote)
}

// bestOfTwo returns the better of two random servers of the list that are not
// saturated, or of all if every one is saturated. It reorders the list, and returns
// nil for an empty one.
func (p *Picker) bestOfTwo(pc pickContext, list []*server) *server {
	free := 0
	for i, s := range list {
		if !s.saturated(pc.now, pc.slots) {
			list[i], list[free] = list[free], s
			free++
		}
	}
	if free > 0 {
		list = list[:free]
	}
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	i := p.config.Random.IntN(len(list))
	j := p.config.Random.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	return pc.better(list[i], list[j])
}

// suspect reports whether the server has failed or is a straggler, so that it gets
// probes only.
func (pc pickContext) suspect(s *server) bool {
	return s.failed || s.expectedLatency(pc.now, pc.median) > stragglerFactor*pc.median
}

func (pc pickContext) probeDue(s *server) bool {
	return s.inFlight == 0 && !pc.now.Before(s.nextProbe) && !pc.now.Before(s.fullUntil)
}

func (pc pickContext) overloaded(s *server) bool {
	return s.saturated(pc.now, pc.slots) || s.expectedLatency(pc.now, pc.median) > slowFactor*pc.median
}

// better returns the server with the lower score. Load reports decide between scores
// that count as equal. a may be nil.
func (pc pickContext) better(a, b *server) *server {
	if a == nil {
		return b
	}
	scoreA, scoreB := a.score(pc.now, pc.median), b.score(pc.now, pc.median)
	if math.Abs(scoreA-scoreB) < tieTolerance*min(scoreA, scoreB) && pc.reportsDiffer(a, b) {
		scoreA, scoreB = float64(a.reported), float64(b.reported)
	}
	if scoreB < scoreA {
		return b
	}
	return a
}

func (pc pickContext) reportsDiffer(a, b *server) bool {
	oldest := pc.now.Add(-reportLifetime)
	return a.reportedAt.After(oldest) && b.reportedAt.After(oldest) && a.reported != b.reported
}
