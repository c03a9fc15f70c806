package queuemodel

import (
	"math/rand/v2"
	"time"
)

// Server models a backend server that runs up to Slots requests at once and queues the
// others in order of arrival.
type Server struct {
	Loop   *Loop
	Random *rand.Rand
	Slots  int
	// Mean is the mean service time; service times are exponentially distributed.
	Mean time.Duration
	// Slowdown is a factor on service times; values below 1, such as 0, count as 1.
	Slowdown float64

	running int
	queued  []func()
}

// InFlight returns the number of requests that are running or queued.
func (s *Server) InFlight() int { return s.running + len(s.queued) }

// Serve runs or queues one request and calls done when it ends.
func (s *Server) Serve(done func()) {
	if s.running >= s.Slots {
		s.queued = append(s.queued, done)
		return
	}
	s.start(done)
}

func (s *Server) start(done func()) {
	s.running++
	s.Loop.After(s.serviceTime(), func() {
		s.running--
		done()
		s.startNext()
	})
}

// startNext starts the first queued request if a slot is free.
func (s *Server) startNext() {
	if len(s.queued) == 0 || s.running >= s.Slots {
		return
	}
	done := s.queued[0]
	s.queued = s.queued[1:]
	s.start(done)
}

func (s *Server) serviceTime() time.Duration {
	return time.Duration(s.Random.ExpFloat64() * float64(s.Mean) * max(1, s.Slowdown))
}

// ColdServer models a backend server during warm-up. Its capacity is one request at once
// after the start and grows by one after each WarmEvery requests served, up to Slots. It
// queues nothing: beyond its capacity requests take longer, in proportion to the number
// in flight divided by the capacity.
type ColdServer struct {
	Loop   *Loop
	Random *rand.Rand
	// Slots is the capacity when warm.
	Slots int
	// Mean is the mean service time within the capacity; service times are
	// exponentially distributed.
	Mean time.Duration
	// WarmEvery is the number of requests served for each increase of the capacity.
	WarmEvery int

	running int
	served  int
	// Starts counts the requests that started, Excessive those that started with more
	// requests in flight than the capacity. WorstExcess is the largest such excess, in
	// requests.
	Starts, Excessive, WorstExcess int
}

// Capacity returns how many requests at once the server can currently run without
// slowing down.
func (s *ColdServer) Capacity() int { return min(s.Slots, 1+s.served/s.WarmEvery) }

// Serve runs one request and calls done with its service time when it ends.
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
