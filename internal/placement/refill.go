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
	assigned   int
}

const refillSeconds = 20

// NewRefill starts a refill at now, a monotonic clock reading, towards the target
// number of units.
func NewRefill(now time.Duration, target int) *Refill {
	return &Refill{started: now, target: target}
}

// Room returns the number of units that the backend server may get at now.
func (r *Refill) Room(now time.Duration) int {
	perSecond := float64(r.target) / refillSeconds
	allowed := 1 + int(math.Floor(perSecond*(now-r.started).Seconds()))
	return max(0, min(allowed, r.target)-r.assigned)
}

// Take counts units that were given to the backend server.
func (r *Refill) Take(units int) { r.assigned += units }

// Done reports whether the limit has ended at now.
func (r *Refill) Done(now time.Duration) bool {
	return now-r.started >= refillSeconds*time.Second
}
