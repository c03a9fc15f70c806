package quota

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// newTestKeeper returns a keeper in term 2 with a burst of 8 and a lease of 3 s.
func newTestKeeper(vms, domains []string) *Keeper {
	return NewKeeper(KeeperConfig{
		Workspace: "w", Domain: "d", Term: 2, Limit: Limit{Rate: 8, Burst: 8}, VMs: vms, Domains: domains,
		LeaseUntil: simStart.Add(3 * time.Second), Policy: DefaultPolicy,
	}, simStart)
}

// syncOf returns a sync of the VM that asks for 20 tokens and needs none.
func syncOf(vm string, seq uint64, batches ...BatchState) Sync {
	return Sync{Workspace: "w", Holder: vm, Instance: 1, Term: 2, Seq: seq, Want: 20, Complete: true, Batches: batches}
}

// grantedTokens returns the number of tokens granted in all replies.
func grantedTokens(out []Envelope) int64 {
	var sum int64
	for _, e := range out {
		if e.Reply != nil {
			sum += e.Reply.tokens()
		}
	}
	return sum
}

// Guards against a paused keeper that lends after its lease has ended and its successor
// has started.
func TestKeeperWithoutLeaseLendsNothing(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper(nil, nil)
	is.True(grantedTokens(k.HandleSync(syncOf("vm0", 1), simStart.Add(2999*time.Millisecond))) > 0)
	is.Equal(grantedTokens(k.HandleSync(syncOf("vm1", 1), simStart.Add(3*time.Second))), int64(0))
}

// Guards against a new keeper that lends tokens which a silent VM still has, and
// against a VM that has more tokens than a new keeper assumes.
func TestNewKeeperLeavesRoomForSilentHolders(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper([]string{"vm0", "vm1", "vm2"}, nil)
	is.Equal(grantedTokens(k.HandleSync(syncOf("vm0", 1), simStart.Add(1900*time.Millisecond))), int64(0)) // two VMs are silent
	k.HandleSync(syncOf("vm1", 1), simStart.Add(1910*time.Millisecond))
	k.advance(simStart.Add(2049 * time.Millisecond))
	is.True(k.bucket.level+float64(k.bucket.lent) <= 4) // one VM is silent: half of the burst is assumed lent
	k.advance(simStart.Add(3 * time.Second))
	is.True(k.bucket.level+float64(k.bucket.lent) > 7) // all batches of the previous keeper have expired
	k.HandleSync(syncOf("vm2", 1), simStart.Add(2999*time.Millisecond))
	k.HandleSync(syncOf("vm2", 2), simStart.Add(2999*time.Millisecond))
	is.True(k.lentTo["vm2"] <= 4)
}

// Guards against a new keeper that doesn't count the reported tokens of its predecessor
// as lent, or returns them to its own bucket, which they may not come from.
func TestInheritedTokensCountAndDoNotReturn(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper([]string{"vm0"}, nil)
	id := BatchID{Term: 1, Seq: 9}
	now := simStart.Add(time.Millisecond)
	k.HandleSync(syncOf("vm0", 10, BatchState{ID: id, Tokens: 5, Spent: 2}), now)
	is.Equal(k.bucket.lent, int64(3))
	before := k.bucket.level
	k.HandleSync(syncOf("vm0", 11, BatchState{ID: id, Tokens: 5, Spent: 2, Returned: 3}), now)
	is.Equal(k.bucket.lent, int64(0))
	is.True(k.bucket.level <= before)
}

// Guards against accruing tokens for the time before an expiry into the capacity that
// the expiry frees.
func TestExpiryDoesNotAccrueBackwards(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper(nil, nil)
	k.advance(simStart.Add(time.Second))
	for _, vm := range []string{"vm0", "vm1"} {
		sync := syncOf(vm, 1)
		sync.Need = 4
		k.HandleSync(sync, simStart.Add(time.Second))
	}
	lent := k.bucket.lent
	expiry := simStart.Add(time.Second + BatchLifetime + ClockMargin)
	k.advance(expiry.Add(time.Millisecond))
	is.True(lent >= 6)
	is.True(k.bucket.level <= float64(8-lent)+0.01)
}

