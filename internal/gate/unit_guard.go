package gate

import (
	"maps"
	"sync"

	"fireflyfield/internal/backend"
)

// unitGuard counts the requests in flight for each unit of one backend server and
// stops units that are about to move. Backend servers that do not check grants rely on
// it to get no request for a unit that has moved. It is safe for concurrent use.
type unitGuard struct {
	mu       sync.Mutex
	inFlight map[uint64]int
	// stopped holds the fencing token up to which a unit was stopped. Requests with it
	// or an earlier one are refused; a later one belongs to a new assignment.
	stopped map[uint64]backend.Fence
	// unitIdle is closed and replaced whenever the last request of a unit ends.
	unitIdle chan struct{}
}

func newUnitGuard() *unitGuard {
	return &unitGuard{
		inFlight: make(map[uint64]int),
		stopped:  make(map[uint64]backend.Fence),
		unitIdle: make(chan struct{}),
	}
}

// begin counts a request of the unit. It returns false, and counts none, if the unit
// was stopped.
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

// end ends a request that begin counted.
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

// stop refuses further requests for the units with fencing tokens up to the given
// ones.
func (g *unitGuard) stop(units map[uint64]backend.Fence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.Copy(g.stopped, units)
}

// idleUnits returns those of the units that have no request in flight, and a channel
// that is closed when there may be more of them.
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
