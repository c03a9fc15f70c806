package vm

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/admission"
	"fireflyfield/internal/backend"
	"fireflyfield/internal/gate"
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/platform"
)

// errHeartbeatNotAnswered answers a heartbeat that the ownership logic did not reply to
// in time. The logic does not reply to an outdated heartbeat.
var errHeartbeatNotAnswered = errors.New("ownership logic did not reply to the heartbeat in time")

// registerHandlers registers the handler of each control message with its size limit.
func (v *VM) registerHandlers(server *peer.Server) {
	peer.Handle(server, messageHeartbeat, maxHeartbeatBytes, v.onHeartbeat)
	peer.Handle(server, messageDomainMap, maxDomainMapBytes, v.onDomainMap)
	peer.Handle(server, messageStopUnits, maxHeartbeatBytes, v.onStopUnits)
	peer.Handle(server, messageHandover, maxSmallMessageBytes, v.onHandover)
	peer.Handle(server, messageExchange, maxSmallMessageBytes, v.onExchange)
	peer.Handle(server, messageLoad, maxSmallMessageBytes, v.onLoad)
	peer.Handle(server, messageServerLoads, maxSmallMessageBytes, v.onServerLoads)
	peer.Handle(server, messageQuota, maxQuotaMessageBytes, v.quotas.onMessage)
	peer.Handle(server, messageStatus, maxSmallMessageBytes, v.onStatus)
	peer.Handle(server, messageIdempotency, maxIdempotencyMessageBytes, v.idempotencyPartitions.onCall)
}

// onHeartbeat passes the heartbeat to the ownership logic and waits for its reply.
func (v *VM) onHeartbeat(ctx context.Context, _ peer.Identity, heartbeat ownership.Heartbeat) (ownership.HeartbeatReply, error) {
	replies := make(chan ownership.HeartbeatReply, 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case v.assigner.events <- queuedEvent{event: ownership.HeartbeatReceived{Heartbeat: heartbeat}, reply: replies}:
	case <-ctx.Done():
		return ownership.HeartbeatReply{}, errHeartbeatNotAnswered
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return ownership.HeartbeatReply{}, errHeartbeatNotAnswered
	}
}

// onDomainMap applies a domain map and relays it if it is new and Relay is set.
func (v *VM) onDomainMap(ctx context.Context, _ peer.Identity, call domainMapCall) (emptyReply, error) {
	if v.acceptMap(call.Map) && call.Relay {
		v.sendMap(context.WithoutCancel(ctx), domainMapCall{Map: call.Map}, v.fleet.inDomain(v.options.FailureDomain))
	}
	return emptyReply{}, nil
}

// acceptMap applies a domain map if it is newer than the known one of its failure
// domain, and reports whether it was.
func (v *VM) acceptMap(published ownership.DomainMap) bool {
	before, _ := v.table.Domain(published.Domain)
	newer := v.table.UpdateDomain(published)
	if newer && published.Domain == v.options.FailureDomain {
		v.roles.predecessors.recordChanges(before, published)
		go v.assigner.enqueue(v.backgroundContext, ownership.MapReceived{Term: published.Term, Version: published.Version})
		v.firstMapAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	if newer {
		v.router.notify()
		go v.gates.CancelMoved(v.backgroundContext)
	}
	return newer
}

// sendMap sends a domain map to each of the VMs in the background.
func (v *VM) sendMap(ctx context.Context, call domainMapCall, to []platform.VM) {
	for _, vm := range to {
		if vm.Name == v.options.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A VM that misses the map receives the next one, or this one by an exchange.
			_, _ = v.peerClient.Call(ctx, vm.PeerAddress, messageDomainMap, call, &emptyReply{})
		}()
	}
}

// onStopUnits stops units at a gate of this VM. It waits for requests in flight for half
// of callTimeout, so that the reply arrives before the call ends.
func (v *VM) onStopUnits(ctx context.Context, _ peer.Identity, call stopUnitsCall) (stopUnitsReply, error) {
	fences := make(map[uint64]backend.Fence, len(call.Units))
	published, _ := v.table.Domain(v.options.FailureDomain)
	for _, unit := range call.Units {
		fences[uint64(unit)] = fenceOf(published.Services[call.Service].Units[unit].Token)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	stopped := v.gates.StopUnits(ctx, gate.ServerID{Service: call.Service, Name: call.Server}, fences)
	reply := stopUnitsReply{Units: make([]keyspace.Unit, 0, len(stopped))}
	for _, unit := range stopped {
		reply.Units = append(reply.Units, keyspace.Unit(unit))
	}
	return reply, nil
}

// handoverCall asks a VM for the state of a gate that it has closed.
type handoverCall struct {
	Service string `cbor:"1,keyasint"`
	Server  string `cbor:"2,keyasint"`
}

// handoverReply is the state of the gate. Known is false if the VM does not have it.
type handoverReply struct {
	Known    bool          `cbor:"1,keyasint"`
	Instance string        `cbor:"2,keyasint,omitempty"`
	Limit    int           `cbor:"3,keyasint,omitempty"`
	InFlight int           `cbor:"4,keyasint,omitempty"`
	Warm     bool          `cbor:"5,keyasint,omitempty"`
	Latency  time.Duration `cbor:"6,keyasint,omitempty"`
}

func (v *VM) onHandover(_ context.Context, _ peer.Identity, call handoverCall) (handoverReply, error) {
	closed, ok := v.roles.handover(gate.ServerID{Service: call.Service, Name: call.Server})
	if !ok {
		return handoverReply{}, nil
	}
	return handoverReply{Known: true, Instance: closed.Instance, Limit: closed.Limit, InFlight: closed.InFlight, Warm: closed.Warm, Latency: closed.Latency}, nil
}

// requestHandover asks the VM that had the gate before for the state of the gate. It
// returns nil if no other VM is known to have had it, and an empty takeover if the platform
// no longer lists that VM.
func (v *VM) requestHandover(ctx context.Context, id gate.ServerID) *admission.Takeover {
	predecessor, ok := v.roles.predecessors.lookup(id)
	if !ok || predecessor == v.options.Name {
		return nil
	}
	address, ok := v.fleet.address(predecessor)
	if !ok {
		return &admission.Takeover{}
	}
	takeover := v.requestHandoverFrom(ctx, id, address)
	if takeover.Unreachable {
		v.roles.predecessors.markUnreachable(id, predecessor)
	}
	return takeover
}

// requestHandoverFrom asks the VM at the address for the state of its closed gate. A
// VM that refuses the connection does not count as unreachable, because the refusal
// proves that its process has ended.
func (v *VM) requestHandoverFrom(ctx context.Context, id gate.ServerID, address string) *admission.Takeover {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply handoverReply
	_, err := v.peerClient.Call(ctx, address, messageHandover, handoverCall{Service: id.Service, Server: id.Name}, &reply)
	var unreachable *peer.UnreachableError
	if err != nil {
		return &admission.Takeover{Unreachable: !(errors.As(err, &unreachable) && unreachable.Refused)}
	}
	if !reply.Known {
		return &admission.Takeover{}
	}
	return &admission.Takeover{Handover: &admission.Handover{
		Instance: reply.Instance,
		Limit:    reply.Limit,
		InFlight: reply.InFlight,
		Warm:     reply.Warm,
		Latency:  reply.Latency,
	}}
}
