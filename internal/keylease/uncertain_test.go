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
