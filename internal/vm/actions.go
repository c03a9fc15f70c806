package vm

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/platform"
)

// maxRecordsPerRead is the maximum number of records that one read requests.
const maxRecordsPerRead = 512

// perform carries out one action of the ownership logic and enqueues its result as an
// event.
func (a *assigner) perform(ctx context.Context, action ownership.Action) {
	switch action := action.(type) {
	case ownership.Append:
		a.appendRecord(ctx, action)
	case ownership.Read:
		a.readStream(ctx, action)
	case ownership.SendGrant:
		a.sendGrant(ctx, action)
	case ownership.SendHeartbeat:
		a.sendHeartbeat(ctx, action.Heartbeat)
	case ownership.Publish:
		a.publish(ctx, action.Map)
	case ownership.SendMap:
		a.vm.sendMap(ctx, domainMapCall{Map: action.Map}, a.vm.fleet.byName(action.To.VM))
	case ownership.ProbePeer:
		a.probe(ctx, action.Member)
	case ownership.StopUnits:
		a.stopUnits(ctx, action)
	}
}

// streamName returns the name of the stream in the platform's log.
func (a *assigner) streamName(stream ownership.Stream) string {
	if stream == ownership.HomesStream {
		return "homes"
	}
	return "domain." + a.domain
}

// appendRecord appends the record to its stream.
func (a *assigner) appendRecord(ctx context.Context, action ownership.Append) {
	data, err := action.Record.Encode()
	if err == nil {
		_, err = a.vm.platform.Append(ctx, a.streamName(action.Stream), data)
	}
	if err != nil {
		a.enqueue(ctx, ownership.AppendLost{ID: action.Record.ID})
		return
	}
	a.enqueue(ctx, ownership.AppendDone{ID: action.Record.ID})
}

// readStream reads the next records of the stream. The time at which the read was sent
// goes into the event, because it bounds the age of the result. Records that were
// deleted before this VM has read them are logged once and make it unready.
func (a *assigner) readStream(ctx context.Context, action ownership.Read) {
	sent := a.clock.now()
	batch, err := a.vm.platform.Read(ctx, a.streamName(action.Stream), action.From, maxRecordsPerRead, 0)
	var deleted *platform.OffsetTrimmedError
	if errors.As(err, &deleted) && !a.retention.recordsMissed.Swap(true) {
		a.logger.Error("unread records of a stream are no longer retained; this VM must be replaced", zap.String("stream", deleted.Stream), zap.Uint64("from", deleted.From), zap.Uint64("first", deleted.First))
	}
	if err != nil {
		a.enqueue(ctx, ownership.ReadFailed{Stream: action.Stream})
		return
	}
	a.retention.firstOffsets[action.Stream].Store(batch.FirstRetained)
	a.enqueue(ctx, ownership.RecordsRead{
		Stream:     action.Stream,
		Records:    decodeRecords(batch.Records),
		ReachedEnd: len(batch.Records) < maxRecordsPerRead,
		SentAt:     sent,
	})
}

// decodeRecords marks records that can't be decoded as invalid.
func decodeRecords(records []platform.Record) []ownership.StreamRecord {
	decoded := make([]ownership.StreamRecord, 0, len(records))
	for _, record := range records {
		body, err := ownership.DecodeRecord(record.Data)
		decoded = append(decoded, ownership.StreamRecord{Offset: record.Offset, Record: body, Invalid: err != nil})
	}
	return decoded
}

// sendGrant sends grants and revocations to a backend server. A refused connection
// proves that the process of the backend server has ended.
func (a *assigner) sendGrant(ctx context.Context, action ownership.SendGrant) {
	client, ok := a.vm.controlClients.client(action.Server)
	if !ok {
		a.enqueue(ctx, ownership.GrantFailed{Server: action.Server, Seq: action.Seq})
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.Grants(callCtx, grantRequest(action))
	var stale *backend.StaleError
	switch {
	case errors.As(err, &stale):
		a.enqueue(ctx, grantReplied(action, stale.Reply, true))
	case err == nil:
		a.enqueue(ctx, grantReplied(action, reply, false))
	default:
		a.enqueue(ctx, ownership.GrantFailed{Server: action.Server, Seq: action.Seq})
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.enqueue(ctx, ownership.ServerEnded{Server: action.Server})
		}
	}
}

