package keyrange

import (
	"cmp"
	"math"
	"slices"
)

// Server is a backend server that may own keys.
type Server struct {
	ID       string
	Capacity float64 // relative amount of load that it bears
}

const (
	// imbalance is the ratio of the load of a backend server to its share above which
	// keys leave it. Counts of a few seconds vary by a tenth or two without cause.
	imbalance = 1.35
	// chance is the number of standard deviations above its share from which on the
	// load of a backend server counts as too high.
	chance = 2
	// gain bounds how busy the target of a move becomes, relative to how busy the
	// former owner is.
	gain = 0.8
	// hotGain is the same for a range that alone exceeds the share of its target, such
	// as one very busy key: it is not served for a second or two while it moves.
	hotGain = 0.5
	// leastPart is the least load that is worth a move, as a part of what is wanted.
	leastPart = 0.2
	// orphanPieces is the largest number of pieces into which a range without an owner
	// is cut, so that the load of a lost backend server spreads over several.
	orphanPieces = 3
	// uniformLoad is the share of the total load that is spread evenly over all keys,
	// so that keys without requests are divided too.
	uniformLoad = 0.15
)

// Move is a range that is to get an owner, or to leave the one that it has.
type Move struct {
	Range Range
	To    string
}

// Planner assigns ranges of one service to backend servers. It answers two load
// patterns: the keys of a lost backend server, which go to several others at once,
// and busy keys that lie close together, of which the smallest range that carries
// the surplus moves.
type Planner struct {
	weight  *Weight
	total   float64
	servers []Server
	load    map[string]float64
	share   map[string]float64
}

// NewPlanner returns a planner for the given owners and loads. Moving entries
// count for the backend server they go to when the caller has set Backend so.
func NewPlanner(entries []Entry, servers []Server, weight *Weight) *Planner {
	p := &Planner{servers: servers, load: make(map[string]float64), share: make(map[string]float64)}
	p.smooth(weight)
	capacity := 0.0
	for _, server := range servers {
		capacity += server.Capacity
	}
	for _, server := range servers {
		p.share[server.ID] = p.total * server.Capacity / capacity
	}
	for _, entry := range entries {
		p.load[entry.Backend] += p.weight.Of(entry.Range)
	}
	return p
}

// smooth adds the uniform load to the measured one.
func (p *Planner) smooth(weight *Weight) {
	measured := 0.0
	for _, load := range weight {
		measured += load
	}
	even := measured * uniformLoad / Parts
	if measured == 0 {
		even = 1
	}
	p.weight = new(Weight)
	for i, load := range weight {
		p.weight[i] = load + even
		p.total += p.weight[i]
	}
}

// Place returns owners for ranges that have none. Each range may be cut.
func (p *Planner) Place(orphans []Range) []Move {
	if len(p.servers) == 0 {
		return nil
	}
	var moves []Move
	for _, orphan := range orphans {
		for _, piece := range p.cut(orphan) {
			to := p.lightest()
			p.load[to] += p.weight.Of(piece)
			moves = append(moves, Move{Range: piece, To: to})
		}
	}
	return moves
}

// cut divides a range into pieces of about equal load, each no larger than fits
// the share of an average backend server.
func (p *Planner) cut(r Range) []Range {
	load := p.weight.Of(r)
	average := p.total / float64(len(p.servers))
	pieces := min(orphanPieces, len(p.servers))
	if load > average*orphanPieces {
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

func (p *Planner) lightest() string {
	best := slices.MinFunc(p.servers, func(a, b Server) int {
		return cmp.Compare(p.relative(a.ID), p.relative(b.ID))
	})
	return best.ID
}

// relative is the load of a backend server as a multiple of its share.
func (p *Planner) relative(id string) float64 { return p.load[id] / max(p.share[id], 1e-9) }

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
		from, ok := p.busiest(stuck)
		if !ok {
			return moves
		}
		to := p.lightest()
		piece, at := p.pick(movable[from], p.wanted(from, to))
		if to == from || at < 0 {
			stuck[from] = true
			continue
		}
		movable[from] = slices.Replace(movable[from], at, at+1, without(movable[from][at], piece)...)
		load := p.weight.Of(piece)
		p.load[from] -= load
		p.load[to] += load
		moves = append(moves, Move{Range: piece, To: to})
	}
	return moves
}

