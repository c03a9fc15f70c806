package check

import (
	"fmt"
	"slices"

	"fireflyfield/internal/trace"
)

// departure is the interval during which a failure domain or a backend server is out
// of service. Exactly one of domain and server is set.
type departure struct {
	span
	domain string
	server trace.Server
	event  trace.Event
}

// covers reports whether the backend server is the one that departs, or belongs to the
// failure domain that departs.
func (d departure) covers(server trace.Server) bool {
	if d.domain != "" {
		return d.domain == server.Domain
	}
	return d.server == server
}

// checkDomainLeave checks invariant 4: a failure domain that is out of service gets no
// new requests.
func checkDomainLeave(h *history, o Options, found *findings) {
	list := departures(h.sorted, func(d departure) bool { return d.domain != "" })
	checkDepartures(h, list, o, found)
	found.require(len(list) > 0, "no failure domain was taken out of service")
	found.require(found.checked > 0, "no request was sent while a failure domain was out of service")
}

// checkServerLeave checks invariant 10: a backend server that leaves gets no new
// requests.
func checkServerLeave(h *history, o Options, found *findings) {
	list := departures(h.sorted, func(d departure) bool { return d.domain == "" })
	checkDepartures(h, list, o, found)
	found.require(len(list) > 0, "no backend server left")
	found.require(found.checked > 0, "no request was sent while a backend server was leaving")
}

// serverWork is an attempt sent to a backend server or a run at one.
type serverWork struct {
	attemptKey
	server trace.Server
	// keyed work may stay in a partitioned failure domain, which still owns its keys.
	keyed bool
	event trace.Event
	verb  string
}

// checkDepartures reports work at a backend server whose departure rules it out, once
// for each attempt.
func checkDepartures(h *history, list []departure, o Options, found *findings) {
	if len(list) == 0 {
		return
	}
	reported := make(map[attemptKey]bool)
	for _, event := range h.sorted {
		w, ok := workOf(event)
		if !ok {
			continue
		}
		for _, d := range list {
			if reported[w.attemptKey] || !h.pastDeadline(d, w, o) {
				continue
			}
			found.checked++
			if d.covers(w.server) {
				reported[w.attemptKey] = true
				found.addViolation(fmt.Sprintf("request %s %s %s after the grace of its departure", w.request, w.verb, w.server), d.event, w.event)
			}
		}
	}
}

// workOf returns the work that an event begins, if any.
func workOf(event trace.Event) (serverWork, bool) {
	switch body := event.Body.(type) {
	case trace.Attempt:
		keyed := body.Token != trace.Token{}
		return serverWork{attemptKey{body.Request, body.Attempt}, body.Server, keyed, event, "was sent to"}, true
	case trace.RunStart:
		keyed := body.Key != 0
		return serverWork{attemptKey{body.Request, body.Attempt}, body.Server, keyed, event, "ran at"}, true
	default:
		return serverWork{}, false
	}
}

// pastDeadline reports whether the work begins later than the grace of the departure
// and before the departure ends. For a sender that a fault keeps from learning of the
// departure, the grace starts again at the end of the fault. Keyed work may stay in a
// failure domain for as long as the domain is partitioned.
func (h *history) pastDeadline(d departure, w serverWork, o Options) bool {
	if w.event.Time >= d.end || w.event.Time <= d.begin+int64(o.LeaveGrace) {
		return false
	}
	sender := h.senders[w.attemptKey]
	deadline := h.deadline(d.begin, o.LeaveGrace, func(f fault) bool {
		staysKeyed := f.Kind == trace.FaultDomainPartitioned && f.Domain == d.domain && w.keyed
		return staysKeyed || h.blocksUpdates(f, sender)
	})
	return w.event.Time > deadline
}

// departures returns the drains, announced departures and draining states for which
// wanted is true.
func departures(sorted []trace.Event, wanted func(departure) bool) []departure {
	l := &departureList{}
	for _, event := range sorted {
		switch body := event.Body.(type) {
		case trace.Leave:
			l.applyLeave(event, body)
		case trace.ServerState:
			l.applyState(event, body)
		}
	}
	return slices.DeleteFunc(l.list, func(d departure) bool { return !wanted(d) })
}

// departureList collects departures from events in the order of time.
type departureList struct {
	list []departure
	// withdrawnRevisions holds the revisions of withdrawn drains, because a VM that
	// lags behind may record the drain after another VM recorded its withdrawal.
	withdrawnRevisions []uint64
}

func (l *departureList) applyLeave(event trace.Event, body trace.Leave) {
	target := departure{span{event.Time, never}, body.Domain, body.Server, event}
	if body.Phase == trace.LeaveWithdrawn {
		l.end(target)
		if body.Revision != 0 {
			l.withdrawnRevisions = append(l.withdrawnRevisions, body.Revision)
		}
		return
	}
	if !slices.Contains(l.withdrawnRevisions, body.Revision) {
		l.begin(target)
	}
}

func (l *departureList) applyState(event trace.Event, body trace.ServerState) {
	target := departure{span: span{event.Time, never}, server: body.Server, event: event}
	if body.State == trace.Draining {
		l.begin(target)
		return
	}
	// A change of state ends only a departure that a state began: an operator's drain
	// stays in effect when the server restarts.
	for i := range l.list {
		_, byState := l.list[i].event.Body.(trace.ServerState)
		if byState && l.list[i].server == body.Server && l.list[i].end == never {
			l.list[i].end = event.Time
		}
	}
}

// begin adds a departure unless the same one is already open. Departures by state and
// by Leave event are kept apart.
func (l *departureList) begin(target departure) {
	_, byState := target.event.Body.(trace.ServerState)
	for _, d := range l.list {
		_, openByState := d.event.Body.(trace.ServerState)
		if d.domain == target.domain && d.server == target.server && d.end == never && openByState == byState {
			return
		}
	}
	l.list = append(l.list, target)
}

// end closes the open departures of the target that Leave events began.
func (l *departureList) end(target departure) {
	for i, d := range l.list {
		_, byState := d.event.Body.(trace.ServerState)
		if !byState && d.domain == target.domain && d.server == target.server && d.end == never {
			l.list[i].end = target.begin
		}
	}
}
