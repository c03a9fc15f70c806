package ownership

import (
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/keyspace"
)

// gateStop is the progress of stopping units of one backend server that does not
// check grants, through its gate.
type gateStop struct {
	seq    uint64
	sentAt time.Duration
	// firstRequest maps a unit to the sequence number of the first StopUnits of the
	// current stop that names it. Acknowledgements of an earlier stop of the unit do
	// not count.
	firstRequest map[keyspace.Unit]uint64
	// gate is the VM that may be the gate, the zero Member if none may, and
	// gateSince the monotonic time since which it is. Requests of earlier gates end
	// within the longest request deadline after that.
	gate      Member
	gateSince time.Duration
}

func (d *Decider) serverHealth(e ServerHealth) {
	service, server := d.server(e.Server)
	if server == nil || service.config.ChecksGrants || service.down[e.Server.Name] == !e.Up {
		return
	}
	service.down[e.Server.Name] = !e.Up
	service.planned = false
	if e.Up {
		d.startRefill(service, e.Server.Name)
	}
}

// stopUnitsAtGates makes the gates of backend servers that do not check grants stop
// sending requests for the units that have to move away.
func (d *Decider) stopUnitsAtGates(service *keyedService) {
	for _, name := range slices.Sorted(maps.Keys(service.servers)) {
		server := service.servers[name]
		stop := service.gateStops[name]
		if stop == nil {
			stop = &gateStop{gateSince: d.now.Mono, firstRequest: make(map[keyspace.Unit]uint64)}
			service.gateStops[name] = stop
		}
		gate, found := d.possibleGate(service, name)
		if gate != stop.gate {
			stop.gate = gate
			clear(stop.firstRequest)
			stop.gateSince = d.now.Mono
		}
		units := d.unitsToStop(service, name)
		stop.retain(units)
		if len(units) == 0 {
			continue
		}
		if !found && d.gateRequestsEnded(service, stop) {
			for _, unit := range units {
				delete(server.held, unit)
			}
			d.dropLostOwners(service, withZeroTokens(units))
			continue
		}
		d.sendStop(service, name, stop, units)
	}
}

// retain drops all but the given units, which must be sorted: the others need not
// be stopped any more.
func (s *gateStop) retain(units []keyspace.Unit) {
	maps.DeleteFunc(s.firstRequest, func(unit keyspace.Unit, _ uint64) bool {
		_, found := slices.BinarySearch(units, unit)
		return !found
	})
}

// withZeroTokens returns the units as a map of held units without tokens.
func withZeroTokens(units []keyspace.Unit) map[keyspace.Unit]Token {
	held := make(map[keyspace.Unit]Token, len(units))
	for _, unit := range units {
		held[unit] = Token{}
	}
	return held
}

// possibleGate returns the VM that may be the gate of the backend server, and
// whether any VM may be, which includes one whose roles are not known yet.
func (d *Decider) possibleGate(service *keyedService, name string) (Member, bool) {
	role := Role{Kind: RoleGate, Service: service.config.Name, Name: name}
	for _, member := range d.sortedMembers() {
		if d.lead.members[member].mayHold(role) {
			return member, true
		}
	}
	return Member{}, !d.memberRolesKnown()
}

// gateRequestsEnded reports whether the requests of all earlier gates have ended.
func (d *Decider) gateRequestsEnded(service *keyedService, stop *gateStop) bool {
	return d.now.Mono >= stop.gateSince+service.config.MaxRequest+WaitMargin
}

// unitsToStop returns the sorted units that the backend server has to give up.
func (d *Decider) unitsToStop(service *keyedService, name string) []keyspace.Unit {
	var units []keyspace.Unit
	for unit, u := range service.active {
		if service.servers[name].mayHold(unit) && (u.blocked || u.target != "" && u.target != name) {
			units = append(units, unit)
		}
	}
	slices.Sort(units)
	return units
}

// sendStop asks the gate to stop the units once the published domain map does not
// name their owner any more.
func (d *Decider) sendStop(service *keyedService, name string, stop *gateStop, units []keyspace.Unit) {
	if stop.gate == (Member{}) || d.lead.mapChanged || d.now.Mono-stop.sentAt < HeartbeatInterval {
		return
	}
	stop.seq++
	stop.sentAt = d.now.Mono
	for _, unit := range units {
		if _, asked := stop.firstRequest[unit]; !asked {
			stop.firstRequest[unit] = stop.seq
		}
	}
	d.emit(StopUnits{
		Server: ServerID{Service: service.config.Name, Name: name},
		VM:     stop.gate,
		Term:   d.lead.term,
		Seq:    stop.seq,
		Units:  units,
	})
}

func (d *Decider) unitsStopped(e UnitsStopped) {
	service, server := d.server(e.Server)
	if server == nil || service.config.ChecksGrants || e.Term != d.lead.term {
		return
	}
	stop := service.gateStops[e.Server.Name]
	if stop == nil || e.VM != stop.gate || !d.gateRequestsEnded(service, stop) {
		return
	}
	stopped := make(map[keyspace.Unit]Token)
	for _, unit := range e.Units {
		if first, asked := stop.firstRequest[unit]; asked && e.Seq >= first {
			delete(server.held, unit)
			stopped[unit] = Token{}
		}
	}
	d.dropLostOwners(service, stopped)
}
