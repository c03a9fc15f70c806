package placement

import (
	"math"
	"time"
)

// Refill limits how fast a backend server that has returned to service gets units:
// 1/refillSeconds of its target per second. Its caches are cold, and getting all units
// at once would overload it. Refill is not safe for concurrent use.
type Refill struct {
	started  time.Duration
	target   int
	assigned int
}

// refillSeconds is the time, in seconds, after which a server may have all its units.
const refillSeconds = 20

// NewRefill returns a refill that starts at the monotonic time now and ends at the
// target number of units.
func NewRefill(now time.Duration, target int) *Refill {
	return &Refill{started: now, target: target}
}

// AllowedUnits returns the number of further units that the backend server may get at
// now. The first is allowed at once.
func (r *Refill) AllowedUnits(now time.Duration) int {
	perSecond := float64(r.target) / refillSeconds
	allowed := 1 + int(math.Floor(perSecond*(now-r.started).Seconds()))
	return max(0, min(allowed, r.target)-r.assigned)
}

// CountUnits counts units that were planned for the backend server.
func (r *Refill) CountUnits(units int) { r.assigned += units }

// Done reports whether the limit no longer applies at now.
func (r *Refill) Done(now time.Duration) bool {
	return now-r.started >= refillSeconds*time.Second
}
