package admission

import "time"

const (
	// rampWindow is the number of good responses after which the limit doubles. They
	// have to be of requests that filled the limit: an answer to a request that ran
	// alone says nothing about a higher load. With 8 the limit overtook a server that
	// bears one more per 20 requests 5 times as often as with 16.
	rampWindow = 16
	// slowPenalty is how many good responses one slow response cancels. Service times
	// vary, so a window without any slow response takes too long at 16; at usual
	// latency about one response in 7 is slow if service times are exponential.
	slowPenalty = 2
	// goodLatencyFactor: a response is good if it took at most this multiple of the
	// service's usual latency.
	goodLatencyFactor = 2
)

// ramp is the adaptive limit of requests in flight at one backend server.
type ramp struct {
	slots int
	limit int
	// window changes with each change of the limit. Answers to requests of an older
	// window tell nothing about the present limit.
	window uint64
	good   int
	// warm says that a whole window was answered in time since the last restart.
	warm bool
}

func newRamp(slots int) ramp { return ramp{slots: slots, limit: 1} }

// restart begins a cold start.
func (r *ramp) restart() {
	r.warm = false
	r.setLimit(1)
}

func (r *ramp) halve(window uint64) {
	// Requests of one window share one overload, so they halve the limit once.
	if window == r.window {
		r.setLimit(r.limit / 2)
	}
}

// answered counts a response. filled says that its request filled the limit.
func (r *ramp) answered(window uint64, filled bool, took, usual time.Duration) {
	if window != r.window {
		return
	}
	if took > goodLatencyFactor*usual {
		r.good = max(0, r.good-slowPenalty)
		return
	}
	if !filled {
		return
	}
	r.good++
	if r.good < max(rampWindow, r.limit) {
		return
	}
	r.warm = true
	r.setLimit(2 * r.limit)
}

func (r *ramp) setLimit(limit int) {
	r.limit = min(max(limit, 1), r.slots)
	r.window++
	r.good = 0
}
