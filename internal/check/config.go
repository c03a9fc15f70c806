package check

import (
	"fmt"
	"slices"
	"sort"

	"fireflyfield/internal/trace"
)

// inForce is a revision by which a VM works from a time on.
type inForce = entry[trace.ConfigInForce]

// checkConfig is invariant 12.
func checkConfig(h *history, o Options, found *findings) {
	accepted := acceptedRevisions(h, found)
	for _, r := range h.recordings {
		if r.header.Role != trace.RoleVM {
			continue
		}
		applied := appliedRevisions(r)
		checkNoRevert(applied, accepted, found)
		checkReached(h, r, applied, accepted, o, found)
	}
	found.need(len(accepted) > 0, "no configuration change was accepted")
	found.need(found.checked > 0, "no VM was observed until a change had to be in force")
}

// acceptedRevisions returns the first record of each revision by revision, and
// reports a revision that was accepted with two contents.
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
			found.violate(fmt.Sprintf("revision %d is accepted with two contents", body.Revision), before.event, event)
		}
	}
	slices.SortStableFunc(list, func(a, b entry[trace.ConfigAccepted]) int { return trace.Compare(a.event, b.event) })
	return list
}

// appliedRevisions keeps the order of the file: a wall clock that goes back must
// not look like a revision that does.
func appliedRevisions(r *recording) []inForce {
	var applied []inForce
	for _, event := range r.events {
		if body, ok := event.Body.(trace.ConfigInForce); ok {
			applied = append(applied, inForce{event, body})
		}
	}
	return applied
}

func checkNoRevert(applied []inForce, accepted []entry[trace.ConfigAccepted], found *findings) {
	digests := make(map[uint64]entry[trace.ConfigAccepted], len(accepted))
	for _, a := range accepted {
		digests[a.body.Revision] = a
	}
	for i, current := range applied {
		if i > 0 && current.body.Revision < applied[i-1].body.Revision {
			reason := fmt.Sprintf("%s goes back from revision %d to %d", current.event.VM, applied[i-1].body.Revision, current.body.Revision)
			found.violate(reason, applied[i-1].event, current.event)
		}
		a, known := digests[current.body.Revision]
		if known && a.body.Digest != current.body.Digest {
			reason := fmt.Sprintf("%s has another content in force for revision %d than was accepted", current.event.VM, current.body.Revision)
			found.violate(reason, a.event, current.event)
		}
	}
}

func checkReached(h *history, r *recording, applied []inForce, accepted []entry[trace.ConfigAccepted], o Options, found *findings) {
	gone := h.goneAt(r)
	for _, change := range accepted {
		begin := max(change.event.Time, r.first())
		deadline := h.deadline(begin, o.ConfigGrace, func(f fault) bool { return h.cutsOff(f, r.vm) })
		if deadline >= min(r.last(), gone) {
			continue
		}
		found.checked++
		if highestBy(applied, deadline) < change.body.Revision {
			reason := fmt.Sprintf("revision %d is not in force at %s in time", change.body.Revision, r.vm)
			found.violate(reason, append([]trace.Event{change.event}, after(applied, deadline)...)...)
		}
	}
}

// goneAt returns when the VM began to stop or was lost; never when it did neither.
func (h *history) goneAt(r *recording) int64 {
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

func highestBy(applied []inForce, until int64) uint64 {
	n := sort.Search(len(applied), func(i int) bool { return applied[i].event.Time > until })
	if n == 0 {
		return 0
	}
	return applied[n-1].body.Revision
}

// after returns the first event past the deadline, which shows how late it was.
func after(applied []inForce, deadline int64) []trace.Event {
	for _, a := range applied {
		if a.event.Time > deadline {
			return []trace.Event{a.event}
		}
	}
	return nil
}
