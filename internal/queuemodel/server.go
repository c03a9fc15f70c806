package queuemodel

import (
	"math/rand/v2"
	"time"
)

// Server is a backend server that runs up to Slots requests at once and keeps the
// others in order of arrival.
type Server struct {
	Loop   *Loop
	Random *rand.Rand
	Slots  int
	// Mean is the mean service time; service times are exponential.
	Mean time.Duration
	// Slowdown multiplies service times; 0 counts as 1.
	Slowdown float64

	running int
	waiting []func()
}

// InFlight returns the number of requests that run or wait.
func (s *Server) InFlight() int { return s.running + len(s.waiting) }

// Serve runs one request and calls done at its end.
func (s *Server) Serve(done func()) {
	if s.running >= s.Slots {
		s.waiting = append(s.waiting, done)
		return
	}
	s.start(done)
}

func (s *Server) start(done func()) {
	s.running++
	s.Loop.After(s.serviceTime(), func() {
		s.running--
		done()
		s.next()
	})
}

func (s *Server) next() {
	if len(s.waiting) == 0 || s.running >= s.Slots {
		return
	}
	done := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.start(done)
}

func (s *Server) serviceTime() time.Duration {
	return time.Duration(s.Random.ExpFloat64() * float64(s.Mean) * max(1, s.Slowdown))
}

// ColdServer is a backend server that bears few requests at once after its start,
// and one more after each WarmEvery requests served, up to Slots. Beyond that its
// requests take longer, in proportion to the excess.
type ColdServer struct {
	Loop      *Loop
	Random    *rand.Rand
	Slots     int
	Mean      time.Duration
	WarmEvery int

	running int
	served  int
	// Starts and Excessive count the requests that began, and those that began with
	// more in flight than the server bears. WorstExcess is the largest difference.
	Starts, Excessive, WorstExcess int
}

// Capacity returns how many requests at once the server bears now.
func (s *ColdServer) Capacity() int { return min(s.Slots, 1+s.served/s.WarmEvery) }

// Serve runs one request and calls done with its service time at its end.
func (s *ColdServer) Serve(done func(took time.Duration)) {
	s.running++
	s.Starts++
	excess := s.running - s.Capacity()
	if excess > 0 {
		s.Excessive++
		s.WorstExcess = max(s.WorstExcess, excess)
	}
	load := max(1, float64(s.running)/float64(s.Capacity()))
	took := time.Duration(s.Random.ExpFloat64() * float64(s.Mean) * load)
	s.Loop.After(took, func() {
		s.running--
		s.served++
		done(took)
	})
}
