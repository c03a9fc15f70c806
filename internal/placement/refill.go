package placement

import (
	"math"
	"time"
)

// Refill limits how fast a backend server that has returned gets units: one in
// refillParts of its target per second. Its caches are cold, and a full set of
// units at once would overload it.
type Refill struct {
	started time.Duration
	target  int
	taken   int
}

const refillParts = 20

// NewRefill starts a refill at now, a monotonic clock reading, towards the target
// number of units.
func NewRefill(now time.Duration, target int) *Refill {
	return &Refill{started: now, target: target}
}

// AllowedUnits returns the number of units that the backend server may get at now.
func (r *Refill) AllowedUnits(now time.Duration) int {
	perSecond := float64(r.target) / refillParts
	allowed := 1 + int(math.Floor(perSecond*(now-r.started).Seconds()))
	return max(0, min(allowed, r.target)-r.taken)
}

// CountUnits counts units that were given to the backend server.
func (r *Refill) CountUnits(units int) { r.taken += units }

// Done reports whether the limit has ended at now.
func (r *Refill) Done(now time.Duration) bool {
	return now-r.started >= refillParts*time.Second
}
