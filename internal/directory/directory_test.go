package directory

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/sharedlog"
)

// newTestDirectory returns a directory with a configuration of version 5, its clock and
// its followers. The first byte of an entry is the failure domain; a longer entry is of a
// cold backend server.
func newTestDirectory() (*Directory, *clock.Fake, []*Follower) {
	fake := &clock.Fake{Time: time.Hour}
	config := &fleet.Config{Version: 5}
	config.Index()
	d := New(fake, zap.NewNop(), Sources{
		OperatorTopic: "op", BackendTopic: "backends",
		DecodeOperator: func(r sharedlog.Record) OperatorChange {
			switch {
			case r.Key == "config":
				return OperatorChange{Config: &fleet.Config{Version: int64(r.Value[0])}}
			default:
				return OperatorChange{Domain: r.Key, Evacuated: len(r.Value) > 0}
			}
		},
		DecodeBackend: func(r sharedlog.Record) BackendChange {
			if len(r.Value) == 0 {
				return BackendChange{ID: r.Key, Removed: true}
			}
			b := fleet.Backend{ID: r.Key, Domain: string(r.Value[:1]), Slots: 1}
			if len(r.Value) > 1 {
				b.ColdRemaining = time.Second
			}
			return BackendChange{ID: r.Key, Backend: b}
		},
	})
	followers := d.Followers()
	followers[0].Deliver(sharedlog.Batch{Records: []sharedlog.Record{{Key: "config", Value: []byte{5}}}}, BatchInfo{Snapshot: true, ConfirmedAt: fake.Time})
	return d, fake, followers
}

// deliver passes records to a follower with consecutive offsets from its cursor on.
func deliver(f *Follower, info BatchInfo, records ...sharedlog.Record) {
	next, _ := f.Cursor()
	for i := range records {
		records[i].Offset = next.Offset + int64(i)
	}
	f.Deliver(sharedlog.Batch{Records: records, Era: next.Era, Next: next.Offset + int64(len(records))}, info)
}

func record(key, value string) sharedlog.Record {
	return sharedlog.Record{Key: key, Value: []byte(value)}
}

// TestEntryExpiredInOutage guards against backend servers that are dropped because their
// entries expired during an outage of the shared log, and against ones that stay listed
// forever.
func TestEntryExpiredInOutage(t *testing.T) {
	is := is.New(t)
	d, fake, f := newTestDirectory()
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"), record("c", "n"))
	is.Equal(len(d.View().Backends), 2)
	deliver(f[1], BatchInfo{}, record("c", ""))
	is.Equal(len(d.View().Backends), 1) // without an outage it is removed at once

	failedAt := fake.Time
	deliver(f[1], BatchInfo{FailedAt: failedAt})
	fake.Time += time.Second
	deliver(f[1], BatchInfo{FailedAt: failedAt}, record("b", ""))
	is.Equal(len(d.View().Backends), 1)
	fake.Time += outageGrace
	deliver(f[1], BatchInfo{FailedAt: failedAt})
	is.Equal(len(d.View().Backends), 0)
}

// TestLeavingAfterOutage guards against requests more than 2.5 s after a backend server
// left, when it leaves just after an outage of the shared log and its entry is taken for
// one that expired during the outage.
func TestLeavingAfterOutage(t *testing.T) {
	is := is.New(t)
	d, fake, f := newTestDirectory()
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"))
	failedAt := fake.Time
	deliver(f[1], BatchInfo{FailedAt: failedAt})
	fake.Time += 1200 * time.Millisecond
	deliver(f[1], BatchInfo{FailedAt: failedAt}, record("b", ""))
	expiresAt := d.View().Backends["b"].ExpiresAt
	is.True(expiresAt > fake.Time)             // the entry may have expired in the outage
	is.True(expiresAt <= failedAt+outageGrace) // the grace runs from the failed read
	fake.Time = failedAt + outageGrace
	deliver(f[1], BatchInfo{FailedAt: failedAt})
	is.Equal(len(d.View().Backends), 0)
}

// TestLeavingBesideFailedRead guards against requests to a backend server that leaves without
// notice while a single read of the catalogue fails, as when the lease holder loses the log:
// its entry was taken for one that expired in an outage, and it got requests 2.4 s later.
func TestLeavingBesideFailedRead(t *testing.T) {
	is := is.New(t)
	d, fake, f := newTestDirectory()
	deliver(f[1], BatchInfo{Snapshot: true, ConfirmedAt: fake.Time}, record("b", "n"), record("c", "n"))
	fake.Time += 400 * time.Millisecond
	failedAt := fake.Time
	fake.Time += 200 * time.Millisecond
	deliver(f[1], BatchInfo{ConfirmedAt: fake.Time, FailedAt: failedAt}, record("b", ""))
	is.Equal(len(d.View().Backends), 1)
	// After an outage the entry of a backend server that could not renew it is kept.
	fake.Time += 3 * time.Second
	deliver(f[1], BatchInfo{ConfirmedAt: fake.Time, FailedAt: fake.Time - 100*time.Millisecond}, record("c", ""))
	is.Equal(len(d.View().Backends), 1)
}

