package ownership

import (
	"slices"

	"fireflyfield/internal/keyspace"
)

// maxHotChanges is the greatest number of hot keys split at once, and of those
// merged at once.
const maxHotChanges = 32

func (d *Decider) loadReported(e LoadReported) {
	service := d.lead.services[e.Service]
	if service == nil {
		return
	}
	service.load = e.Load
	service.hot = e.Hot
	service.loadReported = true
}

// blockUnit adds one reason to keep a unit without an owner.
func (d *Decider) blockUnit(service *keyedService, unit keyspace.Unit) {
	u := service.unit(unit)
	service.blockCounts[unit]++
	if u.owner != "" && u.target == "" {
		// Once unblocked, the owner gets the unit back under a new token.
		u.setTarget(u.owner)
	}
	u.blocked = true
	service.active[unit] = u
	d.lead.mapChanged = true
}

// unblockUnit removes one reason to keep a unit without an owner.
func (d *Decider) unblockUnit(service *keyedService, unit keyspace.Unit) {
	if service.blockCounts[unit]--; service.blockCounts[unit] <= 0 {
		delete(service.blockCounts, unit)
	}
	service.planned = false
	d.lead.mapChanged = true
}

// updateHotKeys splits and merges hot keys. Neither starts while the shared log is
// down.
//
// A split is recorded first; then the hot key and its slice are blocked until no
// backend server holds the slice, so that requests for the key that were routed
// by the old table are rejected before the key is granted anywhere.
//
// For a merge the hot key is blocked first and stays so until the record is read
// back. If the shared log fails in between, the key has no owner until it answers.
func (d *Decider) updateHotKeys(service *keyedService) {
	d.finishSplits(service)
	if !d.logAvailable() || d.authority() != authorityFromLog || !d.takeoverDone(service) {
		return
	}
	d.startSplits(service)
	d.advanceMerges(service)
}

// startSplits records the split of reported hot keys that are not in the set of hot
// keys yet.
func (d *Decider) startSplits(service *keyedService) {
	var split []keyspace.Unit
	known := d.state.Service(service.config.Name).Hot
	for _, unit := range service.hot {
		parent := unit.Parent(service.config.Slices)
		if !unit.IsHot() || known[unit] || !d.owns(service, unit) || service.transfers[parent] != nil {
			continue
		}
		split = append(split, unit)
	}
	remaining := min(maxHotChanges, keyspace.MaxHotKeys-len(known))
	split = split[:max(0, min(len(split), remaining))]
	isHotRecord := func(r Record) bool { return r.Hot != nil && r.Hot.Service == service.config.Name }
	if len(split) == 0 || d.hasPendingAppend(isHotRecord) {
		return
	}
	d.append(DomainStream, Record{Hot: &HotKeyChange{Term: d.lead.term, Service: service.config.Name, Split: split}})
}

// resumeSplits blocks the hot keys of an earlier term that may never have been
// granted: their slice may still be held under the token from before the split.
func (d *Decider) resumeSplits(service *keyedService) {
	state := d.state.Service(service.config.Name)
	for unit := range state.Hot {
		if _, assigned := state.Units[unit]; !assigned {
			d.beginSplit(service, unit)
		}
	}
}

// beginSplit blocks a hot key and its slice after the split was recorded.
func (d *Decider) beginSplit(service *keyedService, unit keyspace.Unit) {
	if service.splits[unit] {
		return
	}
	service.splits[unit] = true
	d.blockUnit(service, unit)
	d.blockUnit(service, unit.Parent(service.config.Slices))
}

// finishSplits unblocks the hot keys whose slice no backend server holds any more.
func (d *Decider) finishSplits(service *keyedService) {
	for unit := range service.splits {
		parent := unit.Parent(service.config.Slices)
		if !d.freeExcept(service, parent, "") {
			continue
		}
		delete(service.splits, unit)
		d.unblockUnit(service, unit)
		d.unblockUnit(service, parent)
	}
}

// advanceMerges blocks the hot keys that are not reported any more or whose slice is
// being transferred, and records the merge of those that nobody holds.
func (d *Decider) advanceMerges(service *keyedService) {
	var released []keyspace.Unit
	for unit := range d.state.Service(service.config.Name).Hot {
		transferring := service.transfers[unit.Parent(service.config.Slices)] != nil
		wanted := !service.loadReported || slices.Contains(service.hot, unit)
		if service.splits[unit] || !transferring && wanted && !service.merges[unit] {
			continue
		}
		if !service.merges[unit] && len(service.merges) < maxHotChanges {
			service.merges[unit] = true
			d.blockUnit(service, unit)
		}
		if service.merges[unit] && d.freeExcept(service, unit, "") {
			released = append(released, unit)
		}
	}
	isHotRecord := func(r Record) bool { return r.Hot != nil && r.Hot.Service == service.config.Name }
	if len(released) == 0 || d.hasPendingAppend(isHotRecord) {
		return
	}
	slices.Sort(released)
	d.append(DomainStream, Record{Hot: &HotKeyChange{Term: d.lead.term, Service: service.config.Name, Merge: released}})
}

// hotAccepted continues the splits and merges whose record was read back.
func (d *Decider) hotAccepted(hot *HotKeyChange) {
	service := d.lead.services[hot.Service]
	if service == nil {
		return
	}
	for _, unit := range hot.Split {
		d.beginSplit(service, unit)
	}
	for _, unit := range hot.Merge {
		if service.merges[unit] {
			delete(service.merges, unit)
			d.unblockUnit(service, unit)
		}
	}
	service.planned = false
	d.lead.mapChanged = true
}
