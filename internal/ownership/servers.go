package ownership

import (
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/keyspace"
)

// pumpLead does the decider's work that is due.
func (d *Decider) pumpLead() {
	d.pumpMembers()
	d.syncServices()
	for _, name := range slices.Sorted(maps.Keys(d.lead.services)) {
		d.pumpService(d.lead.services[name])
	}
	d.pumpHomes()
	d.pumpRoles()
	d.pumpHandoff()
	d.pumpPublish()
}

func (d *Decider) markChanged() {
	if d.lead != nil {
		d.lead.changed = true
	}
}

// syncServices brings the services and backend servers in line with the
// configuration. A backend server that left the configuration stays while the
// stream or a lease may name it.
func (d *Decider) syncServices() {
	if d.lead.synced {
		return
	}
	d.lead.synced = true
	for _, config := range d.config.Services {
		if config.Slices > 0 {
			d.syncService(config)
		}
	}
}

func (d *Decider) syncService(config ServiceConfig) {
	run, found := d.lead.services[config.Name]
	if !found {
		run = newServiceRun()
		d.lead.services[config.Name] = run
	}
	run.config = config
	for _, server := range config.Servers {
		if server.Domain == d.options.Domain {
			d.addServer(run, server.Name)
		}
	}
	if found {
		return
	}
	defer d.resumeSplits(run)
	for unit, assignment := range d.state.Service(config.Name).Units {
		d.addServer(run, assignment.Server)
		if !config.ChecksGrants {
			run.servers[assignment.Server].held[unit] = assignment.Token
			run.unit(unit).adopt(assignment.Server, assignment.Token)
		}
	}
}

func newServiceRun() *serviceRun {
	return &serviceRun{
		servers: make(map[string]*lessee[keyspace.Unit]),
		down:    make(map[string]bool),
		refills: make(map[string]*refillState),
		units:   make(map[keyspace.Unit]*unitRun),
		active:  make(map[keyspace.Unit]*unitRun),
		gates:   make(map[string]*gateStop),
		frozen:  make(map[keyspace.Unit]int),
		splits:  make(map[keyspace.Unit]bool),
		merges:  make(map[keyspace.Unit]bool),
		usable:  make(map[string]bool),
		leaves:  make(map[keyspace.Unit]*leaveRun),
	}
}

func (d *Decider) addServer(run *serviceRun, name string) {
	if _, found := run.servers[name]; !found {
		run.servers[name] = newLessee[keyspace.Unit](d.now.Mono)
	}
}

func (d *Decider) pumpService(run *serviceRun) {
	if run.config.ChecksGrants {
		d.expireServers(run)
	} else {
		d.pumpGates(run)
	}
	d.watchServers(run)
	d.pumpHot(run)
	d.plan(run)
	d.pumpUnits(run)
	if !run.config.ChecksGrants {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(run.servers)) {
		d.pumpServer(run, name)
	}
}

// watchServers plans anew when a backend server became usable or lost.
func (d *Decider) watchServers(run *serviceRun) {
	for name := range run.servers {
		usable := d.usable(run, name)
		if usable != run.usable[name] {
			run.usable[name] = usable
			run.planned = false
		}
	}
}

func (d *Decider) expireServers(run *serviceRun) {
	for _, server := range run.servers {
		if server.outstanding && d.now.Mono-server.sentAt > requestTimeout {
			server.fail()
		}
		before := server.held
		if d.now.Mono >= server.lapseAt(d.lead.wait) && len(server.held)+len(server.uncertain) > 0 {
			server.clear()
			d.dropOwners(run, before)
		}
	}
}

// dropOwners activates the units among those held before whose owner does not hold
// them any more.
func (d *Decider) dropOwners(run *serviceRun, before map[keyspace.Unit]Token) {
	for unit := range before {
		u := run.unit(unit)
		if server := run.servers[u.owner]; server == nil || server.mayHold(unit) {
			continue
		}
		u.owner = ""
		run.active[unit] = u
		run.planned = false
		d.lead.changed = true
	}
}

