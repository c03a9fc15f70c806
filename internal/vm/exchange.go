package vm

import (
	"context"
	"math/rand/v2"
	"time"

	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/platform"
)

const (
	// exchangeInterval is the time between two exchanges with another VM. A VM that
	// missed a domain map receives it within a few exchanges.
	exchangeInterval = 250 * time.Millisecond
	// maxExchangeRecords is the maximum number of configuration records in one reply.
	maxExchangeRecords = 256
)

// mapVersion is the version of a domain map; see newer for the order.
type mapVersion struct {
	Term    ownership.Term `cbor:"1,keyasint"`
	Version uint64         `cbor:"2,keyasint"`
}

// exchangeCall says which domain maps and configuration the calling VM has.
type exchangeCall struct {
	Maps map[string]mapVersion `cbor:"1,keyasint"`
	// ConfigNext is the offset of the next configuration record.
	ConfigNext uint64 `cbor:"2,keyasint"`
}

// exchangeReply holds the domain maps and configuration records that the answering VM
// has and the calling VM lacks.
type exchangeReply struct {
	Maps    []ownership.DomainMap `cbor:"1,keyasint,omitempty"`
	Records []platform.Record     `cbor:"2,keyasint,omitempty"`
	// EndNext is the offset after the end of the configuration stream, as a read of
	// the log has found it, or 0 if there was no such read. EndAge is the time since
	// that read in ns.
	EndNext uint64        `cbor:"3,keyasint,omitempty"`
	EndAge  time.Duration `cbor:"4,keyasint,omitempty"`
}

// exchange regularly asks a random VM for domain maps and configuration records that
// this VM lacks, until the context ends. In this way, domain maps reach VMs to which
// the publisher could not send them, and configuration reaches VMs that can't reach
// the platform.
func (v *VM) exchange(ctx context.Context) {
	random := newRandom()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			v.exchangeOnce(ctx, random)
		case <-ctx.Done():
			return
		}
	}
}

func (v *VM) exchangeOnce(ctx context.Context, random *rand.Rand) {
	others := v.fleet.allExcept(v.options.Name)
	if len(others) == 0 {
		return
	}
	other := others[random.IntN(len(others))]
	call := exchangeCall{Maps: make(map[string]mapVersion), ConfigNext: v.follower.State().Position() + 1}
	for _, domain := range v.follower.State().View().FailureDomains() {
		if known, ok := v.table.Domain(domain.Name); ok {
			call.Maps[domain.Name] = mapVersion{Term: known.Term, Version: known.Version}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	var reply exchangeReply
	if _, err := v.peerClient.Call(ctx, other.PeerAddress, messageExchange, call, &reply); err != nil {
		return
	}
	v.applyExchange(reply, sentAt)
}

// applyExchange applies the reply to a call that was sent at sentAt. The end of the
// configuration counts as confirmed from that time, which never underestimates its age.
func (v *VM) applyExchange(reply exchangeReply, sentAt time.Time) {
	for _, published := range reply.Maps {
		v.acceptMap(published)
	}
	if _, err := v.follower.ApplyRelayed(reply.Records); err != nil {
		return // records are missing in between; the next exchange asks for them
	}
	if reply.EndNext > 0 {
		v.follower.ConfirmEnd(reply.EndNext, sentAt.Add(-reply.EndAge))
	}
}

func (v *VM) onExchange(_ context.Context, _ peer.Identity, call exchangeCall) (exchangeReply, error) {
	reply := exchangeReply{Records: v.follower.RecentRecords(call.ConfigNext, maxExchangeRecords)}
	for _, domain := range v.follower.State().View().FailureDomains() {
		known, ok := v.table.Domain(domain.Name)
		if ok && newer(mapVersion{Term: known.Term, Version: known.Version}, call.Maps[domain.Name]) {
			reply.Maps = append(reply.Maps, known)
		}
	}
	if status := v.follower.Status(); !status.ConfirmedAt.IsZero() {
		reply.EndNext = status.Position + 1
		reply.EndAge = time.Since(status.ConfirmedAt)
	}
	return reply, nil
}

// newer reports whether version a is newer than b: by term, then by version.
func newer(a, b mapVersion) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Version > b.Version
}