// TestLeavingWhileRelayFails guards against requests to a backend server that leaves without
// notice while the lease holder is cut off from the log. The VMs that poll the lease holder
// learned from it that reads fail, and kept the removed entry for another 2.2 s, although
// their own reads succeeded at once.
func TestLeavingWhileRelayFails(t *testing.T) {
	is := is.New(t)
	d, fake, f := newTestDirectory()
	confirmedAt := fake.Time
	deliver(f[1], BatchInfo{Snapshot: true, ConfirmedAt: confirmedAt}, record("b", "n"), record("c", "n"))
	fake.Time += 1300 * time.Millisecond
	deliver(f[1], BatchInfo{ConfirmedAt: confirmedAt, FailedAt: fake.Time}) // by the relay
	fake.Time += 300 * time.Millisecond
	deliver(f[1], BatchInfo{ConfirmedAt: fake.Time}, record("b", "")) // by an own read
	is.Equal(len(d.View().Backends), 1)
}

// TestConfigurationNeverReverts guards against an older version of the configuration that
// arrives late and replaces a newer one.
func TestConfigurationNeverReverts(t *testing.T) {
	is := is.New(t)
	d, _, f := newTestDirectory()
	deliver(f[0], BatchInfo{}, sharedlog.Record{Key: "config", Value: []byte{7}})
	deliver(f[0], BatchInfo{}, sharedlog.Record{Key: "config", Value: []byte{6}})
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"))
	is.Equal(d.View().Config.Version, int64(7))
}

// TestEvacuation guards against requests to an evacuated failure domain, and against
// backend servers that count as warm right after the evacuation ends.
func TestEvacuation(t *testing.T) {
	is := is.New(t)
	d, fake, f := newTestDirectory()
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"))
	deliver(f[0], BatchInfo{}, record("n", "{}"))
	b := d.View().Backends["b"]
	is.True(!d.View().Usable(&b))
	deliver(f[0], BatchInfo{}, record("n", ""))
	b = d.View().Backends["b"]
	is.True(d.View().Usable(&b))
	is.True(b.ColdUntil > fake.Time)
}

// TestConfigAge guards against a failed read that counts as a confirmation of the
// configuration.
func TestConfigAge(t *testing.T) {
	is := is.New(t)
	d, fake, f := newTestDirectory()
	fake.Time += 3 * time.Second
	f[0].deliverFailure(fake.Time, fake.Time)
	is.Equal(d.ConfigAge(), 3*time.Second)
	deliver(f[0], BatchInfo{ConfirmedAt: fake.Time - time.Second})
	is.Equal(d.ConfigAge(), time.Second)
}

// TestOddEntryIsLoggedOnce guards against a log line at each read of an entry that cannot be
// decoded, against a backend server that stays listed beside it, and against a memory of such
// entries that grows with each that comes and goes.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	d, _, f := newTestDirectory()
	core, lines := observer.New(zap.WarnLevel)
	d.log = zap.New(core)
	decode := d.sources.DecodeBackend
	d.sources.DecodeBackend = func(r sharedlog.Record) BackendChange {
		if string(r.Value) == "odd" {
			return BackendChange{ID: r.Key, Err: errors.New("odd")}
		}
		return decode(r)
	}
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"), record("c", "odd"), record("d", "n"))
	for range 3 {
		deliver(f[1], BatchInfo{}, record("c", "odd"), record("b", "n"))
	}
	is.Equal(len(d.View().Backends), 2)
	is.Equal(lines.Len(), 1)
	deliver(f[1], BatchInfo{}, record("b", "odd"))
	is.Equal(len(d.View().Backends), 1)
	is.Equal(lines.Len(), 2)
	deliver(f[1], BatchInfo{}, record("b", "n"), record("c", "n"))
	is.Equal(len(d.View().Backends), 3)
	deliver(f[1], BatchInfo{}, record("c", "odd"), record("c", ""), record("e", "odd"))
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"))
	is.Equal(lines.Len(), 4)
	is.Equal(len(d.undecodable), 0)
}

// TestLateEntryOfEarlierProcess guards against a backend server that counts as restarted, and so
// as cold and without keys, because an entry of its earlier process, or one without a start,
// arrives late. A process whose clock was set back keeps publishing the lower start.
func TestLateEntryOfEarlierProcess(t *testing.T) {
	is := is.New(t)
	d, _, f := newTestDirectory()
	d.sources.DecodeBackend = func(r sharedlog.Record) BackendChange {
		return BackendChange{ID: r.Key, Backend: fleet.Backend{ID: r.Key, Started: int64(r.Value[0] - '0'), Draining: len(r.Value) > 1}}
	}
	deliver(f[1], BatchInfo{Snapshot: true})
	for _, step := range []struct {
		entry    string
		started  int64
		draining bool
	}{
		{"5", 5, false}, {"3+", 5, false}, {"5", 5, false}, {"0+", 5, false}, {"7", 7, false},
		{"6", 7, false}, {"6+", 6, true}, {"8", 8, false},
	} {
		deliver(f[1], BatchInfo{}, record("b", step.entry))
		b := d.View().Backends["b"]
		is.Equal(b.Started, step.started)
		is.Equal(b.Draining, step.draining)
	}
}
