package gate

import (
	"maps"
	"sync"

	"fireflyfield/internal/backend"
)

// unitGuard counts the requests in flight for each unit of one backend server and
// stops units that are about to move. It protects backend servers that do not
// check fencing tokens.
type unitGuard struct {
	mu       sync.Mutex
	inFlight map[uint64]int
	// stopped holds the token under which a unit was stopped; requests with it are
	// refused, those with a later one belong to a new assignment.
	stopped map[uint64]backend.Fence
	// unitIdle is closed and replaced whenever a unit has no request in flight any more.
	unitIdle chan struct{}
}

func newUnitGuard() *unitGuard {
	return &unitGuard{
		inFlight: make(map[uint64]int),
		stopped:  make(map[uint64]backend.Fence),
		unitIdle: make(chan struct{}),
	}
}

// begin counts a request, or returns false if its unit was stopped.
func (g *unitGuard) begin(owner Owner) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	fence, stopped := g.stopped[owner.Unit]
	if stopped && !fence.Less(owner.Fence) {
		return false
	}
	delete(g.stopped, owner.Unit)
	g.inFlight[owner.Unit]++
	return true
}

func (g *unitGuard) end(unit uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[unit]--
	if g.inFlight[unit] > 0 {
		return
	}
	delete(g.inFlight, unit)
	close(g.unitIdle)
	g.unitIdle = make(chan struct{})
}

// stop refuses further requests for the units under tokens up to the given ones.
func (g *unitGuard) stop(units map[uint64]backend.Fence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.Copy(g.stopped, units)
}

// idleUnits returns the units without a request in flight, and a channel that is
// closed when that may have changed.
func (g *unitGuard) idleUnits(units map[uint64]backend.Fence) ([]uint64, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var idle []uint64
	for unit := range units {
		if g.inFlight[unit] == 0 {
			idle = append(idle, unit)
		}
	}
	return idle, g.unitIdle
}
