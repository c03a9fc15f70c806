package keyrange

import (
	"cmp"
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
// highest load.
func (p *Planner) Balance(entries []Entry, limit int) []Move {
	if len(p.servers) < 2 {
		return nil
	}
	var moves []Move
	taken := make(map[Range]bool)
	for len(moves) < limit {
		from := slices.MaxFunc(p.servers, func(a, b Server) int {
			return cmp.Compare(p.relative(a.ID), p.relative(b.ID))
		}).ID
		to := p.lightest()
		if p.relative(from) < imbalance || to == from {
			return moves
		}
		surplus := min(p.load[from]-p.share[from], p.share[to]-p.load[to])
		piece, ok := p.pick(entries, from, surplus, taken)
		if !ok {
			return moves
		}
		taken[piece.entry] = true
		load := p.weight.Of(piece.piece)
		p.load[from] -= load
		p.load[to] += load
		moves = append(moves, Move{Range: piece.piece, To: to})
	}
	return moves
}

type candidate struct{ entry, piece Range }

// pick returns the smallest range at an end of an entry of the backend server whose
// load is close to the surplus. An entry is cut at most once a plan.
func (p *Planner) pick(entries []Entry, from string, surplus float64, taken map[Range]bool) (candidate, bool) {
	var best candidate
	found := false
	for _, entry := range entries {
		if entry.Backend != from || entry.Moving || taken[entry.Range] {
			continue
		}
		for _, piece := range p.ends(entry.Range, surplus) {
			if !found || piece.Size() < best.piece.Size() {
				best, found = candidate{entry.Range, piece}, true
			}
		}
	}
	return best, found
}

// ends returns the ranges at both ends of r that carry about the given load. A
// range that carries less than half of it, or over one and a half times as much,
// is left out.
func (p *Planner) ends(r Range, load float64) []Range {
	var out []Range
	first, last := r.First/PartSize, r.Last/PartSize
	sum := 0.0
	for part := first; part <= last; part++ {
		next := sum + p.weight[part]
		if next > 1.5*load {
			break
		}
		sum = next
		if sum >= load || part == last {
			out = append(out, Range{r.First, min(r.Last, part*PartSize+PartSize-1)})
			break
		}
	}
	sum = 0
	for part := last; part >= first; part-- {
		next := sum + p.weight[part]
		if next > 1.5*load {
			break
		}
		sum = next
		if sum >= load || part == first {
			out = append(out, Range{max(r.First, part*PartSize), r.Last})
			break
		}
	}
	return slices.DeleteFunc(out, func(piece Range) bool { return p.weight.Of(piece) < load/2 })
}
