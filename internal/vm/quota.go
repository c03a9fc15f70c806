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

// quotaIdle is the longest time between two rounds of the quota logic.
const quotaIdle = 100 * time.Millisecond

// quotas enforces the rates of workspaces: this VM's holder, and the keepers of
// the workspaces for which it has the role.
type quotas struct {
	vm       *VM
	holder   *quota.Holder
	instance uint64
	wake     chan struct{}
	waiting  chan struct{}

	mu      sync.Mutex
	limits  map[string]quota.Limit
	domains []string
	keepers map[string]*quota.Keeper
}

func newQuotas(v *VM) *quotas {
	instance := rand.Uint64()
	return &quotas{
		vm:       v,
		holder:   quota.NewHolder(v.options.Name, v.options.FailureDomain, instance, quota.DefaultPolicy),
		instance: instance,
		wake:     make(chan struct{}, 1),
		waiting:  make(chan struct{}, maxShortWaits),
		limits:   make(map[string]quota.Limit),
		keepers:  make(map[string]*quota.Keeper),
	}
}

func (q *quotas) limited(workspace string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.limits[workspace]
	return ok
}

// update takes the rates and failure domains of the configuration.
func (q *quotas) update(view *config.View) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	former := q.limits
	q.limits = make(map[string]quota.Limit)
	for _, rate := range view.Rates() {
		q.limits[rate.Spec.Workspace] = quota.Limit{Rate: rate.Spec.RequestsPerSecond, Burst: int64(rate.Spec.Burst)}
	}
	q.domains = nil
	for _, domain := range view.FailureDomains() {
		q.domains = append(q.domains, domain.Name)
	}
	for workspace := range former {
		if _, ok := q.limits[workspace]; !ok {
			q.holder.Forget(workspace)
			delete(q.keepers, workspace)
		}
	}
	for workspace, keeper := range q.keepers {
		keeper.SetLimit(q.partLocked(workspace), now)
	}
}

// partLocked is the part of this failure domain in a workspace's limit.
func (q *quotas) partLocked(workspace string) quota.Limit {
	return quota.Split(q.limits[workspace], workspace, q.vm.options.FailureDomain, q.domains)
}

// setRoles starts, renews and ends keepers.
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
		// Keepers follow each other by at least a role lease, which is longer than the
		// difference between the VMs' times of day.
		Term:       uint64(now.UnixMicro()),
		Instance:   q.instance,
		Limit:      q.partLocked(workspace),
		VMs:        names,
		Domains:    others,
		LeaseUntil: expires,
		Policy:     quota.DefaultPolicy,
	}, now)
}

func (q *quotas) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run polls the quota logic when it is due until the context ends.
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
		timer.Reset(untilDue(now, next))
	}
}

func untilDue(now, next time.Time) time.Duration {
	if next.IsZero() {
		return quotaIdle
	}
	return min(quotaIdle, max(time.Millisecond, next.Sub(now)))
}

func (q *quotas) poll(now time.Time) ([]quota.Envelope, time.Time) {
	envelopes, next := q.holder.Poll(now)
	for _, keeper := range q.all() {
		envelopes = append(envelopes, keeper.Poll(now)...)
		if wake := keeper.NextPoll(now); !wake.IsZero() && (next.IsZero() || wake.Before(next)) {
			next = wake
		}
	}
	return envelopes, next
}

func (q *quotas) all() []*quota.Keeper {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Values(q.keepers))
}

func (q *quotas) keeper(workspace string) *quota.Keeper {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.keepers[workspace]
}
