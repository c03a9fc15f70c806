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
	// asked maps a unit to the first request of the current stop that names it. An
	// acknowledgement of an earlier stop of the unit does not count.
	asked map[keyspace.Unit]uint64
	// holder is the last VM that may have been the gate and changedAt the time
	// since which it, or nobody, is. Requests of earlier gates end within the
	// longest request deadline after that.
	holder    Member
	changedAt time.Duration
}

func (d *Decider) serverHealth(e ServerHealth) {
	run, server := d.server(e.Server)
	if server == nil || run.config.ChecksGrants || run.down[e.Server.Name] == !e.Up {
		return
	}
	run.down[e.Server.Name] = !e.Up
	run.planned = false
	if e.Up {
		d.startRefill(run, e.Server.Name)
	}
}

// pumpGates stops the units that have to leave backend servers which do not check
// grants.
func (d *Decider) pumpGates(run *serviceRun) {
	for _, name := range slices.Sorted(maps.Keys(run.servers)) {
		server := run.servers[name]
		stop := run.gates[name]
		if stop == nil {
			stop = &gateStop{changedAt: d.now.Mono, asked: make(map[keyspace.Unit]uint64)}
			run.gates[name] = stop
		}
		holder, any := d.gateHolder(run, name)
		if holder != stop.holder {
			stop.holder = holder
			clear(stop.asked)
			stop.changedAt = d.now.Mono
		}
		units := d.unitsToStop(run, name)
		stop.forget(units)
		if len(units) == 0 {
			continue
		}
		if !any && d.gatesEnded(run, stop) {
			for _, unit := range units {
				delete(server.held, unit)
			}
			d.dropOwners(run, heldBy(units))
			continue
		}
		d.sendStop(run, name, stop, units)
	}
}

// forget drops the units that need not be stopped any more.
func (s *gateStop) forget(units []keyspace.Unit) {
	maps.DeleteFunc(s.asked, func(unit keyspace.Unit, _ uint64) bool {
		_, found := slices.BinarySearch(units, unit)
		return !found
	})
}

func heldBy(units []keyspace.Unit) map[keyspace.Unit]Token {
	held := make(map[keyspace.Unit]Token, len(units))
	for _, unit := range units {
		held[unit] = Token{}
	}
	return held
}

// gateHolder returns the VM that may be the gate, and whether any may be.
func (d *Decider) gateHolder(run *serviceRun, name string) (Member, bool) {
	role := Role{Kind: RoleGate, Service: run.config.Name, Name: name}
	for _, member := range d.sortedMembers() {
		if d.lead.members[member].mayHold(role) {
			return member, true
		}
	}
	return Member{}, !d.membersKnown()
}

// gatesEnded reports whether the requests of all earlier gates have ended.
func (d *Decider) gatesEnded(run *serviceRun, stop *gateStop) bool {
	return d.now.Mono >= stop.changedAt+run.config.MaxRequest+WaitMargin
}

func (d *Decider) unitsToStop(run *serviceRun, name string) []keyspace.Unit {
	var units []keyspace.Unit
	for unit, u := range run.active {
		if run.servers[name].mayHold(unit) && (u.hold || u.target != "" && u.target != name) {
			units = append(units, unit)
		}
	}
	slices.Sort(units)
	return units
}

// sendStop asks the gate once the published map does not name the owner any more.
func (d *Decider) sendStop(run *serviceRun, name string, stop *gateStop, units []keyspace.Unit) {
	if stop.holder == (Member{}) || d.lead.changed || d.now.Mono-stop.sentAt < HeartbeatInterval {
		return
	}
	stop.seq++
	stop.sentAt = d.now.Mono
	for _, unit := range units {
		if _, asked := stop.asked[unit]; !asked {
			stop.asked[unit] = stop.seq
		}
	}
	d.emit(StopUnits{
		Server: ServerID{Service: run.config.Name, Name: name},
		VM:     stop.holder,
		Term:   d.lead.term,
		Seq:    stop.seq,
		Units:  units,
	})
}

func (d *Decider) unitsStopped(e UnitsStopped) {
	run, server := d.server(e.Server)
	if server == nil || run.config.ChecksGrants || e.Term != d.lead.term {
		return
	}
	stop := run.gates[e.Server.Name]
	if stop == nil || e.VM != stop.holder || !d.gatesEnded(run, stop) {
		return
	}
	stopped := make(map[keyspace.Unit]Token)
	for _, unit := range e.Units {
		if first, asked := stop.asked[unit]; asked && e.Seq >= first {
			delete(server.held, unit)
			stopped[unit] = Token{}
		}
	}
	d.dropOwners(run, stopped)
}
