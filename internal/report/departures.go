package report

import (
	"slices"
	"time"

	"fireflyfield/internal/trace"
)

// comparisonPeriod is the length of the phases before a departure and after the
// return that are compared with the phase in between.
const comparisonPeriod = 10 * time.Second

// Departure holds the service quality before, during and after the time in which a
// failure domain was away.
type Departure struct {
	Domain string `json:"domain"`
	// Cause is the phase of the leave event, such as drain, or the kind of the fault.
	Cause string    `json:"cause"`
	Begin time.Time `json:"begin"`
	// End is the time of the return, or the end of the trace when Returned is false.
	End      time.Time    `json:"end"`
	Returned bool         `json:"returned"`
	Before   PhaseService `json:"before"`
	During   PhaseService `json:"during"`
	After    PhaseService `json:"after"`
	// LongestFailing is the longest time from a failed request to the next good one of
	// the same key, or of the same service if it has no keys.
	LongestFailing time.Duration `json:"longest_failing_ns"`
}

// PhaseService holds the counts and latency of the requests of all callers in one
// phase of a departure.
type PhaseService struct {
	Counts
	P99 time.Duration `json:"p99_ns"`
	// WorstSecond is the highest share of failed requests in any one second.
	WorstSecond float64 `json:"worst_second"`
}

// departuresOf returns the departures in a trace with the service quality of each
// phase. The events and requests must be ordered by time, and there must be events.
func departuresOf(events []trace.Event, requests []*requestResult, objectives Objectives) []Departure {
	list := findDepartures(events)
	for i := range list {
		d := &list[i]
		d.Before = phaseServiceOf(requests, objectives, d.Begin.Add(-comparisonPeriod), d.Begin)
		d.During = phaseServiceOf(requests, objectives, d.Begin, d.End)
		d.After = phaseServiceOf(requests, objectives, d.End, d.End.Add(comparisonPeriod))
		d.LongestFailing = longestFailing(requests, d.Begin, d.End.Add(comparisonPeriod))
	}
	return list
}

// findDepartures returns the departures without their phases. Events must be ordered
// by time. Repeated records of one departure, from several VMs, count once.
func findDepartures(events []trace.Event) []Departure {
	var list []Departure
	end := events[len(events)-1].When().UTC()
	for _, event := range events {
		domain, cause, returned, ok := departureEvent(event.Body)
		if !ok {
			continue
		}
		open := slices.IndexFunc(list, func(d Departure) bool {
			return d.Domain == domain && !d.Returned && (cause == "" || d.Cause == cause)
		})
		switch {
		case returned && open >= 0:
			list[open].End, list[open].Returned = event.When().UTC(), true
		case !returned && open < 0:
			list = append(list, Departure{Domain: domain, Cause: cause, Begin: event.When().UTC(), End: end})
		}
	}
	return list
}

// departureEvent returns the failure domain and the cause of an event that begins or
// ends a departure. A withdrawal has the cause "" because it ends a departure of any
// cause.
func departureEvent(body trace.Body) (domain, cause string, returned, ok bool) {
	switch b := body.(type) {
	case trace.Leave:
		if b.Phase == trace.LeaveWithdrawn {
			return b.Domain, "", true, b.Domain != ""
		}
		return b.Domain, string(b.Phase), false, b.Domain != ""
	case trace.Fault:
		isDomain := b.Kind == trace.FaultDomainLost || b.Kind == trace.FaultDomainPartitioned
		return b.Domain, string(b.Kind), b.Phase == trace.Finished, isDomain && b.Domain != ""
	default:
		return "", "", false, false
	}
}

// phaseServiceOf counts the requests that arrived from begin up to, but not including,
// end.
func phaseServiceOf(requests []*requestResult, objectives Objectives, begin, end time.Time) PhaseService {
	var phase PhaseService
	var inPhase []*requestResult
	histogram := newHistogram()
	for _, r := range requests {
		if r.received < begin.UnixNano() || r.received >= end.UnixNano() {
			continue
		}
		inPhase = append(inPhase, r)
		phase.addRequest(r, objectives.of(r.request.Service).Latency.Std())
		if r.class() == good {
			recordLatency(histogram, r.latency)
		}
	}
	phase.P99 = percentileOf(histogram, 99)
	for _, step := range timelineOf(inPhase, objectives) {
		phase.WorstSecond = max(phase.WorstSecond, step.FailedShare())
	}
	return phase
}

// longestFailing returns the longest time from a failed request to the next good one
// of the same key or, for services without keys, of the same service. A run of
// failures without a later good request ends with its last failure.
func longestFailing(requests []*requestResult, begin, end time.Time) time.Duration {
	type target struct {
		service string
		key     trace.Hash
	}
	failingSince := make(map[target]int64)
	var longest int64
	for _, r := range requests {
		if r.received < begin.UnixNano() || r.received >= end.UnixNano() {
			continue
		}
		requested := target{r.request.Service, r.request.Key}
		since, failing := failingSince[requested]
		switch r.class() {
		case failed, wrongfulRefusal:
			if !failing {
				failingSince[requested] = r.received
			}
			longest = max(longest, r.received-failingSince[requested])
		case good:
			if failing {
				longest = max(longest, r.received-since)
				delete(failingSince, requested)
			}
		}
	}
	return time.Duration(longest)
}
