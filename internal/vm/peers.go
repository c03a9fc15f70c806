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

// errNotAccepted answers a heartbeat that the logic ignored.
var errNotAccepted = errors.New("heartbeat is not accepted")

// registerHandlers adds the handlers of control messages.
func (v *VM) registerHandlers(server *peer.Server) {
	peer.Handle(server, messageHeartbeat, heartbeatLimit, v.onHeartbeat)
	peer.Handle(server, messageDomainMap, domainMapLimit, v.onDomainMap)
	peer.Handle(server, messageStopUnits, heartbeatLimit, v.onStopUnits)
	peer.Handle(server, messageHandover, smallLimit, v.onHandover)
	peer.Handle(server, messageExchange, smallLimit, v.onExchange)
	peer.Handle(server, messageLoad, smallLimit, v.onLoad)
	peer.Handle(server, messageServerLoads, smallLimit, v.onServerLoads)
	peer.Handle(server, messageQuota, recordsLimit, v.quotas.onMessage)
	peer.Handle(server, messageStatus, smallLimit, v.onStatus)
	peer.Handle(server, messageIdempotency, idempotencyLimit, v.partitions.onCall)
}

func (v *VM) onHeartbeat(ctx context.Context, _ peer.Identity, heartbeat ownership.Heartbeat) (ownership.HeartbeatReply, error) {
	replies := make(chan ownership.HeartbeatReply, 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case v.assigner.events <- queuedEvent{event: ownership.HeartbeatReceived{Heartbeat: heartbeat}, reply: replies}:
	case <-ctx.Done():
		return ownership.HeartbeatReply{}, errNotAccepted
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return ownership.HeartbeatReply{}, errNotAccepted
	}
}

func (v *VM) onDomainMap(ctx context.Context, _ peer.Identity, call domainMapCall) (empty, error) {
	if v.acceptMap(call.Map) && call.Relay {
		v.sendMap(context.WithoutCancel(ctx), domainMapCall{Map: call.Map}, v.fleet.inDomain(v.options.FailureDomain))
	}
	return empty{}, nil
}

// acceptMap applies a domain map and reports whether it was newer.
func (v *VM) acceptMap(published ownership.DomainMap) bool {
	before, _ := v.table.Domain(published.Domain)
	newer := v.table.UpdateDomain(published)
	if newer && published.Domain == v.options.FailureDomain {
		v.roles.formers.note(before, published)
		go v.assigner.enqueue(v.work, ownership.MapReceived{Term: published.Term, Version: published.Version})
		v.mapSeen.CompareAndSwap(0, time.Now().UnixNano())
	}
	if newer {
		v.router.notify()
		go v.gates.CancelOrphaned(v.work)
	}
	return newer
}

// sendMap sends a domain map to each of the VMs without waiting.
func (v *VM) sendMap(ctx context.Context, call domainMapCall, to []platform.VM) {
	for _, vm := range to {
		if vm.Name == v.options.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A VM that missed a map gets the next one, or asks for it.
			_, _ = v.calls.Call(ctx, vm.PeerAddress, messageDomainMap, call, &empty{})
		}()
	}
}

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

// handoverCall asks a VM for the state of a gate that it gave up.
type handoverCall struct {
	Service string `cbor:"1,keyasint"`
	Server  string `cbor:"2,keyasint"`
}

// handoverReply is the state of the gate, if the VM had it.
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

// askHandover asks the former gate of the backend server for its state.
func (v *VM) askHandover(ctx context.Context, id gate.ServerID) *admission.Takeover {
	former, ok := v.roles.formers.of(id)
	if !ok || former == v.options.Name {
		return nil
	}
	address, ok := v.fleet.address(former)
	if !ok {
		return &admission.Takeover{}
	}
	takeover := v.handoverFrom(ctx, id, address)
	if takeover.Unreachable {
		v.roles.formers.setSilent(id, former)
	}
	return takeover
}

// handoverFrom asks the VM at the address. A refused connection proves that its
// process has ended.
func (v *VM) handoverFrom(ctx context.Context, id gate.ServerID, address string) *admission.Takeover {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply handoverReply
	_, err := v.calls.Call(ctx, address, messageHandover, handoverCall{Service: id.Service, Server: id.Name}, &reply)
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
