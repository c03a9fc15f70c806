package keylease

import (
	"testing"
	"time"

	"fireflyfield/internal/keyrange"
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

// TestConfirmationHasNewToken guards against two processes with the same token: a range began to move
// while its first grant by a new lease holder was in flight, which was accepted, and the grant before
// the release repeated its token to a process that started since.
func TestConfirmationHasNewToken(t *testing.T) {
	recorded := &keyrange.Assignment{Fence: 5, Services: map[string][]keyrange.Entry{
		"s": {{Range: keyrange.Range{Last: keyrange.MaxKey}, Backend: "b", Address: "b", Started: 1, Fence: 5}},
	}}
	in := Input{Weight: noWeight, Servers: map[string][]Server{"s": {
		{ID: "b", Address: "b", Started: 1, Usable: true, Capacity: 1}, {ID: "c", Address: "c", Started: 2, Usable: true, Capacity: 1},
	}}}
	now := time.Minute
	c := NewCore("vm", recorded, 0, now, Predecessor{CallsUntil: now + AssignmentLeaseDuration})
	first := c.Step(now, in)
	in.Servers["s"][0].Usable = false
	c.Step(now, in) // the range begins to move
	c.HandleResult(first[0], "", nil, now)
	var confirm []Call
	for range 2 {
		c.SetAccepted(c.Version())
		confirm = append(confirm, c.Step(now, in)...)
	}
	if len(confirm) != 1 || !confirm[0].Grant.Confirm || confirm[0].Grant.Fence <= first[0].Grant.Fence {
		t.Errorf("after a grant with token %d was accepted, the calls before the release are %+v", first[0].Grant.Fence, confirm)
	}
}
