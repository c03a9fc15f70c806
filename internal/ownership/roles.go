package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/keyspace"
)

// IdempotencyService is the internal service whose slices are the partitions of
// idempotency keys.
const IdempotencyService = "idempotency"

// rolesInterval is the time between two looks at the roles.
const rolesInterval = 50 * time.Millisecond

// IdempotencyPartitions is the number of its slices.
const IdempotencyPartitions = 64

// pumpRoles chooses the VM of each role. A role changes hands only when its VM is
// lost or leaving.
func (d *Decider) pumpRoles() {
	lead := d.lead
	if lead.rolesAt != 0 && d.now.Mono-lead.rolesAt < rolesInterval {
		return
	}
	lead.rolesAt = d.now.Mono
	wanted := d.wantedRoles()
	for role := range lead.roles {
		if !wanted[role] || !d.keepsRole(lead.roles[role]) {
			delete(lead.roles, role)
			lead.changed = true
		}
	}
	if !d.membersKnown() {
		return
	}
	counts := make(map[Member]int)
	for _, member := range lead.roles {
		counts[member]++
	}
	for _, role := range slices.SortedFunc(maps.Keys(wanted), compareRoles) {
		if _, given := lead.roles[role]; !given {
			d.giveRole(role, counts)
		}
	}
	d.initPartitions()
}

func compareRoles(a, b Role) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Name, b.Name), cmp.Compare(a.Partition, b.Partition))
}

func (d *Decider) keepsRole(member Member) bool {
	m := d.lead.members[member]
	return m != nil && !m.lost(d.now.Mono) && !d.lead.leavingVMs[member] && !d.lead.endedMembers[member]
}

// membersKnown reports whether the roles of every member are known.
func (d *Decider) membersKnown() bool {
	for _, m := range d.lead.members {
		if !m.known(d.now.Mono, d.lead.wait) {
			return false
		}
	}
	return true
}

func (d *Decider) wantedRoles() map[Role]bool {
	wanted := make(map[Role]bool)
	for _, service := range d.config.Services {
		for _, server := range service.Servers {
			if server.Domain == d.options.Domain {
				wanted[Role{Kind: RoleGate, Service: service.Name, Name: server.Name}] = true
			}
		}
	}
	for _, workspace := range d.config.Workspaces {
		wanted[Role{Kind: RoleKeeper, Name: workspace}] = true
	}
	for i := range uint32(IdempotencyPartitions) {
		home := d.homes.Home(IdempotencyService, keyspace.Unit(i))
		released := d.state.Service(IdempotencyService).Released[keyspace.Unit(i)]
		if home.Domain == d.options.Domain && home.Epoch > released.Epoch {
			wanted[Role{Kind: RoleIdempotencyHolder, Partition: i}] = true
			wanted[Role{Kind: RoleIdempotencyBackup, Partition: i}] = true
		}
	}
	return wanted
}

// giveRole chooses the live member with the fewest roles. Holder and backup of a
// partition are never the same VM.
func (d *Decider) giveRole(role Role, counts map[Member]int) {
	var best Member
	for _, member := range d.sortedMembers() {
		if !d.liveMember(member) || d.lead.roles[partner(role)] == member {
			continue
		}
		if best == (Member{}) || counts[member] < counts[best] {
			best = member
		}
	}
	if best == (Member{}) {
		return
	}
	d.lead.roles[role] = best
	counts[best]++
	d.lead.changed = true
}

// partner returns the role that must be at another VM; no role if there is none.
func partner(role Role) Role {
	switch role.Kind {
	case RoleIdempotencyHolder:
		return Role{Kind: RoleIdempotencyBackup, Partition: role.Partition}
	case RoleIdempotencyBackup:
		return Role{Kind: RoleIdempotencyHolder, Partition: role.Partition}
	}
	return Role{}
}

// rolesFor lists the roles that the next heartbeat leases to the member: those
// that it has, and new ones that no other member may have.
func (d *Decider) rolesFor(member Member, m *lessee[Role]) []Role {
	known := d.membersKnown()
	var roles []Role
	for role, holder := range d.lead.roles {
		if holder != member || !known && !m.mayHold(role) {
			continue
		}
		if d.roleFree(role, member) {
			roles = append(roles, role)
		}
	}
	slices.SortFunc(roles, compareRoles)
	return roles
}

func (d *Decider) roleFree(role Role, except Member) bool {
	for member, m := range d.lead.members {
		if member != except && m.mayHold(role) {
			return false
		}
	}
	return true
}

// initPartitions gives the partitions to the failure domains for the first time.
func (d *Decider) initPartitions() {
	isInit := func(r Record) bool { return r.Init != nil && r.Init.Service == IdempotencyService }
	if len(d.homes.Services[IdempotencyService]) != 0 || d.appending(isInit) ||
		d.authority() != byLog || !d.confirmedAfter(HomesStream, d.lead.since) {
		return
	}
	domains := make(map[string]bool)
	for _, service := range d.config.Services {
		for _, server := range service.Servers {
			domains[server.Domain] = true
		}
	}
	if len(domains) == 0 {
		return
	}
	d.append(HomesStream, Record{Init: &Init{
		Service: IdempotencyService,
		Slices:  IdempotencyPartitions,
		Domains: slices.Sorted(maps.Keys(domains)),
	}})
}
