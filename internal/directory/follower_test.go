package directory

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/sharedlog"
)

// newTestFollower returns a follower, and the values and infos that it applies.
func newTestFollower() (*Follower, *[]string, *[]BatchInfo) {
	fake := &clock.Fake{Time: time.Hour}
	var values []string
	var infos []BatchInfo
	f := &Follower{Topic: "t", Now: fake.Now, Log: zap.NewNop(), Apply: func(b sharedlog.Batch, info BatchInfo) {
		infos = append(infos, info)
		for _, r := range b.Records {
			values = append(values, string(r.Value))
		}
	}}
	return f, &values, &infos
}

// valuesFrom returns records with the given values at consecutive offsets.
func valuesFrom(offset int64, values ...string) sharedlog.Batch {
	b := sharedlog.Batch{Next: offset + int64(len(values))}
	for i, v := range values {
		b.Records = append(b.Records, sharedlog.Record{Key: v, Value: []byte(v), Offset: offset + int64(i)})
	}
	return b
}

// TestBatchOutOfOrder guards against records that are applied twice, out of order or without those
// before them, when batches come from the log, a relay and the appends of this VM.
func TestBatchOutOfOrder(t *testing.T) {
	is := is.New(t)
	f, values, infos := newTestFollower()
	f.Deliver(valuesFrom(0, "x"), BatchInfo{})                             // not a snapshot
	f.DeliverAppended(valuesFrom(0, "x").Records, sharedlog.Position{}, 0) // nor this
	is.Equal(len(*infos), 0)
	f.Deliver(valuesFrom(0, "a", "b"), BatchInfo{Snapshot: true})
	f.Deliver(valuesFrom(0, "x"), BatchInfo{Snapshot: true})
	f.Deliver(valuesFrom(1, "b", "c"), BatchInfo{})
	f.DeliverAppended(valuesFrom(0, "x").Records, sharedlog.Position{Offset: 4}, 0)
	f.DeliverAppended(valuesFrom(0, "d").Records, sharedlog.Position{Offset: 3}, 0)
	later := valuesFrom(4, "x")
	later.Era = 1
	f.Deliver(later, BatchInfo{}) // of a restored log, and not a snapshot
	is.Equal(*values, []string{"a", "b", "c", "d"})
	later = valuesFrom(0, "e")
	later.Era = 1
	f.Deliver(later, BatchInfo{Snapshot: true})
	is.Equal(*values, []string{"a", "b", "c", "d", "e"})
	is.True((*infos)[len(*infos)-1].Restored)
}

// failingLog is a log that answers each read as the test says.
type failingLog struct {
	reads     []error
	snapshots int
	cancel    context.CancelFunc
}

func (*failingLog) Append(context.Context, string, []sharedlog.Record, sharedlog.Position) (sharedlog.Position, error) {
	return sharedlog.Position{}, nil
}

func (l *failingLog) Read(context.Context, string, sharedlog.Position, time.Duration) (sharedlog.Batch, error) {
	err := l.reads[0]
	if l.reads = l.reads[1:]; len(l.reads) == 0 {
		l.cancel()
	}
	return sharedlog.Batch{Next: 1}, err
}

func (l *failingLog) Newest(context.Context, string) (sharedlog.Batch, error) {
	l.snapshots++
	return sharedlog.Batch{Next: 1}, nil
}

// TestFailedReadsOfTopic guards against a failed read that counts as a confirmation, or is forgotten
// with the next success, and against a follower that waits for records which are no longer kept.
func TestFailedReadsOfTopic(t *testing.T) {
	is := is.New(t)
	f, _, infos := newTestFollower()
	ctx, cancel := context.WithCancel(t.Context())
	log := &failingLog{reads: []error{context.DeadlineExceeded, nil, sharedlog.ErrTrimmed, sharedlog.ErrRestored, nil}, cancel: cancel}
	f.Run(ctx, log) // the first read is that of a snapshot
	is.Equal(log.snapshots, 3)
	is.Equal(len(*infos), 5)
	is.Equal((*infos)[1], BatchInfo{ConfirmedAt: time.Hour - failedReadAge, FailedAt: time.Hour})
	is.Equal((*infos)[2], BatchInfo{ConfirmedAt: time.Hour, FailedAt: time.Hour})
	is.True((*infos)[3].Snapshot)
	is.True((*infos)[4].Snapshot)
}

// pagedLog is a log whose reads return a few records of many.
type pagedLog struct {
	failingLog
	end int64
}

func (l *pagedLog) Read(_ context.Context, _ string, from sharedlog.Position, _ time.Duration) (sharedlog.Batch, error) {
	batch := valuesFrom(from.Offset, make([]string, min(3, l.end-from.Offset))...)
	batch.End = l.end
	if batch.Next == l.end {
		l.cancel()
	}
	return batch, nil
}

// TestFollowerBehindLargeRecords guards against a VM that lists a backend server seconds late,
// because another program has written large records, few of which fit into one read, and the
// follower waits for its interval after each.
func TestFollowerBehindLargeRecords(t *testing.T) {
	f, _, _ := newTestFollower()
	f.Interval = time.Minute
	f.Deliver(sharedlog.Batch{}, BatchInfo{Snapshot: true})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	log := &pagedLog{end: 40}
	log.cancel = cancel
	f.Run(ctx, log)
	if next, _ := f.Cursor(); next.Offset < 39 {
		t.Errorf("the follower has read up to %d of 40 records", next.Offset)
	}
}

// TestPartOfTopicConfirmsNothing guards against a configuration that counts as the newest one,
// with caller keys that are withdrawn, because a read that returned only a part of the topic
// confirmed it.
func TestPartOfTopicConfirmsNothing(t *testing.T) {
	is := is.New(t)
	f, _, infos := newTestFollower()
	f.Deliver(sharedlog.Batch{}, BatchInfo{Snapshot: true})
	ctx, cancel := context.WithCancel(t.Context())
	log := &pagedLog{end: 7}
	reads := 0
	f.Wait = func() time.Duration { // called before each read
		if reads++; reads > 4 {
			cancel()
		}
		return 0
	}
	log.cancel = func() {}
	f.Run(ctx, log)
	is.Equal(len(*infos), 1+4)
	for i, confirmed := range []bool{false, false, true, true} {
		is.Equal((*infos)[1+i].ConfirmedAt == f.Now(), confirmed)
	}
}
