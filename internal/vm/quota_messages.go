package vm

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/quota"
)

// quotaMessage carries messages of the quota logic from one VM to another; it is both
// the call and the reply.
type quotaMessage struct {
	Envelopes []quota.Envelope `cbor:"1,keyasint,omitempty"`
}

// deliver sends the envelopes in one message per VM. It handles those for this VM, and
// then delivers the envelopes that result, until none are left. Envelopes without a
// known destination are dropped.
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

// destination returns the VM to which the envelope goes: the one it names, or the
// keeper of its workspace in the failure domain it names.
func (q *quotas) destination(envelope quota.Envelope) (string, bool) {
	if envelope.ToVM != "" {
		return envelope.ToVM, true
	}
	return q.vm.table.RoleVM(envelope.ToDomain, ownership.Role{Kind: ownership.RoleKeeper, Name: workspaceOf(envelope)})
}

// workspaceOf returns the workspace of the envelope's message.
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

// send delivers a batch to another VM and handles the reply. The quota logic sends a
// lost message again.
func (q *quotas) send(ctx context.Context, vm string, batch []quota.Envelope) {
	address, ok := q.vm.fleet.address(vm)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer quotaMessage
	_, err := q.vm.peerClient.Call(callCtx, address, messageQuota, quotaMessage{Envelopes: batch}, &answer)
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) && unreachable.Refused {
		q.holderGone(vm)
	}
	if err != nil {
		return
	}
	// Uses ctx, because callCtx ends before the resulting messages are sent.
	q.deliver(ctx, q.handle(answer.Envelopes))
}

// holderGone notifies the keepers that the process of the VM has ended, so that they
// need not wait for the tokens that it held.
func (q *quotas) holderGone(vm string) {
	now := time.Now()
	for _, keeper := range q.allKeepers() {
		keeper.HolderGone(vm, now)
	}
	q.signal()
}

// handle passes envelopes to the holder and the keepers of this VM and returns the
// resulting envelopes. Envelopes for a keeper that this VM does not have are dropped.
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
		q.signal() // a keeper may have delayed a reply by a few milliseconds
	}
	return out
}

// onMessage handles a message of another VM. Resulting envelopes for that VM are
// returned in the reply, others are delivered separately.
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
