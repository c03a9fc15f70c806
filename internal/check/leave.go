package check

import (
	"fmt"
	"slices"

	"fireflyfield/internal/trace"
)

// departure is the time in which a failure domain or a backend server leaves.
type departure struct {
	span
	domain string
	server trace.Server
	event  trace.Event
}

func (d departure) covers(server trace.Server) bool {
	if d.domain != "" {
		return d.domain == server.Domain
	}
	return d.server == server
}

// checkDomainLeave is invariant 4.
func checkDomainLeave(h *history, o Options, found *findings) {
	list := departures(h.sorted, func(d departure) bool { return d.domain != "" })
	checkDepartures(h, list, o, found)
	found.need(len(list) > 0, "no failure domain was taken out of service")
	found.need(found.checked > 0, "no request was sent while a failure domain was out of service")
}

// checkServerLeave is invariant 10.
func checkServerLeave(h *history, o Options, found *findings) {
	list := departures(h.sorted, func(d departure) bool { return d.domain == "" })
	checkDepartures(h, list, o, found)
	found.need(len(list) > 0, "no backend server left")
	found.need(found.checked > 0, "no request was sent while a backend server was leaving")
}

// work is one attempt or run at a backend server.
type work struct {
	attemptKey
	server trace.Server
	// keyed work may stay in a failure domain that is partitioned.
	keyed bool
	event trace.Event
	verb  string
}

func checkDepartures(h *history, list []departure, o Options, found *findings) {
	if len(list) == 0 {
		return
	}
	seen := make(map[attemptKey]bool)
	for _, event := range h.sorted {
		w, ok := workOf(event)
		if !ok {
			continue
		}
		for _, d := range list {
			if seen[w.attemptKey] || !h.late(d, w, o) {
				continue
			}
			found.checked++
			if d.covers(w.server) {
				seen[w.attemptKey] = true
				found.violate(fmt.Sprintf("request %s %s %s after the time to leave", w.request, w.verb, w.server), d.event, w.event)
			}
		}
	}
}

func workOf(event trace.Event) (work, bool) {
	switch body := event.Body.(type) {
	case trace.Attempt:
		keyed := body.Token != trace.Token{}
		return work{attemptKey{body.Request, body.Attempt}, body.Server, keyed, event, "is sent to"}, true
	case trace.RunStart:
		keyed := body.Key != 0
		return work{attemptKey{body.Request, body.Attempt}, body.Server, keyed, event, "runs at"}, true
	default:
		return work{}, false
	}
}

// late reports whether the work begins after the time that the departure allows
// its sender, and before the departure ends. A sender that a fault keeps from
// learning of the departure gets the same time after the fault; keyed work stays
// in a failure domain as long as that is partitioned.
func (h *history) late(d departure, w work, o Options) bool {
	if w.event.Time >= d.end || w.event.Time <= d.begin+int64(o.LeaveGrace) {
		return false
	}
	sender := h.senders[w.attemptKey]
	deadline := h.deadline(d.begin, o.LeaveGrace, func(f fault) bool {
		staysKeyed := f.Kind == trace.FaultDomainPartitioned && f.Domain == d.domain && w.keyed
		return staysKeyed || h.cutsOff(f, sender)
	})
	return w.event.Time > deadline
}

// departures collects drains, announced departures and draining states.
func departures(sorted []trace.Event, wanted func(departure) bool) []departure {
	b := &departureList{}
	for _, event := range sorted {
		switch body := event.Body.(type) {
		case trace.Leave:
			b.leave(event, body)
		case trace.ServerState:
			b.state(event, body)
		}
	}
	return slices.DeleteFunc(b.list, func(d departure) bool { return !wanted(d) })
}

type departureList struct {
	list []departure
	// withdrawn holds the revisions of drains that ended, because a VM that is
	// behind may record the drain after another one recorded its withdrawal.
	withdrawn []uint64
}

func (b *departureList) leave(event trace.Event, body trace.Leave) {
	target := departure{span{event.Time, never}, body.Domain, body.Server, event}
	if body.Phase == trace.LeaveWithdrawn {
		b.end(target)
		if body.Revision != 0 {
			b.withdrawn = append(b.withdrawn, body.Revision)
		}
		return
	}
	if !slices.Contains(b.withdrawn, body.Revision) {
		b.begin(target)
	}
}

func (b *departureList) state(event trace.Event, body trace.ServerState) {
	target := departure{span: span{event.Time, never}, server: body.Server, event: event}
	if body.State == trace.Draining {
		b.begin(target)
		return
	}
	// A state ends only what a state began: a drained server that restarts is
	// still drained.
	for i := range b.list {
		_, byState := b.list[i].event.Body.(trace.ServerState)
		if byState && b.list[i].server == body.Server && b.list[i].end == never {
			b.list[i].end = event.Time
		}
	}
}

func (b *departureList) begin(target departure) {
	_, byState := target.event.Body.(trace.ServerState)
	for _, d := range b.list {
		_, sameKind := d.event.Body.(trace.ServerState)
		if d.domain == target.domain && d.server == target.server && d.end == never && sameKind == byState {
			return
		}
	}
	b.list = append(b.list, target)
}

func (b *departureList) end(target departure) {
	for i, d := range b.list {
		_, byState := d.event.Body.(trace.ServerState)
		if !byState && d.domain == target.domain && d.server == target.server && d.end == never {
			b.list[i].end = target.begin
		}
	}
}
