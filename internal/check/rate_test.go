package check

import (
	"flag"
	"testing"
	"time"

	"fireflyfield/internal/trace"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The fixed seed makes the test deterministic. -rapid.seed on the command line takes
// precedence, because flags are parsed after init.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func newRateChange(at int64, perSecond float64, burst int) rateChange {
	body := trace.Rate{Workspace: "w", RequestsPerSecond: perSecond, Burst: burst}
	return rateChange{body, at, trace.Event{Time: at, Body: body}}
}

// Guards against a bucket that accepts more than rate x window + burst requests in a
// time window or rejects fewer. The test counts the requests of every window.
func TestBucketMatchesRateWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := float64(rapid.IntRange(1, 20).Draw(t, "rate"))
		burst := rapid.IntRange(1, 5).Draw(t, "burst")
		gaps := rapid.SliceOfN(rapid.Int64Range(0, 300), 1, 30).Draw(t, "gaps in ms")
		b := newBucket([]rateChange{newRateChange(0, perSecond, burst)}, DefaultOptions())
		var times []int64
		var now int64
		for _, gap := range gaps {
			now += gap * ms
			times = append(times, now)
			want := withinWindows(times, perSecond, burst)
			if got := b.take(now); got != want {
				t.Fatalf("take returned %t, want %t by counting windows, for times %v", got, want, times)
			}
			if !want {
				return
			}
		}
	})
}

// withinWindows reports whether every window that ends at the last time stays within
// rate x window + burst.
func withinWindows(times []int64, perSecond float64, burst int) bool {
	last := times[len(times)-1]
	for i, first := range times {
		spent := float64(len(times) - i)
		allowed := perSecond*time.Duration(last-first).Seconds() + float64(burst)
		if spent > allowed+tokenTolerance {
			return false
		}
	}
	return true
}

// Guards against a lowered rate that is never enforced, and against one that is
// enforced before it has to be in force.
func TestLoweredRate(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	change := int64(time.Second)
	b := newBucket([]rateChange{newRateChange(0, 100, 10), newRateChange(change, 1, 1)}, o)
	is.Equal(b.limit(change+int64(o.ConfigGrace)).RequestsPerSecond, 100.0)
	is.Equal(b.limit(change+int64(o.ConfigGrace)+1).RequestsPerSecond, 1.0)
	late := change + int64(o.ConfigGrace) + int64(time.Second)
	is.True(b.take(late))
	is.True(!b.take(late))
}

// Guards against a clock tolerance that is ignored or has no upper bound.
func TestClockTolerance(t *testing.T) {
	is := is.New(t)
	overlap := func(length int64) Verdict {
		s := cleanScenario()
		s.removeEvents(t, isRevokeOf(e1, 1))
		s.revoke(4100+length, e1, 1)
		o := DefaultOptions()
		o.ClockTolerance = 100 * time.Millisecond
		return Run(s.mergedEvents(t), o)[0].Verdict
	}
	is.Equal(overlap(90), Held)
	is.Equal(overlap(110), Broken)
}
