package ownership

import (
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/keyspace"
)

// runDecider performs the duties of the decider that are due.
func (d *Decider) runDecider() {
	d.updateMembers()
	d.syncServices()
	for _, name := range slices.Sorted(maps.Keys(d.lead.services)) {
		d.updateService(d.lead.services[name])
	}
	d.updateHomes()
	d.updateRoles()
	d.handOff()
	d.publishMap()
}

func (d *Decider) markMapChanged() {
	if d.lead != nil {
		d.lead.mapChanged = true
	}
}

// syncServices adds and updates services and backend servers after the configuration
// changed. A backend server that left the configuration stays, because the stream or
// a lease may still name it.
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
	service, found := d.lead.services[config.Name]
	if !found {
		service = newKeyedService()
		d.lead.services[config.Name] = service
	}
	service.config = config
	for _, server := range config.Servers {
		if server.Domain == d.options.Domain {
			d.addServer(service, server.Name)
		}
	}
	if found {
		return
	}
	defer d.resumeSplits(service)
	for unit, assignment := range d.state.Service(config.Name).Units {
		d.addServer(service, assignment.Server)
		if !config.ChecksGrants {
			// Such a backend server does not report what it holds.
			service.servers[assignment.Server].held[unit] = assignment.Token
			service.unit(unit).setOwner(assignment.Server, assignment.Token)
		}
	}
}

func newKeyedService() *keyedService {
	return &keyedService{
		servers:     make(map[string]*lessee[keyspace.Unit]),
		down:        make(map[string]bool),
		refills:     make(map[string]*refillState),
		units:       make(map[keyspace.Unit]*unitProgress),
		active:      make(map[keyspace.Unit]*unitProgress),
		gateStops:   make(map[string]*gateStop),
		blockCounts: make(map[keyspace.Unit]int),
		splits:      make(map[keyspace.Unit]bool),
		merges:      make(map[keyspace.Unit]bool),
		usable:      make(map[string]bool),
		transfers:   make(map[keyspace.Unit]*sliceTransfer),
	}
}

func (d *Decider) addServer(service *keyedService, name string) {
	if _, found := service.servers[name]; !found {
		service.servers[name] = newLessee[keyspace.Unit](d.now.Mono)
	}
}

func (d *Decider) updateService(service *keyedService) {
	if service.config.ChecksGrants {
		d.expireServerLeases(service)
	} else {
		d.stopUnitsAtGates(service)
	}
	d.detectUsabilityChanges(service)
	d.updateHotKeys(service)
	d.planUnits(service)
	d.advanceUnits(service)
	if !service.config.ChecksGrants {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(service.servers)) {
		d.sendDueGrant(service, name)
	}
}

// detectUsabilityChanges requests a new plan when a backend server became usable or
// unusable.
func (d *Decider) detectUsabilityChanges(service *keyedService) {
	for name := range service.servers {
		usable := d.usable(service, name)
		if usable != service.usable[name] {
			service.usable[name] = usable
			service.planned = false
		}
	}
}

// expireServerLeases ends the wait for replies that are overdue and drops the holdings
// of backend servers whose leases have expired.
func (d *Decider) expireServerLeases(service *keyedService) {
	for _, server := range service.servers {
		if server.outstanding && d.now.Mono-server.sentAt > requestTimeout {
			server.recordFailure()
		}
		previouslyHeld := server.held
		if d.now.Mono >= server.expiresAt(d.lead.takeoverDeadline) && len(server.held)+len(server.uncertain) > 0 {
			server.dropHoldings()
			d.dropLostOwners(service, previouslyHeld)
		}
	}
}

// dropLostOwners clears the owner of each previously held unit that its owner can no
// longer hold, and requests a new plan.
func (d *Decider) dropLostOwners(service *keyedService, previouslyHeld map[keyspace.Unit]Token) {
	for unit := range previouslyHeld {
		u := service.unit(unit)
		if server := service.servers[u.owner]; server == nil || server.mayHold(unit) {
			continue
		}
		u.owner = ""
		service.active[unit] = u
		service.planned = false
		d.lead.mapChanged = true
	}
}

