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
