package keylease

import (
	"testing"
	"time"

	"fireflyfield/internal/directory"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/sharedlog"
)

// silenceLimit is above the time after which any VM claims the lease of a silent holder.
const silenceLimit = ClaimAfter + maxClaimJitter

// newMember returns a lessor that has read a topic with the claim of another VM.
func newMember(t *testing.T) (*steppedLessor, *memoryLog) {
	log := &memoryLog{}
	log.write(encode(t, keyrange.Assignment{Holder: "first", Address: "first"}))
	s := newStepped(t, log, "second")
	s.read()
	return s, log
}

// expectClaim makes a step and checks whether it claims the lease.
func (s *steppedLessor) expectClaim(want bool, when string) {
	s.t.Helper()
	s.next()
	if s.claiming != want {
		s.t.Errorf("%s: claims the lease: %t, want %t", when, s.claiming, want)
	}
}

// TestClaimOfLiveHolder guards against a VM that claims the lease of a holder that writes, or
// whose silence no read has confirmed, and against one that never claims.
func TestClaimOfLiveHolder(t *testing.T) {
	s, log := newMember(t)
	for range 5 {
		s.pass(HeartbeatInterval)
		log.write(sharedlog.Record{Key: keyHeartbeat})
		s.read()
		s.expectClaim(false, "beside heartbeats")
	}
	s.pass(silenceLimit / 2)
	s.read()
	s.pass(silenceLimit / 2)
	s.expectClaim(false, "without a read")
	sentAt := s.clock.Now() - 300*time.Millisecond
	s.readSentAt(sentAt)
	s.expectClaim(false, "with a read that was sent before")
	s.read()
	s.Follower().Deliver(sharedlog.Batch{Next: int64(log.size())}, directory.BatchInfo{ConfirmedAt: -time.Hour}) // of a failed read
	s.expectClaim(true, "after silence")
}

// TestClaimAfterEndOfHolder guards against a process that waits for the silence of the one before
// at its address.
func TestClaimAfterEndOfHolder(t *testing.T) {
	log := &memoryLog{}
	log.write(encode(t, keyrange.Assignment{Holder: "first", Address: "second"}))
	s := newStepped(t, log, "second")
	s.read()
	s.expectClaim(true, "at the address of the holder")
}

// TestClaimsOfVacantLeaseCollide guards against all VMs claiming a vacant lease at once, and
// against one that waits for silence.
func TestClaimsOfVacantLeaseCollide(t *testing.T) {
	s, log := newMember(t)
	for range 2 {
		log.write(encode(t, keyrange.Assignment{}))
		s.read()
		s.expectClaim(false, "vacant")
		s.pass(s.claimJitter() - time.Millisecond)
		s.expectClaim(false, "vacant for less than the delay")
		log.write(encode(t, keyrange.Assignment{Holder: "third", Address: "third"}))
		s.read()
		s.expectClaim(false, "claimed by another VM")
	}
	log.write(encode(t, keyrange.Assignment{}))
	s.read()
	s.expectClaim(false, "vacant")
	s.pass(maxClaimJitter)
	s.expectClaim(true, "vacant for long")
}

// TestClaimAtOutdatedEnd guards against a VM that lost the lease to another one and claims it at
// an end of the topic from before that, since its table still has its own claim.
func TestClaimAtOutdatedEnd(t *testing.T) {
	log := &memoryLog{}
	s := startHolder(t, log, "first")
	log.write(encode(t, keyrange.Assignment{Holder: "second", Address: "second"}))
	s.next()
	s.finish()
	s.is.True(s.lease == nil)
	s.expectClaim(false, "before the claim of the other VM is read")
	s.read()
	s.pass(silenceLimit)
	s.read()
	s.expectClaim(true, "after silence of the other VM")
}

// TestClaimOfUnreadTopic guards against a VM that claims the lease before it has read the topic.
func TestClaimOfUnreadTopic(t *testing.T) {
	s := newStepped(t, &memoryLog{}, "first")
	s.expectClaim(false, "at the start")
	s.pass(silenceLimit)
	s.expectClaim(false, "before a read")
	s.read()
	s.expectClaim(false, "vacant")
	s.pass(maxClaimJitter)
	s.expectClaim(true, "vacant for long")
}

