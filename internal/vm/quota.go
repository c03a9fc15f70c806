package vm

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/config"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/quota"
)

// quotaIdle is the longest time between two rounds of the quota logic.
const quotaIdle = 100 * time.Millisecond

// quotaMessage carries quota messages between two VMs.
type quotaMessage struct {
	Envelopes []quota.Envelope `cbor:"1,keyasint,omitempty"`
}

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

// Take implements caller.Limiter.
func (q *quotas) Take(ctx context.Context, workspace string) *outcome.Refusal {
	if !q.limited(workspace) {
		return nil
	}
	giveUp := time.Now().Add(quota.DefaultPolicy.MaxWait)
	decision := q.take(ctx, workspace)
	for waits := 0; decision.Outcome != quota.Granted && waits < shortWaits && time.Now().Before(giveUp); {
		wait := decision.RetryAfter
		if wait >= quota.RetryAfterUnknown {
			// A keeper that is recovering can't tell when it will have tokens.
			wait = recoveryInterval
		} else {
			waits++
		}
		if !q.waitForToken(ctx, wait) {
			break
		}
		decision = q.take(ctx, workspace)
	}
	if decision.Outcome == quota.Granted {
		return nil
	}
	return rateRefusal(decision.RetryAfter)
}

func (q *quotas) take(ctx context.Context, workspace string) quota.Decision {
	decision := q.holder.Take(workspace, time.Now())
	if decision.Outcome != quota.Waiting {
		return decision
	}
	select {
	case decision = <-decision.Wait:
		return decision
	case <-ctx.Done():
		return quota.Decision{RetryAfter: quota.RetryAfterUnknown}
	}
}

const (
	// shortWait is the longest advised time for which a request waits here instead
	// of being refused. A keeper that has just taken over starts with an empty
	// bucket and would refuse requests inside the rate.
	shortWait = 100 * time.Millisecond
	// shortWaits is the number of times that one request waits.
	shortWaits = 2
	// recoveryInterval is the time between looks at a keeper that is recovering.
	recoveryInterval = 25 * time.Millisecond
	// maxShortWaits bounds the requests that wait in this way.
	maxShortWaits = 1024
)

// waitForToken waits for a short time until the next token is expected.
func (q *quotas) waitForToken(ctx context.Context, d time.Duration) bool {
	if d > shortWait {
		return false
	}
	select {
	case q.waiting <- struct{}{}:
		defer func() { <-q.waiting }()
	default:
		return false
	}
	sleep(ctx, d)
	return ctx.Err() == nil
}

func rateRefusal(retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{
		Kind:       outcome.NotRun,
		Status:     http.StatusTooManyRequests,
		Reason:     "rate-exceeded",
		Detail:     "the workspace has used up its rate and burst",
		RetryAfter: max(retryAfter, time.Millisecond),
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
		if wake := keeper.Wake(now); !wake.IsZero() && (next.IsZero() || wake.Before(next)) {
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

// deliver sends envelopes to their VMs, one message for each VM, and handles those
// for this VM.
func (q *quotas) deliver(ctx context.Context, envelopes []quota.Envelope) {
	for len(envelopes) > 0 {
		remote := make(map[string][]quota.Envelope)
		var local []quota.Envelope
		for _, envelope := range envelopes {
			switch vm, ok := q.destination(envelope); {
			case !ok:
			case vm == q.vm.options.Name:
				local = append(local, envelope)
			default:
				remote[vm] = append(remote[vm], envelope)
			}
		}
		for vm, batch := range remote {
			go q.send(ctx, vm, batch)
		}
		envelopes = q.handle(local)
	}
}

func (q *quotas) destination(envelope quota.Envelope) (string, bool) {
	if envelope.ToVM != "" {
		return envelope.ToVM, true
	}
	return q.vm.table.RoleVM(envelope.ToDomain, ownership.Role{Kind: ownership.RoleKeeper, Name: workspaceOf(envelope)})
}

func workspaceOf(envelope quota.Envelope) string {
	switch {
	case envelope.Sync != nil:
		return envelope.Sync.Workspace
	case envelope.Reply != nil:
		return envelope.Reply.Workspace
	case envelope.Ask != nil:
		return envelope.Ask.Workspace
	default:
		return ""
	}
}

// send calls another VM; a message that is lost is sent again by the logic.
func (q *quotas) send(ctx context.Context, vm string, batch []quota.Envelope) {
	address, ok := q.vm.fleet.address(vm)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer quotaMessage
	_, err := q.vm.calls.Call(callCtx, address, messageQuota, quotaMessage{Envelopes: batch}, &answer)
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) && unreachable.Refused {
		q.holderGone(vm)
	}
	if err != nil {
		return
	}
	// The messages that follow are sent after this call's context has ended.
	q.deliver(ctx, q.handle(answer.Envelopes))
}

// holderGone tells the keepers that the process of the VM has ended, so that they
// need not wait for the tokens that it held.
func (q *quotas) holderGone(vm string) {
	now := time.Now()
	for _, keeper := range q.all() {
		keeper.HolderGone(vm, now)
	}
	q.signal()
}

// handle gives envelopes to the holder and the keepers of this VM and returns the
// envelopes that follow from them.
func (q *quotas) handle(envelopes []quota.Envelope) []quota.Envelope {
	now := time.Now()
	var out []quota.Envelope
	for _, envelope := range envelopes {
		keeper := q.keeper(workspaceOf(envelope))
		switch {
		case envelope.ToVM != "" && envelope.Reply != nil:
			q.holder.HandleReply(*envelope.Reply, now)
		case envelope.ToVM != "" && envelope.Ask != nil:
			q.holder.HandleAsk(*envelope.Ask, now)
		case keeper == nil:
		case envelope.Sync != nil:
			out = append(out, keeper.HandleSync(*envelope.Sync, now)...)
		case envelope.Reply != nil:
			out = append(out, keeper.HandleReply(*envelope.Reply, now)...)
		case envelope.Ask != nil:
			out = append(out, keeper.HandleAsk(*envelope.Ask, now)...)
		}
	}
	if len(envelopes) > 0 {
		q.signal() // a keeper may have put an answer off for a few milliseconds
	}
	return out
}

// onMessage handles a message of another VM. Envelopes for that VM travel back in
// the answer.
func (q *quotas) onMessage(ctx context.Context, from peer.Identity, message quotaMessage) (quotaMessage, error) {
	var answer quotaMessage
	var others []quota.Envelope
	for _, envelope := range q.handle(message.Envelopes) {
		if vm, ok := q.destination(envelope); ok && vm == from.VM {
			answer.Envelopes = append(answer.Envelopes, envelope)
		} else {
			others = append(others, envelope)
		}
	}
	q.deliver(context.WithoutCancel(ctx), others)
	return answer, nil
}
