package config

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fireflyfield/internal/platform"
	"fireflyfield/internal/platform/platformtest"
	"fireflyfield/internal/resource"
	"fireflyfield/internal/snapshot"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
)

// withFakeClock runs the test with a fake clock and an empty log, and ends the
// goroutines that it started.
func withFakeClock(t *testing.T, test func(ctx context.Context, is *is.I, log *platformtest.Log)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		test(ctx, is.New(t), platformtest.NewLog())
	})
}

// submitChanges submits a record with the identifier n and waits up to 10 s for the
// decision.
func submitChanges(ctx context.Context, f *Follower, n uint64, changes ...Change) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	return f.Submit(ctx, NewRecord(recordID(n), f.State().Position(), changes...))
}

// appendChanges submits count records, with identifiers from the number from on, that
// create and then replace one resource.
func appendChanges(ctx context.Context, t *testing.T, f *Follower, from, count uint64) {
	t.Helper()
	for n := from; n < from+count; n++ {
		base := uint64(0)
		if r, ok := f.State().View().Lookup(idOf(resource.KindFailureDomain, "plateau")); ok {
			base = r.Metadata.Revision
		}
		if outcome, err := submitChanges(ctx, f, n, putChange(t, failureDomain("plateau"), base)); err != nil || !outcome.Accepted() {
			t.Fatal(outcome, err)
		}
	}
}

// Guards against two operators whose concurrent changes of one resource are both
// accepted, and against a refusal that does not name the revision that was accepted.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		vms := []*Follower{startFollower(ctx, log, 1), startFollower(ctx, log, 2), startFollower(ctx, log, 3)}
		outcomes := make(chan Outcome, len(vms))
		for i, vm := range vms {
			go func() {
				outcome, err := submitChanges(ctx, vm, uint64(i+1), putChange(t, failureDomain("plateau"), 0))
				is.NoErr(err)
				outcomes <- outcome
			}()
		}
		winner := uint64(0)
		var losers []Outcome
		for range vms {
			if outcome := <-outcomes; outcome.Accepted() {
				is.Equal(winner, uint64(0)) // only one wins
				winner = outcome.Offset
			} else {
				losers = append(losers, outcome)
			}
		}
		is.Equal(len(losers), 2)
		for _, loser := range losers {
			is.Equal(loser.Refusal.Current, winner)
		}
		synctest.Wait()
		for _, vm := range vms {
			is.Equal(encodedState(t, vm.State()), encodedState(t, vms[0].State()))
		}
	})
}

// Guards against an append whose response is lost being reported as failed or taking
// effect twice.
func TestAppendWithoutResponseTakesEffectOnce(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		vm := startFollower(ctx, log, 1)
		log.SetLoseAnswers(true)
		outcome, err := submitChanges(ctx, vm, 1, putChange(t, failureDomain("plateau"), 0))
		is.NoErr(err)
		is.True(outcome.Accepted())
		is.Equal(log.Len(Stream), uint64(1)) // read back, not appended again
		repeated, err := submitChanges(ctx, vm, 1, putChange(t, failureDomain("plateau"), 0))
		is.NoErr(err)
		is.Equal(repeated, outcome)
		_, err = submitChanges(ctx, vm, 1, putChange(t, failureDomain("medina"), 0))
		is.True(errors.Is(err, ErrIdentifierReused))
	})
}

// Guards against a change submitted during an outage of the shared log that is
// reported as accepted or refused, and against one that is lost although the outage
// ends in time.
func TestSubmitDuringOutage(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		vm := startFollower(ctx, log, 1)
		time.Sleep(2 * time.Second)
		log.SetDown(true)
		_, err := submitChanges(ctx, vm, 1, putChange(t, failureDomain("plateau"), 0))
		is.True(errors.Is(err, ErrNotKnown))
		is.True(vm.Status().Fault != "")
		is.True(time.Since(vm.Status().ConfirmedAt) > 9*time.Second)
		time.AfterFunc(5*time.Second, func() { log.SetDown(false) })
		outcome, err := submitChanges(ctx, vm, 1, putChange(t, failureDomain("plateau"), 0))
		is.NoErr(err)
		is.True(outcome.Accepted())
		is.Equal(vm.Status().Fault, "")
	})
}

