package keylease

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/sharedlog"
)

// TestRecordsOfAnotherAppend guards against an append without an answer that counts as executed
// by records of other appends, so that grants are sent which are not recorded, and against claims
// of other VMs that a read finds and that are not noticed.
func TestRecordsOfAnotherAppend(t *testing.T) {
	members, beat := sharedlog.Record{Key: keyMembers, Value: []byte("m")}, sharedlog.Record{Key: keyHeartbeat, Value: []byte("1")}
	other := keyrange.Assignment{Holder: "second", Address: "second"}
	current := other
	current.Era = 1
	odd, newer := sharedlog.Record{Key: keyAssignment, Value: []byte("odd")}, sharedlog.Record{Key: keyAssignment, Value: []byte(otherFormat)}
	for name, c := range map[string]struct {
		found                 []sharedlog.Record
		err                   error
		readBack, overwritten bool
	}{
		"its own records":            {[]sharedlog.Record{members, beat}, nil, true, false},
		"nothing":                    {nil, errUnreachable, false, false},
		"only the first":             {[]sharedlog.Record{members}, errUnreachable, false, false},
		"another second":             {[]sharedlog.Record{members, {Key: keyHeartbeat, Value: []byte("2")}}, errUnreachable, false, false},
		"another key":                {[]sharedlog.Record{members, {Key: "odd", Value: []byte("1")}}, errUnreachable, false, false},
		"another holder":             {[]sharedlog.Record{members, beat, encode(t, current)}, errNotHolder, false, false},
		"another format":             {[]sharedlog.Record{members, beat, newer}, errNotHolder, false, false},
		"a holder of an earlier era": {[]sharedlog.Record{encode(t, other)}, errUnreachable, false, false},
		"an odd assignment after":    {[]sharedlog.Record{members, beat, odd}, nil, true, true},
		"an odd assignment instead":  {[]sharedlog.Record{odd}, errUnreachable, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &memoryLog{era: 1}
			s := newStepped(t, log, "first")
			log.write(sharedlog.Record{Key: "earlier"})
			end := sharedlog.Position{Era: 1, Offset: 1}
			a := appendResult{records: []sharedlog.Record{members, beat}, expectedEnd: end, err: errUnreachable}
			log.write(c.found...)
			s.readBack(t.Context(), &a)
			is.Equal(a.err, c.err)
			is.Equal(a.readBack, c.readBack)
			is.Equal(a.overwritten, c.overwritten)
			is.Equal(a.newEnd, sharedlog.Position{Era: 1, Offset: 1 + int64(len(c.found))})
		})
	}
}

// TestReadBackInRestoredLog guards against a holder that does not notice the restore of the log
// that its failed append meets, and reads the topic only later.
func TestReadBackInRestoredLog(t *testing.T) {
	log := &memoryLog{}
	s := startHolder(t, log, "first")
	s.is.True(s.pauseReads() != nil)
	log.restore(0)
	log.setFaults(false, true) // the answer says nothing of it
	s.next()
	a := <-s.appendResults
	s.is.True(errors.Is(a.err, sharedlog.ErrRestored))
	s.finishAppend(a)
	s.is.True(s.pauseReads() == nil)
}

// TestRecordOfFirstOfSeveralAppends guards against a lease that counts from the second of several
// appends without an answer, when the records that a read finds are those of the first.
func TestRecordOfFirstOfSeveralAppends(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	l, log := newUnansweredHolder(fake)
	log.failures = 2
	l.Notices = func() ([]byte, []byte) { return []byte("same heartbeat"), []byte("same members") }
	recordedAt := fake.Now()
	for range 3 {
		l.appendState(t.Context(), fake.Now())
		l.finishAppend(<-l.appendResults)
		fake.Time += appendRetryInterval
	}
	is.Equal(l.lease.renewedAt, recordedAt)
}

