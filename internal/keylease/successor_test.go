package keylease

import (
	"testing"
	"time"

	"fireflyfield/internal/keyrange"
)

// claim makes another VM claim the lease of the last record, in the given era of the log.
func (s *script) claim(era int64, p Predecessor) {
	s.core, s.recorded = NewCore("next", s.record.Clone(), era, s.now, p), 0
	s.record = s.core.State()
}

// lostGrant makes a process hold all keys by a grant of which a restored log has no record.
func (s *script) lostGrant(id string) {
	if err := s.grant(s.processes[id], Grant{Range: allKeys, Fence: 5000, Hold: RangeLeaseDuration}, s.now); err != nil {
		s.t.Fatal(err)
	}
}

// newRestoredScript returns a script that begins with a claim in a restored log whose copy says
// that a owns all keys, after a resignation. The keys are to go to b.
func newRestoredScript(t *testing.T) *script {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.claim(1, Predecessor{Resigned: true})
	return s
}

// TestTokenAfterRestore guards against a key that goes to another backend server with a lower token
// than its last owner had by a grant that a restored log lacks.
func TestTokenAfterRestore(t *testing.T) {
	s := newRestoredScript(t)
	s.lostGrant("a")
	s.leave("a", "b")
	s.runUntil("held by b", 10*time.Second, s.holds("b", allKeys))
}

// TestOwnerOfRestoredLog guards against two backend servers that hold a key, since the owner in a
// restored log gets it, although the lost part of the log gave it to another one.
func TestOwnerOfRestoredLog(t *testing.T) {
	s := newRestoredScript(t)
	s.lostGrant("b")
	s.runFor(10 * time.Second)
}

// TestLostHolderAfterRestore guards against two backend servers that hold a key, since the holder in
// a restored log had resigned, but one in the lost part of the log still sends grants.
func TestLostHolderAfterRestore(t *testing.T) {
	s := newRestoredScript(t)
	s.leave("a", "b")
	s.at(AssignmentLeaseDuration+grantTimeout, func() { s.lostGrant("a") })
	s.runFor(8 * time.Second)
	s.runUntil("held by b", 0, s.holds("b", allKeys))
}

// TestClaimAfterHolderRecordsAgain guards against keys without an owner for the time of a lease, or
// that two backend servers hold, since a lease holder does not record its state again after a
// restore of the log or over the record of another program.
func TestClaimAfterHolderRecordsAgain(t *testing.T) {
	for name, recordAgain := range map[string]func(s *script) (era int64){
		"restored": func(s *script) int64 {
			s.core.Restored(1)
			return 1
		},
		"overwritten": func(s *script) int64 {
			s.record = &keyrange.Assignment{}
			s.core.Overwritten()
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
			s.runFor(2 * time.Second)
			era := recordAgain(s)
			s.runFor(100 * time.Millisecond)
			s.claim(era, Predecessor{CallsUntil: s.now + AssignmentLeaseDuration + grantTimeout})
			for end := s.now + 8*time.Second; s.now < end; {
				s.runFor(scriptStep)
				s.runUntil("held by a", 0, s.holds("a", allKeys))
			}
		})
	}
}

// TestMoveAfterResignation guards against keys that stay without an owner, since after a resignation
// the release of a leaving owner is taken for uncertain although it has accepted the new token.
func TestMoveAfterResignation(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.leave("a", "b")
	s.runUntil("held by b", 150*time.Millisecond, s.holds("b", allKeys))
}

// TestResignationWithLateGrant guards against two backend servers that hold a key, since a lease
// holder resigns although a grant by it may still take effect, and its successor gives the key on.
func TestResignationWithLateGrant(t *testing.T) {
	for name, answered := range map[string]time.Duration{"in flight": grantTimeout, "unanswered": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
			s.fate = func(Call) fate {
				return fate{applies: 2500 * time.Millisecond, answered: answered, err: errUnanswered}
			}
			s.step()
			s.step() // with the first grant in flight
			s.fate = nil
			first := s.core
			s.stopped = true
			if name == "unanswered" {
				s.runFor(answered)
			}
			s.runUntil("without calls in flight", time.Second, func() bool { return !first.CallsInFlight() })
			p := Predecessor{CallsUntil: s.now, Resigned: !first.HasUncertainGrants(s.now)}
			s.claim(0, p)
			s.stopped = false
			// The successor does not get an answer to a grant before the release.
			s.fate = func(call Call) fate {
				if call.Kind == CallGrant && call.Target.Backend == "a" {
					return notSent
				}
				return prompt
			}
			s.leave("a", "b")
			s.runFor(8 * time.Second)
			s.runUntil("held by b", 0, s.holds("b", allKeys))
		})
	}
}

// TestProcessStartedSinceClaim guards against a key that another process of its owner gets with the
// recorded token of the process before.
func TestProcessStartedSinceClaim(t *testing.T) {
	s := newScript(t, Predecessor{Resigned: true}, ownedBy("a", allKeys)...)
	s.runFor(500 * time.Millisecond)
	s.restart("a", "a")
	s.claim(0, Predecessor{Resigned: true, CallsUntil: s.now})
	s.runUntil("held by a", 500*time.Millisecond, s.holds("a", allKeys))
}
