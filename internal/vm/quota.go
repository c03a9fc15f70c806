package vm

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fireflyfield/internal/config"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/quota"
)

// maxQuotaPollInterval is the longest time between two polls of the quota logic.
const maxQuotaPollInterval = 100 * time.Millisecond

// quotas enforces the rates of workspaces on this VM. The holder passes requests with
// tokens that it borrows from keepers. The keepers, one for each workspace for which
// this VM has the role, lend the tokens of this failure domain.
type quotas struct {
	vm       *VM
	holder   *quota.Holder
	instance uint64
	// wake makes run poll the logic at once.
	wake chan struct{}
	// waitSlots has one element for each request that waits in waitForToken.
	waitSlots chan struct{}

	mu      sync.Mutex
	limits  map[string]quota.Limit
	domains []string
	keepers map[string]*quota.Keeper
}

func newQuotas(v *VM) *quotas {
	instance := rand.Uint64()
	return &quotas{
		vm:        v,
		holder:    quota.NewHolder(v.options.Name, v.options.FailureDomain, instance, quota.DefaultPolicy),
		instance:  instance,
		wake:      make(chan struct{}, 1),
		waitSlots: make(chan struct{}, maxWaitingRequests),
		limits:    make(map[string]quota.Limit),
		keepers:   make(map[string]*quota.Keeper),
	}
}

// hasLimit reports whether the workspace has a rate.
func (q *quotas) hasLimit(workspace string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.limits[workspace]
	return ok
}

// update applies the rates and failure domains of the configuration.
func (q *quotas) update(view *config.View) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	previous := q.limits
	q.limits = make(map[string]quota.Limit)
	for _, rate := range view.Rates() {
		q.limits[rate.Spec.Workspace] = quota.Limit{Rate: rate.Spec.RequestsPerSecond, Burst: int64(rate.Spec.Burst)}
	}
	q.domains = nil
	for _, domain := range view.FailureDomains() {
		q.domains = append(q.domains, domain.Name)
	}
	for workspace := range previous {
		if _, ok := q.limits[workspace]; !ok {
			q.holder.Forget(workspace)
			delete(q.keepers, workspace)
		}
	}
	for workspace, keeper := range q.keepers {
		keeper.SetLimit(q.domainLimitLocked(workspace), now)
	}
}

// domainLimitLocked returns the part of the workspace's limit that belongs to this
// failure domain.
func (q *quotas) domainLimitLocked(workspace string) quota.Limit {
	return quota.Split(q.limits[workspace], workspace, q.vm.options.FailureDomain, q.domains)
}

// setRoles starts, renews and removes keepers according to the role lease.
func (q *quotas) setRoles(lease ownership.RoleLease, expires time.Time) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	wanted := make(map[string]bool)
	for _, role := range lease.Roles {
		if role.Kind != ownership.RoleKeeper {
			continue
		}
		wanted[role.Name] = true
		if keeper, ok := q.keepers[role.Name]; ok {
			keeper.SetLease(expires)
		} else if _, ok := q.limits[role.Name]; ok {
			q.keepers[role.Name] = q.newKeeperLocked(role.Name, expires, now)
		}
	}
	for workspace := range q.keepers {
		if !wanted[workspace] {
			delete(q.keepers, workspace)
		}
	}
	q.signal()
}

// newKeeperLocked creates the keeper of the workspace in this failure domain.
func (q *quotas) newKeeperLocked(workspace string, expires, now time.Time) *quota.Keeper {
	vms := q.vm.fleet.inDomain(q.vm.options.FailureDomain)
	names := make([]string, 0, len(vms))
	for _, vm := range vms {
		names = append(names, vm.Name)
	}
	others := slices.DeleteFunc(slices.Clone(q.domains), func(name string) bool { return name == q.vm.options.FailureDomain })
	return quota.NewKeeper(quota.KeeperConfig{
		Workspace: workspace,
		Domain:    q.vm.options.FailureDomain,
		// The term increases from one keeper to the next, also across VMs: keepers of
		// a workspace start at least one role lease apart, which is more than the wall
		// clocks of two VMs differ.
		Term:       uint64(now.UnixMicro()),
		Instance:   q.instance,
		Limit:      q.domainLimitLocked(workspace),
		VMs:        names,
		Domains:    others,
		LeaseUntil: expires,
		Policy:     quota.DefaultPolicy,
	}, now)
}

// signal makes run poll the logic at once.
func (q *quotas) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run polls the holder and the keepers when one is due, and delivers their messages,
// until the context ends.
func (q *quotas) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-q.holder.Wake():
		case <-q.wake:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		envelopes, next := q.poll(now)
		q.deliver(ctx, envelopes)
		timer.Reset(nextPollDelay(now, next))
	}
}

// nextPollDelay is the time until the next poll, between 1 ms and
// maxQuotaPollInterval. A zero next means that no poll is due.
func nextPollDelay(now, next time.Time) time.Duration {
	if next.IsZero() {
		return maxQuotaPollInterval
	}
	return min(maxQuotaPollInterval, max(time.Millisecond, next.Sub(now)))
}

// poll returns the messages to deliver and the time at which the next poll is due, or
// the zero time if none is.
func (q *quotas) poll(now time.Time) ([]quota.Envelope, time.Time) {
	envelopes, next := q.holder.Poll(now)
	for _, keeper := range q.allKeepers() {
		envelopes = append(envelopes, keeper.Poll(now)...)
		if wake := keeper.NextPoll(now); !wake.IsZero() && (next.IsZero() || wake.Before(next)) {
			next = wake
		}
	}
	return envelopes, next
}

func (q *quotas) allKeepers() []*quota.Keeper {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Values(q.keepers))
}

func (q *quotas) keeper(workspace string) *quota.Keeper {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.keepers[workspace]
}
