package report

import (
	"slices"
	"time"

	"fireflyfield/internal/trace"
)

// comparedBefore bounds the time before a departure and after a return that is
// compared with the time between them.
const comparedBefore = 10 * time.Second

// Departure is the service while a failure domain leaves and returns.
type Departure struct {
	Domain string `json:"domain"`
	// Cause is drain, leave or the kind of the fault.
	Cause string    `json:"cause"`
	Begin time.Time `json:"begin"`
	// End is the return, or the end of the trace when Returned is false.
	End      time.Time     `json:"end"`
	Returned bool          `json:"returned"`
	Before   PhaseService  `json:"before"`
	During   PhaseService  `json:"during"`
	After    PhaseService  `json:"after"`
	Longest  time.Duration `json:"longest_failing_ns"`
}

// PhaseService is the service to all callers in one phase of a departure.
type PhaseService struct {
	Counts
	P99 time.Duration `json:"p99_ns"`
	// WorstSecond is the highest share of failed requests in one second.
	WorstSecond float64 `json:"worst_second"`
}

func departuresOf(events []trace.Event, requests []*served, objectives Objectives) []Departure {
	list := findDepartures(events)
	for i := range list {
		d := &list[i]
		d.Before = phaseOf(requests, objectives, d.Begin.Add(-comparedBefore), d.Begin)
		d.During = phaseOf(requests, objectives, d.Begin, d.End)
		d.After = phaseOf(requests, objectives, d.End, d.End.Add(comparedBefore))
		d.Longest = longestFailing(requests, d.Begin, d.End.Add(comparedBefore))
	}
	return list
}

// findDepartures needs events by time.
func findDepartures(events []trace.Event) []Departure {
	var list []Departure
	end := events[len(events)-1].When().UTC()
	for _, event := range events {
		domain, cause, returned, ok := departureStep(event.Body)
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

// departureStep returns the cause "" for a withdrawal, which ends either cause.
func departureStep(body trace.Body) (domain, cause string, returned, ok bool) {
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

func phaseOf(requests []*served, objectives Objectives, begin, end time.Time) PhaseService {
	var phase PhaseService
	var inside []*served
	histogram := newHistogram()
	for _, s := range requests {
		if s.received < begin.UnixNano() || s.received >= end.UnixNano() {
			continue
		}
		inside = append(inside, s)
		phase.count(s, objectives.of(s.request.Service).Latency.Std())
		if s.class() == good {
			record(histogram, s.latency)
		}
	}
	phase.P99 = quantile(histogram, 99)
	for _, step := range timelineOf(inside, objectives) {
		phase.WorstSecond = max(phase.WorstSecond, step.FailedShare())
	}
	return phase
}

// longestFailing returns the longest time between two good requests of one key or,
// for unkeyed services, of one service, in which a request failed.
func longestFailing(requests []*served, begin, end time.Time) time.Duration {
	type target struct {
		service string
		key     trace.Hash
	}
	failingSince := make(map[target]int64)
	var longest int64
	for _, s := range requests {
		if s.received < begin.UnixNano() || s.received >= end.UnixNano() {
			continue
		}
		at := target{s.request.Service, s.request.Key}
		since, failing := failingSince[at]
		switch s.class() {
		case failed, wrongful:
			if !failing {
				failingSince[at] = s.received
			}
			longest = max(longest, s.received-failingSince[at])
		case good:
			if failing {
				longest = max(longest, s.received-since)
				delete(failingSince, at)
			}
		}
	}
	return time.Duration(longest)
}
