package vm

import (
	"context"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/peer"
)

// gateSenders returns senders that reach the gates of this VM or of another one.
type gateSenders struct {
	self      string
	gates     peer.Sender
	fleet     *fleet
	forwarder *peer.Forwarder
}

// forVM returns the sender to the gates of the VM.
func (s *gateSenders) forVM(vm string) peer.Sender {
	if vm == s.self {
		return s.gates
	}
	return remoteGate{senders: s, vm: vm}
}

// remoteGate forwards attempts to the gates of another VM.
type remoteGate struct {
	senders *gateSenders
	vm      string
}

// Send forwards the attempt, which fails as not run if the VM is not listed.
func (r remoteGate) Send(ctx context.Context, attempt peer.Attempt) (*backend.Response, error) {
	vm, ok := r.senders.fleet.lookup(r.vm)
	if !ok {
		return nil, &backend.Failure{Kind: outcome.NotRun, Reason: "gate-unknown"}
	}
	return r.senders.forwarder.Forward(ctx, vm.PeerAddress, attempt)
}
