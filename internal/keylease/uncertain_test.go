package keylease

import (
	"testing"
	"time"
)

// TestLateGrantOfSplitRange guards against two backend servers that hold a key, since the pieces
// of a range are taken to have no unanswered grant that may still take effect.
func TestLateGrantOfSplitRange(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.fate = misreadAcceptance(allKeys, 1200*time.Millisecond)
	s.runFor(800 * time.Millisecond)
	s.list("b").Usable = true
	s.addLoad(10)
	s.runUntil("split", time.Second, func() bool { return s.ranges() > 1 })
	s.runFor(6 * time.Second)
}

// TestUnconfirmedReleaseOfSplitRange guards against the same if the acceptance of that grant was the
// answer to another one, and the owner releases a piece without a grant on a connection of its own.
func TestUnconfirmedReleaseOfSplitRange(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	late := firstGrants("a", fate{applies: 2500 * time.Millisecond, answered: 2 * scriptStep})
	s.fate = func(call Call) fate {
		if call.Grant.Confirm {
			return notSent
		}
		return late(call)
	}
	s.runFor(800 * time.Millisecond)
	s.list("b").Usable = true
	s.addLoad(10)
	s.runUntil("split", time.Second, func() bool { return s.ranges() > 1 })
	s.runFor(6 * time.Second)
}

// TestUncertainGrantOfEndedProcess guards against keys that stay without an owner, since a grant to
// the last owner but one is taken to take effect after its process has ended.
func TestUncertainGrantOfEndedProcess(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.fate = func(call Call) fate {
		if s.now < 100*time.Millisecond {
			return unanswered
		}
		return prompt
	}
	s.runFor(100 * time.Millisecond)
	s.restart("a", "other")
	s.list("b").Usable = true
	s.runUntil("held by b", 2*time.Second, s.holds("b", lowKeys))
	s.list("a").Usable = false
	s.leave("b", "c")
	s.runUntil("held by c", 500*time.Millisecond, s.holds("c", allKeys))
}

// loseGrants returns fates in which grants to a backend server have no effect and no answer.
func loseGrants(to string) func(Call) fate {
	return func(call Call) fate {
		if call.Kind == CallGrant && call.Target.Backend == to {
			return unanswered
		}
		return prompt
	}
}

// firstGrants returns fates of the first grants to a backend server; other calls are prompt.
func firstGrants(to string, fates ...fate) func(Call) fate {
	return func(call Call) fate {
		if call.Kind != CallGrant || call.Target.Backend != to || len(fates) == 0 {
			return prompt
		}
		f := fates[0]
		fates = fates[1:]
		return f
	}
}

// TestGrantBeforeConfirmingGrant guards against two backend servers that hold a key, since a grant
// takes effect late that has the token of the one which made the release final.
func TestGrantBeforeConfirmingGrant(t *testing.T) {
	late := fate{applies: 2 * time.Second, answered: 200 * time.Millisecond, err: errUnanswered}
	for name, fates := range map[string][]fate{
		"unanswered": {late},
		"answered":   {{dropped: true, answered: 200 * time.Millisecond, err: errUnanswered}, {applies: time.Second, answered: scriptStep, misread: true}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
			s.fate = firstGrants("a", fates...)
			s.runUntil("granted", time.Second, func() bool { return len(s.sent) == len(fates) })
			s.runFor(2 * scriptStep)
			s.leave("a", "b")
			s.runFor(6 * time.Second)
			s.runUntil("held by b", 0, s.holds("b", allKeys))
		})
	}
}

// TestConfirmingGrantOfSecondMove guards against keys that stay without an owner, since the owner is
// granted the range once more only before the first of its moves.
func TestConfirmingGrantOfSecondMove(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.fate = firstGrants("a", unanswered)
	s.runFor(1200 * time.Millisecond)
	s.leave("a", "b")
	s.fate = firstGrants("b", unanswered)
	s.runFor(1200 * time.Millisecond)
	s.leave("b", "c")
	s.runUntil("held by c", 500*time.Millisecond, s.holds("c", allKeys))
}

// TestOwnerTakesNoGrant guards against keys that stay without an owner, since a leaving one answers
// releases, but not the grant before.
func TestOwnerTakesNoGrant(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.fate = loseGrants("a")
	s.runFor(time.Second)
	s.leave("a", "b")
	s.runUntil("held by b", 2*grantTimeout+RangeLeaseDuration+holdMargin, s.holds("b", allKeys))
}

