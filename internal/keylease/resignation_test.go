package keylease

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"fireflyfield/internal/keyrange"
)

// startCall makes the holder's core take a grant for sent, and returns it.
func (s *steppedLessor) startCall() Call {
	s.assignKeys()
	calls := s.lease.core.Step(s.clock.Now(), s.Input())
	s.is.Equal(len(calls), 1)
	return calls[0]
}

// TestResignationBesideCalls guards against a resignation while a call or an append is in flight:
// the successor gives keys on at once.
func TestResignationBesideCalls(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	s.lease.appending = true
	s.resign(t.Context())
	s.is.True(s.lease != nil)
	s.lease.appending = false
	call := s.startCall()
	s.resign(t.Context())
	s.is.True(s.lease != nil)
	s.lease.core.HandleResult(call, "", nil, s.clock.Now())
	s.resign(t.Context())
	s.is.True(s.lease == nil)
	s.is.Equal(s.newest().Holder, "")
	s.is.True(!s.newest().Unconfirmed)
}

// TestResignationWithUncertainGrants guards against a resignation after which the successor gives
// on keys for which a grant without an answer may still take effect.
func TestResignationWithUncertainGrants(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	call := s.startCall()
	s.lease.core.HandleResult(call, "", errors.New("no answer"), s.clock.Now())
	s.resign(t.Context())
	s.is.Equal(s.newest().Holder, "")
	s.is.True(s.newest().Unconfirmed)
}

// TestResignationWithoutLog guards against a holder that stops while it doesn't reach the log and
// gives up the lease, which no other VM can claim then, and against one that keeps it after a
// resignation without an answer, which its successor may have read.
func TestResignationWithoutLog(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	s.log.setDisconnected(true)
	s.pass(HeartbeatInterval)
	s.Stop()
	s.next()
	s.is.True(s.lease != nil)
	s.finish()
	s.log.setDisconnected(false)
	s.pass(appendRetryInterval)
	s.next()
	s.finish()
	s.log.setFaults(false, true)
	s.next()
	s.is.True(s.lease == nil)
	s.is.Equal(s.newest().Holder, "")
}

// TestAbandonment guards against a VM without paths that keeps the lease, states that its calls
// have ended, or gives the lease up beside an append in flight, which may follow its record.
func TestAbandonment(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	s.unfit = true
	s.lease.appending = true
	s.next()
	s.is.True(s.lease != nil)
	s.is.Equal(s.newest().Holder, "first")
	s.lease.appending = false
	s.next()
	s.is.True(s.lease == nil)
	s.is.Equal(s.newest().Holder, "")
	s.is.True(s.newest().Unconfirmed)
}

// TestCallsOfPredecessor guards against a claim that counts calls of the last holder for too
// short, so that two backend servers own a key, or too long, so that keys have no owner.
func TestCallsOfPredecessor(t *testing.T) {
	const later = 100 * time.Millisecond
	for name, c := range map[string]struct {
		last keyrange.Assignment
		want Predecessor // CallsUntil after the record
	}{
		"resigned":       {keyrange.Assignment{}, Predecessor{Resigned: true, CallsUntil: later}},
		"gave up":        {keyrange.Assignment{Unconfirmed: true}, Predecessor{CallsUntil: grantTimeout}},
		"ended":          {keyrange.Assignment{Holder: "first", Address: "second"}, Predecessor{CallsUntil: later + grantTimeout}},
		"silent":         {keyrange.Assignment{Holder: "first", Address: "first"}, Predecessor{CallsUntil: AssignmentLeaseDuration + grantTimeout}},
		"earlier holder": {keyrange.Assignment{Holder: "first", Address: "first", EarlierCalls: 5 * time.Second}, Predecessor{CallsUntil: 5 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &memoryLog{}
			log.write(encode(t, c.last))
			s := newStepped(t, log, "second")
			recordAt := s.clock.Now()
			s.read()
			s.pass(later)
			c.want.CallsUntil += recordAt
			is.Equal(s.predecessor(s.Table.Current(), s.clock.Now()), c.want)
		})
	}
	s := newStepped(t, &memoryLog{}, "second")
	s.is.Equal(s.predecessor(nil, s.clock.Now()), Predecessor{Resigned: true, CallsUntil: s.clock.Now()})
}

