package ownership

import (
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/keyspace"
)

// publishInterval is the least time between two domain maps.
const publishInterval = 20 * time.Millisecond

// pumpPublish publishes the domain map after a change.
func (d *Decider) pumpPublish() {
	lead := d.lead
	if !lead.changed || lead.relinquished || lead.superseded || d.authority() == noAuthority {
		return
	}
	if lead.version == 0 && !d.settled() {
		return
	}
	if lead.version > 0 && d.now.Mono-lead.publishedAt < publishInterval {
		return
	}
	lead.changed = false
	lead.publishedAt = d.now.Mono
	lead.version++
	lead.published = d.domainMap()
	d.member.mapTerm, d.member.mapVersion = lead.term, lead.version
	d.emit(Publish{Map: lead.published})
}

// settled reports whether the backend servers were asked what they hold. Until then
// the map of the former decider is more complete, and fencing keeps it safe.
func (d *Decider) settled() bool {
	if d.now.Mono-d.lead.since > lostAfter {
		return true
	}
	for _, run := range d.lead.services {
		for _, server := range run.servers {
			if run.config.ChecksGrants && !server.answered {
				return false
			}
		}
	}
	return len(d.lead.services) > 0
}

// sendMissingMap sends the map again to a member that does not have it although
// it was published a while ago.
func (d *Decider) sendMissingMap(reply HeartbeatReply) {
	lead := d.lead
	has := DomainMap{Term: reply.MapTerm, Version: reply.MapVersion}
	if lead.version == 0 || !has.before(lead.published) || d.now.Mono-lead.publishedAt < HeartbeatInterval {
		return
	}
	d.emit(SendMap{To: reply.From, Map: lead.published})
}

func (d *Decider) domainMap() DomainMap {
	published := DomainMap{
		Domain:   d.options.Domain,
		Term:     d.lead.term,
		Version:  d.lead.version,
		Services: make(map[string]ServiceMap, len(d.lead.services)),
	}
	for name, run := range d.lead.services {
		published.Services[name] = d.serviceMap(name, run)
	}
	for _, role := range slices.SortedFunc(maps.Keys(d.lead.roles), compareRoles) {
		published.Roles = append(published.Roles, RoleAssignment{Role: role, VM: d.lead.roles[role].VM})
	}
	published.Partitions = d.partitionAssignments()
	return published
}

// serviceMap lists the units that are owned and not about to move.
func (d *Decider) serviceMap(name string, run *serviceRun) ServiceMap {
	view := ServiceMap{
		Units: make(map[keyspace.Unit]Assignment, len(run.units)),
		Hot:   maps.Clone(d.state.Service(name).Hot),
	}
	for unit, u := range run.units {
		if u.owner != "" && u.target == "" && !u.hold {
			view.Units[unit] = Assignment{Server: u.owner, Token: u.token}
		}
	}
	return view
}
