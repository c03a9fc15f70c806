package router

import (
	"time"

	"fireflyfield/internal/decay"
	"fireflyfield/internal/share"
)

const (
	// speedLife is the time constant of the latencies of a backend server: long enough
	// for tens of answers of a server with a few requests per second.
	speedLife = 8 * time.Second
	// speedPrior is the number of answers of usual latency that each backend server is
	// taken to have given, so that few answers do not decide its speed.
	speedPrior = 8
	// minSpeed and maxSpeed bound the speed of a backend server relative to the usual one.
	minSpeed, maxSpeed = 0.35, 1.8
)

// speeds estimates how fast backend servers work, from the latencies that all VMs see.
// It answers machines of several speeds behind one service, and servers that turn slow.
type speeds struct{ byServer map[string]*speed }

type speed struct {
	answers, sum float64
	at           time.Duration
}

func newSpeeds() *speeds { return &speeds{byServer: make(map[string]*speed)} }

func (s *speeds) observe(l share.Latency, now time.Duration) {
	if l.Answers <= 0 || !(l.Sum > 0) {
		return
	}
	known := s.byServer[l.Backend]
	if known == nil {
		known = &speed{at: now}
		s.byServer[l.Backend] = known
	}
	left := known.left(now)
	known.answers = known.answers*left + float64(l.Answers)
	known.sum = known.sum*left + float64(l.Sum)
	known.at = now
}

// left is the part of the observations that still counts.
func (s *speed) left(now time.Duration) float64 {
	return decay.Factor(now-s.at, speedLife)
}

// of returns the speed of a backend server; 1 is the usual one.
func (s *speeds) of(backend string, now time.Duration) float64 {
	known := s.byServer[backend]
	if known == nil {
		return 1
	}
	left := known.left(now)
	mean := (known.sum*left + speedPrior) / (known.answers*left + speedPrior)
	return min(maxSpeed, max(minSpeed, 1/mean))
}

// forget drops backend servers that gave no answer for long.
func (s *speeds) forget(now time.Duration) {
	for backend, known := range s.byServer {
		if now-known.at > 4*speedLife {
			delete(s.byServer, backend)
		}
	}
}
