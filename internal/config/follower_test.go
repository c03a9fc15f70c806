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

// inBubble runs the test with a fake clock and ends its goroutines.
func inBubble(t *testing.T, test func(ctx context.Context, is *is.I, log *platformtest.Log)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		test(ctx, is.New(t), platformtest.NewLog())
	})
}

func submit(ctx context.Context, f *Follower, n uint64, changes ...Change) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	return f.Submit(ctx, NewRecord(id(n), f.State().Position(), changes...))
}

// fill appends records that create and delete one resource.
func fill(ctx context.Context, t *testing.T, f *Follower, from, count uint64) {
	t.Helper()
	for n := from; n < from+count; n++ {
		base := uint64(0)
		if r, ok := f.State().View().Lookup(ref(resource.KindFailureDomain, "plateau")); ok {
			base = r.Metadata.Revision
		}
		if outcome, err := submit(ctx, f, n, put(t, domain("plateau"), base)); err != nil || !outcome.Accepted() {
			t.Fatal(outcome, err)
		}
	}
}

// Guards against two winners among racing operators, and against a loser that is
// not told which revision won.
func TestRacingOperators(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		vms := []*Follower{startVM(ctx, log, 1), startVM(ctx, log, 2), startVM(ctx, log, 3)}
		outcomes := make(chan Outcome, len(vms))
		for i, vm := range vms {
			go func() {
				outcome, err := submit(ctx, vm, uint64(i+1), put(t, domain("plateau"), 0))
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
			is.Equal(snapshotOf(t, vm.State()), snapshotOf(t, vms[0].State()))
		}
	})
}

// Guards against an append whose answer is lost being reported as failed, or
// taking effect twice.
func TestLostAnswerOfAppend(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		vm := startVM(ctx, log, 1)
		log.SetLoseAnswers(true)
		outcome, err := submit(ctx, vm, 1, put(t, domain("plateau"), 0))
		is.NoErr(err)
		is.True(outcome.Accepted())
		is.Equal(log.Len(Stream), uint64(1)) // read back, not appended again
		again, err := submit(ctx, vm, 1, put(t, domain("plateau"), 0))
		is.NoErr(err)
		is.Equal(again, outcome)
		_, err = submit(ctx, vm, 1, put(t, domain("medina"), 0))
		is.True(errors.Is(err, ErrIdentifierReused))
	})
}

// Guards against an apply during an outage that is reported as accepted or
// refused, and against one that is lost although the outage ends in time.
func TestOutageDuringApply(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		vm := startVM(ctx, log, 1)
		time.Sleep(2 * time.Second)
		log.SetDown(true)
		_, err := submit(ctx, vm, 1, put(t, domain("plateau"), 0))
		is.True(errors.Is(err, ErrNotKnown))
		is.True(vm.Status().Fault != "")
		is.True(time.Since(vm.Status().ConfirmedAt) > 9*time.Second)
		time.AfterFunc(5*time.Second, func() { log.SetDown(false) })
		outcome, err := submit(ctx, vm, 1, put(t, domain("plateau"), 0))
		is.NoErr(err)
		is.True(outcome.Accepted())
		is.Equal(vm.Status().Fault, "")
	})
}

// Guards against a new VM that differs from the others, and against records that
// are dropped before a snapshot replaces them.
func TestNewVMStartsFromSnapshotAndTail(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		first := startVM(ctx, log, 1)
		policy := snapshot.Policy{Records: 20, Age: time.Hour, MaxDelay: time.Second}
		go NewSnapshotter(log, first, policy, zap.NewNop(), rand.New(rand.NewPCG(1, 1))).Run(ctx)
		fill(ctx, t, first, 1, 25)
		time.Sleep(3 * snapshotCheckInterval)
		is.Equal(log.Len(snapshot.Stream), uint64(1))
		fill(ctx, t, first, 26, 5)
		log.Trim(Stream, 24)
		late := startVM(ctx, log, 2)
		time.Sleep(time.Second)
		is.Equal(late.Status().Restores, uint64(1))
		is.Equal(snapshotOf(t, late.State()), snapshotOf(t, first.State()))
		time.Sleep(time.Hour)
		is.Equal(log.Len(snapshot.Stream), uint64(2)) // written again by age
	})
}