// pumpServer sends the next message to a backend server that checks grants, at
// most one at a time.
func (d *Decider) pumpServer(run *serviceRun, name string) {
	server := run.servers[name]
	now := d.now.Mono
	if server.outstanding {
		return
	}
	ground := d.authority()
	if ground == noAuthority {
		return
	}
	id := ServerID{Service: run.config.Name, Name: name}
	if !server.answered {
		if server.seq == 0 || now-server.sentAt >= HeartbeatInterval {
			seq := server.send(now, 0, nil)
			d.emit(SendGrant{Server: id, Seq: seq, Term: d.lead.term})
		}
		return
	}
	grants, revokes := d.pendingFor(run, name)
	renew := ground == byLog || now-server.renewedAt >= RenewInterval
	if ground == byPromises && renew {
		grants = nil
	}
	due := len(grants) > 0 || now-server.renewedAt >= RenewInterval ||
		len(revokes) > 0 && now-server.sentAt >= revokeInterval
	if !due {
		return
	}
	d.sendGrant(id, server, ground.messageLease(renew), renew, grants, revokes)
}

// messageLease returns the lease of a message. New grants are made for
// LeaseDuration only, in messages that renew nothing during an outage: a grant
// whose answer is lost keeps its unit from other backend servers until it expires.
func (a authority) messageLease(renew bool) time.Duration {
	if !renew {
		return LeaseDuration
	}
	return a.lease()
}

func (d *Decider) sendGrant(id ServerID, server *lessee[keyspace.Unit], lease time.Duration, renew bool, grants []HeldUnit, revokes []keyspace.Unit) {
	expires := server.echo + lease
	if renew {
		server.renewedAt = d.now.Mono
	}
	if lease > LeaseDuration {
		d.longUntil = max(d.longUntil, d.now.Mono+OutageLease+WaitMargin)
	}
	keys := make([]keyspace.Unit, len(grants))
	for i, grant := range grants {
		keys[i] = grant.Unit
		server.held[grant.Unit] = grant.Token
	}
	d.emit(SendGrant{
		Server:   id,
		Seq:      server.send(d.now.Mono, expires, keys),
		Instance: server.instance,
		Term:     d.lead.term,
		Expires:  expires,
		Renew:    renew,
		Grant:    grants,
		Revoke:   revokes,
	})
}

func (d *Decider) server(id ServerID) (*serviceRun, *lessee[keyspace.Unit]) {
	run := d.lead.services[id.Service]
	if run == nil {
		return nil, nil
	}
	return run, run.servers[id.Name]
}

func (d *Decider) grantFailed(e GrantFailed) {
	_, server := d.server(e.Server)
	if server != nil && server.outstanding && server.seq == e.Seq {
		server.fail()
	}
}

func (d *Decider) grantReplied(e GrantReplied) {
	run, server := d.server(e.Server)
	if server == nil || !server.outstanding || server.seq != e.Seq {
		return
	}
	if e.Term > d.lead.term {
		server.fail()
		d.lead.superseded = true
		return
	}
	if server.instance != "" && e.Instance != server.instance {
		d.serverRestarted(run, e.Server.Name)
		return
	}
	if e.Refused {
		server.fail()
		return
	}
	d.acceptReply(run, server, e)
}

func (d *Decider) acceptReply(run *serviceRun, server *lessee[keyspace.Unit], e GrantReplied) {
	held := make(map[keyspace.Unit]Token, len(e.Held))
	for _, unit := range e.Held {
		held[unit.Unit] = unit.Token
	}
	wasLost := server.answered && server.lost(d.now.Mono)
	first := !server.answered
	before := server.held
	server.answer(d.now.Mono, e.Now, held)
	d.dropOwners(run, before)
	if first {
		server.instance = e.Instance
		server.answered = true
		server.highest = e.Now + d.longestLease()
		run.planned = false
	}
	if wasLost {
		d.startRefill(run, e.Server.Name)
		run.planned = false
	}
	d.settleUnits(run, e.Server.Name, server)
}

// longestLease bounds the leases of earlier deciders that may still run.
func (d *Decider) longestLease() time.Duration {
	if d.now.Mono < d.longBound() {
		return OutageLease
	}
	return LeaseDuration
}

// serverEnded and serverRestarted free what the ended process held.
func (d *Decider) serverEnded(id ServerID) {
	run, server := d.server(id)
	if server != nil && run.config.ChecksGrants && server.answered {
		d.serverRestarted(run, id.Name)
		server.lastAnswer = d.now.Mono - lostAfter - 1
	}
}

func (d *Decider) serverRestarted(run *serviceRun, name string) {
	before := run.servers[name].reset()
	d.startRefill(run, name)
	d.dropOwners(run, before)
	run.planned = false
}