// TestMoveOfConfirmedRange guards against keys that are without an owner for longer than it takes to
// grant them once more, to release, record and grant them.
func TestMoveOfConfirmedRange(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.runFor(500 * time.Millisecond)
	s.leave("a", "b")
	s.runUntil("held by b", 150*time.Millisecond, s.holds("b", allKeys))
}

// TestPredecessorRenewsAfterLostGrants guards against two backend servers that hold a key: the first
// grants after a claim have no effect, and the predecessor renews the lease once more after that.
func TestPredecessorRenewsAfterLostGrants(t *testing.T) {
	const callsUntil = 2 * time.Second
	for name, first := range map[string]fate{
		"unanswered": unanswered,
		"answered":   {dropped: true, answered: scriptStep, misread: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, Predecessor{CallsUntil: callsUntil}, ownedBy("a", allKeys)...)
			s.at(callsUntil, func() {
				s.grant(s.processes["a"], Grant{Range: allKeys, Fence: 1, Hold: RangeLeaseDuration}, s.now) //nolint:errcheck // may be rejected
			})
			s.fate = func(call Call) fate {
				switch {
				case call.Target.Backend != "a" || call.Kind == CallRelease:
					return prompt
				case s.now == scriptStep:
					return first
				case name == "answered":
					return notSent
				}
				return unanswered
			}
			s.runFor(grantTimeout + 2*scriptStep)
			s.list("b").Usable = true
			s.list("a").Usable = name == "answered"
			s.runFor(8 * time.Second)
			s.runUntil("held by b", 0, s.holds("b", allKeys))
		})
	}
}

// TestUnansweredRenewal guards against two backend servers that hold a key, since the owner, which
// is then no longer reached, has renewed its lease by a call without an answer.
func TestUnansweredRenewal(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.runFor(1900 * time.Millisecond)
	s.fate = firstGrants("a", fate{answered: grantTimeout, err: errUnanswered})
	s.runFor(500 * time.Millisecond)
	s.fate = unreached("a")
	s.list("b").Usable = true
	s.runFor(8 * time.Second)
	s.runUntil("held by b", 0, s.holds("b", allKeys))
}

// TestUnrecordedConfirmingGrant guards against two backend servers that hold a key, since a lease
// holder that is cut off from the log sends a confirming grant with a token that is not recorded,
// and its successor makes a release final with the same token.
func TestUnrecordedConfirmingGrant(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.fate = firstGrants("a", unanswered)
	s.runFor(1200 * time.Millisecond)
	s.leave("a", "b")
	s.logDown = true
	s.fate = firstGrants("a", fate{applies: 2500 * time.Millisecond, answered: grantTimeout, err: errUnanswered})
	s.runFor(ClaimAfter)
	s.claim(0, Predecessor{CallsUntil: s.now + AssignmentLeaseDuration + grantTimeout - ClaimAfter})
	s.fate, s.logDown = nil, false
	s.runFor(8 * time.Second)
	s.runUntil("held by b", 0, s.holds("b", allKeys))
}

// TestAnswerOfEarlierRenewal guards against two backend servers that hold a key, since the owner wrote
// the answer to an earlier renewal once more, before it applied the next one, and was asked for the
// release in between.
func TestAnswerOfEarlierRenewal(t *testing.T) {
	const late = 1500 * time.Millisecond
	for _, resigned := range []bool{true, false} {
		s := newScript(t, Predecessor{Resigned: resigned}, ownedBy("a", allKeys)...)
		left := false
		s.fate = func(call Call) fate {
			if left || !call.Grant.Renewal {
				return prompt
			}
			left = true
			s.leave("a", "b")
			return fate{applies: late, answered: 2 * scriptStep}
		}
		s.runUntil("held by b", 8*time.Second, s.holds("b", allKeys))
		s.runFor(late)
	}
}

// TestRenewalBeforeResignation guards against the same if the lease holder resigns in between, and the
// owner is asked for the release by another one.
func TestRenewalBeforeResignation(t *testing.T) {
	const late = 1500 * time.Millisecond
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	renewals := 0
	s.fate = func(call Call) fate {
		if !call.Grant.Renewal {
			return prompt
		}
		if renewals++; renewals < 2 {
			return prompt
		}
		return fate{applies: late, answered: 2 * scriptStep}
	}
	s.runUntil("renewed twice", 4*time.Second, func() bool { return renewals == 2 })
	s.fate = nil
	s.runFor(2 * scriptStep)
	s.leave("a", "b")
	s.claim(0, Predecessor{Resigned: true, CallsUntil: s.now})
	s.runUntil("held by b", 8*time.Second, s.holds("b", allKeys))
	s.runFor(late)
}
