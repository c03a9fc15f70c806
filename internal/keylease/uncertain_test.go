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
	for part := range 100 {
		s.weight[part] = 10
	}
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
