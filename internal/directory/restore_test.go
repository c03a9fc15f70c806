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

// deliverRestored delivers the snapshot of a restored log, which ends at a lower offset
// than the cursor, in the next era.
func deliverRestored(f *Follower, records ...sharedlog.Record) {
	before, _ := f.Cursor()
	for i := range records {
		records[i].Offset = int64(i)
	}
	f.Deliver(sharedlog.Batch{Records: records, Era: before.Era + 1, Next: int64(len(records))}, BatchInfo{Snapshot: true})
}

// restoredLog is a log whose topic has fewer records than a follower has read.
type restoredLog struct{ snapshots int }

func (*restoredLog) Append(context.Context, string, []sharedlog.Record, sharedlog.Position) (sharedlog.Position, error) {
	return sharedlog.Position{}, nil
}

func (*restoredLog) Read(_ context.Context, _ string, from sharedlog.Position, _ time.Duration) (sharedlog.Batch, error) {
	if from.Era < 1 {
		return sharedlog.Batch{}, sharedlog.ErrRestored
	}
	return sharedlog.Batch{Era: 1, Next: from.Offset}, nil
}

func (l *restoredLog) Newest(context.Context, string) (sharedlog.Batch, error) {
	l.snapshots++
	return sharedlog.Batch{Records: []sharedlog.Record{{Key: "k", Value: []byte("v")}}, Era: 1, Next: 2}, nil
}

// TestFollowerAfterRestore guards against a reader that waits at an offset that is now
// another record, or that ignores the records of a restored log because they end before its
// cursor.
func TestFollowerAfterRestore(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var infos []BatchInfo
	f := &Follower{Topic: "t", Now: clock.System{}.Now, Log: zap.NewNop(), Apply: func(b sharedlog.Batch, info BatchInfo) {
		infos = append(infos, info)
		if b.Era == 1 && !info.Snapshot {
			cancel()
		}
	}}
	f.Deliver(sharedlog.Batch{Next: 9}, BatchInfo{Snapshot: true})
	f.Deliver(sharedlog.Batch{Era: 1, Next: 12}, BatchInfo{}) // not a snapshot: records before it are unknown
	is.Equal(len(infos), 1)
	log := &restoredLog{}
	f.Run(ctx, log)
	is.Equal(log.snapshots, 1)
	is.True(infos[1].Restored)
	is.True(!infos[2].Restored)
	next, _ := f.Cursor()
	is.Equal(next, sharedlog.Position{Era: 1, Offset: 2})
	f.Deliver(sharedlog.Batch{Next: 20}, BatchInfo{Snapshot: true}) // of the era before
	next, _ = f.Cursor()
	is.Equal(next, sharedlog.Position{Era: 1, Offset: 2})
}

// TestCatalogueAfterRestore guards against requests to a backend server that was known to
// be draining or gone and that an older copy of the catalogue lists as ready, and against
// the loss of backend servers that the copy lacks.
func TestCatalogueAfterRestore(t *testing.T) {
	is := is.New(t)
	d, fake, f := newTestDirectory()
	decode := d.sources.DecodeBackend
	d.sources.DecodeBackend = func(r sharedlog.Record) BackendChange {
		change := decode(r)
		change.Backend.Draining = r.Key == "drains" && len(r.Value) > 1
		return change
	}
	deliver(f[1], BatchInfo{Snapshot: true}, record("drains", "n"), record("left", "n"), record("stays", "n"))
	deliver(f[1], BatchInfo{}, record("drains", "nD"), record("left", ""), record("new", "n"))
	deliverRestored(f[1], record("drains", "n"), record("left", "n"), record("stays", "n"))
	backends := d.View().Backends
	is.True(backends["drains"].Draining)
	_, listed := backends["left"]
	is.True(!listed)
	is.Equal(backends["stays"].ExpiresAt, time.Duration(0))
	is.True(backends["new"].ExpiresAt > fake.Time) // it writes its entry again, or is gone
	deliver(f[1], BatchInfo{}, record("left", "n"), record("new", "n"))
	backends = d.View().Backends
	is.Equal(len(backends), 4)
	is.Equal(backends["new"].ExpiresAt, time.Duration(0))
}

// TestEvacuationAfterRestore guards against requests to a failure domain whose evacuation
// an older copy of the log lacks, and against an evacuation that never ends.
func TestEvacuationAfterRestore(t *testing.T) {
	is := is.New(t)
	d, fake, f := newTestDirectory()
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"))
	deliver(f[0], BatchInfo{}, record("n", "{}"), record("m", "{}"))
	deliverRestored(f[0], sharedlog.Record{Key: "config", Value: []byte{5}})
	is.True(d.View().Evacuated["n"])
	deliver(f[0], BatchInfo{}, record("n", "{}")) // the operator writes it again
	fake.Time += rewriteGrace
	deliver(f[0], BatchInfo{})
	is.True(d.View().Evacuated["n"])
	is.True(!d.View().Evacuated["m"])
}

// TestConfigurationAfterRestore guards against caller keys that work again because a VM
// starts with an older configuration than the lease holder has, and against rejections
// while a new configuration is on its way.
func TestConfigurationAfterRestore(t *testing.T) {
	is := is.New(t)
	d, fake, f := newTestDirectory()
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"))
	deliver(f[0], BatchInfo{}, sharedlog.Record{Key: "config", Value: []byte{7}})
	deliverRestored(f[0], sharedlog.Record{Key: "config", Value: []byte{6}})
	is.Equal(d.View().Config.Version, int64(7))

	f[0].Deliver(sharedlog.Batch{Era: 1, Next: 1}, BatchInfo{ConfirmedAt: fake.Time})
	d.RequireVersion(8)
	is.True(d.ConfigAge() < time.Second) // version 8 is on its way
	fake.Time += versionLag + time.Millisecond
	is.True(d.ConfigAge() > time.Minute)
	deliver(f[0], BatchInfo{ConfirmedAt: fake.Time}, sharedlog.Record{Key: "config", Value: []byte{8}})
	is.True(d.ConfigAge() < time.Second)

	fresh := New(fake, zap.NewNop(), d.sources)
	fresh.Followers()[0].Deliver(sharedlog.Batch{Records: []sharedlog.Record{{Key: "config", Value: []byte{6}}}, Next: 1}, BatchInfo{Snapshot: true, ConfirmedAt: fake.Time})
	is.True(fresh.ConfigAge() < time.Second)
	fresh.RequireVersion(8)
	is.True(fresh.ConfigAge() > time.Minute)
}
