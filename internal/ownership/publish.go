package ownership

import (
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/keyspace"
)

// publishInterval is the minimum time between two domain maps.
const publishInterval = 20 * time.Millisecond

// publishMap publishes the domain map after a change.
func (d *Decider) publishMap() {
	lead := d.lead
	if !lead.mapChanged || lead.relinquished || lead.superseded || d.authority() == noAuthority {
		return
	}
	if lead.mapVersion == 0 && !d.readyToPublish() {
		return
	}
	if lead.mapVersion > 0 && d.now.Mono-lead.mapPublishedAt < publishInterval {
		return
	}
	lead.mapChanged = false
	lead.mapPublishedAt = d.now.Mono
	lead.mapVersion++
	lead.publishedMap = d.domainMap()
	d.member.mapTerm, d.member.mapVersion = lead.term, lead.mapVersion
	d.emit(Publish{Map: lead.publishedMap})
}

// readyToPublish reports whether all backend servers that check grants have reported
// what they hold, or lostAfter has passed. Until then the map of the previous decider is
// more complete, and fencing keeps it safe.
func (d *Decider) readyToPublish() bool {
	if d.now.Mono-d.lead.startedAt > lostAfter {
		return true
	}
	for _, service := range d.lead.services {
		for _, server := range service.servers {
			if service.config.ChecksGrants && !server.answered {
				return false
			}
		}
	}
	return len(d.lead.services) > 0
}

// sendMissingMap sends the map again to a member whose reply names an older one
// although HeartbeatInterval has passed since it was published.
func (d *Decider) sendMissingMap(reply HeartbeatReply) {
	lead := d.lead
	memberMap := DomainMap{Term: reply.MapTerm, Version: reply.MapVersion}
	if lead.mapVersion == 0 || !memberMap.olderThan(lead.publishedMap) || d.now.Mono-lead.mapPublishedAt < HeartbeatInterval {
		return
	}
	d.emit(SendMap{To: reply.From, Map: lead.publishedMap})
}

func (d *Decider) domainMap() DomainMap {
	published := DomainMap{
		Domain:   d.options.Domain,
		Term:     d.lead.term,
		Version:  d.lead.mapVersion,
		Services: make(map[string]ServiceMap, len(d.lead.services)),
	}
	for name, service := range d.lead.services {
		published.Services[name] = d.serviceMap(name, service)
	}
	for _, role := range slices.SortedFunc(maps.Keys(d.lead.roles), compareRoles) {
		published.Roles = append(published.Roles, RoleAssignment{Role: role, VM: d.lead.roles[role].VM})
	}
	published.Partitions = d.partitionAssignments()
	return published
}

// serviceMap returns the published map of one service: the units that are owned and
// not about to move, and the hot keys.
func (d *Decider) serviceMap(name string, service *keyedService) ServiceMap {
	view := ServiceMap{
		Units: make(map[keyspace.Unit]Assignment, len(service.units)),
		Hot:   maps.Clone(d.state.Service(name).Hot),
	}
	for unit, u := range service.units {
		if u.owner != "" && u.target == "" && !u.blocked {
			view.Units[unit] = Assignment{Server: u.owner, Token: u.token}
		}
	}
	return view
}
