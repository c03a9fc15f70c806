package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/sharedlog"
)

// newCatalogue returns a directory whose entries are a digit for the start of the process, "D" if
// it is draining and "C" if it is cold, with its clock and the follower of the catalogue.
func newCatalogue() (*Directory, *clock.Fake, *Follower) {
	d, fake, f := newTestDirectory()
	d.sources.DecodeBackend = func(r sharedlog.Record) BackendChange {
		if len(r.Value) == 0 {
			return BackendChange{ID: r.Key, Removed: true}
		}
		b := fleet.Backend{ID: r.Key, Started: int64(r.Value[0] - '0')}
		for _, flag := range r.Value[1:] {
			b.Draining = b.Draining || flag == 'D'
			if flag == 'C' {
				b.ColdRemaining = time.Minute
			}
		}
		return BackendChange{ID: r.Key, Backend: b}
	}
	return d, fake, f[1]
}

// startOutage lists b and c, and makes reads of the catalogue fail for longer than entries last.
func startOutage() (*Directory, *clock.Fake, *Follower) {
	d, fake, f := newCatalogue()
	deliver(f, BatchInfo{Snapshot: true, ConfirmedAt: fake.Time}, record("b", "5"), record("c", "5"))
	fake.Time += 2 * minOutage
	f.deliverFailure(fake.Time, fake.Time)
	return d, fake, f
}

// started returns the start of a listed process; 0 if the backend server is not listed.
func (d *Directory) started(id string) int64 { return d.View().Backends[id].Started }

// TestRemovedWithoutOutage guards against requests to a backend server that left, or was draining,
// and that counts as one whose entry lapsed in an outage.
func TestRemovedWithoutOutage(t *testing.T) {
	is := is.New(t)
	d, fake, f := newCatalogue()
	deliver(f, BatchInfo{Snapshot: true, ConfirmedAt: fake.Time}, record("b", "5"), record("c", "5"))
	deliver(f, BatchInfo{ConfirmedAt: fake.Time}, record("b", ""))
	is.Equal(d.started("b"), int64(0))
	deliver(f, BatchInfo{Snapshot: true, ConfirmedAt: fake.Time}, record("d", "5"))
	is.Equal(d.started("c"), int64(0))

	d, fake, f = startOutage()
	deliver(f, BatchInfo{ConfirmedAt: fake.Time, FailedAt: fake.Time}, record("c", "5D"))
	deliver(f, BatchInfo{ConfirmedAt: fake.Time, FailedAt: fake.Time}, record("b", ""), record("c", ""))
	is.Equal(d.started("b"), int64(5))
	is.Equal(d.started("c"), int64(0))
}

// TestLapsedEntryIsDropped guards against a backend server that is dropped although its entry
// lapsed in an outage, because a batch that knows nothing of the outage, or one after its end,
// made the directory forget it.
func TestLapsedEntryIsDropped(t *testing.T) {
	is := is.New(t)
	d, fake, f := startOutage()
	deliver(f, BatchInfo{ConfirmedAt: fake.Time - 3*minOutage}, record("b", "")) // from before the outage
	is.Equal(d.started("b"), int64(5))

	d, fake, f = startOutage()
	failedAt := fake.Time
	for range 2 { // the source of both has seen the outage
		fake.Time += 300 * time.Millisecond
		deliver(f, BatchInfo{ConfirmedAt: fake.Time, FailedAt: failedAt}, record("c", "5"))
	}
	deliver(f, BatchInfo{ConfirmedAt: fake.Time, FailedAt: failedAt}, record("b", ""))
	is.Equal(d.started("b"), int64(5))
}

// TestLapseTime guards against a lapsed entry that is kept for too short while reads fail, or too
// long, and against listed ones that expire beside it.
func TestLapseTime(t *testing.T) {
	is := is.New(t)
	d, fake, f := startOutage()
	deliver(f, BatchInfo{ConfirmedAt: -time.Hour, FailedAt: fake.Time}, record("b", ""))
	is.Equal(d.View().Backends["b"].ExpiresAt, fake.Time+outageGrace)
	failedAt := fake.Time + time.Second
	fake.Time = failedAt
	f.deliverFailure(fake.Time, failedAt)
	is.Equal(d.backends["b"].ExpiresAt, failedAt+outageGrace)
	is.Equal(d.backends["c"].ExpiresAt, time.Duration(0))
	// A failed read that a relay reports late.
	deliver(f, BatchInfo{ConfirmedAt: -time.Hour, FailedAt: failedAt - time.Second/2}, record("c", ""))
	is.Equal(d.backends["b"].ExpiresAt, failedAt+outageGrace)
	is.Equal(d.backends["c"].ExpiresAt, failedAt+outageGrace)
	// The log is restored to a copy that lacks the lapsed entry, too.
	fake.Time += time.Second
	deliverRestored(f)
	is.Equal(d.backends["b"].ExpiresAt, failedAt+outageGrace)
	fake.Time = failedAt + outageGrace
	f.deliverFailure(fake.Time, 0)
	is.Equal(len(d.View().Backends), 0)
}

