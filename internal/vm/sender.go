package vm

import (
	"context"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/peer"
)

// senders gives the way to the gate on any VM.
type senders struct {
	self      string
	gates     peer.Sender
	fleet     *fleet
	forwarder *peer.Forwarder
}

// to returns the sender that reaches the gates of the VM.
func (s *senders) to(vm string) peer.Sender {
	if vm == s.self {
		return s.gates
	}
	return remoteGate{senders: s, vm: vm}
}

// remoteGate sends through another VM.
type remoteGate struct {
	senders *senders
	vm      string
}

// Send implements peer.Sender.
func (r remoteGate) Send(ctx context.Context, attempt peer.Attempt) (*backend.Response, error) {
	vm, ok := r.senders.fleet.lookup(r.vm)
	if !ok {
		return nil, &backend.Failure{Kind: outcome.NotRun, Reason: "gate-unknown"}
	}
	return r.senders.forwarder.Forward(ctx, vm.PeerAddress, attempt)
}
