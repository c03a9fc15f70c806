package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/placement"
)

const (
	// maxBalanceMoves bounds the moves of one plan that only balance the load.
	maxBalanceMoves = 32
	// planInterval is the least time between two plans of one service.
	planInterval = 20 * time.Millisecond
	// minRefillTarget is the smallest target of a refill.
	minRefillTarget = 1
)

// unitRun is the progress of one unit at its decider.
type unitRun struct {
	// owner is the backend server that confirmed the grant, empty if none did.
	owner string
	token Token
	// target is the backend server that gets the unit next, empty if none is planned.
	target string
	next   Token
	// recording is set once the assignment to target was appended, recorded once
	// it has an offset or counts as provisional.
	recording bool
	recorded  bool
	appendAt  time.Duration
	// hold keeps the unit from being granted to anyone, its owner included, until
	// a split, merge or release is read back.
	hold bool
}

func (u *unitRun) adopt(owner string, token Token) {
	*u = unitRun{owner: owner, token: token}
}

func (u *unitRun) plan(target string) {
	u.target = target
	u.recording = false
	u.recorded = false
}

// pendingUnit ties a unit to the assign record that was written for it.
type pendingUnit struct {
	run  *unitRun
	next Token
}

type refillState struct{ limit *placement.Refill }

func (r *serviceRun) unit(unit keyspace.Unit) *unitRun {
	u, found := r.units[unit]
	if !found {
		u = &unitRun{}
		r.units[unit] = u
	}
	return u
}

func (d *Decider) startRefill(run *serviceRun, name string) {
	target := max(minRefillTarget, len(run.units)/max(1, len(run.servers)))
	run.refills[name] = &refillState{placement.NewRefill(d.now.Mono, target)}
}

// owns reports whether this failure domain is the home of the unit and has not
// released it.
func (d *Decider) owns(run *serviceRun, unit keyspace.Unit) bool {
	slice := unit.Parent(run.config.Slices)
	home := d.homes.Home(run.config.Name, slice)
	released := d.state.Service(run.config.Name).Released[slice]
	return home.Domain == d.options.Domain && home.Epoch > released.Epoch
}

// unitsToPlace lists the units that this decider has to place, in ascending order.
func (d *Decider) unitsToPlace(run *serviceRun) []keyspace.Unit {
	var units []keyspace.Unit
	for slice := range d.homes.Services[run.config.Name] {
		if unit := keyspace.Unit(slice); d.owns(run, unit) {
			units = append(units, unit)
		}
	}
	hot := slices.Sorted(maps.Keys(d.state.Service(run.config.Name).Hot))
	for _, unit := range hot {
		if d.owns(run, unit) {
			units = append(units, unit)
		}
	}
	return units
}

// plan decides which units go where. After a takeover it waits until the homes
// were read by a read that was sent after the claim was seen.
func (d *Decider) plan(run *serviceRun) {
	age := d.now.Mono - run.plannedAt
	due := age >= planInterval && (!run.planned || age >= balanceInterval || d.anyLost(run))
	if !due || d.authority() == noAuthority || !d.confirmedAfter(HomesStream, d.lead.since) {
		return
	}
	run.planned = true
	run.plannedAt = d.now.Mono
	d.dropTargets(run)
	input := placement.Input{
		Units:   d.unitsToPlace(run),
		Current: make(map[keyspace.Unit]string),
		Moving:  make(map[keyspace.Unit]bool),
		Load:    run.load,
		Servers: d.placementServers(run),
	}
	if d.takeoverDone(run) {
		input.MaxMoves = maxBalanceMoves
	}
	for _, unit := range input.Units {
		d.describeUnit(run, unit, &input)
	}
	for _, move := range placement.Plan(input) {
		d.startMove(run, move)
	}
}

// dropTargets gives up moves to backend servers that are lost or draining.
func (d *Decider) dropTargets(run *serviceRun) {
	for unit, u := range run.active {
		if u.target != "" && !d.usable(run, u.target) {
			u.plan("")
		}
		if u.owner != "" && u.target == "" && !u.hold {
			delete(run.active, unit)
			d.lead.changed = true
		}
	}
}

