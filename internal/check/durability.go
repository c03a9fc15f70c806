package check

import (
	"fmt"

	"fireflyfield/internal/trace"
)

// checkDurability is invariant 2. A grant at a backend server is an acknowledged
// assignment. It is lost when a later grant of the same failure domain reuses its
// token or a lower one, or when the unit is held nowhere after the faults have
// ended and the recovery bound has passed.
func checkDurability(h *history, o Options, found *findings) {
	exercised := false
	for _, key := range sortedKeys(h.holders) {
		checkTokens(h.holders[key], found)
		exercised = h.lossAfter(h.holders[key][0].begin) || exercised
	}
	found.need(exercised, "no loss of a VM, a backend server or the log after a grant")
	settled := h.settled()
	last := h.lastWork()
	if settled == never {
		found.need(false, "an outage of the log does not end")
		return
	}
	from := settled + int64(o.RecoveryBound)
	if last < from {
		found.need(false, "no request is received after the recovery bound of the last fault")
		return
	}
	for _, key := range sortedKeys(h.holders) {
		checkHeldAgain(h, key, from, last, found)
	}
}

// checkTokens compares tokens within one failure domain; terms of different
// domains are offsets in different streams.
func checkTokens(list []*holding, found *findings) {
	highest := make(map[string]*holding)
	for _, held := range list {
		domain := held.server.Domain
		before := highest[domain]
		if before == nil {
			highest[domain] = held
			continue
		}
		found.checked++
		repeated := held.token == before.token && held.server == before.server
		if !before.token.Less(held.token) && !repeated {
			reason := fmt.Sprintf("unit %016x of %s is granted with a token that is not above the one acknowledged before", uint64(held.key.unit), held.key.service)
			found.violate(reason, before.grant, held.grant)
			continue
		}
		highest[domain] = held
	}
}

func checkHeldAgain(h *history, key unitKey, from, last int64, found *findings) {
	list := h.holders[key]
	final := list[len(list)-1]
	_, revoked := final.last.Body.(trace.Revoke)
	if key.unit.Hot() && revoked {
		// A hot key that cools down goes back to its slice.
		return
	}
	if h.domainLost(final.server.Domain) {
		return
	}
	found.checked++
	for _, held := range list {
		if held.overlaps(from, last+1) {
			return
		}
	}
	reason := fmt.Sprintf("unit %016x of %s is held nowhere after the last fault", uint64(key.unit), key.service)
	found.violate(reason, final.grant, final.last)
}

// isLoss reports whether the fault is one that assignments have to survive.
func isLoss(kind trace.FaultKind) bool {
	switch kind {
	case trace.FaultVMLost, trace.FaultVMPaused, trace.FaultVMPartitioned, trace.FaultDomainPartitioned,
		trace.FaultServerFrozen, trace.FaultServerLost, trace.FaultServerRestarted,
		trace.FaultLogDown, trace.FaultLogSlow, trace.FaultLogLosesAnswers:
		return true
	default:
		return false
	}
}

func (h *history) lossAfter(at int64) bool {
	for _, f := range h.faults {
		if f.begin >= at && isLoss(f.Kind) {
			return true
		}
	}
	return false
}

// settled returns the time from which no fault hinders the recovery; never when an
// outage of the log lasts to the end.
func (h *history) settled() int64 {
	var settled int64
	for _, f := range h.faults {
		switch {
		case f.end != never:
			settled = max(settled, f.end)
		case f.Kind == trace.FaultLogDown:
			return never
		default:
			settled = max(settled, f.begin)
		}
	}
	return settled
}

// domainLost reports whether the failure domain was lost for good or partitioned
// to the end. Its units stay with it until an operator confirms that it is down.
func (h *history) domainLost(domain string) bool {
	for _, f := range h.faults {
		isDomain := f.Kind == trace.FaultDomainLost || f.Kind == trace.FaultDomainPartitioned
		if isDomain && f.Domain == domain && f.end == never {
			return true
		}
	}
	return false
}

// lastWork returns the time of the last request received; leases end in order
// after it when the trace is closed.
func (h *history) lastWork() int64 {
	var last int64
	for _, r := range h.order {
		for _, received := range r.received {
			last = max(last, received.event.Time)
		}
	}
	return last
}
