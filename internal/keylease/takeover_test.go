package keylease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/sharedlog"
)

// newScriptedModel returns a model without random faults in which all keys have owners.
func newScriptedModel(t *testing.T) *model {
	m := newModel(t, 1)
	m.scripted = true
	m.runFor(3 * time.Second)
	return m
}

// runFor runs the model for a time.
func (m *model) runFor(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.step()
	}
}

// TestPredecessorRenewsReleasedRange guards against a range that a new lease holder gives on
// because its owner released it, while the last holder, which is cut off from the log and does
// not know that the owner leaves, has renewed the lease since.
func TestPredecessorRenewsReleasedRange(t *testing.T) {
	for leavesAfter := time.Duration(0); leavesAfter < 4*time.Second; leavesAfter += 200 * time.Millisecond {
		m := newScriptedModel(t)
		m.cutHolder()
		m.runFor(leavesAfter)
		m.servers[0].usable = false
		m.runFor(10 * time.Second)
	}
}

// TestUnconfirmedRelease guards against the same if the owner answers the release, but gets no grant
// of the new holder before it, whose token would make it reject the renewal.
func TestUnconfirmedRelease(t *testing.T) {
	for cutAfter := time.Duration(0); cutAfter < RenewInterval; cutAfter += 100 * time.Millisecond {
		m := newScriptedModel(t)
		m.runFor(cutAfter)
		m.cutHolder()
		m.runFor(ClaimAfter - modelStep)
		m.changeHolder()
		m.holder.lag, m.holder.ungranted = 0, m.servers[0]
		m.servers[0].usable = false
		m.runFor(10 * time.Second)
	}
}

// TestRestartedOwnerHoldsLease guards against a range that is given on when the catalogue shows
// the restart of its owner, although the new process has already got the range by a grant.
func TestRestartedOwnerHoldsLease(t *testing.T) {
	for entryAfter := time.Duration(0); entryAfter < 4*time.Second; entryAfter += 200 * time.Millisecond {
		m := newScriptedModel(t)
		m.addServer()
		m.restart(m.servers[0], entryAfter)
		m.runFor(10 * time.Second)
	}
}

// TestOldEntryOfOwner guards against a range that is given on because an entry of an earlier
// process of its owner, or one without a start time, arrives late.
func TestOldEntryOfOwner(t *testing.T) {
	m := newScriptedModel(t)
	m.addServer()
	m.servers[0].listedStart, m.servers[0].newEntryAt = 0, m.now+time.Second
	m.runFor(10 * time.Second)
}

// TestTakeoverAfterRestart guards against a new lease holder that sends a recorded grant, with
// its token, to a process that has started since under the ID of the owner.
func TestTakeoverAfterRestart(t *testing.T) {
	m := newScriptedModel(t)
	m.cutHolder()
	m.runFor(ClaimAfter - 100*time.Millisecond)
	m.restart(m.servers[0], 4*time.Second)
	m.runFor(10 * time.Second)
}

// TestOwnClaimOfAbandonedLease guards against a VM that takes an abandoned lease for one that
// was resigned, because it reads its own claim, which does not repeat that calls of the last
// holder are unconfirmed, before the answer to its append.
func TestOwnClaimOfAbandonedLease(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	table, log := NewTable(zap.NewNop()), &memoryLog{}
	read := func(a *keyrange.Assignment) {
		content, err := a.Encode()
		is.NoErr(err)
		offset := int64(log.size())
		table.apply(sharedlog.Batch{
			Records: []sharedlog.Record{{Key: keyAssignment, Value: content, Offset: offset}}, Next: offset + 1,
		}, fake.Now(), fake.Now())
	}
	abandoned := &keyrange.Assignment{Unconfirmed: true, Services: map[string][]keyrange.Entry{
		"s": {{Range: keyrange.Range{Last: keyrange.MaxKey}, Backend: "a", Address: "a", Started: 1, Fence: 1}},
	}}
	read(abandoned)
	_, err := log.Append(t.Context(), "lease", []sharedlog.Record{{Key: keyAssignment}}, sharedlog.AnyEnd)
	is.NoErr(err)
	l := NewLessor(LessorOptions{
		Log: log, Clock: fake, Table: table, Instance: "second", Logger: zap.NewNop(),
		ConfigKnown: func() bool { return true }, Preferred: func() bool { return true },
		OnHeartbeat: func([]byte) {}, OnMembers: func([]byte) {}, OnLeaseChange: func(bool) {},
	})
	l.appendResults = make(chan appendResult, 1)
	l.claimIfFree(t.Context(), fake.Now())
	fake.Time += maxClaimJitter
	l.claimIfFree(t.Context(), fake.Now())
	result := <-l.appendResults
	is.NoErr(result.err)
	claimed := abandoned.Clone()
	claimed.Holder, claimed.Unconfirmed = "second", false
	read(claimed)
	l.finishClaim(result)
	is.True(l.lease.core.HasUncertainGrants(fake.Now() + grantTimeout))
}

// TestKeysOfLeavingOwnerAtTakeover guards against keys without an owner for seconds, because the
// owner leaves while the lease holder is cut off from the log, or after a grant without an answer.
func TestKeysOfLeavingOwnerAtTakeover(t *testing.T) {
	const limit = 500 * time.Millisecond // of the release, the new grant and their records
	for name, before := range map[string]func(m *model){
		"takeover": func(m *model) {
			m.cutHolder()
			m.runFor(ClaimAfter)
		},
		"unanswered grants": func(m *model) {
			m.loseAnswers = true
			m.runFor(RenewInterval + grantTimeout)
			m.loseAnswers = false
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newScriptedModel(t)
			before(m)
			m.servers[0].usable = false
			m.runFor(m.holder.lag)
			var without time.Duration
			for end := m.now + 8*time.Second; m.now < end; {
				m.step()
				if m.heldKeys() <= keyrange.MaxKey {
					without += modelStep
				}
			}
			if len(m.servers[0].leases) > 0 || without > limit {
				t.Errorf("keys were without an owner for %s, %s are allowed; the leaving server holds %d ranges", without, limit, len(m.servers[0].leases))
			}
		})
	}
}

// TestKeysOfLostOwnerAtTakeover guards against keys that stay without an owner for longer than
// leases by the last lease holder can run, because its successor counts them from its own claim.
func TestKeysOfLostOwnerAtTakeover(t *testing.T) {
	const limit = AssignmentLeaseDuration + grantTimeout + RangeLeaseDuration + holdMargin + 100*time.Millisecond
	m := newScriptedModel(t)
	m.cutHolder()
	cutAt := m.now
	m.servers[0].end()
	m.servers[0].listed = false
	for end := m.now + 10*time.Second; m.now < end && m.heldKeys() <= keyrange.MaxKey; {
		m.step()
	}
	if without := m.now - cutAt; without > limit {
		t.Errorf("keys were without an owner for %s, %s are allowed", without, limit)
	}
}
