package keyrange

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// loadModel simulates one keyed service: backend servers of several capacities, requests
// by key, and a planner that runs once a second on the counts of a few seconds.
type loadModel struct {
	random  *rand.Rand
	servers []Server
	entries []Entry
	rates   [MaxKey + 1]float64 // requests per second by key
	counts  Weight
}

func newLoadModel(seed uint64, servers int) *loadModel {
	s := &loadModel{random: rand.New(rand.NewPCG(seed, 7))}
	for i := range servers {
		s.servers = append(s.servers, Server{ID: fmt.Sprint(i), Capacity: []float64{0.6, 1, 1.4}[i%3]})
	}
	p := NewPlanner(nil, s.servers, &s.counts)
	for _, move := range p.Place([]Range{{0, MaxKey}}) {
		s.entries = append(s.entries, Entry{Range: move.Range, Backend: move.To})
	}
	return s
}

// setSkewedRates sets rates that fall with the rank of a key, to the power of -skew. The
// ranks are assigned to the keys at random.
func (s *loadModel) setSkewedRates(total, skew float64) {
	sum := 0.0
	for rank, key := range s.random.Perm(MaxKey + 1) {
		s.rates[key] = math.Pow(float64(rank+1), -skew)
		sum += s.rates[key]
	}
	for key := range s.rates {
		s.rates[key] *= total / sum
	}
}

// concentrateLoad moves a fraction of the load to adjacent keys from first on.
func (s *loadModel) concentrateLoad(fraction float64, first, keys int) {
	total := 0.0
	for key, rate := range s.rates {
		total += rate
		s.rates[key] = rate * (1 - fraction)
	}
	for key := first; key < first+keys; key++ {
		s.rates[key] += total * fraction / float64(keys)
	}
}

// runSecond counts the requests of one second as the lease holder does, and carries out
// one plan.
func (s *loadModel) runSecond() {
	s.counts.Decay(math.Exp(-1.0 / 3))
	for key, rate := range s.rates {
		if n := s.poisson(rate); n > 0 {
			s.counts.Add(key, n)
		}
	}
	p := NewPlanner(s.entries, s.servers, &s.counts)
	for _, move := range p.Balance(s.entries, MoveLimit(len(s.servers), len(s.entries))) {
		s.move(move)
	}
}

func (s *loadModel) poisson(rate float64) float64 {
	n, p, limit := 0.0, 1.0, math.Exp(-rate)
	for p *= s.random.Float64(); p > limit; p *= s.random.Float64() {
		n++
	}
	return n
}

func (s *loadModel) move(move Move) {
	var out []Entry
	for _, entry := range s.entries {
		if !entry.Range.Contains(move.Range.First) {
			out = append(out, entry)
			continue
		}
		for _, part := range entry.Range.Cut(move.Range) {
			owner := entry.Backend
			if part == move.Range {
				owner = move.To
			}
			out = append(out, Entry{Range: part, Backend: owner})
		}
	}
	s.entries = out
}

// excessFraction returns the fraction of all requests that exceeds the capacity of their
// owners, if the backend servers together can serve headroom times the requests.
func (s *loadModel) excessFraction(headroom float64) float64 {
	load := make(map[string]float64)
	total, capacity, over := 0.0, 0.0, 0.0
	for _, entry := range s.entries {
		for key := entry.Range.First; key <= entry.Range.Last; key++ {
			load[entry.Backend] += s.rates[key]
			total += s.rates[key]
		}
	}
	for _, server := range s.servers {
		capacity += server.Capacity
	}
	for _, server := range s.servers {
		over += max(0, load[server.ID]-headroom*total*server.Capacity/capacity)
	}
	return over / total
}

// TestBalanceHotKeys guards against hot keys that stay with a few of many backend
// servers: three plans after 200 adjacent keys get a third of the requests of a service
// at about half its capacity, the owners must be able to serve nearly all requests.
func TestBalanceHotKeys(t *testing.T) {
	for seed := range uint64(3) {
		s := newLoadModel(seed, 108)
		s.setSkewedRates(640, 0.44)
		for range 8 {
			s.runSecond()
		}
		calm := s.excessFraction(1.8)
		s.concentrateLoad(0.35, 20000, 200)
		hot := s.excessFraction(1.8)
		s.runSecond()
		s.runSecond()
		s.runSecond()
		if after := s.excessFraction(1.8); calm > 0.02 || after > 0.05 {
			t.Errorf("seed %d: excess %.3f, %.3f with hot keys and %.3f three plans later", seed, calm, hot, after)
		}
	}
}

// TestHotKeyDoesNotBlockBalance guards against a key that is too hot for any backend
// server and prevents the balancing of the other keys.
func TestHotKeyDoesNotBlockBalance(t *testing.T) {
	is := is.New(t)
	s := newLoadModel(1, 12)
	s.setSkewedRates(200, 0.2)
	s.concentrateLoad(0.3, 30000, 1)
	s.concentrateLoad(0.4, 50000, 1600)
	for range 6 {
		s.runSecond()
	}
	load := make(map[string]float64)
	hottest := ""
	for _, entry := range s.entries {
		if entry.Range.Contains(30000) {
			hottest = entry.Backend
		}
		for key := entry.Range.First; key <= entry.Range.Last; key++ {
			load[entry.Backend] += s.rates[key]
		}
	}
	is.True(load[hottest] < 1.4*s.rates[30000]) // its other keys have moved away
	for _, server := range s.servers {
		if server.ID != hottest && load[server.ID] > 2*200*0.7*server.Capacity/12 {
			t.Errorf("server %s of capacity %.1f has %.1f requests per second", server.ID, server.Capacity, load[server.ID])
		}
	}
}

// TestBalanceConverges guards against keys that keep moving under a steady load; each
// move delays their requests.
func TestBalanceConverges(t *testing.T) {
	s := newLoadModel(3, 13)
	s.setSkewedRates(300, 0.44)
	for range 10 {
		s.runSecond()
	}
	before := len(s.entries)
	moved := 0
	for range 10 {
		owners := fmt.Sprint(s.entries)
		s.runSecond()
		if fmt.Sprint(s.entries) != owners {
			moved++
		}
	}
	if moved > 3 || len(s.entries) > before+6 {
		t.Errorf("%d of 10 plans moved keys; ranges %d before, %d after", moved, before, len(s.entries))
	}
}

// TestHotKeyIsNotMoved guards against a key that is too hot for any backend server and
// keeps moving: its requests fail for the second or two of each move, which a faster
// backend server does not compensate for.
func TestHotKeyIsNotMoved(t *testing.T) {
	for seed := range uint64(5) {
		s := newLoadModel(seed, 108)
		s.setSkewedRates(640, 0.44)
		before := s.owner(30000)
		s.concentrateLoad(0.35, 30000, 1)
		for range 8 {
			s.runSecond()
		}
		if after := s.owner(30000); after != before {
			t.Errorf("seed %d: the hot key moved from %+v to %+v", seed, before, after)
		}
	}
}

// owner returns the backend server that owns a key.
func (s *loadModel) owner(key int) Server {
	for _, entry := range s.entries {
		for _, server := range s.servers {
			if entry.Range.Contains(key) && server.ID == entry.Backend {
				return server
			}
		}
	}
	return Server{}
}
