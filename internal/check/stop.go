package check

import (
	"fmt"

	"fireflyfield/internal/trace"
)

// plannedStop is the interval of a planned stop of a VM. Its end is never if the trace
// does not contain it.
type plannedStop struct {
	span
	vm    string
	event trace.Event
}

// checkStop checks invariant 11. It considers the requests that the VM received before
// or during its stop, and those that it sent to a backend server for other VMs. A
// request during which an injected fault was active is never reported.
func checkStop(h *history, _ Options, found *findings) {
	stops := plannedStops(h)
	for _, stop := range stops {
		for _, r := range h.requestOrder {
			checkRequestDuringStop(h, stop, r, found)
		}
	}
	found.require(len(stops) > 0, "no planned stop of a VM")
	found.require(found.checked > 0, "no request was in flight during a planned stop")
}

func plannedStops(h *history) []plannedStop {
	var stops []plannedStop
	for _, r := range h.recordings {
		for _, event := range r.events {
			body, ok := event.Body.(trace.Stop)
			switch {
			case !ok:
			case body.Phase == trace.Begin:
				stops = append(stops, plannedStop{span{event.Time, never}, r.vm, event})
			case len(stops) > 0 && stops[len(stops)-1].vm == r.vm:
				stops[len(stops)-1].end = event.Time
			}
		}
	}
	return stops
}

// checkRequestDuringStop reports a request that the planned stop interrupted.
func checkRequestDuringStop(h *history, stop plannedStop, r *request, found *findings) {
	if len(r.received) == 0 {
		return
	}
	received := r.received[0].event
	if received.Time > stop.end || !involvesVM(r, stop.vm) {
		return
	}
	if len(r.answers) == 0 {
		checkUnanswered(h, stop, r, found)
		return
	}
	answer := r.answers[0]
	if answer.event.Time < stop.begin {
		return
	}
	found.checked++
	interrupted := answer.body.Outcome == trace.Unknown || answer.body.Reason == trace.RefusedStopping || abortedByRouter(answer.body)
	if interrupted && !h.faultDuring(received.Time, answer.event.Time) {
		reason := fmt.Sprintf("request %s was interrupted by the planned stop of VM %s", r.id, stop.vm)
		found.addViolation(reason, stop.event, received, answer.event)
	}
}

// checkUnanswered reports a request without an answer, but only if the VM that received
// it completed its planned stop; any other VM may have been lost.
func checkUnanswered(h *history, stop plannedStop, r *request, found *findings) {
	received := r.received[0].event
	if received.VM != stop.vm || stop.end == never {
		return
	}
	found.checked++
	if !h.faultDuring(received.Time, stop.end) {
		reason := fmt.Sprintf("request %s got no answer before VM %s had stopped", r.id, stop.vm)
		found.addViolation(reason, stop.event, received)
	}
}

// involvesVM reports whether the VM received the request or sent one of its attempts.
func involvesVM(r *request, vm string) bool {
	if r.received[0].event.VM == vm {
		return true
	}
	for _, attempt := range r.attempts {
		if attempt.event.VM == vm {
			return true
		}
	}
	return false
}

// abortedByRouter reports whether the router aborted the answer without a valid reason.
func abortedByRouter(answer trace.Answer) bool {
	return answer.Aborted && !allowsAbort(answer.Reason)
}
