package check

import (
	"fmt"
	"slices"
	"sort"

	"fireflyfield/internal/trace"
)

// appliedRevision records that a configuration revision came into force at a VM.
type appliedRevision = entry[trace.ConfigInForce]

// checkConfig checks invariant 12: every VM applies each accepted revision in time,
// with the accepted content, and never reverts to an earlier one.
func checkConfig(h *history, o Options, found *findings) {
	accepted := acceptedRevisions(h, found)
	for _, r := range h.recordings {
		if r.header.Role != trace.RoleVM {
			continue
		}
		applied := appliedRevisions(r)
		checkNeverReverts(applied, accepted, found)
		checkAppliedInTime(h, r, applied, accepted, o, found)
	}
	found.require(len(accepted) > 0, "no configuration change was accepted")
	found.require(found.checked > 0, "no VM was recorded up to the deadline of a configuration change")
}

// acceptedRevisions returns the first record of each accepted revision, sorted by
// time, and reports a revision that was accepted with two different contents.
func acceptedRevisions(h *history, found *findings) []entry[trace.ConfigAccepted] {
	first := make(map[uint64]entry[trace.ConfigAccepted])
	var list []entry[trace.ConfigAccepted]
	for _, event := range h.sorted {
		body, ok := event.Body.(trace.ConfigAccepted)
		if !ok {
			continue
		}
		before, repeated := first[body.Revision]
		if !repeated {
			first[body.Revision] = entry[trace.ConfigAccepted]{event, body}
			list = append(list, first[body.Revision])
			continue
		}
		if before.body.Digest != body.Digest {
			found.addViolation(fmt.Sprintf("revision %d was accepted with two different contents", body.Revision), before.event, event)
		}
	}
	slices.SortStableFunc(list, func(a, b entry[trace.ConfigAccepted]) int { return trace.Compare(a.event, b.event) })
	return list
}

// appliedRevisions returns the revisions that a VM applied, in the order of its
// recording: sorting by time would show a wall clock that was set back as a revert.
func appliedRevisions(r *recording) []appliedRevision {
	var applied []appliedRevision
	for _, event := range r.events {
		if body, ok := event.Body.(trace.ConfigInForce); ok {
			applied = append(applied, appliedRevision{event, body})
		}
	}
	return applied
}

// checkNeverReverts reports a VM that goes back to an earlier revision or applies a
// revision with content other than the accepted one.
func checkNeverReverts(applied []appliedRevision, accepted []entry[trace.ConfigAccepted], found *findings) {
	digests := make(map[uint64]entry[trace.ConfigAccepted], len(accepted))
	for _, a := range accepted {
		digests[a.body.Revision] = a
	}
	for i, current := range applied {
		if i > 0 && current.body.Revision < applied[i-1].body.Revision {
			reason := fmt.Sprintf("VM %s reverted from revision %d to %d", current.event.VM, applied[i-1].body.Revision, current.body.Revision)
			found.addViolation(reason, applied[i-1].event, current.event)
		}
		a, known := digests[current.body.Revision]
		if known && a.body.Digest != current.body.Digest {
			reason := fmt.Sprintf("VM %s applied content for revision %d that differs from the accepted content", current.event.VM, current.body.Revision)
			found.addViolation(reason, a.event, current.event)
		}
	}
}

// checkAppliedInTime reports accepted revisions that a VM has not applied by their
// deadline. It skips a deadline after the VM stopped, was lost or ended its recording.
func checkAppliedInTime(h *history, r *recording, applied []appliedRevision, accepted []entry[trace.ConfigAccepted], o Options, found *findings) {
	goneTime := h.stoppedOrLostTime(r)
	for _, change := range accepted {
		begin := max(change.event.Time, r.first())
		deadline := h.deadline(begin, o.ConfigGrace, func(f fault) bool { return h.blocksUpdates(f, r.vm) })
		if deadline >= min(r.last(), goneTime) {
			continue
		}
		found.checked++
		if revisionAt(applied, deadline) < change.body.Revision {
			reason := fmt.Sprintf("revision %d was not in force at VM %s by its deadline", change.body.Revision, r.vm)
			found.addViolation(reason, append([]trace.Event{change.event}, firstEventAfter(applied, deadline)...)...)
		}
	}
}

// stoppedOrLostTime returns the time at which the VM began to stop or was lost, or never
// if it did neither.
func (h *history) stoppedOrLostTime(r *recording) int64 {
	for _, event := range r.events {
		if _, stop := event.Body.(trace.Stop); stop {
			return event.Time
		}
	}
	for _, f := range h.faults {
		lost := f.Kind == trace.FaultVMLost && f.VM == r.vm
		lost = lost || f.Kind == trace.FaultDomainLost && f.Domain == r.header.Domain
		if lost && f.overlaps(r.first(), r.last()) {
			return f.begin
		}
	}
	return never
}

// revisionAt returns the revision that was last applied up to the time, or 0. It
// expects applied in the order of time.
func revisionAt(applied []appliedRevision, until int64) uint64 {
	n := sort.Search(len(applied), func(i int) bool { return applied[i].event.Time > until })
	if n == 0 {
		return 0
	}
	return applied[n-1].body.Revision
}

// firstEventAfter returns the first event after the deadline, as evidence of the delay.
func firstEventAfter(applied []appliedRevision, deadline int64) []trace.Event {
	for _, a := range applied {
		if a.event.Time > deadline {
			return []trace.Event{a.event}
		}
	}
	return nil
}
