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
	upperOuter = 1.15
	upperInner = 1.05
	lowerOuter = 0.85
	lowerInner = 0.95
)

// Server is one backend server of the service.
type Server struct {
	Name string
	// Capacity is relative to the other backend servers.
	Capacity float64
	// Draining backend servers get no units and lose those that they have.
	Draining bool
	// MaxNewUnits is the number of units that may be moved to the backend server now
	// to balance the load; see Refill. Units without an owner ignore it when no
	// backend server has room.
	MaxNewUnits int
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
	if len(p.targets) == 0 {
		return nil
	}
	p.placeHomeless()
	p.balance()
	return p.moves
}

type server struct {
	Server
	load     float64
	fair     float64
	units    []weighted
	position int
}

type weighted struct {
	unit   keyspace.Unit
	weight float64
}

func (s *server) ratio() float64 { return s.load / s.fair }

type planner struct {
	input    Input
	weight   func(keyspace.Unit) float64
	byName   map[string]*server
	targets  serverHeap
	homeless []Move
	moves    []Move
}

func newPlanner(input Input) *planner {
	p := &planner{input: input, weight: weights(input), byName: make(map[string]*server)}
	capacity := 0.0
	for _, s := range input.Servers {
		if s.Draining || s.Capacity <= 0 {
			continue
		}
		added := &server{Server: s, position: len(p.targets)}
		p.byName[s.Name] = added
		p.targets = append(p.targets, added)
		capacity += s.Capacity
	}
	p.addUnits(capacity)
	heap.Init(&p.targets)
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
				owner.units = append(owner.units, weighted{unit, weight})
			}
		case !p.input.Moving[unit]:
			p.homeless = append(p.homeless, Move{Unit: unit, From: p.input.Current[unit]})
		}
	}
	for _, s := range p.targets {
		s.fair = math.Max(total*s.Capacity/capacity, math.SmallestNonzeroFloat64)
	}
}

// unreportedWeight is the weight of a unit without reported load, where the mean
// unit has unreportedWeight + 1. Without it, wrong or missing reports could put
// most units on one backend server.
const unreportedWeight = 0.25

// weights returns the weight of each unit: a fixed part and its reported load.
func weights(input Input) func(keyspace.Unit) float64 {
	reported := 0.0
	for _, unit := range input.Units {
		reported += usableLoad(input.Load[unit])
	}
	if reported == 0 {
		return func(keyspace.Unit) float64 { return 1 }
	}
	mean := reported / float64(len(input.Units))
	return func(unit keyspace.Unit) float64 { return unreportedWeight + usableLoad(input.Load[unit])/mean }
}

func usableLoad(load float64) float64 {
	if load > 0 && !math.IsInf(load, 1) {
		return load
	}
	return 0
}

func (p *planner) placeHomeless() {
	slices.SortFunc(p.homeless, func(a, b Move) int {
		return cmp.Or(cmp.Compare(p.weight(b.Unit), p.weight(a.Unit)), cmp.Compare(a.Unit, b.Unit))
	})
	for _, move := range p.homeless {
		target := p.targets[0]
		move.To = target.Name
		p.moves = append(p.moves, move)
		p.give(target, p.weight(move.Unit))
	}
}

func (p *planner) give(target *server, weight float64) {
	target.load += weight
	target.MaxNewUnits--
	heap.Fix(&p.targets, target.position)
}

// balance takes units from the fullest backend server while one is outside the
// outer bounds, and goes on until it is inside the inner ones.
func (p *planner) balance() {
	for _, s := range p.targets {
		slices.SortFunc(s.units, func(a, b weighted) int {
			return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.unit, b.unit))
		})
	}
	upper, lower := upperOuter, lowerOuter
	for range p.input.MaxMoves {
		source, target := p.fullest(), p.emptiestWithRoom()
		if target == nil || source == target {
			return
		}
		if source.ratio() <= upper && target.ratio() >= lower {
			return
		}
		upper, lower = upperInner, lowerInner
		if !p.moveOne(source, target) {
			return
		}
	}
}

func (p *planner) fullest() *server {
	return slices.MaxFunc(p.targets, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.ratio(), b.ratio()), cmp.Compare(b.Name, a.Name))
	})
}

func (p *planner) emptiestWithRoom() *server {
	var found *server
	for _, s := range p.targets {
		if s.MaxNewUnits > 0 && (found == nil || lighter(s, found)) {
			found = s
		}
	}
	return found
}

// moveOne moves the heaviest unit that leaves the target no fuller than the
// source was; a move that only exchanges their roles would be repeated for ever.
func (p *planner) moveOne(source, target *server) bool {
	for i := len(source.units) - 1; i >= 0; i-- {
		unit := source.units[i]
		if (target.load+unit.weight)/target.fair >= source.ratio() {
			continue
		}
		source.units = slices.Delete(source.units, i, i+1)
		source.load -= unit.weight
		heap.Fix(&p.targets, source.position)
		p.moves = append(p.moves, Move{Unit: unit.unit, From: source.Name, To: target.Name})
		p.give(target, unit.weight)
		return true
	}
	return false
}

// lighter reports whether a has less load than b for its capacity.
func lighter(a, b *server) bool {
	return cmp.Or(cmp.Compare(a.ratio(), b.ratio()), cmp.Compare(a.Name, b.Name)) < 0
}

type serverHeap []*server

func (h serverHeap) Len() int { return len(h) }

func (h serverHeap) Less(i, j int) bool {
	if (h[i].MaxNewUnits > 0) != (h[j].MaxNewUnits > 0) {
		return h[i].MaxNewUnits > 0
	}
	return lighter(h[i], h[j])
}

func (h serverHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

func (h *serverHeap) Push(x any) { *h = append(*h, x.(*server)) }

func (h *serverHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
