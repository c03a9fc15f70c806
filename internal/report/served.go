// Package report computes service-level burn and the metrics of the design from
// traces or aggregated counters, and writes them as text, JSON and SVG plots.
package report

import (
	"cmp"
	"slices"
	"time"

	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"
)

// unansweredAfter is the time after which a request without an answer counts as
// failed. It is the default timeout of a service; a request that is younger when
// the trace ends is left out.
const unansweredAfter = int64(resource.DefaultTimeout)

// class says how a request counts against the service level.
type class int

const (
	// excluded requests were refused for a reason that lies with the caller.
	excluded class = iota
	good
	failed
	// wrongful requests failed because they were refused inside the rate.
	wrongful
	// outsideRate requests were refused because the workspace exceeded its rate.
	outsideRate
)

// served is one request with the end that the caller saw.
type served struct {
	request  trace.Request
	received int64
	answer   trace.Answer
	// latency is zero for a request without an answer.
	latency  time.Duration
	answered bool
}

// joinRequests pairs requests with their answers, by arrival.
func joinRequests(events []trace.Event) []*served {
	byID := make(map[string]*served)
	var list []*served
	var horizon int64
	for _, event := range events {
		horizon = max(horizon, event.Time)
		body, ok := event.Body.(trace.Request)
		if ok && byID[body.Request] == nil {
			byID[body.Request] = &served{request: body, received: event.Time}
			list = append(list, byID[body.Request])
		}
	}
	for _, event := range events {
		body, ok := event.Body.(trace.Answer)
		s := byID[body.Request]
		if ok && s != nil && !s.answered {
			s.answer, s.answered = body, true
			s.latency = max(time.Duration(event.Time-s.received), 1)
		}
	}
	list = slices.DeleteFunc(list, func(s *served) bool {
		return !s.answered && horizon-s.received < unansweredAfter
	})
	slices.SortStableFunc(list, func(a, b *served) int { return cmp.Compare(a.received, b.received) })
	return list
}

// firstServerError is the lowest HTTP status that counts as a failure of the
// service.
const firstServerError = 500

func (s *served) class() class {
	switch {
	case !s.answered:
		return failed
	case s.answer.Reason.CausedByCaller():
		return excluded
	case s.answer.Outcome == trace.NotRun && s.answer.InsideRate:
		return wrongful
	case s.answer.Reason == trace.RefusedRate:
		return outsideRate
	case s.answer.Outcome != trace.Ran, s.answer.Aborted, s.answer.Status >= firstServerError:
		return failed
	default:
		return good
	}
}
