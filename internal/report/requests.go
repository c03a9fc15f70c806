// Package report computes error-budget burn rates and the service metrics of the
// design from traces or aggregated counters, and writes them as text, JSON and SVG
// plots. Reading traces is left to package trace, and selecting the output to the
// command line.
package report

import (
	"cmp"
	"slices"
	"time"

	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"
)

// unansweredTimeout is the time in ns after which a request without an answer counts
// as failed. It is the default timeout of a service. A request that was received less
// than this before the end of the trace may still be in progress and is left out.
const unansweredTimeout = int64(resource.DefaultTimeout)

// class is the way a request counts towards the service-level objective.
type class int

const (
	// excluded requests were refused because of a fault of the caller.
	excluded class = iota
	good
	failed
	// wrongfulRefusal requests were refused although the workspace was inside its
	// rate; they count as failed.
	wrongfulRefusal
	// refusedOutsideRate requests were refused because the workspace exceeded its
	// rate.
	refusedOutsideRate
)

// requestResult is one request with the answer that the caller received, if any.
type requestResult struct {
	request trace.Request
	// received is the arrival in Unix ns.
	received int64
	answer   trace.Answer
	// latency is zero for a request without an answer and at least 1 ns otherwise.
	latency  time.Duration
	answered bool
}

// joinRequests pairs each request with its first answer and returns the requests
// ordered by arrival.
func joinRequests(events []trace.Event) []*requestResult {
	byID := make(map[string]*requestResult)
	var list []*requestResult
	var traceEnd int64
	for _, event := range events {
		traceEnd = max(traceEnd, event.Time)
		body, ok := event.Body.(trace.Request)
		if ok && byID[body.Request] == nil {
			byID[body.Request] = &requestResult{request: body, received: event.Time}
			list = append(list, byID[body.Request])
		}
	}
	for _, event := range events {
		body, ok := event.Body.(trace.Answer)
		r := byID[body.Request]
		if ok && r != nil && !r.answered {
			r.answer, r.answered = body, true
			r.latency = max(time.Duration(event.Time-r.received), 1)
		}
	}
	list = slices.DeleteFunc(list, func(r *requestResult) bool {
		return !r.answered && traceEnd-r.received < unansweredTimeout
	})
	slices.SortStableFunc(list, func(a, b *requestResult) int { return cmp.Compare(a.received, b.received) })
	return list
}

// minServerErrorStatus is the lowest HTTP status that counts as a failure.
const minServerErrorStatus = 500

// class returns how the request counts towards the service-level objective.
func (r *requestResult) class() class {
	switch {
	case !r.answered:
		return failed
	case r.answer.Reason.CausedByCaller():
		return excluded
	case r.answer.Outcome == trace.NotRun && r.answer.InsideRate:
		return wrongfulRefusal
	case r.answer.Reason == trace.RefusedRate:
		return refusedOutsideRate
	case r.answer.Outcome != trace.Ran, r.answer.Aborted, r.answer.Status >= minServerErrorStatus:
		return failed
	default:
		return good
	}
}
