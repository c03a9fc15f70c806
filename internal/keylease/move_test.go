package keylease

import (
	"testing"
	"time"
)

// unreached returns fates in which a backend server is not reached.
func unreached(id string) func(Call) fate {
	return func(call Call) fate {
		if call.Target.Backend == id {
			return notSent
		}
		return prompt
	}
}

// TestGrantInFlightAtEndOfLease guards against two backend servers that hold a key, since a range is
// given on when its lease has ended, with a grant to its last owner in flight.
func TestGrantInFlightAtEndOfLease(t *testing.T) {
	for name, leaves := range map[string]bool{"leaving": true, "not reached": false} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
			s.runFor(100 * time.Millisecond)
			s.fate = unreached("a")
			s.runFor(2900 * time.Millisecond)
			s.list("b").Usable = true
			s.fate = firstGrants("a", fate{answered: grantTimeout, err: errUnanswered})
			before := len(s.sent)
			s.runUntil("granted again", callRetryInterval+scriptStep, func() bool { return len(s.sent) > before })
			s.list("a").Usable = !leaves
			s.fate = unreached("a")
			s.runFor(8 * time.Second)
			s.runUntil("held by b", 0, s.holds("b", allKeys))
		})
	}
}

// TestReleaseBesideGrant guards against two backend servers that hold a key, since a release is
// answered while a grant to the same backend server is in flight, which takes effect late.
func TestReleaseBesideGrant(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.fate = firstGrants("a", fate{applies: 500 * time.Millisecond, answered: 510 * time.Millisecond})
	s.runFor(100 * time.Millisecond)
	s.leave("a", "b")
	s.runFor(4 * time.Second)
	s.runUntil("held by b", 0, s.holds("b", allKeys))
}

// TestReleaseAfterGrant guards against keys that stay with a leaving backend server, since it
// answers a grant when it begins to leave.
func TestReleaseAfterGrant(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.fate = firstGrants("a", fate{answered: 300 * time.Millisecond})
	s.runFor(200 * time.Millisecond)
	s.leave("a", "b")
	s.runUntil("held by b", 300*time.Millisecond, s.holds("b", allKeys))
}

// TestLeaseOfRejectedGrant guards against keys that stay without an owner, since a grant that
// certainly made no lease is waited for.
func TestLeaseOfRejectedGrant(t *testing.T) {
	for _, err := range []error{ErrNotSent, ErrFenced, ErrSessionLost, ErrRejected} {
		t.Run(err.Error(), func(t *testing.T) {
			s, rejected := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...), false
			s.list("b").Usable = true
			s.fate = func(call Call) fate {
				if f := unreached("a")(call); f == prompt || s.now < 2500*time.Millisecond || rejected {
					return f
				}
				rejected = true
				return fate{dropped: true, answered: scriptStep, err: err}
			}
			s.runUntil("held by b", RangeLeaseDuration+holdMargin+200*time.Millisecond, s.holds("b", allKeys))
		})
	}
}

// TestProcessStartedSinceGrant guards against a key that another process of its owner gets with the
// token of the process before.
func TestProcessStartedSinceGrant(t *testing.T) {
	for name, first := range map[string]fate{
		"accepted":   prompt,
		"unanswered": {answered: grantTimeout, err: errUnanswered},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
			s.fate = firstGrants("a", first)
			s.runFor(500 * time.Millisecond)
			s.restart("a", "a")
			s.runUntil("held by a", time.Second, s.holds("a", allKeys))
		})
	}
}

// TestClaimBeforeAssignmentIsRecorded guards against two backend servers that hold a key, since a
// lease holder that is cut off from the log gives it on before that is recorded, and its successor
// grants it to the recorded owner.
func TestClaimBeforeAssignmentIsRecorded(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.runFor(500 * time.Millisecond)
	s.leave("a", "b")
	s.runFor(2 * scriptStep)
	s.logDown = true
	s.runFor(ClaimAfter)
	s.claim(0, Predecessor{CallsUntil: s.now + AssignmentLeaseDuration + grantTimeout - ClaimAfter})
	s.leave("b", "a")
	s.logDown = false
	s.runFor(8 * time.Second)
	s.runUntil("held by a", 0, s.holds("a", allKeys))
}

