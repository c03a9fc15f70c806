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
	// exchangeInterval is the time between two exchanges with another VM. A domain
	// map that was missed arrives after a few of them.
	exchangeInterval = 250 * time.Millisecond
	// exchangeRecords bounds the configuration records of one answer.
	exchangeRecords = 256
)

// mapVersion orders the domain maps of one failure domain.
type mapVersion struct {
	Term    ownership.Term `cbor:"1,keyasint"`
	Version uint64         `cbor:"2,keyasint"`
}

// exchangeCall says what the caller knows.
type exchangeCall struct {
	Maps map[string]mapVersion `cbor:"1,keyasint"`
	// ConfigNext is the offset of the next configuration record.
	ConfigNext uint64 `cbor:"2,keyasint"`
}

// exchangeReply holds what the answering VM knows beyond that.
type exchangeReply struct {
	Maps    []ownership.DomainMap `cbor:"1,keyasint,omitempty"`
	Records []platform.Record     `cbor:"2,keyasint,omitempty"`
	// EndAge is the time since a read of the log found the end of the configuration
	// stream at EndNext; EndNext is zero if there was none.
	EndNext uint64        `cbor:"3,keyasint,omitempty"`
	EndAge  time.Duration `cbor:"4,keyasint,omitempty"`
}

// exchange asks a random VM for what this one has missed, until the context ends.
// Domain maps reach VMs that the publisher did not, and configuration reaches VMs
// that are cut off from the platform.
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
	others := v.fleet.except(v.options.Name)
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
	sent := time.Now()
	var reply exchangeReply
	if _, err := v.calls.Call(ctx, other.PeerAddress, messageExchange, call, &reply); err != nil {
		return
	}
	v.take(reply, sent)
}

func (v *VM) take(reply exchangeReply, sent time.Time) {
	for _, published := range reply.Maps {
		v.acceptMap(published)
	}
	if _, err := v.follower.ApplyRelayed(reply.Records); err != nil {
		return // a gap; the next exchange asks again from the position
	}
	if reply.EndNext > 0 {
		v.follower.ConfirmEnd(reply.EndNext, sent.Add(-reply.EndAge))
	}
}

func (v *VM) onExchange(_ context.Context, _ peer.Identity, call exchangeCall) (exchangeReply, error) {
	reply := exchangeReply{Records: v.follower.RecentRecords(call.ConfigNext, exchangeRecords)}
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

func newer(a, b mapVersion) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Version > b.Version
}
