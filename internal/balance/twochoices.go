package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// stragglerFactor: a server with a latency above this multiple of the median gets
	// probes only.
	stragglerFactor = 3
	// slowFactor: at this multiple of the median the local choice is compared with
	// other failure domains. It covers queues at the gates, which other VMs fill.
	slowFactor = 2
	// tieTolerance: scores that differ by less than this share count as equal.
	tieTolerance = 0.1
)

// pickContext is what the decisions of one Pick share.
type pickContext struct {
	now    time.Time
	median time.Duration
	slots  int
}

// twoChoices prefers, in this order: a probe that is due, a free server of the
// VM's failure domain, a free one elsewhere, a saturated one, a straggler.
func (p *Picker) twoChoices(now time.Time, o Options) (chosen *server, probe bool) {
	v := pickContext{now: now, median: p.median.get(now, p.servers), slots: p.config.Slots}
	p.local, p.remote = p.local[:0], p.remote[:0]
	var due, suspect *server
	for _, s := range p.servers {
		switch {
		case !s.acceptsRequests() || slices.Contains(o.Exclude, s.Name):
		case v.suspect(s):
			suspect = v.better(suspect, s)
			if due == nil && v.probeDue(s) {
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
	if chosen := p.chooseByDomain(v); chosen != nil {
		chosen.probeWait = 0
		return chosen, false
	}
	// With nothing but suspect servers left, each request also tells how they are.
	return suspect, suspect != nil
}

func (p *Picker) chooseByDomain(v pickContext) *server {
	local := p.bestOfTwo(v, p.local)
	if local != nil && !v.overloaded(local) {
		return local
	}
	remote := p.bestOfTwo(v, p.remote)
	switch {
	case local == nil:
		return remote
	case remote == nil || remote.saturated(v.now, v.slots):
		return local
	case local.saturated(v.now, v.slots):
		return remote
	}
	return v.better(local, remote)
}

// bestOfTwo compares two random servers among those that are not saturated, or
// among all if all are. It reorders the list.
func (p *Picker) bestOfTwo(v pickContext, list []*server) *server {
	free := 0
	for i, s := range list {
		if !s.saturated(v.now, v.slots) {
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
	return v.better(list[i], list[j])
}

// suspect reports whether the server gets probes only.
func (v pickContext) suspect(s *server) bool {
	return s.failed || s.expectedLatency(v.now, v.median) > stragglerFactor*v.median
}

func (v pickContext) probeDue(s *server) bool {
	return s.inFlight == 0 && !v.now.Before(s.nextProbe) && !v.now.Before(s.fullUntil)
}

func (v pickContext) overloaded(s *server) bool {
	return s.saturated(v.now, v.slots) || s.expectedLatency(v.now, v.median) > slowFactor*v.median
}

// better returns the server with the lower score; a may be nil.
func (v pickContext) better(a, b *server) *server {
	if a == nil {
		return b
	}
	scoreA, scoreB := a.score(v.now, v.median), b.score(v.now, v.median)
	if math.Abs(scoreA-scoreB) < tieTolerance*min(scoreA, scoreB) && v.reportsDiffer(a, b) {
		scoreA, scoreB = float64(a.reported), float64(b.reported)
	}
	if scoreB < scoreA {
		return b
	}
	return a
}

func (v pickContext) reportsDiffer(a, b *server) bool {
	oldest := v.now.Add(-reportLifetime)
	return a.reportedAt.After(oldest) && b.reportedAt.After(oldest) && a.reported != b.reported
}
