package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/sharedlog"
)

// build returns a directory whose entries are "DOMAIN" or "DOMAIN cold".
func build() (*Directory, *clock.Fake, []*Follower) {
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

func deliver(f *Follower, info BatchInfo, records ...sharedlog.Record) {
	next := max(0, f.Cursor())
	for i := range records {
		records[i].Offset = next + int64(i)
	}
	f.Deliver(sharedlog.Batch{Records: records, Next: next + int64(len(records))}, info)
}

func record(key, value string) sharedlog.Record {
	return sharedlog.Record{Key: key, Value: []byte(value)}
}

// TestLapsedEntry guards against backend servers that are dropped because their
// entries lapsed while the log was away, and against ones that are kept for good.
func TestLapsedEntry(t *testing.T) {
	is := is.New(t)
	d, fake, f := build()
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"), record("c", "n"))
	is.Equal(len(d.View().Backends), 2)
	deliver(f[1], BatchInfo{}, record("c", ""))
	is.Equal(len(d.View().Backends), 1) // no outage: gone at once

	failed := fake.Time
	deliver(f[1], BatchInfo{FailedAt: failed})
	fake.Time += time.Second
	deliver(f[1], BatchInfo{FailedAt: failed}, record("b", ""))
	is.Equal(len(d.View().Backends), 1)
	fake.Time += returnGrace
	deliver(f[1], BatchInfo{FailedAt: failed})
	is.Equal(len(d.View().Backends), 0)
}

// TestLeavingAfterOutage guards against a backend server that leaves just after an outage
// of the log and is taken for one whose entry lapsed: it gets requests for longer than
// 2.5 s. Seen on grown tropa-central, trouble-1.
func TestLeavingAfterOutage(t *testing.T) {
	is := is.New(t)
	d, fake, f := build()
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"))
	failed := fake.Time
	deliver(f[1], BatchInfo{FailedAt: failed})
	fake.Time += 1200 * time.Millisecond
	deliver(f[1], BatchInfo{FailedAt: failed}, record("b", ""))
	lapsed := d.View().Backends["b"].ExpiresAt
	is.True(lapsed > fake.Time)           // it may have lapsed in the outage
	is.True(lapsed <= failed+returnGrace) // but its time runs from the outage
	fake.Time = failed + returnGrace
	deliver(f[1], BatchInfo{FailedAt: failed})
	is.Equal(len(d.View().Backends), 0)
}

// TestConfigurationNeverReverts guards against an older version that arrives late.
func TestConfigurationNeverReverts(t *testing.T) {
	is := is.New(t)
	d, _, f := build()
	deliver(f[0], BatchInfo{}, sharedlog.Record{Key: "config", Value: []byte{7}})
	deliver(f[0], BatchInfo{}, sharedlog.Record{Key: "config", Value: []byte{6}})
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"))
	is.Equal(d.View().Config.Version, int64(7))
}

// TestEvacuation guards against requests to an evacuated failure domain, and against
// its backend servers taken for warm when they come back.
func TestEvacuation(t *testing.T) {
	is := is.New(t)
	d, fake, f := build()
	deliver(f[1], BatchInfo{Snapshot: true}, record("b", "n"))
	deliver(f[0], BatchInfo{}, record("n", "{}"))
	b := d.View().Backends["b"]
	is.True(!d.View().Usable(&b))
	deliver(f[0], BatchInfo{}, record("n", ""))
	b = d.View().Backends["b"]
	is.True(d.View().Usable(&b))
	is.True(b.ColdUntil > fake.Time)
}

// TestConfigAge guards against a failed read that confirms the configuration.
func TestConfigAge(t *testing.T) {
	is := is.New(t)
	d, fake, f := build()
	fake.Time += 3 * time.Second
	f[0].Deliver(sharedlog.Batch{Next: f[0].Cursor()}, BatchInfo{ConfirmedAt: fake.Time - staleRead, FailedAt: fake.Time})
	is.Equal(d.ConfigAge(), 3*time.Second)
	f[0].Deliver(sharedlog.Batch{Next: f[0].Cursor()}, BatchInfo{ConfirmedAt: fake.Time - time.Second})
	is.Equal(d.ConfigAge(), time.Second)
}
