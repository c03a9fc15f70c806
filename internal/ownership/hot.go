package ownership

import (
	"slices"

	"fireflyfield/internal/keyspace"
)

// maxHotChanges bounds the hot keys that are split or merged at once.
const maxHotChanges = 32

func (d *Decider) loadReported(e LoadReported) {
	run := d.lead.services[e.Service]
	if run == nil {
		return
	}
	run.load = e.Load
	run.hot = e.Hot
	run.reported = true
}

// freeze and thaw add and remove one reason to keep a unit without an owner.
func (d *Decider) freeze(run *serviceRun, unit keyspace.Unit) {
	u := run.unit(unit)
	run.frozen[unit]++
	if u.owner != "" && u.target == "" {
		u.plan(u.owner)
	}
	u.hold = true
	run.active[unit] = u
	d.lead.changed = true
}

func (d *Decider) thaw(run *serviceRun, unit keyspace.Unit) {
	if run.frozen[unit]--; run.frozen[unit] <= 0 {
		delete(run.frozen, unit)
	}
	run.planned = false
	d.lead.changed = true
}

// pumpHot splits and merges hot keys. Neither starts while the log is down.
//
// A split is recorded first; then the hot key and its slice are frozen until no
// backend server holds the slice, so that requests for the key that were routed
// by the old table are refused before the key is granted anywhere.
//
// For a merge the hot key is stopped first and stays so until the record is read
// back. If the log fails in between, the key has no owner until it answers.
func (d *Decider) pumpHot(run *serviceRun) {
	d.finishSplits(run)
	if !d.logAnswers() || d.authority() != byLog || !d.takeoverDone(run) {
		return
	}
	d.startSplits(run)
	d.pumpMerges(run)
}

func (d *Decider) startSplits(run *serviceRun) {
	var split []keyspace.Unit
	known := d.state.Service(run.config.Name).Hot
	for _, unit := range run.hot {
		parent := unit.Parent(run.config.Slices)
		if !unit.IsHot() || known[unit] || !d.owns(run, unit) || run.leaves[parent] != nil {
			continue
		}
		split = append(split, unit)
	}
	room := min(maxHotChanges, keyspace.MaxHotKeys-len(known))
	split = split[:max(0, min(len(split), room))]
	isHot := func(r Record) bool { return r.Hot != nil && r.Hot.Service == run.config.Name }
	if len(split) == 0 || d.appending(isHot) {
		return
	}
	d.append(DomainStream, Record{Hot: &Hot{Term: d.lead.term, Service: run.config.Name, Split: split}})
}

// resumeSplits freezes hot keys of an earlier term that may never have been
// granted: their slice may still be held under the token from before the split.
func (d *Decider) resumeSplits(run *serviceRun) {
	state := d.state.Service(run.config.Name)
	for unit := range state.Hot {
		if _, assigned := state.Units[unit]; !assigned {
			d.beginSplit(run, unit)
		}
	}
}

func (d *Decider) beginSplit(run *serviceRun, unit keyspace.Unit) {
	if run.splits[unit] {
		return
	}
	run.splits[unit] = true
	d.freeze(run, unit)
	d.freeze(run, unit.Parent(run.config.Slices))
}

func (d *Decider) finishSplits(run *serviceRun) {
	for unit := range run.splits {
		parent := unit.Parent(run.config.Slices)
		if !d.free(run, parent, "") {
			continue
		}
		delete(run.splits, unit)
		d.thaw(run, unit)
		d.thaw(run, parent)
	}
}

func (d *Decider) pumpMerges(run *serviceRun) {
	var free []keyspace.Unit
	for unit := range d.state.Service(run.config.Name).Hot {
		leaving := run.leaves[unit.Parent(run.config.Slices)] != nil
		wanted := !run.reported || slices.Contains(run.hot, unit)
		if run.splits[unit] || !leaving && wanted && !run.merges[unit] {
			continue
		}
		if !run.merges[unit] && len(run.merges) < maxHotChanges {
			run.merges[unit] = true
			d.freeze(run, unit)
		}
		if run.merges[unit] && d.free(run, unit, "") {
			free = append(free, unit)
		}
	}
	isHot := func(r Record) bool { return r.Hot != nil && r.Hot.Service == run.config.Name }
	if len(free) == 0 || d.appending(isHot) {
		return
	}
	slices.Sort(free)
	d.append(DomainStream, Record{Hot: &Hot{Term: d.lead.term, Service: run.config.Name, Merge: free}})
}

// hotAccepted continues a split or merge whose record was read back.
func (d *Decider) hotAccepted(hot *Hot) {
	run := d.lead.services[hot.Service]
	if run == nil {
		return
	}
	for _, unit := range hot.Split {
		d.beginSplit(run, unit)
	}
	for _, unit := range hot.Merge {
		if run.merges[unit] {
			delete(run.merges, unit)
			d.thaw(run, unit)
		}
	}
	run.planned = false
	d.lead.changed = true
}
