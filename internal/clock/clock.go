// Package clock provides a monotonic clock that keeps running while the machine is
// suspended, so that leases expire in time, and a fake clock for tests. What a time means
// is left to its users.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns monotonic time: the time since a fixed point in the past. It also
// advances while the machine is suspended.
type Clock interface {
	Now() time.Duration
}

// System is the boot-time clock of the operating system.
type System struct{}

// Now implements Clock. It reads the boot-time clock, since the monotonic clock of the
// standard library stops while the machine is suspended.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: read the boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d or until ctx ends. It reports whether it waited for all of d.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Fake is a clock for tests that shows Time.
type Fake struct{ Time time.Duration }

// Now implements Clock.
func (f *Fake) Now() time.Duration { return f.Time }
