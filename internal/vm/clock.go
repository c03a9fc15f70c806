package vm

import (
	"sync/atomic"
	"time"

	"fireflyfield/internal/ownership"
)

// clock reads the monotonic clock and the wall clock relative to the start of the
// VM. It detects a suspend of the machine, during which the monotonic clock may
// stand still.
type clock struct {
	start time.Time
	// offset is the wall clock minus the monotonic clock, in ns, when this VM accepted
	// the last role lease that has roles.
	offset atomic.Int64
}

func newClock() *clock { return &clock{start: time.Now()} }

// now returns the time since the start by the monotonic and by the wall clock.
func (c *clock) now() ownership.Instant {
	now := time.Now()
	return ownership.Instant{
		Mono: now.Sub(c.start),
		Wall: now.Round(0).Sub(c.start.Round(0)), // Round strips the monotonic reading
	}
}

// timeAt converts a monotonic time since the start to a time.Time.
func (c *clock) timeAt(mono time.Duration) time.Time { return c.start.Add(mono) }

// maxClockDifference is the advance of the wall clock over the monotonic clock
// above which the machine counts as having been suspended.
const maxClockDifference = 200 * time.Millisecond

// calibrate takes the difference of the two clocks at the instant as the reference
// for detecting a suspend.
func (c *clock) calibrate(now ownership.Instant) { c.offset.Store(int64(now.Wall - now.Mono)) }

// leaseNow returns the time against which the expiry of role leases is checked. It
// is the monotonic time, advanced by the duration of a suspend, if there was one
// since the last calibration.
func (c *clock) leaseNow() time.Time {
	now := c.now()
	jump := now.Wall - now.Mono - time.Duration(c.offset.Load())
	if jump > maxClockDifference {
		return c.timeAt(now.Mono + jump)
	}
	return c.timeAt(now.Mono)
}
