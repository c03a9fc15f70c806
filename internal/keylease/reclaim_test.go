package keylease

import (
	"testing"

	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/sharedlog"
)

// startRestored returns a holder whose log was restored to its claim, and that has read it.
func startRestored(t *testing.T) (*steppedLessor, *memoryLog) {
	log := &memoryLog{}
	s := startHolder(t, log, "first")
	s.next()
	s.finish()
	s.assignKeys()
	log.restore(1)
	s.read()
	return s, log
}

// TestRestoredLogIsNotNoticed guards against a holder whose records go to the positions before
// the restore, and against one that records the lease without the new era or without members:
// VMs that start then trust the older copy, or know no other VM.
func TestRestoredLogIsNotNoticed(t *testing.T) {
	s, log := startRestored(t)
	s.next()
	s.finish()
	s.is.True(s.lease != nil)
	s.is.Equal(s.newest().Era, int64(1))
	s.is.Equal(s.newest().Services["s"][0].Backend, "b")
	s.is.Equal(string(log.newest(keyMembers)), "members")
	s.is.Equal(s.lease.topicEnd.Era, int64(1))
}

// TestReclaimOfLostLease guards against a holder that records its lease in a restored log although
// another VM has claimed it there, or may have done so in the part that is lost.
func TestReclaimOfLostLease(t *testing.T) {
	s, log := startRestored(t)
	log.write(encode(t, keyrange.Assignment{Holder: "second", Address: "second", Era: 1}))
	s.read()
	s.lease.topicEnd.Offset = 99 // of the earlier era
	s.next()
	s.is.True(s.lease == nil)

	s, _ = startRestored(t)
	s.lease.renewedAt = s.clock.Now() - ClaimAfter
	s.next()
	s.is.True(s.lease == nil)
	s.lease = nil

	s, _ = startRestored(t)
	s.Table.set(&keyrange.Assignment{Holder: "before", Address: "before"}) // of the earlier era
	s.next()
	s.is.True(s.lease != nil)
}

// TestKeysDuringReclaim guards against key range leases that end while the log is restored.
func TestKeysDuringReclaim(t *testing.T) {
	s, _ := startRestored(t)
	s.lease.appending = true
	s.next()
	s.is.True(s.lease.core.CallsInFlight())
	<-s.sent
}

// TestConcurrentReclaim guards against two appends at once in a restored log, and against a failed
// one that is repeated without a pause, or that counts as the record of the lease.
func TestConcurrentReclaim(t *testing.T) {
	s, log := startRestored(t)
	before := s.heartbeats
	log.write(sharedlog.Record{Key: "odd"}) // so that the append fails
	s.next()
	s.next()
	s.is.Equal(s.heartbeats, before+1)
	s.finish()
	s.is.Equal(s.lease.topicEnd.Era, int64(0))
	s.next()
	s.is.Equal(s.heartbeats, before+1)
	s.pass(appendRetryInterval)
	s.read()
	s.next()
	s.is.Equal(s.heartbeats, before+2)
	s.finish()
	s.is.Equal(s.lease.topicEnd.Era, int64(1))
}
