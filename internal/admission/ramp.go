package admission

import "time"

const (
	// rampWindow is the number of good responses after which the limit doubles, or the
	// limit itself if that is higher. Only requests that filled the limit count: the
	// response to a request that ran alone says nothing about a higher load. With a
	// window of 8 the limit exceeded the capacity of a server that gains one slot per
	// 20 requests 5 times as often as with 16.
	rampWindow = 16
	// slowPenalty is the number of good responses that one slow response cancels. A
	// slow response does not restart the window, because a run of 16 responses without
	// a slow one takes too long: with exponential service times about one response in
	// 7 is slow even at the usual latency.
	slowPenalty = 2
	// goodLatencyFactor is the multiple of the service's usual latency up to which a
	// response counts as good.
	goodLatencyFactor = 2
)

// ramp is the adaptive limit of requests in flight at one backend server. It starts
// at 1 and doubles up to the number of slots.
type ramp struct {
	slots int
	limit int
	// window is the number of the current window; each change of the limit begins a new
	// one. Responses to requests of an older window say nothing about the current
	// limit.
	window        uint64
	goodResponses int
	// warm says that a whole window was answered in time since the last restart, or
	// that the former gate or the backend server stated that it is warm.
	warm bool
}

func newRamp(slots int) ramp { return ramp{slots: slots, limit: 1} }

// restart sets the limit for a cold start.
func (r *ramp) restart() {
	r.warm = false
	r.setLimit(1)
}

// halve halves the limit after a request of the given window was shed or timed out.
func (r *ramp) halve(window uint64) {
	// The requests of one window see the same overload, so they halve the limit once.
	if window == r.window {
		r.setLimit(r.limit / 2)
	}
}

// recordAnswer counts a response and doubles the limit at the end of a window.
// filledLimit says that the request filled the limit.
func (r *ramp) recordAnswer(window uint64, filledLimit bool, took, usual time.Duration) {
	if window != r.window {
		return
	}
	if took > goodLatencyFactor*usual {
		r.goodResponses = max(0, r.goodResponses-slowPenalty)
		return
	}
	if !filledLimit {
		return
	}
	r.goodResponses++
	if r.goodResponses < max(rampWindow, r.limit) {
		return
	}
	r.warm = true
	r.setLimit(2 * r.limit)
}

func (r *ramp) setLimit(limit int) {
	r.limit = min(max(limit, 1), r.slots)
	r.window++
	r.goodResponses = 0
}