// TestSplitBesideCall guards against keys that stay without an owner, since a range is split while
// a call for it is in flight, whose result does not reach the pieces.
func TestSplitBesideCall(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.fate = firstGrants("a", fate{answered: 600 * time.Millisecond}, fate{answered: 600 * time.Millisecond})
	s.runFor(1700 * time.Millisecond) // a renewal is in flight
	s.list("b").Usable = true
	s.addLoad(10)
	if without := s.unownedFor(8 * time.Second); without > 500*time.Millisecond {
		t.Errorf("keys were without an owner for %s", without)
	}
	if s.ranges() < 2 {
		t.Error("no keys have moved")
	}
}

// TestOwnerEndsWhileLeaving guards against keys that stay without an owner, since the backend server
// that is to release them has ended.
func TestOwnerEndsWhileLeaving(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.runFor(500 * time.Millisecond)
	s.end("a")
	s.leave("a", "b")
	s.runUntil("held by b", RangeLeaseDuration+holdMargin, s.holds("b", allKeys))
}

// TestHandoverOfUngrantedRange guards against keys that are slow at their new owner, since the
// handover of the last one is lost when a range is merged or moved before it was granted.
func TestHandoverOfUngrantedRange(t *testing.T) {
	t.Run("merge", func(t *testing.T) {
		s := newScript(t, Predecessor{Resigned: true}, append(ownedBy("b", lowKeys), ownedBy("a", highKeys)...)...)
		s.list("b").Usable = true
		s.weight[0] = 1 // no plan moves keys
		s.runFor(500 * time.Millisecond)
		s.list("a").Usable = false
		s.runFor(2 * time.Second)
		s.runUntil("held by b", 0, s.holds("b", allKeys))
		if s.cold || s.ranges() > 1 {
			t.Errorf("%d ranges, without a handover %v", s.ranges(), s.cold)
		}
	})
	t.Run("move", func(t *testing.T) {
		s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
		s.list("b").Usable = true
		s.addLoad(10)
		s.runUntil("split", 2*time.Second, func() bool { return s.ranges() > 1 })
		released := balanceInterval - scriptStep // at the next plan
		s.fate = func(call Call) fate {
			if call.Kind == CallRelease && call.Target.Backend == "a" {
				return fate{applies: released, answered: released}
			}
			return prompt
		}
		s.runFor(balanceInterval / 2)
		s.list("c").Usable = true
		s.addLoad(20) // more than b is to have
		s.runFor(3 * time.Second)
		if s.cold {
			t.Error("keys went without their handover")
		}
		s.runUntil("more than two ranges", 0, func() bool { return s.ranges() > 2 })
	})
}

// TestMovesJustAfterClaim guards against keys that move, and ranges that are granted anew, just
// after a claim, before the load of the keys is known.
func TestMovesJustAfterClaim(t *testing.T) {
	s := newScript(t, Predecessor{}, ownedBy("a", lowKeys, highKeys)...)
	s.list("b").Usable = true
	for s.now < takeoverSettleTime-scriptStep {
		s.step()
		if held := s.holds("a", allKeys); s.now > 5*scriptStep && !held() || s.ranges() != 2 {
			t.Fatalf("at %s: %d ranges, held by a %v", s.now, s.ranges(), held())
		}
	}
}

// TestUnansweredRelease guards against a key that is given on while its last owner is at work, since
// the answer to the release, which waits for that work, does not come in time.
func TestUnansweredRelease(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.runFor(500 * time.Millisecond)
	s.leave("a", "b")
	s.fate = func(call Call) fate {
		if call.Kind == CallRelease {
			return fate{applies: releaseTimeout + time.Second, answered: releaseTimeout, err: errUnanswered}
		}
		return prompt
	}
	s.runFor(5 * time.Second)
	s.runUntil("held by b", 0, s.holds("b", allKeys))
}
