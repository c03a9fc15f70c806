package check

import (
	"fmt"

	"fireflyfield/internal/trace"
)

// plannedStop is one planned stop of a VM.
type plannedStop struct {
	span
	vm    string
	event trace.Event
}

// checkStop is invariant 11. It judges the requests that the VM received before or
// during its stop, and those that it sent to a backend server for other VMs. A
// request that met an injected fault is not judged.
func checkStop(h *history, _ Options, found *findings) {
	stops := plannedStops(h)
	for _, stop := range stops {
		for _, r := range h.order {
			checkStopped(h, stop, r, found)
		}
	}
	found.need(len(stops) > 0, "no planned stop of a VM")
	found.need(found.checked > 0, "no request was in flight during a planned stop")
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

func checkStopped(h *history, stop plannedStop, r *request, found *findings) {
	if len(r.received) == 0 {
		return
	}
	received := r.received[0].event
	if received.Time > stop.end || !touches(r, stop.vm) {
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
	interrupted := answer.body.Outcome == trace.Unknown || answer.body.Reason == trace.RefusedStopping || routerCut(answer.body)
	if interrupted && !h.faultDuring(received.Time, answer.event.Time) {
		reason := fmt.Sprintf("request %s is interrupted by the planned stop of %s", r.id, stop.vm)
		found.violate(reason, stop.event, received, answer.event)
	}
}

// checkUnanswered judges a request only when the VM that received it stopped in
// order; another VM may have been lost.
func checkUnanswered(h *history, stop plannedStop, r *request, found *findings) {
	received := r.received[0].event
	if received.VM != stop.vm || stop.end == never {
		return
	}
	found.checked++
	if !h.faultDuring(received.Time, stop.end) {
		reason := fmt.Sprintf("request %s gets no answer before %s has stopped", r.id, stop.vm)
		found.violate(reason, stop.event, received)
	}
}

func touches(r *request, vm string) bool {
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

func routerCut(answer trace.Answer) bool {
	return answer.Aborted && !withdrawnOrGone(answer.Reason)
}