// TestLeaseShortenedByEarlierFailure guards against a lease that counts from an earlier append,
// which failed, although its own record was answered, or an answered one has ended the doubt.
func TestLeaseShortenedByEarlierFailure(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	appendNow := func() {
		s.pass(HeartbeatInterval)
		s.next()
		s.finish()
	}
	s.log.setDisconnected(true)
	appendNow()
	s.log.setDisconnected(false)
	appendNow()
	s.is.Equal(s.lease.renewedAt, s.clock.Now())
	s.log.setFaults(false, true) // executed, without an answer, and found by the read
	appendNow()
	s.is.Equal(s.lease.renewedAt, s.clock.Now())
}

// TestConcurrentAppends guards against two appends of the lease holder at once, and against a
// failed one that is repeated without a pause.
func TestConcurrentAppends(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	s.log.setDisconnected(true)
	s.next()
	s.lease.nextHeartbeat = 0
	s.next()
	s.is.Equal(s.heartbeats, byte(1))
	s.finish()
	s.next()
	s.is.Equal(s.heartbeats, byte(1))
	s.pass(appendRetryInterval)
	s.next()
	s.is.Equal(s.heartbeats, byte(2))
}

// TestGrantOfUnrecordedVersion guards against grants that are sent before the log has the state
// that they belong to: the accepted append has an earlier one.
func TestGrantOfUnrecordedVersion(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	s.next()
	s.lease.core.Step(s.clock.Now(), s.Input())
	s.lease.core.Step(s.clock.Now()+newServiceDelay, s.Input())
	s.finish()
	calls := s.lease.core.Step(s.clock.Now()+newServiceDelay, s.Input())
	s.is.Equal(len(calls), 0)
}

// TestAppendOfEarlierLease guards against the result of an append of an earlier lease that ends or
// renews the present one.
func TestAppendOfEarlierLease(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	s.next()
	a := <-s.appendResults
	lease := &leaseState{core: NewCore("first", nil, 0, s.clock.Now(), Predecessor{Resigned: true})}
	s.lease = lease
	a.err = errNotHolder
	s.finishAppend(a)
	s.is.Equal(s.lease, lease)
}

// TestAppendAfterOtherWriter guards against a holder that appends at the same end for good after
// another program has written to the topic, that lacks the list of members afterwards, or that
// does not read the records of the other program.
func TestAppendAfterOtherWriter(t *testing.T) {
	log := &memoryLog{}
	s := startHolder(t, log, "first")
	log.write(sharedlog.Record{Key: "odd"})
	s.next()
	s.finish()
	s.pass(appendRetryInterval)
	s.next()
	s.finish()
	s.is.Equal(s.lease.renewedAt, s.clock.Now())
	s.is.Equal(string(log.newest(keyMembers)), "members")
	s.is.True(s.pauseReads() == nil)
}

// TestClaimOfAnotherVMIsNoticed guards against a holder that goes on until it reads the claim of
// another VM, which its failed append has met.
func TestClaimOfAnotherVMIsNoticed(t *testing.T) {
	log := &memoryLog{}
	s := startHolder(t, log, "first")
	log.write(encode(t, keyrange.Assignment{Holder: "second", Address: "second"}))
	s.next()
	s.finish()
	s.is.True(s.lease == nil)
	s.is.True(s.pauseReads() == nil) // and reads the topic again
}

// TestClaimIsRead is the same for a claim that the table has got, and for a table that does not
// have the holder's own claim yet.
func TestClaimIsRead(t *testing.T) {
	log := &memoryLog{}
	s := startHolder(t, log, "first")
	log.write(encode(t, keyrange.Assignment{Holder: "second", Address: "second"}))
	s.read()
	s.next()
	s.is.True(s.lease == nil)

	s = startHolder(t, &memoryLog{}, "first")
	s.Table.set(&keyrange.Assignment{Holder: "before", Address: "before"})
	s.lease.topicEnd.Offset++
	s.next()
	s.is.True(s.lease != nil)
}

// TestReadsResumeWithoutAppends guards against a holder that neither reads the topic nor appends
// to it, so that it does not learn of a claim.
func TestReadsResumeWithoutAppends(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	s.is.True(s.pauseReads() != nil)
	s.pass(maxAppendAge + time.Millisecond)
	s.next()
	s.is.True(s.pauseReads() == nil)
}