func grantRequest(action ownership.SendGrant) backend.GrantRequest {
	request := backend.GrantRequest{
		Service:     action.Server.Service,
		Instance:    action.Instance,
		Term:        uint64(action.Term),
		ExpiresAtMs: action.Expires.Milliseconds(),
		Renew:       action.Renew,
	}
	for _, grant := range action.Grant {
		request.Grant = append(request.Grant, backend.Grant{Unit: uint64(grant.Unit), Counter: grant.Token.Counter})
	}
	for _, unit := range action.Revoke {
		request.Revoke = append(request.Revoke, uint64(unit))
	}
	return request
}

func grantReplied(action ownership.SendGrant, reply backend.GrantReply, refused bool) ownership.GrantReplied {
	event := ownership.GrantReplied{
		Server:   action.Server,
		Seq:      action.Seq,
		Refused:  refused,
		Instance: reply.Instance,
		Now:      time.Duration(reply.NowMs) * time.Millisecond,
		Term:     ownership.Term(reply.Term),
	}
	for _, held := range reply.Held {
		event.Held = append(event.Held, ownership.HeldUnit{
			Unit:  keyspace.Unit(held.Unit),
			Token: ownership.Token{Term: ownership.Term(held.Term), Counter: held.Counter},
		})
	}
	return event
}

// sendHeartbeat sends the heartbeat and enqueues the reply. A heartbeat without a
// reply causes no event unless the process of the receiver has ended.
func (a *assigner) sendHeartbeat(ctx context.Context, heartbeat ownership.Heartbeat) {
	address, ok := a.vm.fleet.address(heartbeat.To.VM)
	if !ok {
		a.vm.fleet.refresh() // a VM that has just joined may be listed by now
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ownership.HeartbeatReply
	answered, err := a.vm.peerClient.Call(callCtx, address, messageHeartbeat, heartbeat, &reply)
	if a.provesEnded(heartbeat.To, answered, err) {
		a.enqueue(ctx, ownership.PeerEnded{Member: heartbeat.To})
		return
	}
	if err == nil {
		a.enqueue(ctx, ownership.HeartbeatReplied{Reply: reply})
	}
}

// probe checks whether the process of the member has ended.
func (a *assigner) probe(ctx context.Context, member ownership.Member) {
	address, ok := a.vm.fleet.address(member.VM)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answered, err := a.vm.peerClient.Call(callCtx, address, messageExchange, exchangeCall{}, &exchangeReply{})
	if a.provesEnded(member, answered, err) {
		a.enqueue(ctx, ownership.PeerEnded{Member: member})
	}
}

// provesEnded reports whether the result of a call proves that the process of the
// member has ended: the connection was refused, or another instance answered.
func (a *assigner) provesEnded(member ownership.Member, answered peer.Identity, err error) bool {
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) {
		return unreachable.Refused
	}
	return answered.VM == member.VM && answered.Instance != "" && answered.Instance != member.Instance
}

// publish applies the domain map on this VM and sends it to the other VMs of this
// failure domain and to one VM of each other failure domain, which relays it there.
func (a *assigner) publish(ctx context.Context, published ownership.DomainMap) {
	a.vm.acceptMap(published)
	a.vm.sendMap(ctx, domainMapCall{Map: published}, a.vm.fleet.inDomain(a.domain))
	relays := make(map[string]platform.VM)
	for _, vm := range a.vm.fleet.all() {
		if vm.FailureDomain != a.domain {
			relays[vm.FailureDomain] = vm
		}
	}
	for _, vm := range relays {
		a.vm.sendMap(ctx, domainMapCall{Map: published, Relay: true}, []platform.VM{vm})
	}
}

// stopUnits asks a gate to stop units and enqueues those without a request in flight.
func (a *assigner) stopUnits(ctx context.Context, action ownership.StopUnits) {
	address, ok := a.vm.fleet.address(action.VM.VM)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := stopUnitsCall{Service: action.Server.Service, Server: action.Server.Name, Units: action.Units}
	var reply stopUnitsReply
	answered, err := a.vm.peerClient.Call(callCtx, address, messageStopUnits, call, &reply)
	if err != nil || answered.Instance != action.VM.Instance {
		return
	}
	slices.Sort(reply.Units)
	a.enqueue(ctx, ownership.UnitsStopped{Server: action.Server, VM: action.VM, Term: action.Term, Seq: action.Seq, Units: reply.Units})
}