// Guards against a holder that spends after the batch has expired at the keeper because
// the reply was slow: the lifetime counts from the sending of the sync.
func TestHolderExpiryCountsFromSending(t *testing.T) {
	is := is.New(t)
	h := NewHolder("vm0", "d", 1, PlainPolicy)
	h.Take("w", simStart)
	out, _ := h.Poll(simStart)
	reply := Reply{Workspace: "w", Seq: out[0].Sync.Seq, Grants: []Grant{{Tokens: 5, Lifetime: BatchLifetime}}}
	h.HandleReply(reply, simStart.Add(400*time.Millisecond))
	is.Equal(h.Take("w", simStart.Add(BatchLifetime-1)).Outcome, Granted)
	is.Equal(h.Take("w", simStart.Add(BatchLifetime)).Outcome, Refused)
}

// Guards against tokens from the previous keeper that arrive after the holder has
// reported its batches to the new one.
func TestHolderIgnoresFormerKeeper(t *testing.T) {
	is := is.New(t)
	h := NewHolder("vm0", "d", 1, PlainPolicy)
	h.HandleAsk(Ask{Workspace: "w", Domain: "d", Term: 1}, simStart)
	h.Take("w", simStart)
	out, _ := h.Poll(simStart)
	h.HandleAsk(Ask{Workspace: "w", Domain: "d", Term: 2}, simStart)
	h.Poll(simStart)
	reply := Reply{Workspace: "w", Term: 1, Seq: out[0].Sync.Seq, Grants: []Grant{{Tokens: 5, Lifetime: BatchLifetime}}}
	h.HandleReply(reply, simStart)
	is.Equal(h.Take("w", simStart).Outcome, Refused)
	next := h.workspaceState("w").borrower.pending
	reply.Seq = next.Seq
	h.HandleReply(reply, simStart) // the pending sync's number with the previous term
	is.Equal(h.Take("w", simStart).Outcome, Refused)
}

// Guards against a new keeper that reports its borrowed tokens as complete while VMs
// may still have tokens that the previous keeper borrowed.
func TestRemoteSyncIsIncompleteDuringRecovery(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper(nil, []string{"other"})
	complete := func(elapsed time.Duration) bool {
		out := k.HandleAsk(Ask{Workspace: "w", Domain: "other", Term: uint64(elapsed)}, simStart.Add(elapsed))
		for _, e := range out {
			if e.Sync != nil {
				return e.Sync.Complete
			}
		}
		t.Fatal("keeper sent no sync in answer to the ask")
		return false
	}
	is.True(!complete(2 * time.Second))
	is.True(complete(2100 * time.Millisecond))
}

// Guards against fields that are lost when a message is encoded and decoded.
func TestMessagesSurviveEncoding(t *testing.T) {
	is := is.New(t)
	sync := syncOf("vm0", 3, BatchState{ID: BatchID{Term: 1, Seq: 2, Part: 1}, Tokens: 4, Spent: 1, Returned: 2})
	reply := Reply{
		Workspace: "w", Domain: "d", Term: 2, Seq: 3, Grants: []Grant{{Tokens: 4, Lifetime: time.Second}},
		RetryAfter: time.Millisecond, ReportInterval: time.Minute,
	}
	data, err := cbor.Marshal(sync)
	is.NoErr(err)
	var gotSync Sync
	is.NoErr(cbor.Unmarshal(data, &gotSync))
	is.Equal(gotSync, sync)
	data, err = cbor.Marshal(reply)
	is.NoErr(err)
	var gotReply Reply
	is.NoErr(cbor.Unmarshal(data, &gotReply))
	is.Equal(gotReply, reply)
}

// Guards against parts that sum to more than the limit, and against a small burst
// divided into parts that can never be lent.
func TestSplitSumsToTheLimit(t *testing.T) {
	is := is.New(t)
	domains := []string{"plateau", "medina", "pikine", "rufisque"}
	for burst := int64(1); burst < 20; burst++ {
		var sum Limit
		for _, domain := range domains {
			part := Split(Limit{Rate: 12, Burst: burst}, "w", domain, domains)
			is.True((part.Burst == 0) == (part.Rate == 0))
			sum.Burst += part.Burst
			sum.Rate += part.Rate
		}
		is.Equal(sum.Burst, burst)
		is.True(sum.Rate <= 12 && sum.Rate > 11.99)
	}
}