// TestLateCall guards against a call that is sent when another VM may have given the range on, and
// against one that is given up although the lease holds.
func TestLateCall(t *testing.T) {
	is := is.New(t)
	const renewedAt = time.Hour
	grant, renewal, release := Call{}, Call{Grant: Grant{Renewal: true}}, Call{Kind: CallRelease}
	early, late := renewedAt+100*time.Millisecond, renewedAt+AssignmentLeaseDuration-time.Millisecond
	for _, call := range []*Call{&grant, &renewal, &release} {
		is.Equal(sendBy(call, renewedAt, early), early+grantTimeout)
	}
	is.Equal(sendBy(&grant, renewedAt, late), renewedAt+ClaimAfter)
	is.Equal(sendBy(&renewal, renewedAt, late), renewedAt+AssignmentLeaseDuration)
	is.Equal(sendBy(&release, renewedAt, late), renewedAt+AssignmentLeaseDuration)
}

// TestCallWithoutLease guards against a call by a VM whose lease has ended, or that does not know
// the configuration: another VM may have given the range on.
func TestCallWithoutLease(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	s.assignKeys()
	s.lease.appending = true
	s.configKnown = false
	s.next()
	s.is.True(!s.lease.core.CallsInFlight())
	s.configKnown = true
	s.lease.renewedAt = s.clock.Now() - AssignmentLeaseDuration
	s.next()
	s.is.True(!s.lease.core.CallsInFlight())
	s.lease.renewedAt++
	s.next()
	s.is.True(s.lease.core.CallsInFlight())
	<-s.sent
}

// TestResultOfEarlierLease guards against the result of a call of an earlier lease that changes
// the ranges of the present one, for which it was counted already.
func TestResultOfEarlierLease(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	r := callResult{call: s.startCall(), err: errors.New("no answer"), lease: s.lease}
	core := NewCore("first", s.lease.core.State(), 0, s.clock.Now(), Predecessor{Resigned: true})
	s.lease = &leaseState{core: core}
	s.finishCall(r)
	s.is.True(!core.HasUncertainGrants(s.clock.Now()))
	s.is.Equal(s.lease.newGrants, 0) // none that the present lease has sent
	s.lease = r.lease
	s.finishCall(r)
	s.is.True(s.lease.core.HasUncertainGrants(s.clock.Now()))
}

// TestRecordLacksEarlierCalls guards against a record of a new holder that does not state for how
// long calls of the holders before it may arrive, or where it is reached.
func TestRecordLacksEarlierCalls(t *testing.T) {
	s, _ := newMember(t)
	s.pass(silenceLimit)
	s.read()
	s.next()
	s.finish()
	s.is.Equal(s.newest().EarlierCalls, AssignmentLeaseDuration+grantTimeout-silenceLimit)
	s.is.Equal(s.newest().Address, "second")
}

// TestResignationAfterResignation guards against a lease holder that took over from one which had
// resigned, resigns soon after, and states unanswered grants that nobody has sent: its successor moves
// no range for balance for seconds.
func TestResignationAfterResignation(t *testing.T) {
	now := time.Minute
	recorded := &keyrange.Assignment{Fence: 100, Services: map[string][]keyrange.Entry{"s": ownedBy("a", allKeys)}}
	c := NewCore("vm", recorded, 0, now, Predecessor{Resigned: true, CallsUntil: now})
	if c.HasUncertainGrants(now + scriptStep) {
		t.Error("a claim after a resignation has unanswered grants")
	}
}

// TestResignationAfterSilentPredecessor guards against a resignation that states no unanswered grants
// while a silent predecessor may still send some, since an unanswered grant after the claim ends earlier.
func TestResignationAfterSilentPredecessor(t *testing.T) {
	const callsUntil = 2 * time.Second
	s := newScript(t, Predecessor{CallsUntil: callsUntil}, ownedBy("a", allKeys)...)
	s.fate = firstGrants("a", unanswered)
	s.runUntil("answered", 4*time.Second, func() bool { return len(s.sent) > 1 })
	if !s.core.HasUncertainGrants(callsUntil + RangeLeaseDuration) {
		t.Error("the grants of the predecessor no longer count")
	}
}

// TestResignationAfterConfirmingGrant guards against a resignation that states unanswered grants although
// their owner has accepted a confirming grant since, so that its successor balances no load for seconds.
func TestResignationAfterConfirmingGrant(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.fate = firstGrants("a", unanswered)
	s.runUntil("answered", time.Second, func() bool { return s.core.HasUncertainGrants(s.now) })
	s.leave("a", "b")
	s.runUntil("held by b", time.Second, s.holds("b", allKeys))
	s.runFor(2 * scriptStep)
	if s.core.HasUncertainGrants(s.now) {
		t.Error("the grants before the confirming one still count")
	}
}
