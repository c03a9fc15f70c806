package keylease

import (
	"testing"
	"time"
)

// TestPredecessorRepeatsGrantAfterRestart guards against a last holder, cut off from the log, that
// repeats a recorded grant which it could not send before, to a process that started since: that
// process does not know the higher token by which the new holder made the release final.
func TestPredecessorRepeatsGrantAfterRestart(t *testing.T) {
	for restartAfter := 100 * time.Millisecond; restartAfter < AssignmentLeaseDuration-ClaimAfter; restartAfter += 100 * time.Millisecond {
		m := newScriptedModel(t)
		w1 := m.servers[0]
		// A renewal has no answer, and the grant with the next token cannot be sent.
		m.loseAnswers = true
		m.runFor(RenewInterval + grantTimeout/2)
		m.loseAnswers = false
		m.holder.unreachable = w1
		m.runFor(grantTimeout/2 + 2*callRetryInterval)
		m.cutHolder()
		m.runFor(ClaimAfter - modelStep)
		first := m.holder
		m.changeHolder()
		m.holder.lag, w1.usable = 0, false
		m.runFor(restartAfter)
		m.restart(w1, 0)
		first.unreachable = nil
		m.runFor(8 * time.Second)
	}
}