// anyLost reports whether a backend server that stopped answering still owns or
// is to get a unit; its units are planned anew before its lease ends.
func (d *Decider) anyLost(run *serviceRun) bool {
	for name, server := range run.servers {
		if d.usable(run, name) {
			continue
		}
		for unit := range server.held {
			if u := run.units[unit]; u == nil || u.target == "" {
				return true
			}
		}
	}
	for _, u := range run.active {
		if u.target != "" && !d.usable(run, u.target) {
			return true
		}
	}
	return false
}

// takeoverDone reports whether every possible holder of a unit is known.
func (d *Decider) takeoverDone(run *serviceRun) bool {
	if !run.config.ChecksGrants {
		return true
	}
	for _, server := range run.servers {
		if !server.known(d.now.Mono, d.lead.wait) {
			return false
		}
	}
	return true
}

func (d *Decider) describeUnit(run *serviceRun, unit keyspace.Unit, input *placement.Input) {
	u := run.unit(unit)
	if u.target != "" && d.usable(run, u.target) || u.hold {
		input.Moving[unit] = true
		input.Current[unit] = cmp.Or(u.target, u.owner)
		return
	}
	if u.owner != "" {
		input.Current[unit] = u.owner
		return
	}
	// Before the takeover is done the recorded owner may still answer.
	if assignment, found := d.state.Assigned(run.config.Name, unit); found && !d.takeoverDone(run) {
		input.Current[unit] = assignment.Server
		input.Moving[unit] = !run.servers[assignment.Server].lost(d.now.Mono)
	}
}

func (d *Decider) usable(run *serviceRun, name string) bool {
	server := run.servers[name]
	if server == nil || run.down[name] {
		return false
	}
	return !run.config.ChecksGrants || !server.lost(d.now.Mono)
}

func (d *Decider) placementServers(run *serviceRun) []placement.Server {
	var servers []placement.Server
	for _, config := range run.config.Servers {
		if config.Domain != d.options.Domain {
			continue
		}
		id := ServerID{Service: run.config.Name, Name: config.Name}
		servers = append(servers, placement.Server{
			Name:     config.Name,
			Capacity: cmp.Or(config.Capacity, 1),
			Draining: d.config.DrainedServers[id] || !d.usable(run, config.Name),
			MaxNewUnits:     d.room(run, config.Name),
		})
	}
	return servers
}

func (d *Decider) room(run *serviceRun, name string) int {
	refill := run.refills[name]
	if refill == nil || refill.limit.Done(d.now.Mono) {
		return run.config.Slices + keyspace.MaxHotKeys
	}
	return refill.limit.AllowedUnits(d.now.Mono)
}

func (d *Decider) startMove(run *serviceRun, move placement.Move) {
	u := run.unit(move.Unit)
	u.plan(move.To)
	run.active[move.Unit] = u
	if refill := run.refills[move.To]; refill != nil {
		refill.limit.CountUnits(1)
	}
	if u.owner != "" {
		d.lead.changed = true
	}
}

// free reports whether no backend server but except may hold the unit.
func (d *Decider) free(run *serviceRun, unit keyspace.Unit, except string) bool {
	for name, server := range run.servers {
		if name == except {
			continue
		}
		if server.mayHold(unit) || run.config.ChecksGrants && !server.known(d.now.Mono, d.lead.wait) {
			return false
		}
	}
	return true
}

// pumpUnits records planned assignments and finishes those that need no grant.
func (d *Decider) pumpUnits(run *serviceRun) {
	if d.authority() == noAuthority {
		return
	}
	batches := make(map[string][]keyspace.Unit)
	for unit, u := range run.active {
		if !d.refreshHold(run, unit, u) {
			continue
		}
		if d.mayRecord(run, unit, u) {
			batches[u.target] = append(batches[u.target], unit)
		}
		if run.config.ChecksGrants && u.recording && !u.recorded && d.now.Mono-u.appendAt > LogTimeout {
			u.recorded = true
		}
		if !run.config.ChecksGrants && u.recorded && !u.hold && d.free(run, unit, "") {
			run.servers[u.target].held[unit] = u.next
			d.settle(run, unit, u)
		}
	}
	for _, target := range slices.Sorted(maps.Keys(batches)) {
		slices.Sort(batches[target])
		for units := range slices.Chunk(batches[target], MaxRecordUnits) {
			d.record(run, target, units)
		}
	}
}

