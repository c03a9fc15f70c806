package check

import (
	"fmt"

	"fireflyfield/internal/trace"
)

// checkDurability checks invariant 2. A grant at a backend server is an acknowledged
// assignment. It is lost if a later grant in the same failure domain has a lower fencing
// token, or the same one for another server, or if no backend server holds the unit once
// the faults have ended and the recovery bound has passed.
func checkDurability(h *history, o Options, found *findings) {
	exercised := false
	for _, key := range sortedKeys(h.leases) {
		checkTokens(h.leases[key], found)
		exercised = h.lossAfter(h.leases[key][0].begin) || exercised
	}
	found.require(exercised, "no loss of a VM, a backend server or the shared log after a grant")
	faultsEnd := h.faultsEndTime()
	last := h.lastReceivedTime()
	if faultsEnd == never {
		found.require(false, "an outage of the shared log does not end")
		return
	}
	from := faultsEnd + int64(o.RecoveryBound)
	if last < from {
		found.require(false, "no request was received after the last fault and the recovery bound")
		return
	}
	for _, key := range sortedKeys(h.leases) {
		checkLeasedAgain(h, key, from, last, found)
	}
}

// checkTokens reports grants whose fencing tokens do not rise, except a repeated grant
// of the same token to the same server. It compares tokens within one failure domain
// only, because a term derives from an offset in the stream of its domain.
func checkTokens(list []*lease, found *findings) {
	highest := make(map[string]*lease)
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
			reason := fmt.Sprintf("unit %016x of service %s was granted with a fencing token that is not above the one granted before", uint64(held.key.unit), held.key.service)
			found.addViolation(reason, before.grant, held.grant)
			continue
		}
		highest[domain] = held
	}
}

// checkLeasedAgain reports a unit that no backend server holds at any time between from
// and last.
func checkLeasedAgain(h *history, key unitKey, from, last int64, found *findings) {
	list := h.leases[key]
	lastLease := list[len(list)-1]
	_, revoked := lastLease.last.Body.(trace.Revoke)
	if key.unit.Hot() && revoked {
		// A key that is no longer hot belongs to its slice again.
		return
	}
	if h.domainLost(lastLease.server.Domain) {
		return
	}
	found.checked++
	for _, held := range list {
		if held.overlaps(from, last+1) {
			return
		}
	}
	reason := fmt.Sprintf("unit %016x of service %s was held by no backend server after the last fault", uint64(key.unit), key.service)
	found.addViolation(reason, lastLease.grant, lastLease.last)
}

// isLoss reports whether the fault is a loss that assignments have to survive.
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

// lossAfter reports whether a loss began at or after the time.
func (h *history) lossAfter(at int64) bool {
	for _, f := range h.faults {
		if f.begin >= at && isLoss(f.Kind) {
			return true
		}
	}
	return false
}

// faultsEndTime returns the time from which no fault delays recovery, or never if an
// outage of the shared log lasts until the end of the trace. Any other fault without an
// end counts from its begin.
func (h *history) faultsEndTime() int64 {
	var faultsEnd int64
	for _, f := range h.faults {
		switch {
		case f.end != never:
			faultsEnd = max(faultsEnd, f.end)
		case f.Kind == trace.FaultLogDown:
			return never
		default:
			faultsEnd = max(faultsEnd, f.begin)
		}
	}
	return faultsEnd
}

// domainLost reports whether the failure domain was lost or partitioned until the end
// of the trace. Its units stay assigned to it until an operator confirms that it is
// down.
func (h *history) domainLost(domain string) bool {
	for _, f := range h.faults {
		isDomain := f.Kind == trace.FaultDomainLost || f.Kind == trace.FaultDomainPartitioned
		if isDomain && f.Domain == domain && f.end == never {
			return true
		}
	}
	return false
}

// lastReceivedTime returns the time of the last received request. Leases that end
// after it are no violation, since they end when the traced system shuts down.
func (h *history) lastReceivedTime() int64 {
	var last int64
	for _, r := range h.requestOrder {
		for _, received := range r.received {
			last = max(last, received.event.Time)
		}
	}
	return last
}