// Guards against a new VM whose state differs from that of the others, and against
// records that the shared log drops before a snapshot covers them.
func TestNewVMStartsFromSnapshotAndLaterRecords(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		first := startFollower(ctx, log, 1)
		policy := snapshot.Policy{Records: 20, Age: time.Hour, MaxDelay: time.Second}
		go NewSnapshotter(log, first, policy, zap.NewNop(), rand.New(rand.NewPCG(1, 1))).Run(ctx)
		appendChanges(ctx, t, first, 1, 25)
		time.Sleep(3 * snapshotCheckInterval)
		is.Equal(log.Len(snapshot.Stream), uint64(1))
		appendChanges(ctx, t, first, 26, 5)
		log.Trim(Stream, 24)
		newVM := startFollower(ctx, log, 2)
		time.Sleep(time.Second)
		is.Equal(newVM.Status().Restores, uint64(1))
		is.Equal(encodedState(t, newVM.State()), encodedState(t, first.State()))
		time.Sleep(time.Hour)
		is.Equal(log.Len(snapshot.Stream), uint64(2)) // written again because of its age
	})
}

// Guards against a VM that skips records which the shared log no longer retains. It
// has to stay at its position until a snapshot covers them.
func TestLaggingVMWaitsForSnapshot(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		first := startFollower(ctx, log, 1)
		link := &disconnectableLog{Log: log}
		lagging := startFollower(ctx, link, 2)
		appendChanges(ctx, t, first, 1, 5)
		time.Sleep(time.Second)
		link.disconnected.Store(true)
		time.Sleep(2 * maxReadWait) // the read in flight ends
		appendChanges(ctx, t, first, 6, 20)
		log.Trim(Stream, 20)
		link.disconnected.Store(false)
		time.Sleep(10 * time.Second)
		is.Equal(lagging.State().Position(), uint64(5))
		is.True(lagging.Status().Fault != "")
		_, data, err := first.State().Snapshot()
		is.NoErr(err)
		header := snapshot.Header{Name: Stream, ID: recordID(77), Position: first.State().Position()}
		is.NoErr(snapshot.Write(ctx, log, snapshot.Snapshot{Header: header, Data: data}))
		time.Sleep(10 * time.Second)
		is.Equal(encodedState(t, lagging.State()), encodedState(t, first.State()))
	})
}

// Guards against a VM that loses its connection to the shared log and then replays
// records again that a peer has relayed to it, or skips records that are missing
// between its position and the relayed ones.
func TestDisconnectedVMCatchesUp(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		first := startFollower(ctx, log, 1)
		link := &disconnectableLog{Log: log}
		returning := startFollower(ctx, link, 2)
		appendChanges(ctx, t, first, 1, 3)
		time.Sleep(time.Second)
		link.disconnected.Store(true)
		time.Sleep(2 * time.Second)
		appendChanges(ctx, t, first, 4, 6)
		_, err := returning.ApplyRelayed(first.RecentRecords(6, 10))
		is.True(errors.Is(err, ErrGap))
		is.Equal(returning.State().Position(), uint64(3))
		applied, err := returning.ApplyRelayed(first.RecentRecords(2, 6)) // 2 to 7, of which 2 and 3 were replayed before
		is.NoErr(err)
		is.Equal(applied, 4)
		before := returning.Status().ConfirmedAt
		returning.ConfirmEnd(10, time.Now()) // the peer has records that this VM lacks
		is.Equal(returning.Status().ConfirmedAt, before)
		returning.ConfirmEnd(8, time.Now())
		is.True(returning.Status().ConfirmedAt.After(before))
		link.disconnected.Store(false)
		time.Sleep(5 * time.Second)
		is.Equal(encodedState(t, returning.State()), encodedState(t, first.State()))
	})
}

// disconnectableLog is the connection of one VM to the shared log; its reads fail
// while disconnected is set.
type disconnectableLog struct {
	platform.Log
	disconnected atomic.Bool
}

func (l *disconnectableLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	if l.disconnected.Load() {
		return platform.Batch{}, platform.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// Guards against a VM that skips a record of a newer version, and against a malformed
// snapshot that keeps a VM from replaying records that are still retained.
func TestUnreadableSnapshotAndRecord(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		first := startFollower(ctx, log, 1)
		appendChanges(ctx, t, first, 1, 3)
		header := snapshot.Header{Name: Stream, ID: recordID(77), Position: 2}
		is.NoErr(snapshot.Write(ctx, log, snapshot.Snapshot{Header: header, Data: []byte("no state")}))
		newVM := startFollower(ctx, log, 2)
		time.Sleep(time.Second)
		is.Equal(encodedState(t, newVM.State()), encodedState(t, first.State()))

		newer, err := encoding.Marshal(map[int]any{1: RecordVersion + 1})
		is.NoErr(err)
		_, err = log.Append(ctx, Stream, newer)
		is.NoErr(err)
		_, err = submitChanges(ctx, newVM, 5, putChange(t, failureDomain("medina"), 0))
		is.True(errors.Is(err, ErrNotKnown))
		is.Equal(newVM.State().Position(), uint64(3))
		is.True(strings.Contains(newVM.Status().Fault, "newer version"))
		is.Equal(len(newVM.State().View().FailureDomains()), 1)
	})
}