// TestFailedAssignmentIsRepeated guards against an assignment, or a heartbeat, that is not appended
// again at once after it failed: its grants wait, and another VM claims the lease.
func TestFailedAssignmentIsRepeated(t *testing.T) {
	s := startHolder(t, &memoryLog{}, "first")
	s.next()
	s.finish()
	for range 2 {
		s.lease.core.Step(s.clock.Now(), s.Input())
		s.pass(newServiceDelay)
	}
	s.is.True(s.lease.core.Version() > s.lease.core.accepted)
	s.lease.nextHeartbeat = s.clock.Now() + time.Hour
	s.log.setDisconnected(true)
	s.next()
	s.finish()
	s.log.setDisconnected(false)
	s.pass(appendRetryInterval)
	before := s.heartbeats
	s.next()
	s.finish()
	s.is.Equal(s.newest().Services["s"][0].Backend, "b")
	s.is.Equal(s.heartbeats, before+1)
}

// shortReads is a shared log whose reads return few records, as those of large records do.
type shortReads struct{ sharedlog.Log }

func (l shortReads) Read(ctx context.Context, topic string, from sharedlog.Position, wait time.Duration) (sharedlog.Batch, error) {
	batch, err := l.Log.Read(ctx, topic, from, wait)
	if n := 3; len(batch.Records) > n {
		batch.Records, batch.Next = batch.Records[:n], batch.Records[n-1].Offset+1
	}
	return batch, err
}

// TestLeaseBesideLargeRecords guards against a holder that loses its lease because another program
// has written many large records to the topic, so that each read after a failed append moves the
// end for the next one by a few records only.
func TestLeaseBesideLargeRecords(t *testing.T) {
	log := &memoryLog{}
	s := startHolder(t, log, "first")
	s.Log = shortReads{s.log}
	claimedAt := s.clock.Now()
	for range 40 {
		log.write(sharedlog.Record{Key: "odd"})
	}
	for s.lease.renewedAt == claimedAt && s.clock.Now() < claimedAt+silenceLimit {
		s.pass(appendRetryInterval)
		s.next()
		s.finish()
	}
	if unconfirmed := s.clock.Now() - claimedAt; unconfirmed >= ClaimAfter {
		t.Errorf("no append was accepted for %s", unconfirmed)
	}
	log.write(sharedlog.Record{Key: "odd"}, sharedlog.Record{Key: "odd"}, sharedlog.Record{Key: "odd"}, encode(t, keyrange.Assignment{Holder: "second", Address: "second"}))
	s.pass(HeartbeatInterval)
	s.next()
	s.finish()
	s.is.True(s.lease == nil) // the claim is behind the first read
}

// failingReads is a shared log whose reads from a position on fail.
type failingReads struct {
	sharedlog.Log
	from int64
	err  error
}

func (l failingReads) Read(ctx context.Context, topic string, from sharedlog.Position, wait time.Duration) (sharedlog.Batch, error) {
	if from.Offset >= l.from {
		return sharedlog.Batch{}, l.err
	}
	return l.Log.Read(ctx, topic, from, wait)
}

// TestFailureBehindFirstRead guards against an append whose records were found and that counts as
// failed, since a further read failed, and against one in a log that was restored between reads.
func TestFailureBehindFirstRead(t *testing.T) {
	for _, c := range []struct{ read, want error }{
		{errUnreachable, nil}, {sharedlog.ErrRestored, sharedlog.ErrRestored}, {sharedlog.ErrTrimmed, sharedlog.ErrTrimmed},
	} {
		log := &memoryLog{}
		s := newStepped(t, log, "first")
		own := sharedlog.Record{Key: keyHeartbeat, Value: []byte("1")}
		odd := sharedlog.Record{Key: "odd"}
		log.write(own, odd, odd, odd)
		s.Log = failingReads{shortReads{s.log}, 3, c.read}
		a := appendResult{records: []sharedlog.Record{own}, err: errUnreachable}
		s.readBack(t.Context(), &a)
		s.is.Equal(a.err, c.want)
	}
}
