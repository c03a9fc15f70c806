// Package placement chooses a backend server for each unit of a service so that
// no backend server gets much more than its part of the load and few units move.
package placement

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"fireflyfield/internal/keyspace"
)

// Bounds of the load of one backend server as a multiple of its fair part. The
// gaps between the outer and the inner bounds are the hysteresis: a backend server
// outside the outer bounds is brought back to the inner ones, and one between them
// is left alone, so that load reports which lag cause no moves back and forth.
const (
	upperTrigger = 1.15
	upperGoal = 1.05
	lowerTrigger = 0.85
	lowerGoal = 0.95
)

// Server is one backend server of the service.
type Server struct {
	Name string
	// Capacity is relative to the other backend servers.
	Capacity float64
	// Draining backend servers get no units and lose those that they have.
	Draining bool
	// Room is the number of units that may be moved to the backend server now
	// to balance the load; see Refill. Units without an owner ignore it when no
	// backend server has room.
	Room int
}

// Input is the situation that Plan works on.
type Input struct {
	// Units lists every unit to place, in ascending order.
	Units []keyspace.Unit
	// Current maps a unit to its backend server; a unit without one is unowned.
	Current map[keyspace.Unit]string
	// Moving units already have a move in flight: they count as load of Current
	// and are not moved.
	Moving map[keyspace.Unit]bool
	// Load is the reported load per unit. It may lag, be wrong or be missing.
	Load    map[keyspace.Unit]float64
	Servers []Server
	// MaxMoves bounds the moves that only balance the load.
	MaxMoves int
}

// Move gives one unit to another backend server. From is empty for an unowned unit.
type Move struct {
	Unit keyspace.Unit
	From string
	To   string
}

// Plan returns the moves to make now: every unit without a usable backend server
// is placed, then at most MaxMoves units are moved to balance the load.
func Plan(input Input) []Move {
	p := newPlanner(input)
	if len(p.usable) == 0 {
		return nil
	}
	p.placeUnplaced()
	p.balance()
	return p.moves
}

type plannedServer struct {
	Server
	load     float64
	fairLoad     float64
	units    []weightedUnit
	heapIndex int
}

type weightedUnit struct {
	unit   keyspace.Unit
	weight float64
}

func (s *plannedServer) relativeLoad() float64 { return s.load / s.fairLoad }

type planner struct {
	input    Input
	weight   func(keyspace.Unit) float64
	byName   map[string]*plannedServer
	usable  serverHeap
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

// unreportedWeight is the weight of a unit without reported load, where the mean
// unit has unreportedWeight + 1. Without it, wrong or missing reports could put
// most units on one backend server.
const unreportedWeight = 0.25

// unitWeights returns the weight of each unit: a fixed part and its reported load.
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

func validLoad(load float64) float64 {
	if load > 0 && !math.IsInf(load, 1) {
		return load
	}
	return 0
}

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

func (p *planner) addLoad(target *plannedServer, weight float64) {
	target.load += weight
	target.Room--
	heap.Fix(&p.usable, target.heapIndex)
}

// balance takes units from the fullest backend server while one is outside the
// outer bounds, and goes on until it is inside the inner ones.
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

func (p *planner) mostLoaded() *plannedServer {
	return slices.MaxFunc(p.usable, func(a, b *plannedServer) int {
		return cmp.Or(cmp.Compare(a.relativeLoad(), b.relativeLoad()), cmp.Compare(b.Name, a.Name))
	})
}

func (p *planner) leastLoadedAccepting() *plannedServer {
	var found *plannedServer
	for _, s := range p.usable {
		if s.Room > 0 && (found == nil || lessLoaded(s, found)) {
			found = s
		}
	}
	return found
}

// moveOne moves the heaviest unit that leaves the target no fuller than the
// source was; a move that only exchanges their roles would be repeated for ever.
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

// lessLoaded reports whether a has less load than b for its capacity.
func lessLoaded(a, b *plannedServer) bool {
	return cmp.Or(cmp.Compare(a.relativeLoad(), b.relativeLoad()), cmp.Compare(a.Name, b.Name)) < 0
}

type serverHeap []*plannedServer

func (h serverHeap) Len() int { return len(h) }

func (h serverHeap) Less(i, j int) bool {
	if (h[i].Room > 0) != (h[j].Room > 0) {
		return h[i].Room > 0
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