// busiest returns the backend server with the highest load that is clearly above its
// share. Loads are counts, whose chance variation is about their root.
func (p *Planner) busiest(stuck map[string]bool) (string, bool) {
	best := ""
	for _, server := range p.servers {
		id := server.ID
		load, share := p.load[id], p.share[id]
		if stuck[id] || load < imbalance*share || load < share+chance*math.Sqrt(share) {
			continue
		}
		if best == "" || p.relative(id) > p.relative(best) {
			best = id
		}
	}
	return best, best != ""
}

// bounds are the loads that a piece to be moved must, should and may have.
type bounds struct{ least, wanted, most float64 }

// wanted returns the bounds of a piece that relieves one backend server and leaves
// the other one less busy than the first is now.
func (p *Planner) wanted(from, to string) bounds {
	relieved := p.relative(from) * p.share[to]
	most := max(min(gain*relieved-p.load[to], p.share[to]), hotGain*relieved-p.load[to])
	wanted := min(p.load[from]-p.share[from], max(p.share[to]-p.load[to], leastPart*p.share[to]))
	return bounds{least: leastPart * min(wanted, p.share[to]), wanted: min(wanted, most), most: most}
}

// pick returns a range to move and the index of the range that holds it, or -1. Of the
// ranges that carry as much as wanted it takes the smallest, else the one with most load.
func (p *Planner) pick(ranges []Range, b bounds) (Range, int) {
	best, at, load := Range{}, -1, 0.0
	for i, r := range ranges {
		for _, piece := range p.pieces(r, b) {
			n := p.weight.Of(piece)
			better := min(n, b.wanted) > min(load, b.wanted) ||
				n >= b.wanted && load >= b.wanted && piece.Size() < best.Size()
			if n >= b.least && n > 0 && (at < 0 || better) {
				best, at, load = piece, i, n
			}
		}
	}
	return best, at
}

// pieces returns ranges of r that carry at most b.most: one at each end with the load
// that is wanted, if there is so much, and the busiest part.
func (p *Planner) pieces(r Range, b bounds) []Range {
	first, last := r.First/PartSize, r.Last/PartSize
	var out []Range
	if end := p.reach(first, last, 1, b); end >= first {
		out = append(out, Range{r.First, min(r.Last, end*PartSize+PartSize-1)})
	}
	if end := p.reach(last, first, -1, b); end <= last {
		out = append(out, Range{max(r.First, end*PartSize), r.Last})
	}
	busiest := first
	for part := first; part <= last; part++ {
		if p.weight[part] > p.weight[busiest] {
			busiest = part
		}
	}
	if p.weight[busiest] <= b.most {
		out = append(out, Range{max(r.First, busiest*PartSize), min(r.Last, busiest*PartSize+PartSize-1)})
	}
	return out
}

// reach returns the last part, counted from one end, up to which the load is at most
// b.most and no more parts than needed are taken; a part before the end if the first
// one carries too much.
func (p *Planner) reach(from, to, step int, b bounds) int {
	sum, part := 0.0, from
	for ; part != to+step && sum < b.wanted; part += step {
		if sum+p.weight[part] > b.most {
			break
		}
		sum += p.weight[part]
	}
	return part - step
}

// without returns what is left of outer, which holds inner.
func without(outer, inner Range) []Range {
	return slices.DeleteFunc(outer.Cut(inner), func(r Range) bool { return r == inner })
}

// rangesEach is the number of ranges per backend server above which few ranges move,
// so that the record of the assignment, which all VMs get, stays small.
const rangesEach = 6

// MoveLimit is the largest number of ranges of a service that are on the move for
// balance at one time: enough that hot keys spread over a third of the backend servers
// in one plan.
func MoveLimit(servers, ranges int) int {
	if ranges > rangesEach*servers {
		return leastMoves
	}
	return max(leastMoves, servers/3)
}

const leastMoves = 3
