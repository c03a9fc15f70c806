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
	// maxBalanceMoves is the maximum number of moves in one plan that only balance
	// the load.
	maxBalanceMoves = 32
	// planInterval is the minimum time between two plans of one service.
	planInterval = 20 * time.Millisecond
	// minRefillTarget is the smallest number of units that a refill aims for.
	minRefillTarget = 1
)

// unitProgress is the state of one unit at its decider.
type unitProgress struct {
	// owner is the backend server that owns the unit, empty if none does. One that
	// checks grants has confirmed that it holds the unit.
	owner string
	token Token
	// target is the backend server that gets the unit next, under nextToken; it is
	// empty if no move is planned.
	target    string
	nextToken Token
	// appended is set once the assignment to target was sent to the shared log, at
	// appendedAt. recorded is set once the log confirmed it. For a backend server that
	// checks grants it is also set after LogTimeout; the assignment is provisional
	// then.
	appended   bool
	recorded   bool
	appendedAt time.Duration
	// blocked keeps the unit from being granted to any backend server, its owner
	// included, until a split, merge or release is finished.
	blocked bool
}

func (u *unitProgress) setOwner(owner string, token Token) {
	*u = unitProgress{owner: owner, token: token}
}

func (u *unitProgress) setTarget(target string) {
	u.target = target
	u.appended = false
	u.recorded = false
}

// pendingUnit connects a unit to the token of the assign record that was appended for
// it.
type pendingUnit struct {
	unit  *unitProgress
	token Token
}

// refillState limits how fast a backend server that has lost its units gets new ones.
type refillState struct{ limit *placement.Refill }

// unit returns the progress of the unit, creating it when needed.
func (s *keyedService) unit(unit keyspace.Unit) *unitProgress {
	u, found := s.units[unit]
	if !found {
		u = &unitProgress{}
		s.units[unit] = u
	}
	return u
}

func (d *Decider) startRefill(service *keyedService, name string) {
	target := max(minRefillTarget, len(service.units)/max(1, len(service.servers)))
	service.refills[name] = &refillState{placement.NewRefill(d.now.Mono, target)}
}

// owns reports whether this failure domain is the home of the unit and has not
// released it.
func (d *Decider) owns(service *keyedService, unit keyspace.Unit) bool {
	slice := unit.Parent(service.config.Slices)
	home := d.homes.Home(service.config.Name, slice)
	released := d.state.Service(service.config.Name).Released[slice]
	return home.Domain == d.options.Domain && home.Epoch > released.Epoch
}

// unitsToPlace returns the units that this decider has to place: slices, then hot
// keys, each in ascending order.
func (d *Decider) unitsToPlace(service *keyedService) []keyspace.Unit {
	var units []keyspace.Unit
	for slice := range d.homes.Services[service.config.Name] {
		if unit := keyspace.Unit(slice); d.owns(service, unit) {
			units = append(units, unit)
		}
	}
	hot := slices.Sorted(maps.Keys(d.state.Service(service.config.Name).Hot))
	for _, unit := range hot {
		if d.owns(service, unit) {
			units = append(units, unit)
		}
	}
	return units
}

// planUnits plans which backend server gets each unit. At the start of a term it
// waits until a read of the homes stream that was sent after the start reached the
// end.
func (d *Decider) planUnits(service *keyedService) {
	age := d.now.Mono - service.plannedAt
	due := age >= planInterval && (!service.planned || age >= balanceInterval || d.anyOwnerLost(service))
	if !due || d.authority() == noAuthority || !d.confirmedSince(HomesStream, d.lead.startedAt) {
		return
	}
	service.planned = true
	service.plannedAt = d.now.Mono
	d.dropUnusableTargets(service)
	input := placement.Input{
		Units:   d.unitsToPlace(service),
		Current: make(map[keyspace.Unit]string),
		Moving:  make(map[keyspace.Unit]bool),
		Load:    service.load,
		Servers: d.placementServers(service),
	}
	if d.takeoverDone(service) {
		input.MaxMoves = maxBalanceMoves
	}
	for _, unit := range input.Units {
		d.addToPlacement(service, unit, &input)
	}
	for _, move := range placement.Plan(input) {
		d.startMove(service, move)
	}
}

// dropUnusableTargets cancels the moves to backend servers that are down or lost, and
// deactivates the units that have an owner and need no work.
func (d *Decider) dropUnusableTargets(service *keyedService) {
	for unit, u := range service.active {
		if u.target != "" && !d.usable(service, u.target) {
			u.setTarget("")
		}
		if u.owner != "" && u.target == "" && !u.blocked {
			delete(service.active, unit)
			d.lead.mapChanged = true
		}
	}
}

