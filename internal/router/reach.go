package router

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/loadshare"
)

const (
	// reachInterval is the time between two looks at whether the paths to the backend servers
	// must be checked.
	reachInterval = 50 * time.Millisecond
	// reachNoticeInterval is the time between two notices of a VM without paths, and
	// reachRetention how long such a notice counts.
	reachNoticeInterval = 7 * time.Second
	reachRetention      = 10 * time.Second
)

// reachNotice says whether a VM cannot serve requests of others, because it has lost its paths to all
// backend servers or stops.
type reachNotice struct {
	Address string `cbor:"1,keyasint"` // of its peer listener
	Lost    bool   `cbor:"2,keyasint,omitempty"`
}

// unreachableVMs are the other VMs that cannot serve requests of this one.
type unreachableVMs struct {
	mu     sync.Mutex
	newest map[string]reachState // by address of the peer listener
}

// reachState is what a VM has said at the given time.
type reachState struct {
	lost bool
	at   time.Duration
}

// set records the notice of a VM that was published at the given time. Processes of a VM that
// follow each other have notices of their own, which may arrive in any order.
func (u *unreachableVMs) set(address string, lost bool, at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.newest == nil {
		u.newest = make(map[string]reachState)
	}
	if known, ok := u.newest[address]; !ok || at > known.at {
		u.newest[address] = reachState{lost: lost, at: at}
	}
}

// lost reports whether a VM has said lately that it cannot serve requests of others.
func (u *unreachableVMs) lost(address string, now time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	state := u.newest[address]
	return state.lost && now-state.at < reachRetention
}

// publishReach tells all VMs whether this one can serve their requests.
func (r *Router) publishReach() {
	r.gossip.Publish(topicReach, "", reachNotice{Address: r.options.PeerListen, Lost: r.reach.Cut() || r.stopping.Load()})
}

// applyReach records what another VM says of itself. A notice with the address of this VM is of an
// earlier process, and is corrected.
func (r *Router) applyReach(n reachNotice, at time.Duration) {
	if n.Address == r.options.PeerListen {
		if n.Lost {
			r.publishReach()
		}
		return
	}
	r.unreachable.set(n.Address, n.Lost, at)
}

// helpers returns the addresses at which VMs that may have paths to the backend servers take
// requests of others.
func (r *Router) helpers() []string {
	members := r.members.Load()
	if members == nil {
		return nil
	}
	now := r.clock.Now()
	var addresses []string
	for _, m := range members.List {
		if m.VM == r.options.VM || r.unreachable.lost(m.Address, now) {
			continue
		}
		if address, ok := portAbove(m.Address, detourPortOffset); ok {
			addresses = append(addresses, address.String())
		}
	}
	return addresses
}

// collectLoadReports returns the load reports for other VMs. A VM without paths has none: what it
// knows is from before, or from its own failures.
func (r *Router) collectLoadReports(most int) []loadshare.Report {
	if r.reach.Cut() {
		return nil
	}
	return r.servers.CollectReports(most)
}

// watchReach checks the paths to the backend servers when requests suggest that they are lost, and
// while they are, until ctx ends.
func (r *Router) watchReach(ctx context.Context) {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	noticeAt := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := r.clock.Now()
		if !r.reach.CheckDue(now) {
			continue
		}
		lostFor := r.reach.CutFor(now)
		changed := r.reach.Checked(r.servers.HasPath(ctx), r.clock.Now())
		if changed {
			if !r.reach.Cut() {
				r.servers.ForgetFailures()
			}
			r.log.Warn("paths to the backend servers changed", zap.Bool("lost", r.reach.Cut()), zap.Duration("lost_for", lostFor))
		}
		if changed || r.reach.Cut() && now >= noticeAt {
			noticeAt = now + reachNoticeInterval
			r.publishReach()
		}
	}
}
