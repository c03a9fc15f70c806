package vm

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"fireflyfield/internal/idempotency"
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
)

// idempotencyCall is one message about idempotency keys. Exactly one field is set.
type idempotencyCall struct {
	Begin     *beginCall             `cbor:"1,keyasint,omitempty"`
	End       *endCall               `cbor:"2,keyasint,omitempty"`
	Replicate *idempotency.Replicate `cbor:"3,keyasint,omitempty"`
}

// beginCall asks the holder whether a request may run.
type beginCall struct {
	Key         idempotency.Key         `cbor:"1,keyasint"`
	Fingerprint idempotency.Fingerprint `cbor:"2,keyasint"`
	// DeadlineMs is the end of the request's time in Unix ms.
	DeadlineMs int64 `cbor:"3,keyasint"`
}

// endCall tells the holder how the run ended. A nil Result with NotRun unset means
// that the outcome is unknown.
type endCall struct {
	Key    idempotency.Key     `cbor:"1,keyasint"`
	RunID  uint64              `cbor:"2,keyasint"`
	NotRun bool                `cbor:"3,keyasint,omitempty"`
	Result *idempotency.Result `cbor:"4,keyasint,omitempty"`
}

// idempotencyReply answers a beginCall or a Replicate.
type idempotencyReply struct {
	Outcome idempotency.Outcome `cbor:"1,keyasint"`
	Reason  idempotency.Reason  `cbor:"2,keyasint,omitempty"`
	RunID   uint64              `cbor:"3,keyasint,omitempty"`
	Result  *idempotency.Result `cbor:"4,keyasint,omitempty"`
	Ack     *idempotency.Ack    `cbor:"5,keyasint,omitempty"`
}

const (
	// idempotencyLimit bounds a message; a batch of results takes up to 1 MiB.
	idempotencyLimit = 2 << 20
	// reportMargin is the time after a request's deadline in which the entry VM may
	// still report the end of its run.
	reportMargin = time.Second
)

// errNotHolder answers a call for a partition that this VM does not hold.
var errNotHolder = errors.New("this VM does not hold the partition")

// partitions holds the idempotency keys of the partitions for which this VM is
// holder or backup.
type partitions struct {
	vm *VM

	mu     sync.Mutex
	stores map[uint32]*idempotency.Store
}

func newPartitions(v *VM) *partitions {
	return &partitions{vm: v, stores: make(map[uint32]*idempotency.Store)}
}

// partitionOf returns the partition of the key.
func partitionOf(key idempotency.Key) uint32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key.Workspace) // a digest accepts every write
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key.Value)
	return uint32(digest.Sum64() % ownership.IdempotencyPartitions)
}

func (p *partitions) store(partition uint32) *idempotency.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.stores[partition]
	if !ok {
		found = idempotency.NewStore(int(partition))
		p.stores[partition] = found
	}
	return found
}

func (p *partitions) all() []*idempotency.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*idempotency.Store, 0, len(p.stores))
	for _, store := range p.stores {
		list = append(list, store)
	}
	return list
}

// setRoles applies the leased roles whose pairs the domain map names. A map that is
// older than the lease may name a former pair and is not used.
func (p *partitions) setRoles(lease ownership.RoleLease, expires time.Time) {
	published, ok := p.vm.table.Domain(p.vm.options.FailureDomain)
	required := mapVersion{Term: lease.Term, Version: lease.MapVersion}
	if !ok || newer(required, mapVersion{Term: published.Term, Version: published.Version}) {
		return
	}
	leased := make(map[ownership.Role]bool, len(lease.Roles))
	for _, role := range lease.Roles {
		leased[role] = true
	}
	now := time.Now()
	for _, pair := range published.Partitions {
		p.setRole(pair, leased, expires, now)
	}
}

func (p *partitions) setRole(pair ownership.PartitionAssignment, leased map[ownership.Role]bool, expires, now time.Time) {
	self := p.vm.options.Name
	role := idempotency.Role{Term: pair.Epoch, Backup: pair.Backup, Previous: pair.Previous, LeaseUntil: expires}
	switch {
	case pair.Holder == self && leased[ownership.Role{Kind: ownership.RoleIdempotencyHolder, Partition: pair.Partition}]:
		role.Holder = true
	case pair.Backup == self && leased[ownership.Role{Kind: ownership.RoleIdempotencyBackup, Partition: pair.Partition}]:
	default:
		return
	}
	p.store(pair.Partition).SetRole(role, now)
}

// run sends replication messages that were not acknowledged until the context ends.
func (p *partitions) run(ctx context.Context) {
	ticker := time.NewTicker(idempotency.ResendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, store := range p.all() {
			p.replicate(ctx, store)
		}
	}
}

