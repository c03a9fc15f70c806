// Package placement chooses a backend server for each unit of a service, so that the
// load of each backend server is close to its fair part and few units move. It leaves
// carrying out the moves, and the collection of load reports, to the caller.
package placement

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"fireflyfield/internal/keyspace"
)

// Bounds of the relative load of a backend server, which is its load as a multiple of
// its fair load. Balancing starts when a server is outside the trigger bounds and goes
// on until all are inside the goal bounds. The gap between them is a hysteresis: it
// keeps delayed load reports from moving units back and forth.
const (
	upperTrigger = 1.15
	upperGoal    = 1.05
	lowerTrigger = 0.85
	lowerGoal    = 0.95
)

// Server is a backend server of the service.
type Server struct {
	Name string
	// Capacity is the capacity relative to that of the other backend servers. A
	// server whose capacity is not positive gets no units.
	Capacity float64
	// Draining is set for a backend server that gets no units and loses those it has.
	Draining bool
	// MaxNewUnits is the number of units that may be moved to the backend server now;
	// see Refill. Units without an owner are placed on a server that has used it up
	// only if all servers have.
	MaxNewUnits int
}

// Input describes the units, the servers and the load that Plan works on.
type Input struct {
	// Units lists every unit of the service, in ascending order.
	Units []keyspace.Unit
	// Current maps a unit to its backend server; a unit without one is unowned.
	Current map[keyspace.Unit]string
	// Moving is the set of units with a move in progress. They count as load of their
	// server in Current and are not moved again.
	Moving map[keyspace.Unit]bool
	// Load is the reported load per unit. It may be delayed, wrong or missing.
	Load    map[keyspace.Unit]float64
	Servers []Server
	// MaxMoves is the largest number of moves that only balance the load.
	MaxMoves int
}

// Move moves one unit to the backend server To. From is empty for a unit without an
// owner.
type Move struct {
	Unit keyspace.Unit
	From string
	To   string
}

// Plan returns the moves to make now. It places every unit whose backend server is
// missing, draining or without capacity, and then moves at most MaxMoves units to
// balance the load. It returns no moves if no backend server is usable.
func Plan(input Input) []Move {
	p := newPlanner(input)
	if len(p.usable) == 0 {
		return nil
	}
	p.placeUnplaced()
	p.balance()
	return p.moves
}

// plannedServer is a usable backend server with its load and its movable units under
// the moves planned so far.
type plannedServer struct {
	Server
	load      float64
	fairLoad  float64
	units     []weightedUnit
	heapIndex int
}

type weightedUnit struct {
	unit   keyspace.Unit
	weight float64
}

// relativeLoad returns the load as a multiple of the fair load.
func (s *plannedServer) relativeLoad() float64 { return s.load / s.fairLoad }

// planner is the state of one call of Plan. usable is a heap with the server that gets
// the next unit at its root.
type planner struct {
	input    Input
	weight   func(keyspace.Unit) float64
	byName   map[string]*plannedServer
	usable   serverHeap
	unplaced []Move
	moves    []Move
}

func newPlanner(input Input) *planner {
	p := &planner{input: input, weight: unitWeights(input), byName: make(map[string]*plannedServer)}
	capacity := 0.0
	for _, s := range input.Servers {
		if s.Draining || s.Capacity <= 0 {
			continue
		}
		added := &plannedServer{Server: s, heapIndex: len(p.usable)}
		p.byName[s.Name] = added
		p.usable = append(p.usable, added)
		capacity += s.Capacity
	}
	p.addUnits(capacity)
	heap.Init(&p.usable)
	return p
}

// addUnits assigns each unit's weight to its server, collects the units to place and
// sets the servers' fair loads from their parts of the total capacity.
func (p *planner) addUnits(capacity float64) {
	total := 0.0
	for _, unit := range p.input.Units {
		weight := p.weight(unit)
		total += weight
		owner, usable := p.byName[p.input.Current[unit]]
		switch {
		case usable:
			owner.load += weight
			if !p.input.Moving[unit] {
				owner.units = append(owner.units, weightedUnit{unit, weight})
			}
		case !p.input.Moving[unit]:
			p.unplaced = append(p.unplaced, Move{Unit: unit, From: p.input.Current[unit]})
		}
	}
	for _, s := range p.usable {
		s.fairLoad = math.Max(total*s.Capacity/capacity, math.SmallestNonzeroFloat64)
	}
}

// unreportedWeight is the weight of a unit without reported load; the mean weight is
// unreportedWeight + 1. If it were zero, wrong or missing reports could put most units
// on one backend server.
const unreportedWeight = 0.25

