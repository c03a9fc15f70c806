package vm

import (
	"sync/atomic"
	"time"

	"fireflyfield/internal/ownership"
)

// clock reads both clocks of the VM relative to its start.
type clock struct {
	start time.Time
	// offset is the time of day less the monotonic clock, in ns, when the last role
	// lease was taken.
	offset atomic.Int64
}

func newClock() *clock { return &clock{start: time.Now()} }

// now returns readings of the monotonic clock and of the time of day.
func (c *clock) now() ownership.Instant {
	now := time.Now()
	return ownership.Instant{
		Mono: now.Sub(c.start),
		Wall: now.Round(0).Sub(c.start.Round(0)), // Round strips the monotonic reading
	}
}

// at returns the time at which the monotonic clock has the reading.
func (c *clock) at(mono time.Duration) time.Time { return c.start.Add(mono) }

// maxClockDifference is the difference between the two clocks that counts as a
// suspend of the machine.
const maxClockDifference = 200 * time.Millisecond

// agreed notes that the clocks agreed at the instant.
func (c *clock) agreed(at ownership.Instant) { c.offset.Store(int64(at.Wall - at.Mono)) }

// leaseNow returns the time against which role leases are checked. The monotonic
// clock may stop while the machine is suspended, so after a suspend the time of
// day counts.
func (c *clock) leaseNow() time.Time {
	now := c.now()
	jump := now.Wall - now.Mono - time.Duration(c.offset.Load())
	if jump > maxClockDifference {
		return c.at(now.Mono + jump)
	}
	return c.at(now.Mono)
}