// TestFailedReadConfirmsNothing guards against a failed read that lets the next one count as an
// outage, so that a backend server that leaves beside them gets requests.
func TestFailedReadConfirmsNothing(t *testing.T) {
	is := is.New(t)
	d, fake, f := newCatalogue()
	deliver(f, BatchInfo{Snapshot: true, ConfirmedAt: fake.Time}, record("b", "5"))
	for range 2 {
		fake.Time += minOutage / 4
		f.deliverFailure(fake.Time, fake.Time)
	}
	deliver(f, BatchInfo{ConfirmedAt: fake.Time, FailedAt: fake.Time}, record("b", ""))
	is.Equal(d.started("b"), int64(0))
}

// TestEntriesOfEarlierProcess guards against late entries of earlier processes that replace the
// present one, and against a process whose clock was set back and that is never listed.
func TestEntriesOfEarlierProcess(t *testing.T) {
	for name, c := range map[string]struct {
		entries []string // "" for a removal, "R" for a restored log with the present entry
		want    int64
	}{
		"once":                      {[]string{"5", "3"}, 5},
		"twice":                     {[]string{"5", "3", "3"}, 3},
		"two earlier ones":          {[]string{"5", "3", "2"}, 5},
		"present one between":       {[]string{"5", "3", "5", "3"}, 5},
		"removal between":           {[]string{"5", "3", "", "5", "3"}, 5},
		"restored log between":      {[]string{"5", "3", "R", "3"}, 3},
		"present one after removal": {[]string{"5", "", "3"}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			d, _, f := newCatalogue()
			deliver(f, BatchInfo{Snapshot: true})
			for _, entry := range c.entries {
				if entry == "R" {
					deliverRestored(f, record("b", "5"))
					continue
				}
				deliver(f, BatchInfo{}, record("b", entry))
			}
			is.New(t).Equal(d.started("b"), c.want)
		})
	}
}

// TestLateEntryAfterLapse is the same for an entry that lapsed in between.
func TestLateEntryAfterLapse(t *testing.T) {
	is := is.New(t)
	d, fake, f := startOutage()
	info := BatchInfo{ConfirmedAt: fake.Time, FailedAt: fake.Time}
	deliver(f, info, record("b", "3"))
	deliver(f, info, record("b", ""))
	is.Equal(d.started("b"), int64(5))
	fake.Time += outageGrace
	deliver(f, info)
	is.Equal(d.started("b"), int64(0))
	deliver(f, info, record("b", "5"))
	deliver(f, info, record("b", "3"))
	is.Equal(d.started("b"), int64(5))
}

// TestOlderCopyOfCatalogue guards against an older copy of the catalogue that lists what has left,
// replaces what is newer, makes a cold process warm, or hides what has come since.
func TestOlderCopyOfCatalogue(t *testing.T) {
	for name, c := range map[string]struct {
		before []string
		copied string
		want   Backend
	}{
		"earlier process":                {[]string{"5"}, "3", Backend{Backend: fleet.Backend{ID: "b", Started: 5}}},
		"later process":                  {[]string{"5"}, "7", Backend{Backend: fleet.Backend{ID: "b", Started: 7}}},
		"process after one that drained": {[]string{"5D"}, "7", Backend{Backend: fleet.Backend{ID: "b", Started: 7}}},
		"drained":                        {[]string{"5D"}, "5", Backend{Backend: fleet.Backend{ID: "b", Started: 5, Draining: true}}},
		"left":                           {[]string{"5", ""}, "5", Backend{}},
		"process after one that left":    {[]string{"5", ""}, "7", Backend{Backend: fleet.Backend{ID: "b", Started: 7}}},
		"cold":                           {[]string{"5C"}, "5", Backend{Backend: fleet.Backend{ID: "b", Started: 5}, ColdUntil: time.Hour + time.Minute + coldMargin}},
		"process after a cold one":       {[]string{"5C"}, "7", Backend{Backend: fleet.Backend{ID: "b", Started: 7}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, _, f := newCatalogue()
			deliver(f, BatchInfo{Snapshot: true})
			for _, entry := range c.before {
				deliver(f, BatchInfo{}, record("b", entry))
			}
			deliverRestored(f, record("b", c.copied))
			got := d.View().Backends["b"]
			got.Updated, got.ColdRemaining = 0, 0
			is.Equal(got, c.want)
		})
	}
}

// TestOlderCopyAfterDeparture guards against a backend server that an older copy lists again after
// its entry lapsed for good, one that came back and is taken for gone, and a memory of departures
// that grows with each.
func TestOlderCopyAfterDeparture(t *testing.T) {
	is := is.New(t)
	d, fake, f := startOutage()
	info := BatchInfo{ConfirmedAt: fake.Time, FailedAt: fake.Time}
	deliver(f, info, record("b", ""), record("c", ""))
	fake.Time += outageGrace
	deliver(f, info)
	is.Equal(len(d.View().Backends), 0)
	deliver(f, info, record("c", "5")) // writes its entry again
	deliverRestored(f)                 // lapses in a copy
	is.True(d.View().Backends["c"].ExpiresAt > 0)
	deliverRestored(f, record("b", "5"), record("c", "5"))
	is.Equal(d.started("b"), int64(0))
	is.Equal(d.started("c"), int64(5))
	is.Equal(d.View().Backends["c"].ExpiresAt, time.Duration(0))

	fake.Time += departedRetention + time.Second
	deliver(f, BatchInfo{ConfirmedAt: fake.Time}, record("c", ""))
	is.Equal(len(d.departed), 1)
}
