package balance

import "slices"

// random picks uniformly among the candidates; nil if there is none.
func (p *Picker) random(o Options) *server {
	p.collectCandidates(o)
	if len(p.local) == 0 {
		return nil
	}
	return p.local[p.config.Random.IntN(len(p.local))]
}

// leastReported picks the candidate with the fewest reported requests in flight, and
// at random among equals; nil if there is none.
func (p *Picker) leastReported(o Options) *server {
	p.collectCandidates(o)
	p.config.Random.Shuffle(len(p.local), func(i, j int) { p.local[i], p.local[j] = p.local[j], p.local[i] })
	var least *server
	for _, s := range p.local {
		if least == nil || s.reported < least.reported {
			least = s
		}
	}
	return least
}

// collectCandidates stores every server that may be picked in p.local, of whatever
// failure domain.
func (p *Picker) collectCandidates(o Options) {
	p.local = p.local[:0]
	for _, s := range p.servers {
		if s.acceptsRequests() && !slices.Contains(o.Exclude, s.Name) {
			p.local = append(p.local, s)
		}
	}
}