// sendDueGrant sends the next message to a backend server that checks grants, at
// most one at a time.
func (d *Decider) sendDueGrant(service *keyedService, name string) {
	server := service.servers[name]
	now := d.now.Mono
	if server.outstanding {
		return
	}
	authority := d.authority()
	if authority == noAuthority {
		return
	}
	id := ServerID{Service: service.config.Name, Name: name}
	if !server.answered {
		if server.seq == 0 || now-server.sentAt >= HeartbeatInterval {
			seq := server.recordSend(now, 0, nil)
			d.emit(SendGrant{Server: id, Seq: seq, Term: d.lead.term})
		}
		return
	}
	grants, revokes := d.pendingChanges(service, name)
	renew := authority == authorityFromLog || now-server.renewedAt >= RenewInterval
	if authority == authorityFromPromises && renew {
		grants = nil
	}
	due := len(grants) > 0 || now-server.renewedAt >= RenewInterval ||
		len(revokes) > 0 && now-server.sentAt >= revokeInterval
	if !due {
		return
	}
	d.sendGrant(id, server, authority.grantLeaseDuration(renew), renew, grants, revokes)
}

// grantLeaseDuration returns the duration of the leases in a message. During an
// outage new grants are made for LeaseDuration only, in messages that renew nothing:
// a grant whose answer is lost keeps its unit from other backend servers until it
// expires.
func (a authority) grantLeaseDuration(renew bool) time.Duration {
	if !renew {
		return LeaseDuration
	}
	return a.leaseDuration()
}

func (d *Decider) sendGrant(id ServerID, server *lessee[keyspace.Unit], lease time.Duration, renew bool, grants []HeldUnit, revokes []keyspace.Unit) {
	expires := server.lastClock + lease
	if renew {
		server.renewedAt = d.now.Mono
	}
	if lease > LeaseDuration {
		d.outageLeaseUntil = max(d.outageLeaseUntil, d.now.Mono+OutageLeaseDuration+WaitMargin)
	}
	keys := make([]keyspace.Unit, len(grants))
	for i, grant := range grants {
		keys[i] = grant.Unit
		server.held[grant.Unit] = grant.Token
	}
	d.emit(SendGrant{
		Server:   id,
		Seq:      server.recordSend(d.now.Mono, expires, keys),
		Instance: server.instance,
		Term:     d.lead.term,
		Expires:  expires,
		Renew:    renew,
		Grant:    grants,
		Revoke:   revokes,
	})
}

func (d *Decider) server(id ServerID) (*keyedService, *lessee[keyspace.Unit]) {
	service := d.lead.services[id.Service]
	if service == nil {
		return nil, nil
	}
	return service, service.servers[id.Name]
}

func (d *Decider) grantFailed(e GrantFailed) {
	_, server := d.server(e.Server)
	if server != nil && server.outstanding && server.seq == e.Seq {
		server.recordFailure()
	}
}

func (d *Decider) grantReplied(e GrantReplied) {
	service, server := d.server(e.Server)
	if server == nil || !server.outstanding || server.seq != e.Seq {
		return
	}
	if e.Term > d.lead.term {
		server.recordFailure()
		d.lead.superseded = true
		return
	}
	if server.instance != "" && e.Instance != server.instance {
		d.serverRestarted(service, e.Server.Name)
		return
	}
	if e.Refused {
		server.recordFailure()
		return
	}
	d.acceptReply(service, server, e)
}

// acceptReply updates the backend server and its units from a reply.
func (d *Decider) acceptReply(service *keyedService, server *lessee[keyspace.Unit], e GrantReplied) {
	held := make(map[keyspace.Unit]Token, len(e.Held))
	for _, unit := range e.Held {
		held[unit.Unit] = unit.Token
	}
	wasLost := server.answered && server.lost(d.now.Mono)
	firstReply := !server.answered
	previouslyHeld := server.held
	server.recordReply(d.now.Mono, e.Now, held)
	d.dropLostOwners(service, previouslyHeld)
	if firstReply {
		server.instance = e.Instance
		server.answered = true
		server.latestExpiry = e.Now + d.longestLease()
		service.planned = false
	}
	if wasLost {
		d.startRefill(service, e.Server.Name)
		service.planned = false
	}
	d.reconcileUnits(service, e.Server.Name, server)
}

// longestLease returns the longest duration of leases of earlier deciders that may
// still run.
func (d *Decider) longestLease() time.Duration {
	if d.now.Mono < d.outageLeaseBound() {
		return OutageLeaseDuration
	}
	return LeaseDuration
}

// serverEnded frees what the ended process held and marks the backend server as lost.
func (d *Decider) serverEnded(id ServerID) {
	service, server := d.server(id)
	if server != nil && service.config.ChecksGrants && server.answered {
		d.serverRestarted(service, id.Name)
		server.lastReplyAt = d.now.Mono - lostAfter - 1
	}
}

// serverRestarted frees what the previous process of a backend server held and limits
// how fast the server gets units again.
func (d *Decider) serverRestarted(service *keyedService, name string) {
	previouslyHeld := service.servers[name].reset()
	d.startRefill(service, name)
	d.dropLostOwners(service, previouslyHeld)
	service.planned = false
}