// anyOwnerLost reports whether a backend server that is down or lost still holds a
// unit for which no move is planned, or is the target of a planned move. Such units are
// planned again before the leases expire.
func (d *Decider) anyOwnerLost(service *keyedService) bool {
	for name, server := range service.servers {
		if d.usable(service, name) {
			continue
		}
		for unit := range server.held {
			if u := service.units[unit]; u == nil || u.target == "" {
				return true
			}
		}
	}
	for _, u := range service.active {
		if u.target != "" && !d.usable(service, u.target) {
			return true
		}
	}
	return false
}

// takeoverDone reports whether the holdings of every backend server are known.
func (d *Decider) takeoverDone(service *keyedService) bool {
	if !service.config.ChecksGrants {
		return true
	}
	for _, server := range service.servers {
		if !server.holdingsKnown(d.now.Mono, d.lead.takeoverDeadline) {
			return false
		}
	}
	return true
}

// addToPlacement adds the current or planned owner of the unit to the placement input.
func (d *Decider) addToPlacement(service *keyedService, unit keyspace.Unit, input *placement.Input) {
	u := service.unit(unit)
	if u.target != "" && d.usable(service, u.target) || u.blocked {
		input.Moving[unit] = true
		input.Current[unit] = cmp.Or(u.target, u.owner)
		return
	}
	if u.owner != "" {
		input.Current[unit] = u.owner
		return
	}
	// Until the takeover is done the recorded owner may still report the unit.
	if assignment, found := d.state.Assigned(service.config.Name, unit); found && !d.takeoverDone(service) {
		input.Current[unit] = assignment.Server
		input.Moving[unit] = !service.servers[assignment.Server].lost(d.now.Mono)
	}
}

// usable reports whether the backend server may own units.
func (d *Decider) usable(service *keyedService, name string) bool {
	server := service.servers[name]
	if server == nil || service.down[name] {
		return false
	}
	return !service.config.ChecksGrants || !server.lost(d.now.Mono)
}

func (d *Decider) placementServers(service *keyedService) []placement.Server {
	var servers []placement.Server
	for _, config := range service.config.Servers {
		if config.Domain != d.options.Domain {
			continue
		}
		id := ServerID{Service: service.config.Name, Name: config.Name}
		servers = append(servers, placement.Server{
			Name:        config.Name,
			Capacity:    cmp.Or(config.Capacity, 1),
			Draining:    d.config.DrainedServers[id] || !d.usable(service, config.Name),
			MaxNewUnits: d.refillLimit(service, config.Name),
		})
	}
	return servers
}

// refillLimit returns how many more units the backend server may get now.
func (d *Decider) refillLimit(service *keyedService, name string) int {
	refill := service.refills[name]
	if refill == nil || refill.limit.Done(d.now.Mono) {
		return service.config.Slices + keyspace.MaxHotKeys
	}
	return refill.limit.AllowedUnits(d.now.Mono)
}

func (d *Decider) startMove(service *keyedService, move placement.Move) {
	u := service.unit(move.Unit)
	u.setTarget(move.To)
	service.active[move.Unit] = u
	if refill := service.refills[move.To]; refill != nil {
		refill.limit.CountUnits(1)
	}
	if u.owner != "" {
		d.lead.mapChanged = true
	}
}

// freeExcept reports whether no backend server but except may hold the unit.
func (d *Decider) freeExcept(service *keyedService, unit keyspace.Unit, except string) bool {
	for name, server := range service.servers {
		if name == except {
			continue
		}
		if server.mayHold(unit) || service.config.ChecksGrants && !server.holdingsKnown(d.now.Mono, d.lead.takeoverDeadline) {
			return false
		}
	}
	return true
}

// advanceUnits records the planned assignments and completes those that need no
// grant.
func (d *Decider) advanceUnits(service *keyedService) {
	if d.authority() == noAuthority {
		return
	}
	batches := make(map[string][]keyspace.Unit)
	for unit, u := range service.active {
		if !d.refreshBlocked(service, unit, u) {
			continue
		}
		if d.mayRecord(service, unit, u) {
			batches[u.target] = append(batches[u.target], unit)
		}
		if service.config.ChecksGrants && u.appended && !u.recorded && d.now.Mono-u.appendedAt > LogTimeout {
			u.recorded = true
		}
		if !service.config.ChecksGrants && u.recorded && !u.blocked && d.freeExcept(service, unit, "") {
			service.servers[u.target].held[unit] = u.nextToken
			d.completeMove(service, unit, u)
		}
	}
	for _, target := range slices.Sorted(maps.Keys(batches)) {
		slices.Sort(batches[target])
		for units := range slices.Chunk(batches[target], MaxRecordUnits) {
			d.recordAssignment(service, target, units)
		}
	}
}

