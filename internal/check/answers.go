package check

import (
	"fmt"

	"fireflyfield/internal/trace"
)

// checkAnswers checks invariant 7. An answer that is reported as the backend
// server's response must have the length and digest that the server recorded for the
// same request, or for the request whose response it replays. An answer without a
// recorded run end is skipped, since the server may have been lost after it answered.
func checkAnswers(h *history, _ Options, found *findings) {
	for _, r := range h.requestOrder {
		if len(r.answers) > 1 {
			found.addViolation(fmt.Sprintf("request %s received %d answers", r.id, len(r.answers)), eventsOf(r.answers)...)
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
	found.require(found.checked > 0, "no answer could be compared with a run")
}

// checkComplete compares an answer with the completed runs that it can come from.
func checkComplete(h *history, r *request, answer entry[trace.Answer], found *findings) {
	source := h.source(r, answer.body)
	if source == nil {
		return
	}
	if answer.body.ReplayOf != "" && !sameIdempotencyKey(r, source) {
		found.addViolation(fmt.Sprintf("request %s received the response to request %s, which has another workspace or idempotency key", r.id, source.id), answer.event)
		return
	}
	ends := completedRuns(source, answer.body.Attempt)
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
	reason := fmt.Sprintf("the answer to request %s differs from the response that the backend server wrote", r.id)
	found.addViolation(reason, append(eventsOf(ends), answer.event)...)
}

// checkCancelled reports an answer with outcome ran whose run was cancelled.
func checkCancelled(source *request, answer entry[trace.Answer], found *findings) {
	for _, end := range source.ends {
		if end.body.Cancelled && end.body.Attempt == answer.body.Attempt {
			reason := fmt.Sprintf("the answer to request %s has outcome ran, but its run was cancelled", answer.body.Request)
			found.addViolation(reason, end.event, answer.event)
			return
		}
	}
}

// source returns the request whose run produced the answer: r itself, or the request
// that the answer replays.
func (h *history) source(r *request, answer trace.Answer) *request {
	if answer.ReplayOf == "" {
		return r
	}
	return h.requests[answer.ReplayOf]
}

// sameIdempotencyKey reports whether both requests have the same workspace and
// idempotency key. It is true when one of them was not recorded as received.
func sameIdempotencyKey(a, b *request) bool {
	if len(a.received) == 0 || len(b.received) == 0 {
		return true
	}
	first, second := a.received[0].body, b.received[0].body
	return first.Workspace == second.Workspace && first.IdempotencyKey == second.IdempotencyKey
}

// completedRuns returns the ends of the attempt's runs that were not cancelled.
// Attempt 0 selects the runs of all attempts.
func completedRuns(r *request, attempt uint32) []entry[trace.RunEnd] {
	var ends []entry[trace.RunEnd]
	for _, end := range r.ends {
		if !end.body.Cancelled && (attempt == 0 || end.body.Attempt == attempt) {
			ends = append(ends, end)
		}
	}
	return ends
}

// checkAborted reports answers that the router aborted without a valid reason: the
// backend server wrote the complete response, the caller was still connected and no
// injected fault was active.
func checkAborted(h *history, r *request, answer entry[trace.Answer], found *findings) {
	ends := completedRuns(r, answer.body.Attempt)
	if len(ends) == 0 || len(r.received) == 0 || allowsAbort(answer.body.Reason) {
		return
	}
	found.checked++
	if h.faultDuring(r.received[0].event.Time, answer.event.Time) {
		return
	}
	found.addViolation(fmt.Sprintf("the answer to request %s was aborted although no fault was active", r.id), ends[0].event, answer.event)
}

// allowsAbort reports whether the reason permits the router to abort an answer: the
// caller disconnected, its key was withdrawn or the deadline passed.
func allowsAbort(reason trace.Refusal) bool {
	switch reason {
	case trace.RefusedCallerGone, trace.RefusedUnauthenticated, trace.RefusedDeadline:
		return true
	default:
		return false
	}
}