// TestClaimOverUnreadableAssignment guards against a VM that claims a lease whose assignment it
// cannot decode, so that it would grant keys that others hold, and against one that does not
// claim it over the record of another program or after a later assignment.
func TestClaimOverUnreadableAssignment(t *testing.T) {
	first := encode(t, keyrange.Assignment{Holder: "first", Address: "first"})
	for name, c := range map[string]struct {
		records []sharedlog.Record
		claims  bool
	}{
		"odd and none known":    {[]sharedlog.Record{{Key: keyAssignment, Value: []byte("odd")}}, false},
		"other format":          {[]sharedlog.Record{first, {Key: keyAssignment, Value: []byte(otherFormat)}}, false},
		"odd beside a known":    {[]sharedlog.Record{first, {Key: keyAssignment, Value: []byte("odd")}}, true},
		"later after odd":       {[]sharedlog.Record{{Key: keyAssignment, Value: []byte("odd")}, first}, true},
		"later of other format": {[]sharedlog.Record{{Key: keyAssignment, Value: []byte(otherFormat)}, first}, true},
	} {
		t.Run(name, func(t *testing.T) {
			log := &memoryLog{}
			log.write(c.records...)
			s := newStepped(t, log, "second")
			s.read()
			s.next()
			s.pass(silenceLimit)
			s.read()
			s.expectClaim(c.claims, name)
		})
	}
}

// TestClaimByUnableVM guards against a claim by a VM that has no configuration, stops or reaches
// no backend server: keys would get no leases.
func TestClaimByUnableVM(t *testing.T) {
	for name, change := range map[string]func(s *steppedLessor){
		"no configuration": func(s *steppedLessor) { s.configKnown = false },
		"stops":            func(s *steppedLessor) { s.Stop() },
		"no paths":         func(s *steppedLessor) { s.unfit = true },
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newMember(t)
			change(s)
			s.pass(silenceLimit)
			s.read()
			s.expectClaim(false, name)
		})
	}
}

// TestRepeatedClaim guards against a second claim while one is in flight.
func TestRepeatedClaim(t *testing.T) {
	s, _ := newMember(t)
	s.pass(silenceLimit)
	s.read()
	s.next()
	s.next()
	s.is.Equal(s.claims(), 1)
}

// TestFailedClaim guards against a VM that takes the lease although its claim has no answer and
// no read has found it.
func TestFailedClaim(t *testing.T) {
	s, _ := newMember(t)
	s.pass(silenceLimit)
	s.read()
	s.log.setDisconnected(true)
	s.next()
	s.finish()
	s.is.True(s.lease == nil)
	s.log.setDisconnected(false)
	s.next()
	s.finish()
	s.is.True(s.lease != nil)
}

// TestClaimOfRestoredEmptyTopic guards against keys that are granted although the log was
// restored from a copy without the lease, and owners by the lost records still hold them.
func TestClaimOfRestoredEmptyTopic(t *testing.T) {
	for _, first := range []bool{false, true} {
		log := &memoryLog{era: 1}
		s := newStepped(t, log, "first")
		s.FirstStart = first
		s.read()
		s.next()
		s.pass(maxClaimJitter)
		s.next()
		s.finish()
		s.assignKeys()
		s.is.Equal(len(s.lease.core.State().Services["s"]) > 0, first)
	}
}

// overwriteNext makes a step whose append is executed without an answer, and another program write
// over it before the read.
func overwriteNext(s *steppedLessor) {
	s.log.setFaults(false, true)
	s.next()
	a := <-s.appendResults
	s.log.setFaults(false, false)
	s.log.write(sharedlog.Record{Key: keyAssignment, Value: []byte("odd")})
	a.err, a.readBack = errUnreachable, false
	s.readBack(s.t.Context(), &a)
	s.finishAppend(a)
}

// TestOverwrittenAssignment guards against a lease of which the newest record is that of another
// program: VMs that start then never learn the holder.
func TestOverwrittenAssignment(t *testing.T) {
	t.Run("claim", func(t *testing.T) {
		s, _ := newMember(t)
		s.pass(silenceLimit)
		s.read()
		overwriteNext(s)
		s.is.True(s.lease != nil)
		s.next()
		s.finish()
		s.is.Equal(s.newest().Holder, "second")
	})
	t.Run("heartbeat", func(t *testing.T) {
		s := startHolder(t, &memoryLog{}, "first")
		overwriteNext(s)
		s.pass(HeartbeatInterval)
		s.next()
		s.finish()
		s.is.Equal(s.newest().Holder, "first")
	})
}

// TestClaimAfterOwnAbandonment guards against a VM that gave up the lease and claims it again
// before all others, since the lease was vacant when it claimed it first.
func TestClaimAfterOwnAbandonment(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	s.unfit = true
	s.next()
	s.is.True(s.lease == nil)
	s.unfit = false
	s.read()
	s.expectClaim(false, "vacant")
	s.pass(maxClaimJitter)
	s.expectClaim(true, "vacant for long")
}