// refreshBlocked updates u.blocked and reports whether this decider still has to
// handle the unit.
func (d *Decider) refreshBlocked(service *keyedService, unit keyspace.Unit, u *unitProgress) bool {
	owns := d.owns(service, unit) && d.unitExists(service, unit)
	blocked := !owns || service.blockCounts[unit] > 0
	if u.blocked && !blocked {
		service.planned = false
	}
	u.blocked = blocked
	if !owns && d.freeExcept(service, unit, "") {
		delete(service.active, unit)
		delete(service.units, unit)
		return false
	}
	return true
}

// unitExists reports whether the unit is a slice or a current hot key.
func (d *Decider) unitExists(service *keyedService, unit keyspace.Unit) bool {
	return !unit.IsHot() || d.state.Service(service.config.Name).Hot[unit]
}

// mayRecord reports whether the planned assignment may be appended. For backend
// servers that do not check grants the record is the only trace of the owner, so the
// previous owner is stopped first.
func (d *Decider) mayRecord(service *keyedService, unit keyspace.Unit, u *unitProgress) bool {
	if u.target == "" || u.appended || u.blocked {
		return false
	}
	return service.config.ChecksGrants || d.freeExcept(service, unit, "")
}

// recordAssignment appends the assignment of the units to target under a new token.
func (d *Decider) recordAssignment(service *keyedService, target string, units []keyspace.Unit) {
	d.lead.tokenCounter++
	token := Token{Term: d.lead.term, Counter: d.lead.tokenCounter}
	pending := d.append(DomainStream, Record{Assign: &Assign{
		Term:    token.Term,
		Service: service.config.Name,
		Server:  target,
		Counter: token.Counter,
		Units:   units,
	}})
	for _, unit := range units {
		u := service.units[unit]
		u.appended = true
		u.appendedAt = d.now.Mono
		u.nextToken = token
		pending.units = append(pending.units, pendingUnit{u, token})
	}
}

// unitsRecorded marks the units of an appended assignment as recorded unless they were
// planned again since.
func (d *Decider) unitsRecorded(pending *pendingAppend) {
	for _, recorded := range pending.units {
		if recorded.unit.nextToken == recorded.token && recorded.unit.appended {
			recorded.unit.recorded = true
		}
	}
}

// pendingChanges returns what the next message to the backend server grants and
// revokes.
func (d *Decider) pendingChanges(service *keyedService, name string) (grants []HeldUnit, revokes []keyspace.Unit) {
	server := service.servers[name]
	for unit, u := range service.active {
		switch {
		case server.mayHold(unit) && (u.blocked || u.target != "" && u.target != name):
			revokes = append(revokes, unit)
		case u.target == name && u.recorded && !u.blocked && d.freeExcept(service, unit, name):
			grants = append(grants, HeldUnit{Unit: unit, Token: u.nextToken})
		}
	}
	slices.Sort(revokes)
	slices.SortFunc(grants, func(a, b HeldUnit) int { return cmp.Compare(a.Unit, b.Unit) })
	limit := func(n int) int { return min(n, MaxRecordUnits) }
	return grants[:limit(len(grants))], revokes[:limit(len(revokes))]
}

// reconcileUnits updates the units from what a backend server reported to hold.
func (d *Decider) reconcileUnits(service *keyedService, name string, server *lessee[keyspace.Unit]) {
	for unit, token := range server.held {
		u := service.unit(unit)
		switch {
		case u.target == name && u.recorded && u.nextToken == token:
			d.completeMove(service, unit, u)
		case u.owner == name:
			u.token = token
		case u.owner == "" && u.target == "" && d.owns(service, unit) && d.unitExists(service, unit):
			u.setOwner(name, token)
			delete(service.active, unit)
			d.keepBlocked(service, unit, u)
			d.lead.mapChanged = true
		default:
			d.revokeUnexpected(service, unit, u)
		}
	}
}

// keepBlocked keeps a unit active that must not be granted yet.
func (d *Decider) keepBlocked(service *keyedService, unit keyspace.Unit, u *unitProgress) {
	if service.blockCounts[unit] > 0 {
		u.blocked = true
		service.active[unit] = u
	}
}

// revokeUnexpected revokes a unit that a backend server should not hold, and plans to
// grant it again to its owner if it has one.
func (d *Decider) revokeUnexpected(service *keyedService, unit keyspace.Unit, u *unitProgress) {
	service.active[unit] = u
	if !d.owns(service, unit) || !d.unitExists(service, unit) {
		u.blocked = true
	}
	if u.owner != "" && u.target == "" {
		u.setTarget(u.owner)
	}
	d.lead.mapChanged = true
}

// completeMove makes the target of a move the owner.
func (d *Decider) completeMove(service *keyedService, unit keyspace.Unit, u *unitProgress) {
	u.setOwner(u.target, u.nextToken)
	delete(service.active, unit)
	d.lead.mapChanged = true
}