// refreshHold brings u.hold up to date and reports whether the unit still has
// work to do here.
func (d *Decider) refreshHold(run *serviceRun, unit keyspace.Unit, u *unitRun) bool {
	owns := d.owns(run, unit) && d.exists(run, unit)
	hold := !owns || run.frozen[unit] > 0
	if u.hold && !hold {
		run.planned = false
	}
	u.hold = hold
	if !owns && d.free(run, unit, "") {
		delete(run.active, unit)
		delete(run.units, unit)
		return false
	}
	return true
}

// exists reports whether the unit is a slice or a current hot key.
func (d *Decider) exists(run *serviceRun, unit keyspace.Unit) bool {
	return !unit.IsHot() || d.state.Service(run.config.Name).Hot[unit]
}

// mayRecord reports whether the assignment can be appended. For backend servers
// that do not check grants the record is the only trace of the owner, so the
// former owner is stopped first.
func (d *Decider) mayRecord(run *serviceRun, unit keyspace.Unit, u *unitRun) bool {
	if u.target == "" || u.recording || u.hold {
		return false
	}
	return run.config.ChecksGrants || d.free(run, unit, "")
}

func (d *Decider) record(run *serviceRun, target string, units []keyspace.Unit) {
	d.lead.counter++
	token := Token{Term: d.lead.term, Counter: d.lead.counter}
	pending := d.append(DomainStream, Record{Assign: &Assign{
		Term:    token.Term,
		Service: run.config.Name,
		Server:  target,
		Counter: token.Counter,
		Units:   units,
	}})
	for _, unit := range units {
		u := run.units[unit]
		u.recording = true
		u.appendAt = d.now.Mono
		u.next = token
		pending.units = append(pending.units, pendingUnit{u, token})
	}
}

func (d *Decider) unitsRecorded(pending *pendingAppend) {
	for _, unit := range pending.units {
		if unit.run.next == unit.next && unit.run.recording {
			unit.run.recorded = true
		}
	}
}

// pendingFor lists what the next message to the backend server grants and revokes.
func (d *Decider) pendingFor(run *serviceRun, name string) (grants []HeldUnit, revokes []keyspace.Unit) {
	server := run.servers[name]
	for unit, u := range run.active {
		switch {
		case server.mayHold(unit) && (u.hold || u.target != "" && u.target != name):
			revokes = append(revokes, unit)
		case u.target == name && u.recorded && !u.hold && d.free(run, unit, name):
			grants = append(grants, HeldUnit{Unit: unit, Token: u.next})
		}
	}
	slices.Sort(revokes)
	slices.SortFunc(grants, func(a, b HeldUnit) int { return cmp.Compare(a.Unit, b.Unit) })
	limit := func(n int) int { return min(n, MaxRecordUnits) }
	return grants[:limit(len(grants))], revokes[:limit(len(revokes))]
}

// settleUnits brings the units in line with what a backend server reported.
func (d *Decider) settleUnits(run *serviceRun, name string, server *lessee[keyspace.Unit]) {
	for unit, token := range server.held {
		u := run.unit(unit)
		switch {
		case u.target == name && u.recorded && u.next == token:
			d.settle(run, unit, u)
		case u.owner == name:
			u.token = token
		case u.owner == "" && u.target == "" && d.owns(run, unit) && d.exists(run, unit):
			u.adopt(name, token)
			delete(run.active, unit)
			d.freezeAgain(run, unit, u)
			d.lead.changed = true
		default:
			d.revokeStray(run, unit, u)
		}
	}
}

// freezeAgain keeps a unit active that must not be granted yet.
func (d *Decider) freezeAgain(run *serviceRun, unit keyspace.Unit, u *unitRun) {
	if run.frozen[unit] > 0 {
		u.hold = true
		run.active[unit] = u
	}
}

// revokeStray takes back a unit that a backend server holds unexpectedly: the unit
// is stopped there and granted again to the owner that it should have.
func (d *Decider) revokeStray(run *serviceRun, unit keyspace.Unit, u *unitRun) {
	run.active[unit] = u
	if !d.owns(run, unit) || !d.exists(run, unit) {
		u.hold = true
	}
	if u.owner != "" && u.target == "" {
		u.plan(u.owner)
	}
	d.lead.changed = true
}

// settle ends a move after the grant was confirmed.
func (d *Decider) settle(run *serviceRun, unit keyspace.Unit, u *unitRun) {
	u.adopt(u.target, u.next)
	delete(run.active, unit)
	d.lead.changed = true
}
