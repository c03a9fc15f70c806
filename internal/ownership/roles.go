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

// roleBalanceInterval is the time between moves of roles that only balance.
const roleBalanceInterval = 200 * time.Millisecond

// IdempotencyPartitions is the number of its slices.
const IdempotencyPartitions = 64

// pumpRoles chooses the VM of each role. A role changes hands when its VM is lost
// or leaving, or to balance the numbers of roles.
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
	d.promoteBackups()
	counts := make(map[Member]int)
	for _, member := range lead.roles {
		counts[member]++
	}
	for _, role := range slices.SortedFunc(maps.Keys(wanted), compareRoles) {
		if _, given := lead.roles[role]; !given {
			d.giveRole(role, counts)
		}
	}
	d.balanceRoles()
	d.initPartitions()
	d.recordPairs()
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

// balanceRoles moves one role of each kind from the VM with most to the one with
// fewest. A holder of idempotency keys changes only places with its backup, because
// no other VM has the entries, and a backup is not moved on its own.
func (d *Decider) balanceRoles() {
	if d.now.Mono-d.lead.balancedAt < roleBalanceInterval {
		return
	}
	d.lead.balancedAt = d.now.Mono
	for _, kind := range []RoleKind{RoleGate, RoleKeeper, RoleIdempotencyHolder} {
		d.balanceKind(kind)
	}
}

func (d *Decider) balanceKind(kind RoleKind) {
	counts := make(map[Member]int)
	for role, member := range d.lead.roles {
		if role.Kind == kind {
			counts[member]++
		}
	}
	live := slices.DeleteFunc(d.sortedMembers(), func(m Member) bool { return !d.liveMember(m) })
	if len(live) < 2 {
		return
	}
	byCount := func(a, b Member) int { return cmp.Compare(counts[a], counts[b]) }
	most, fewest := slices.MaxFunc(live, byCount), slices.MinFunc(live, byCount)
	if counts[most]-counts[fewest] < 2 {
		return
	}
	for _, role := range slices.SortedFunc(maps.Keys(d.lead.roles), compareRoles) {
		if role.Kind == kind && d.lead.roles[role] == most && d.moveRole(role, most, fewest) {
			return
		}
	}
}

func (d *Decider) moveRole(role Role, from, to Member) bool {
	if other := partner(role); other != (Role{}) {
		if d.lead.roles[other] != to || !d.pairSettled(role.Partition) {
			return false
		}
		d.lead.roles[other] = from
	}
	d.lead.roles[role] = to
	d.lead.changed = true
	return true
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
		if isPartitionRole(role) && !d.pairRecorded(role.Partition) {
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
