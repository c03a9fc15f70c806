package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/share"
)

// TestSpeedEstimates guards against key ranges that are assigned as if all backend
// servers were equally fast, and against an estimate that a few responses determine.
func TestSpeedEstimates(t *testing.T) {
	is := is.New(t)
	s := newSpeedModel()
	is.Equal(s.estimate("unknown", 0), 1.0)
	s.observe(share.Latency{Backend: "one answer", Responses: 1, Sum: 3}, 0)
	is.True(s.estimate("one answer", 0) > 0.8)
	now := time.Duration(0)
	for range 20 {
		now += time.Second
		s.observe(share.Latency{Backend: "slow", Responses: 6, Sum: 12}, now)
		s.observe(share.Latency{Backend: "fast", Responses: 6, Sum: 4}, now)
		s.observe(share.Latency{Backend: "broken", Responses: -1, Sum: 9}, now)
	}
	is.True(s.estimate("slow", now) < 0.6)
	is.True(s.estimate("fast", now) > 1.3)
	is.Equal(s.estimate("broken", now), 1.0)
	// Old observations no longer count.
	is.True(s.estimate("slow", now+5*latencyTimeConstant) > 0.9)
	s.dropStale(now + 5*latencyTimeConstant)
	is.Equal(len(s.byServer), 0)
}