// unitWeights returns a function for the weight of a unit: unreportedWeight plus its
// reported load relative to the mean. All weights are 1 if no load is reported.
func unitWeights(input Input) func(keyspace.Unit) float64 {
	reported := 0.0
	for _, unit := range input.Units {
		reported += validLoad(input.Load[unit])
	}
	if reported == 0 {
		return func(keyspace.Unit) float64 { return 1 }
	}
	mean := reported / float64(len(input.Units))
	return func(unit keyspace.Unit) float64 { return unreportedWeight + validLoad(input.Load[unit])/mean }
}

// validLoad returns the load, or zero if it is negative, infinite or not a number.
func validLoad(load float64) float64 {
	if load > 0 && !math.IsInf(load, 1) {
		return load
	}
	return 0
}

// placeUnplaced places the units without a usable server, the heaviest first, each on
// the server at the root of the heap.
func (p *planner) placeUnplaced() {
	slices.SortFunc(p.unplaced, func(a, b Move) int {
		return cmp.Or(cmp.Compare(p.weight(b.Unit), p.weight(a.Unit)), cmp.Compare(a.Unit, b.Unit))
	})
	for _, move := range p.unplaced {
		target := p.usable[0]
		move.To = target.Name
		p.moves = append(p.moves, move)
		p.addLoad(target, p.weight(move.Unit))
	}
}

// addLoad adds a unit of the weight to the target's load and counts it as a new unit.
func (p *planner) addLoad(target *plannedServer, weight float64) {
	target.load += weight
	target.MaxNewUnits--
	heap.Fix(&p.usable, target.heapIndex)
}

// balance moves units from the most loaded to the least loaded backend server. It
// starts if one is outside the trigger bounds and goes on until both are inside the
// goal bounds.
func (p *planner) balance() {
	for _, s := range p.usable {
		slices.SortFunc(s.units, func(a, b weightedUnit) int {
			return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.unit, b.unit))
		})
	}
	upper, lower := upperTrigger, lowerTrigger
	for range p.input.MaxMoves {
		source, target := p.mostLoaded(), p.leastLoadedAccepting()
		if target == nil || source == target {
			return
		}
		if source.relativeLoad() <= upper && target.relativeLoad() >= lower {
			return
		}
		upper, lower = upperGoal, lowerGoal
		if !p.moveOne(source, target) {
			return
		}
	}
}

// mostLoaded returns the server with the highest relative load.
func (p *planner) mostLoaded() *plannedServer {
	return slices.MaxFunc(p.usable, func(a, b *plannedServer) int {
		return cmp.Or(cmp.Compare(a.relativeLoad(), b.relativeLoad()), cmp.Compare(b.Name, a.Name))
	})
}

// leastLoadedAccepting returns the server with the lowest relative load among those
// that may get more units, or nil.
func (p *planner) leastLoadedAccepting() *plannedServer {
	var found *plannedServer
	for _, s := range p.usable {
		if s.MaxNewUnits > 0 && (found == nil || lessLoaded(s, found)) {
			found = s
		}
	}
	return found
}

// moveOne moves the heaviest unit that leaves the target less loaded than the source
// was, and reports whether there is one. Without that condition the next plan could
// move the unit back, and so on for ever.
func (p *planner) moveOne(source, target *plannedServer) bool {
	for i := len(source.units) - 1; i >= 0; i-- {
		unit := source.units[i]
		if (target.load+unit.weight)/target.fairLoad >= source.relativeLoad() {
			continue
		}
		source.units = slices.Delete(source.units, i, i+1)
		source.load -= unit.weight
		heap.Fix(&p.usable, source.heapIndex)
		p.moves = append(p.moves, Move{Unit: unit.unit, From: source.Name, To: target.Name})
		p.addLoad(target, unit.weight)
		return true
	}
	return false
}

// lessLoaded reports whether the relative load of a is less than that of b. The name
// decides between equal loads.
func lessLoaded(a, b *plannedServer) bool {
	return cmp.Or(cmp.Compare(a.relativeLoad(), b.relativeLoad()), cmp.Compare(a.Name, b.Name)) < 0
}

// serverHeap orders servers that may get more units before the others, and then by
// relative load. It implements heap.Interface and records each server's index.
type serverHeap []*plannedServer

func (h serverHeap) Len() int { return len(h) }

func (h serverHeap) Less(i, j int) bool {
	if (h[i].MaxNewUnits > 0) != (h[j].MaxNewUnits > 0) {
		return h[i].MaxNewUnits > 0
	}
	return lessLoaded(h[i], h[j])
}

func (h serverHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *serverHeap) Push(x any) { *h = append(*h, x.(*plannedServer)) }

func (h *serverHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
