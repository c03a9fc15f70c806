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

// idempotencyCall is a message to the holder or the backup of a partition. Exactly one
// field is set.
type idempotencyCall struct {
	Begin     *beginCall             `cbor:"1,keyasint,omitempty"`
	End       *endCall               `cbor:"2,keyasint,omitempty"`
	Replicate *idempotency.Replicate `cbor:"3,keyasint,omitempty"`
}

// beginCall asks the holder of a key whether the request may run.
type beginCall struct {
	Key         idempotency.Key         `cbor:"1,keyasint"`
	Fingerprint idempotency.Fingerprint `cbor:"2,keyasint"`
	// DeadlineMs is the deadline of the request in Unix ms.
	DeadlineMs int64 `cbor:"3,keyasint"`
}

// endCall reports the outcome of a run to the holder. If Result is nil and NotRun is
// false, the outcome is unknown.
type endCall struct {
	Key    idempotency.Key     `cbor:"1,keyasint"`
	RunID  uint64              `cbor:"2,keyasint"`
	NotRun bool                `cbor:"3,keyasint,omitempty"`
	Result *idempotency.Result `cbor:"4,keyasint,omitempty"`
}

// idempotencyReply answers a beginCall or a Replicate; it is empty for an endCall.
type idempotencyReply struct {
	Outcome idempotency.Outcome `cbor:"1,keyasint"`
	Reason  idempotency.Reason  `cbor:"2,keyasint,omitempty"`
	RunID   uint64              `cbor:"3,keyasint,omitempty"`
	Result  *idempotency.Result `cbor:"4,keyasint,omitempty"`
	Ack     *idempotency.Ack    `cbor:"5,keyasint,omitempty"`
}

const (
	// maxIdempotencyMessageBytes is the maximum size of a message; a batch of results
	// takes up to 1 MiB.
	maxIdempotencyMessageBytes = 2 << 20
	// reportMargin is the time after the deadline of a request in which the VM that
	// received it may still report the outcome.
	reportMargin = time.Second
)

// errNotHolder rejects a call for a partition of which this VM is not holder or
// backup, or whose holder is not known.
var errNotHolder = errors.New("this VM does not hold the partition")

// idempotencyPartitions stores the idempotency keys of the partitions of which this VM
// is holder or backup, and calls the holders of other partitions.
type idempotencyPartitions struct {
	vm *VM

	mu     sync.Mutex
	stores map[uint32]*idempotency.Store
}

func newIdempotencyPartitions(v *VM) *idempotencyPartitions {
	return &idempotencyPartitions{vm: v, stores: make(map[uint32]*idempotency.Store)}
}

// partitionOf returns the partition of the key, by a hash of workspace and value.
func partitionOf(key idempotency.Key) uint32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key.Workspace) // writes to a digest never fail
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key.Value)
	return uint32(digest.Sum64() % ownership.IdempotencyPartitions)
}

// store returns the store of the partition and creates it if necessary.
func (p *idempotencyPartitions) store(partition uint32) *idempotency.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.stores[partition]
	if !ok {
		found = idempotency.NewStore(int(partition))
		p.stores[partition] = found
	}
	return found
}

// allStores returns the stores of this VM.
func (p *idempotencyPartitions) allStores() []*idempotency.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*idempotency.Store, 0, len(p.stores))
	for _, store := range p.stores {
		list = append(list, store)
	}
	return list
}

// setRoles applies the role lease to the partitions whose holder or backup this VM is
// according to the domain map. It does nothing while the map is older than the lease,
// because such a map may name a previous pair of holder and backup.
func (p *idempotencyPartitions) setRoles(lease ownership.RoleLease, expires time.Time) {
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

// setRole applies the pair of holder and backup to its partition if this VM is one of
// them and has the lease for it.
func (p *idempotencyPartitions) setRole(pair ownership.PartitionAssignment, leased map[ownership.Role]bool, expires, now time.Time) {
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

// run sends replication messages that are due, including those not acknowledged, until
// the context ends.
func (p *idempotencyPartitions) run(ctx context.Context) {
	ticker := time.NewTicker(idempotency.ResendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, store := range p.allStores() {
			p.replicate(ctx, store)
		}
	}
}

// replicate sends the entries that the backup has not acknowledged.
func (p *idempotencyPartitions) replicate(ctx context.Context, store *idempotency.Store) {
	messages, _ := store.Poll(time.Now())
	for _, message := range messages {
		go p.sendReplicate(ctx, store, message)
	}
}

// sendReplicate sends one message to the backup and handles the acknowledgement.
func (p *idempotencyPartitions) sendReplicate(ctx context.Context, store *idempotency.Store, message idempotency.Replicate) {
	address, ok := p.vm.fleet.address(store.Backup())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply idempotencyReply
	if _, err := p.vm.peerClient.Call(ctx, address, messageIdempotency, idempotencyCall{Replicate: &message}, &reply); err != nil || reply.Ack == nil {
		return // sent again after the resend interval
	}
	store.HandleAck(*reply.Ack, time.Now())
	p.replicate(context.WithoutCancel(ctx), store)
}

// onCall handles a call of another VM, or of this VM to itself.
func (p *idempotencyPartitions) onCall(ctx context.Context, _ peer.Identity, call idempotencyCall) (idempotencyReply, error) {
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
		return idempotencyReply{}, &peer.RemoteError{Code: peer.CodeMalformed, Detail: "idempotency call has no known field set, or its partition does not exist"}
	}
}

// begin decides whether the request may run. This VM should be the holder; if it is
// not, the reply says so. A pending decision is awaited until the context ends.
func (p *idempotencyPartitions) begin(ctx context.Context, call beginCall) idempotencyReply {
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
		p.awaitEnd(store, call, decision.RunID)
	}
	return idempotencyReply{Outcome: decision.Outcome, Reason: decision.Reason, RunID: decision.RunID, Result: decision.Result}
}

// awaitEnd marks the outcome as unknown if the VM that runs the request has not
// reported it in time, for example because that VM was lost.
func (p *idempotencyPartitions) awaitEnd(store *idempotency.Store, call beginCall, runID uint64) {
	wait := time.Until(time.UnixMilli(call.DeadlineMs)) + reportMargin
	time.AfterFunc(wait, func() { store.MarkUnknown(call.Key, runID, time.Now()) })
}

// end records the outcome of a run. If there is a result, end waits until the backup
// has it or the context ends.
func (p *idempotencyPartitions) end(ctx context.Context, call endCall) {
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

// holderOf returns the VM that is the holder of the key's partition, if it is known.
func (p *idempotencyPartitions) holderOf(key idempotency.Key) (string, bool) {
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

// callHolder sends the call to the holder of the key, which may be this VM.
func (p *idempotencyPartitions) callHolder(ctx context.Context, key idempotency.Key, call idempotencyCall) (idempotencyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	holder, ok := p.holderOf(key)
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
	_, err := p.vm.peerClient.Call(ctx, address, messageIdempotency, call, &reply)
	return reply, err
}
