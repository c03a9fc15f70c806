package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/share"
)

// TestSpeeds guards against keys that are divided as if all backend servers were
// equally fast, and against a speed that a few answers decide.
func TestSpeeds(t *testing.T) {
	is := is.New(t)
	s := newSpeeds()
	is.Equal(s.of("unknown", 0), 1.0)
	s.observe(share.Latency{Backend: "one answer", Answers: 1, Sum: 3}, 0)
	is.True(s.of("one answer", 0) > 0.8)
	now := time.Duration(0)
	for range 20 {
		now += time.Second
		s.observe(share.Latency{Backend: "slow", Answers: 6, Sum: 12}, now)
		s.observe(share.Latency{Backend: "fast", Answers: 6, Sum: 4}, now)
		s.observe(share.Latency{Backend: "broken", Answers: -1, Sum: 9}, now)
	}
	is.True(s.of("slow", now) < 0.6)
	is.True(s.of("fast", now) > 1.3)
	is.Equal(s.of("broken", now), 1.0)
	// What it did a while ago does not count any more.
	is.True(s.of("slow", now+5*speedLife) > 0.9)
	s.forget(now + 5*speedLife)
	is.Equal(len(s.byServer), 0)
}
