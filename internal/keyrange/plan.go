package keyrange

import (
	"cmp"
	"math"
	"slices"
)

// Server is a backend server that may own keys.
type Server struct {
	ID       string
	Capacity float64 // relative to the other servers
}

const (
	// imbalanceRatio is the ratio of the load of a backend server to its target load above
	// which keys leave it. Counts of a few seconds vary by 10 to 20% at random.
	imbalanceRatio = 1.35
	// minDeviations is the number of standard deviations above its target load from which
	// on the load of a backend server counts as too high.
	minDeviations = 2
	// maxTargetRatio bounds the relative load of the receiving server after a move, as a
	// fraction of the relative load of the owner before the move.
	maxTargetRatio = 0.8
	// maxHotTargetRatio is the same for a range that alone exceeds the target load of the
	// receiving server, such as one very busy key. It is lower because the range is not
	// served for a second or two while it moves.
	maxHotTargetRatio = 0.5
	// minMoveFraction is the smallest load that is worth a move, as a fraction of the load
	// that should move. It is also the least room that is assumed at the receiving server,
	// as a fraction of its target load.
	minMoveFraction = 0.2
	// maxUnownedPieces is the number of pieces into which a range without an owner is
	// usually split, so that several servers share the load of a lost one.
	maxUnownedPieces = 3
	// uniformLoadFraction is the load that is added evenly to all keys, as a fraction of
	// the measured load, so that keys without requests are divided too.
	uniformLoadFraction = 0.15
)

// Move is a decision to assign a range to the server To, whether or not the range has an
// owner.
type Move struct {
	Range Range
	To    string
}

// Planner assigns ranges of one service to backend servers. It handles two load
// patterns: the keys of a lost backend server, which go to several others at once, and
// busy keys that lie close together, of which the smallest range that carries the excess
// load moves.
type Planner struct {
	weight     *Weight
	total      float64
	servers    []Server
	load       map[string]float64
	targetLoad map[string]float64
}

// NewPlanner returns a planner for the given owners and loads. The load of an entry
// counts for its Backend, so for a moving entry the caller sets Backend to the server
// that the range moves to.
func NewPlanner(entries []Entry, servers []Server, weight *Weight) *Planner {
	p := &Planner{servers: servers, load: make(map[string]float64), targetLoad: make(map[string]float64)}
	p.addUniformLoad(weight)
	capacity := 0.0
	for _, server := range servers {
		capacity += server.Capacity
	}
	for _, server := range servers {
		p.targetLoad[server.ID] = p.total * server.Capacity / capacity
	}
	for _, entry := range entries {
		p.load[entry.Backend] += p.weight.RangeLoad(entry.Range)
	}
	return p
}

// addUniformLoad sets the planner's weight to the measured load plus the uniform load.
func (p *Planner) addUniformLoad(weight *Weight) {
	measured := 0.0
	for _, load := range weight {
		measured += load
	}
	even := measured * uniformLoadFraction / Parts
	if measured == 0 {
		even = 1
	}
	p.weight = new(Weight)
	for i, load := range weight {
		p.weight[i] = load + even
		p.total += p.weight[i]
	}
}

// Place returns owners for ranges that have none. It may split a range into several
// moves.
func (p *Planner) Place(unowned []Range) []Move {
	if len(p.servers) == 0 {
		return nil
	}
	var moves []Move
	for _, r := range unowned {
		for _, piece := range p.splitUnowned(r) {
			to := p.leastLoaded()
			p.load[to] += p.weight.RangeLoad(piece)
			moves = append(moves, Move{Range: piece, To: to})
		}
	}
	return moves
}

// splitUnowned divides a range into pieces of about equal load: usually maxUnownedPieces,
// one for a small load, and one per server for a load above that of maxUnownedPieces
// average servers, so that no piece exceeds the target load of an average server by much.
func (p *Planner) splitUnowned(r Range) []Range {
	load := p.weight.RangeLoad(r)
	average := p.total / float64(len(p.servers))
	pieces := min(maxUnownedPieces, len(p.servers))
	if load > average*maxUnownedPieces {
		pieces = len(p.servers)
	} else if load < average/float64(len(p.servers)) {
		pieces = 1
	}
	var out []Range
	first, sum := r.First, 0.0
	for part := r.First / PartSize; part <= r.Last/PartSize; part++ {
		sum += p.weight[part]
		last := part*PartSize + PartSize - 1
		if len(out) < pieces-1 && sum >= load*float64(len(out)+1)/float64(pieces) && last < r.Last {
			out = append(out, Range{first, last})
			first = last + 1
		}
	}
	return append(out, Range{first, r.Last})
}

// leastLoaded returns the ID of the server with the lowest relative load.
func (p *Planner) leastLoaded() string {
	best := slices.MinFunc(p.servers, func(a, b Server) int {
		return cmp.Compare(p.relativeLoad(a.ID), p.relativeLoad(b.ID))
	})
	return best.ID
}

// relativeLoad returns the load of a backend server as a multiple of its target load.
func (p *Planner) relativeLoad(id string) float64 { return p.load[id] / max(p.targetLoad[id], 1e-9) }