// replicate sends what the backup does not have yet.
func (p *partitions) replicate(ctx context.Context, store *idempotency.Store) {
	messages, _ := store.Poll(time.Now())
	for _, message := range messages {
		go p.sendReplicate(ctx, store, message)
	}
}

func (p *partitions) sendReplicate(ctx context.Context, store *idempotency.Store, message idempotency.Replicate) {
	address, ok := p.vm.fleet.address(store.Backup())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply idempotencyReply
	if _, err := p.vm.calls.Call(ctx, address, messageIdempotency, idempotencyCall{Replicate: &message}, &reply); err != nil || reply.Ack == nil {
		return // sent again after the resend interval
	}
	store.HandleAck(*reply.Ack, time.Now())
	p.replicate(context.WithoutCancel(ctx), store)
}

func (p *partitions) onCall(ctx context.Context, _ peer.Identity, call idempotencyCall) (idempotencyReply, error) {
	switch {
	case call.Begin != nil:
		return p.begin(ctx, *call.Begin), nil
	case call.End != nil:
		p.end(ctx, *call.End)
		return idempotencyReply{}, nil
	case call.Replicate != nil && call.Replicate.Partition >= 0 && call.Replicate.Partition < ownership.IdempotencyPartitions:
		ack, ok := p.store(uint32(call.Replicate.Partition)).HandleReplicate(*call.Replicate, time.Now())
		if !ok {
			return idempotencyReply{}, errNotHolder
		}
		return idempotencyReply{Ack: &ack}, nil
	default:
		return idempotencyReply{}, &peer.RemoteError{Code: peer.CodeMalformed, Detail: "no body"}
	}
}

// begin decides on this VM, which should be the holder.
func (p *partitions) begin(ctx context.Context, call beginCall) idempotencyReply {
	store := p.store(partitionOf(call.Key))
	decision := store.Begin(call.Key, call.Fingerprint, time.Now())
	if decision.Outcome == idempotency.Pending {
		p.replicate(context.WithoutCancel(ctx), store)
		runID := decision.RunID
		select {
		case decision = <-decision.Ready:
		case <-ctx.Done():
			store.Abandon(call.Key, runID)
			return idempotencyReply{Reason: idempotency.ReasonRoleChanged}
		}
	}
	if decision.Outcome == idempotency.Run {
		p.expectEnd(store, call, decision.RunID)
	}
	return idempotencyReply{Outcome: decision.Outcome, Reason: decision.Reason, RunID: decision.RunID, Result: decision.Result}
}

// expectEnd gives the outcome up when the entry VM does not report it, for example
// because it was lost.
func (p *partitions) expectEnd(store *idempotency.Store, call beginCall, runID uint64) {
	wait := time.Until(time.UnixMilli(call.DeadlineMs)) + reportMargin
	time.AfterFunc(wait, func() { store.MarkUnknown(call.Key, runID, time.Now()) })
}

// end takes the report of a run and waits until the backup has its result.
func (p *partitions) end(ctx context.Context, call endCall) {
	store := p.store(partitionOf(call.Key))
	switch {
	case call.NotRun:
		store.Abandon(call.Key, call.RunID)
	case call.Result == nil:
		store.MarkUnknown(call.Key, call.RunID, time.Now())
	default:
		stored := store.Finish(call.Key, call.RunID, *call.Result, time.Now())
		p.replicate(context.WithoutCancel(ctx), store)
		select {
		case <-stored:
		case <-ctx.Done():
		}
		return
	}
	p.replicate(context.WithoutCancel(ctx), store)
}

// holder returns the VM that holds the partition of the key.
func (p *partitions) holder(key idempotency.Key) (string, bool) {
	partition := partitionOf(key)
	domain, ok := p.vm.table.SliceDomain(ownership.IdempotencyService, keyspace.Unit(partition))
	if !ok {
		return "", false
	}
	published, _ := p.vm.table.Domain(domain)
	for _, pair := range published.Partitions {
		if pair.Partition == partition {
			return pair.Holder, true
		}
	}
	return "", false
}

// ask sends the call to the holder of the key.
func (p *partitions) ask(ctx context.Context, key idempotency.Key, call idempotencyCall) (idempotencyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	holder, ok := p.holder(key)
	if !ok {
		return idempotencyReply{}, errNotHolder
	}
	if holder == p.vm.options.Name {
		return p.onCall(ctx, peer.Identity{}, call)
	}
	address, ok := p.vm.fleet.address(holder)
	if !ok {
		return idempotencyReply{}, errNotHolder
	}
	var reply idempotencyReply
	_, err := p.vm.calls.Call(ctx, address, messageIdempotency, call, &reply)
	return reply, err
}
