// Package clock reads a clock that also counts the time during which the machine
// is suspended, so that leases end on time.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed point. It never goes back and also runs
// while the machine is suspended.
type Clock interface {
	Now() time.Duration
}

// System is the clock of the operating system.
type System struct{}

// Now implements Clock. The monotonic clock of the standard library stops during a
// suspend, the boot-time clock does not.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: the boot-time clock cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d, or until ctx ends. It reports whether the wait was whole.
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

// Fake is a clock for tests.
type Fake struct{ Time time.Duration }

// Now implements Clock.
func (f *Fake) Now() time.Duration { return f.Time }
