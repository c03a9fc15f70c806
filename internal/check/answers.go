package check

import (
	"fmt"

	"fireflyfield/internal/trace"
)

// checkAnswers is invariant 7. An answer that claims to be the backend server's
// response must have the length and digest that the server recorded for the same
// request, or for the request that it replays. An answer without a recorded run
// end is not judged, since the server may have been lost after it answered.
func checkAnswers(h *history, _ Options, found *findings) {
	for _, r := range h.order {
		if len(r.answers) > 1 {
			found.violate(fmt.Sprintf("request %s is answered %d times", r.id, len(r.answers)), eventsOf(r.answers)...)
		}
		for _, answer := range r.answers {
			switch {
			case answer.body.Aborted:
				checkAborted(h, r, answer, found)
			case answer.body.Outcome == trace.Ran:
				checkComplete(h, r, answer, found)
			}
		}
	}
	found.need(found.checked > 0, "no answer could be compared with a run")
}

func checkComplete(h *history, r *request, answer entry[trace.Answer], found *findings) {
	source := h.source(r, answer.body)
	if source == nil {
		return
	}
	if answer.body.ReplayOf != "" && !sameIdempotencyKey(r, source) {
		found.violate(fmt.Sprintf("request %s gets the response to request %s of another workspace or idempotency key", r.id, source.id), answer.event)
		return
	}
	ends := completeEnds(source, answer.body.Attempt)
	if len(ends) == 0 {
		checkCancelled(source, answer, found)
		return
	}
	found.checked++
	for _, end := range ends {
		if end.body.Bytes == answer.body.Bytes && end.body.Digest == answer.body.Digest {
			return
		}
	}
	reason := fmt.Sprintf("the answer to request %s is not the response that the backend server wrote", r.id)
	found.violate(reason, append(eventsOf(ends), answer.event)...)
}

// checkCancelled finds an answer that was taken from a run which ended early.
func checkCancelled(source *request, answer entry[trace.Answer], found *findings) {
	for _, end := range source.ends {
		if end.body.Cancelled && end.body.Attempt == answer.body.Attempt {
			reason := fmt.Sprintf("the answer to request %s says ran, but its run was cancelled", answer.body.Request)
			found.violate(reason, end.event, answer.event)
			return
		}
	}
}

// source returns the request whose runs an answer comes from.
func (h *history) source(r *request, answer trace.Answer) *request {
	if answer.ReplayOf == "" {
		return r
	}
	return h.requests[answer.ReplayOf]
}

func sameIdempotencyKey(a, b *request) bool {
	if len(a.received) == 0 || len(b.received) == 0 {
		return true
	}
	first, second := a.received[0].body, b.received[0].body
	return first.Workspace == second.Workspace && first.IdempotencyKey == second.IdempotencyKey
}

// completeEnds returns the ends of the attempt's runs, or of all attempts when the
// answer names none.
func completeEnds(r *request, attempt uint32) []entry[trace.RunEnd] {
	var ends []entry[trace.RunEnd]
	for _, end := range r.ends {
		if !end.body.Cancelled && (attempt == 0 || end.body.Attempt == attempt) {
			ends = append(ends, end)
		}
	}
	return ends
}

// checkAborted finds answers that the router cut without need: the backend server
// wrote the whole response, the caller was there and no fault was active.
func checkAborted(h *history, r *request, answer entry[trace.Answer], found *findings) {
	ends := completeEnds(r, answer.body.Attempt)
	if len(ends) == 0 || len(r.received) == 0 || withdrawnOrGone(answer.body.Reason) {
		return
	}
	found.checked++
	if h.faultDuring(r.received[0].event.Time, answer.event.Time) {
		return
	}
	found.violate(fmt.Sprintf("the answer to request %s is cut without a fault", r.id), ends[0].event, answer.event)
}

func withdrawnOrGone(reason trace.Refusal) bool {
	switch reason {
	case trace.RefusedCallerGone, trace.RefusedUnauthenticated, trace.RefusedDeadline:
		return true
	default:
		return false
	}
}