// Balance returns at most limit moves that relieve the backend servers with the
// highest load. A backend server whose load cannot be moved, such as the owner of one
// very busy key, does not keep the others from being relieved.
func (p *Planner) Balance(entries []Entry, limit int) []Move {
	if len(p.servers) < 2 {
		return nil
	}
	movable := make(map[string][]Range)
	for _, entry := range entries {
		if !entry.Moving {
			movable[entry.Backend] = append(movable[entry.Backend], entry.Range)
		}
	}
	stuck := make(map[string]bool)
	var moves []Move
	for len(moves) < limit {
		from, ok := p.mostOverloaded(stuck)
		if !ok {
			return moves
		}
		to := p.leastLoaded()
		piece, index := p.pickPiece(movable[from], p.moveBounds(from, to))
		if to == from || index < 0 {
			stuck[from] = true
			continue
		}
		movable[from] = slices.Replace(movable[from], index, index+1, subtract(movable[from][index], piece)...)
		load := p.weight.RangeLoad(piece)
		p.load[from] -= load
		p.load[to] += load
		moves = append(moves, Move{Range: piece, To: to})
	}
	return moves
}

// mostOverloaded returns the backend server with the highest relative load among those
// clearly above their target load, and false if there is none. Loads are counts, whose
// standard deviation is about their square root. Servers in stuck are skipped.
func (p *Planner) mostOverloaded(stuck map[string]bool) (string, bool) {
	best := ""
	for _, server := range p.servers {
		id := server.ID
		load, target := p.load[id], p.targetLoad[id]
		if stuck[id] || load < imbalanceRatio*target || load < target+minDeviations*math.Sqrt(target) {
			continue
		}
		if best == "" || p.relativeLoad(id) > p.relativeLoad(best) {
			best = id
		}
	}
	return best, best != ""
}

// loadBounds are the minimum, the desired and the maximum load of a piece to be moved.
type loadBounds struct{ min, desired, max float64 }

// moveBounds returns the bounds of a piece that relieves the server from and leaves the
// server to less busy than from is now.
func (p *Planner) moveBounds(from, to string) loadBounds {
	// equalLoad is the load with which to would be as busy as from is now.
	equalLoad := p.relativeLoad(from) * p.targetLoad[to]
	most := max(min(maxTargetRatio*equalLoad-p.load[to], p.targetLoad[to]), maxHotTargetRatio*equalLoad-p.load[to])
	wanted := min(p.load[from]-p.targetLoad[from], max(p.targetLoad[to]-p.load[to], minMoveFraction*p.targetLoad[to]))
	return loadBounds{min: minMoveFraction * min(wanted, p.targetLoad[to]), desired: min(wanted, most), max: most}
}

// pickPiece returns a range to move and the index of the range that contains it, or -1.
// Of the candidates with at least the desired load it takes the smallest, otherwise the
// one with the highest load.
func (p *Planner) pickPiece(ranges []Range, b loadBounds) (Range, int) {
	best, index, load := Range{}, -1, 0.0
	for i, r := range ranges {
		for _, piece := range p.candidates(r, b) {
			n := p.weight.RangeLoad(piece)
			better := min(n, b.desired) > min(load, b.desired) ||
				n >= b.desired && load >= b.desired && piece.Size() < best.Size()
			if n >= b.min && n > 0 && (index < 0 || better) {
				best, index, load = piece, i, n
			}
		}
	}
	return best, index
}

// candidates returns ranges of r with a load of at most b.max: one at each end with the
// desired load, if r has that much, and the busiest part.
func (p *Planner) candidates(r Range, b loadBounds) []Range {
	first, last := r.First/PartSize, r.Last/PartSize
	var out []Range
	if end := p.lastFittingPart(first, last, 1, b); end >= first {
		out = append(out, Range{r.First, min(r.Last, end*PartSize+PartSize-1)})
	}
	if end := p.lastFittingPart(last, first, -1, b); end <= last {
		out = append(out, Range{max(r.First, end*PartSize), r.Last})
	}
	busiest := first
	for part := first; part <= last; part++ {
		if p.weight[part] > p.weight[busiest] {
			busiest = part
		}
	}
	if p.weight[busiest] <= b.max {
		out = append(out, Range{max(r.First, busiest*PartSize), min(r.Last, busiest*PartSize+PartSize-1)})
	}
	return out
}

// lastFittingPart adds up the loads of the parts between from and to, in the direction of
// step. It stops early when the sum reaches the desired load or the next part would raise
// it above b.max, and returns the last part that it added. If it added none, it returns
// the part before from.
func (p *Planner) lastFittingPart(from, to, step int, b loadBounds) int {
	sum, part := 0.0, from
	for ; part != to+step && sum < b.desired; part += step {
		if sum+p.weight[part] > b.max {
			break
		}
		sum += p.weight[part]
	}
	return part - step
}

// subtract returns the ranges of outer that are left without inner, which lies in it.
func subtract(outer, inner Range) []Range {
	return slices.DeleteFunc(outer.Cut(inner), func(r Range) bool { return r == inner })
}

// maxRangesPerServer is the number of ranges per backend server above which only
// minMoveLimit ranges move at one time, so that the assignment record, which all VMs get,
// stays small.
const maxRangesPerServer = 6

// MoveLimit returns the largest number of ranges of a service that may move for balance
// at one time. It allows busy keys to be divided among a third of the backend servers in
// one plan.
func MoveLimit(servers, ranges int) int {
	if ranges > maxRangesPerServer*servers {
		return minMoveLimit
	}
	return max(minMoveLimit, servers/3)
}

// minMoveLimit is the smallest limit that MoveLimit returns.
const minMoveLimit = 3