// Guards against a VM that skips records which are no longer retained: it stays at
// its position until a snapshot replaces them.
func TestRetentionPassesReader(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		first := startVM(ctx, log, 1)
		link := &cutLink{Log: log}
		behind := startVM(ctx, link, 2)
		fill(ctx, t, first, 1, 5)
		time.Sleep(time.Second)
		link.cut.Store(true)
		time.Sleep(2 * readWait) // the read in flight ends
		fill(ctx, t, first, 6, 20)
		log.Trim(Stream, 20)
		link.cut.Store(false)
		time.Sleep(10 * time.Second)
		is.Equal(behind.State().Position(), uint64(5))
		is.True(behind.Status().Fault != "")
		_, data, err := first.State().Snapshot()
		is.NoErr(err)
		header := snapshot.Header{Name: Stream, ID: id(77), Position: first.State().Position()}
		is.NoErr(snapshot.Write(ctx, log, snapshot.Snapshot{Header: header, Data: data}))
		time.Sleep(10 * time.Second)
		is.Equal(snapshotOf(t, behind.State()), snapshotOf(t, first.State()))
	})
}

// Guards against a returning VM that applies older records than it got from a
// peer, or that closes a gap by skipping.
func TestVMCutOffAndReturns(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		first := startVM(ctx, log, 1)
		link := &cutLink{Log: log}
		cut := startVM(ctx, link, 2)
		fill(ctx, t, first, 1, 3)
		time.Sleep(time.Second)
		link.cut.Store(true)
		time.Sleep(2 * time.Second)
		fill(ctx, t, first, 4, 6)
		_, err := cut.ApplyRelayed(first.RecentRecords(6, 10))
		is.True(errors.Is(err, ErrGap))
		is.Equal(cut.State().Position(), uint64(3))
		applied, err := cut.ApplyRelayed(first.RecentRecords(2, 6)) // 2 to 7; 2 and 3 are known
		is.NoErr(err)
		is.Equal(applied, 4)
		before := cut.Status().ConfirmedAt
		cut.ConfirmEnd(10, time.Now()) // the peer knows of records that are missing here
		is.Equal(cut.Status().ConfirmedAt, before)
		cut.ConfirmEnd(8, time.Now())
		is.True(cut.Status().ConfirmedAt.After(before))
		link.cut.Store(false)
		time.Sleep(5 * time.Second)
		is.Equal(snapshotOf(t, cut.State()), snapshotOf(t, first.State()))
	})
}

// cutLink is one VM's connection to the log.
type cutLink struct {
	platform.Log
	cut atomic.Bool
}

func (c *cutLink) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (platform.Batch, error) {
	if c.cut.Load() {
		return platform.Batch{}, platform.ErrUnavailable
	}
	return c.Log.Read(ctx, stream, from, max, wait)
}

// Guards against a VM that skips what it can't read, and against a snapshot that
// can't be used keeping a VM from records that are still retained.
func TestUnreadableSnapshotAndRecord(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I, log *platformtest.Log) {
		first := startVM(ctx, log, 1)
		fill(ctx, t, first, 1, 3)
		header := snapshot.Header{Name: Stream, ID: id(77), Position: 2}
		is.NoErr(snapshot.Write(ctx, log, snapshot.Snapshot{Header: header, Data: []byte("no state")}))
		late := startVM(ctx, log, 2)
		time.Sleep(time.Second)
		is.Equal(snapshotOf(t, late.State()), snapshotOf(t, first.State()))

		newer, err := encoding.Marshal(map[int]any{1: RecordVersion + 1})
		is.NoErr(err)
		_, err = log.Append(ctx, Stream, newer)
		is.NoErr(err)
		_, err = submit(ctx, late, 5, put(t, domain("medina"), 0))
		is.True(errors.Is(err, ErrNotKnown))
		is.Equal(late.State().Position(), uint64(3))
		is.True(strings.Contains(late.Status().Fault, "newer version"))
		is.Equal(len(late.State().View().FailureDomains()), 1)
	})
}
