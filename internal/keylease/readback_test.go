package keylease

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/sharedlog"
)

// unansweredLog is a shared log that executes the first append of a lease holder, but answers
// neither it nor the read after it.
type unansweredLog struct {
	*memoryLog
	failures int
}

func (l *unansweredLog) Append(ctx context.Context, topic string, records []sharedlog.Record, expectedEnd sharedlog.Position) (sharedlog.Position, error) {
	end, err := l.memoryLog.Append(ctx, topic, records, expectedEnd)
	if l.failures > 0 {
		return sharedlog.Position{}, errUnreachable
	}
	return end, err
}

func (l *unansweredLog) Read(ctx context.Context, topic string, from sharedlog.Position, wait time.Duration) (sharedlog.Batch, error) {
	if l.failures > 0 {
		l.failures--
		return sharedlog.Batch{}, errUnreachable
	}
	return l.memoryLog.Read(ctx, topic, from, wait)
}

// newUnansweredHolder returns a lessor that holds the assignment lease, and whose next append takes
// effect without an answer.
func newUnansweredHolder(fake *clock.Fake) (*Lessor, *unansweredLog) {
	log := &unansweredLog{memoryLog: &memoryLog{}, failures: 1}
	heartbeat := byte(0)
	l := NewLessor(LessorOptions{
		Log: log, Clock: fake, Table: NewTable(zap.NewNop()), Instance: "first", Address: "first", Logger: zap.NewNop(),
		Notices: func() ([]byte, []byte) {
			heartbeat++
			return []byte{heartbeat}, []byte("same members")
		},
		OnHeartbeat: func([]byte) {}, OnMembers: func([]byte) {}, OnLeaseChange: func(bool) {},
	})
	l.appendResults = make(chan appendResult, 1)
	l.lease = &leaseState{core: NewCore("first", nil, 0, fake.Now(), Predecessor{Resigned: true}), renewedAt: fake.Now()}
	return l, log
}

// TestRecordOfEarlierAppend guards against a lease holder that counts its lease from the append
// whose read finds the record of an earlier one: other VMs count it from that record, and give
// keys on while the holder still renews leases.
func TestRecordOfEarlierAppend(t *testing.T) {
	for name, same := range map[string]bool{"other heartbeat": false, "same heartbeat": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fake := &clock.Fake{Time: time.Minute}
			l, log := newUnansweredHolder(fake)
			if same {
				l.Notices = func() ([]byte, []byte) { return []byte("same heartbeat"), []byte("same members") }
			}
			recordedAt := fake.Now()
			l.appendState(t.Context(), fake.Now())
			l.finishAppend(<-l.appendResults)
			size := log.size()
			fake.Time += 1500 * time.Millisecond // timeout of the append and appendRetryInterval
			l.appendState(t.Context(), fake.Now())
			l.finishAppend(<-l.appendResults)
			is.Equal(log.size(), size) // the log has no newer record
			if l.lease.renewedAt > recordedAt {
				t.Errorf("the lease counts from %s after the only record", l.lease.renewedAt-recordedAt)
			}
		})
	}
}

// TestRecordOfEarlierClaim guards against the same for a claim.
func TestRecordOfEarlierClaim(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	l, log := newUnansweredHolder(fake)
	l.lease = nil
	l.ConfigKnown, l.Preferred = func() bool { return true }, func() bool { return true }
	claimedAt := fake.Now()
	for range 2 {
		l.claim(t.Context(), nil, sharedlog.Position{}, fake.Now())
		l.finishClaim(<-l.appendResults)
		fake.Time += 1500 * time.Millisecond
	}
	is.Equal(log.size(), 1)
	is.Equal(l.lease.renewedAt, claimedAt)
}

// TestMembersOfEarlierAppend guards against grants that are sent although the log has no record of
// them, because the read after a failed append finds the same list of members of an earlier append.
func TestMembersOfEarlierAppend(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	l, log := newUnansweredHolder(fake)
	l.appendState(t.Context(), fake.Now())
	l.finishAppend(<-l.appendResults)
	size := log.size()
	fake.Time += 1500 * time.Millisecond
	in := Input{Weight: noWeight, Servers: map[string][]Server{"s": {{ID: "b", Address: "a", Started: 1, Usable: true, Capacity: 1}}}}
	l.lease.core.Step(fake.Now(), in)
	l.lease.core.Step(fake.Now()+newServiceDelay, in)
	is.Equal(len(l.lease.core.State().Services["s"]), 1) // a range is assigned
	l.appendState(t.Context(), fake.Now())
	l.finishAppend(<-l.appendResults)
	is.Equal(log.size(), size) // the assignment is not recorded
	if calls := l.lease.core.Step(fake.Now()+newServiceDelay, in); len(calls) > 0 {
		t.Errorf("%d grants are sent that are not recorded", len(calls))
	}
}

// TestManyRecordsOfOtherWriter guards against a lease holder that loses the lease because it reads
// the records of another program one batch for each failed append.
func TestManyRecordsOfOtherWriter(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	l, log := newUnansweredHolder(fake)
	l.Log = shortReads{log.memoryLog}
	const odd = 100
	for range odd {
		_, err := log.memoryLog.Append(t.Context(), "lease", []sharedlog.Record{{Key: "odd"}}, sharedlog.AnyEnd)
		is.NoErr(err)
	}
	for lostAt := fake.Now() + AssignmentLeaseDuration; l.lease.topicEnd.Offset <= odd; fake.Time += appendRetryInterval {
		if fake.Now() >= lostAt {
			t.Fatalf("no append was accepted in %s, the holder has read %d of %d records", AssignmentLeaseDuration, l.lease.topicEnd.Offset, odd)
		}
		l.appendState(t.Context(), fake.Now())
		l.finishAppend(<-l.appendResults)
	}
}
