package keylease

import (
	"testing"
	"time"

	"fireflyfield/internal/keyrange"
)

// misreadAcceptance returns fates in which the first grant of a range has no answer and takes
// effect late, and the answer to another call is taken for the acceptance of the second one, which
// is lost: only the acceptance of a confirming grant is sure to be its own.
func misreadAcceptance(r keyrange.Range, applies time.Duration) func(Call) fate {
	grants := 0
	return func(call Call) fate {
		if call.Kind != CallGrant || call.Grant.Range != r {
			return prompt
		}
		grants++
		switch grants {
		case 1:
			return fate{applies: applies, answered: 200 * time.Millisecond, err: errUnanswered}
		case 2:
			return fate{dropped: true, answered: scriptStep, misread: true}
		}
		return prompt
	}
}

// TestLateGrantOfMergedRange guards against two backend servers that hold a key, since a merge
// forgets that an unanswered grant of the upper one of two ranges may still take effect.
func TestLateGrantOfMergedRange(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", lowKeys, highKeys)...)
	s.fate = misreadAcceptance(highKeys, 2*time.Second)
	s.runUntil("merged", 2*time.Second, func() bool { return s.ranges() == 1 })
	s.leave("a", "b")
	s.runFor(6 * time.Second)
	s.runUntil("held by b", 0, s.holds("b", allKeys))
}

// TestUnconfirmedReleaseOfMergedRange guards against the same if the acceptance of that grant was the
// answer to another one, and no later grant reaches the owner before it releases the merged range.
func TestUnconfirmedReleaseOfMergedRange(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", lowKeys, highKeys)...)
	s.fate = firstGrants("a", prompt, notSent, fate{applies: 2500 * time.Millisecond, answered: 2 * scriptStep})
	s.runUntil("merged", time.Second, func() bool { return s.ranges() == 1 })
	s.fate = func(call Call) fate {
		if call.Kind == CallGrant && call.Target.Backend == "a" {
			return notSent
		}
		return prompt
	}
	s.leave("a", "b")
	s.runUntil("held by b", 4*time.Second, s.holds("b", allKeys))
	s.runFor(time.Second)
}

// TestResignationAfterMerge guards against a resignation that states no unanswered grants, since a
// merge forgot those of the upper one of two ranges.
func TestResignationAfterMerge(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", lowKeys, highKeys)...)
	s.fate = misreadAcceptance(highKeys, 2*time.Second)
	s.runUntil("merged", 2*time.Second, func() bool { return s.ranges() == 1 })
	if !s.core.HasUncertainGrants(s.now) {
		t.Error("the merged range has no unanswered grant")
	}
}

// TestLeaseOfMergedRange guards against two backend servers that hold a key, since the lease of
// the upper one of two merged ranges ends after that of the lower one.
func TestLeaseOfMergedRange(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", lowKeys, highKeys)...)
	s.fate = func(call Call) fate {
		if call.Kind == CallGrant && call.Grant.Range == highKeys {
			return fate{arrives: 600 * time.Millisecond, answered: 610 * time.Millisecond}
		}
		return prompt
	}
	s.runUntil("merged", time.Second, func() bool { return s.ranges() == 1 })
	s.fate = func(call Call) fate {
		if call.Target.Backend == "a" { // is not reached any more
			return notSent
		}
		return prompt
	}
	s.list("b").Usable = true
	s.runUntil("held by b", RangeLeaseDuration+500*time.Millisecond, s.holds("b", allKeys))
}

// TestTokenOfMergedRange guards against a key that another process of its owner gets with a lower
// token, since two ranges are merged that were granted to different processes.
func TestTokenOfMergedRange(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", lowKeys, highKeys)...)
	s.fate = func(call Call) fate {
		if call.Grant.Range == lowKeys && s.now < 200*time.Millisecond {
			return notSent
		}
		return prompt
	}
	s.runFor(200 * time.Millisecond)
	s.restart("a", "a")
	s.runUntil("held by a", 2*time.Second, s.holds("a", allKeys))
	s.runUntil("merged", 0, func() bool { return s.ranges() == 1 })
}

// TestMergeBesideRenewal guards against two backend servers that hold a key, since a range is merged
// while a renewal of it is in flight, which takes effect late.
func TestMergeBesideRenewal(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", lowKeys, highKeys)...)
	renewal := fate{applies: 2500 * time.Millisecond, answered: grantTimeout, err: errUnanswered}
	s.fate = func(call Call) fate {
		switch {
		case call.Grant.Range == lowKeys && s.now < 1100*time.Millisecond:
			return notSent
		case call.Grant.Range == highKeys && call.Grant.Renewal:
			return renewal
		}
		return prompt
	}
	s.runFor(1200 * time.Millisecond)
	s.runUntil("granted", 300*time.Millisecond, s.holds("a", lowKeys))
	s.runFor(scriptStep) // reads the answer
	s.leave("a", "b")
	s.runFor(8 * time.Second)
	s.runUntil("held by b", 0, s.holds("b", allKeys))
}

// TestRestartAfterEntryWithoutStart guards against keys that stay with a process that the catalogue
// shows as ended, since their range was merged with one whose owner's start is not known.
func TestRestartAfterEntryWithoutStart(t *testing.T) {
	entries := ownedBy("a", lowKeys, highKeys)
	entries[0].Started = 0
	s := newScript(t, Predecessor{Resigned: true}, entries...)
	s.runFor(500 * time.Millisecond)
	s.restart("a", "a")
	s.list("a").Started = 2
	s.list("b").Usable = true
	s.weight[0] = 1 // no plan moves keys
	s.runUntil("held by b", 500*time.Millisecond, s.holds("b", highKeys))
}
