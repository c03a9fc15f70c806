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

// rolesInterval is the time between two updates of the roles.
const rolesInterval = 50 * time.Millisecond

// roleBalanceInterval is the time between moves of roles that only balance their
// numbers.
const roleBalanceInterval = 200 * time.Millisecond

// IdempotencyPartitions is the number of partitions of idempotency keys.
const IdempotencyPartitions = 64

// updateRoles chooses the VM of each role. A role moves when its VM is lost, has
// ended or is leaving, or to balance the numbers of roles.
func (d *Decider) updateRoles() {
	lead := d.lead
	if lead.rolesUpdatedAt != 0 && d.now.Mono-lead.rolesUpdatedAt < rolesInterval {
		return
	}
	lead.rolesUpdatedAt = d.now.Mono
	wanted := d.wantedRoles()
	for role := range lead.roles {
		if !wanted[role] || !d.mayKeepRole(lead.roles[role]) {
			delete(lead.roles, role)
			lead.mapChanged = true
		}
	}
	if !d.memberRolesKnown() {
		return
	}
	d.promoteBackups()
	counts := make(map[Member]int)
	for _, member := range lead.roles {
		counts[member]++
	}
	for _, role := range slices.SortedFunc(maps.Keys(wanted), compareRoles) {
		if _, given := lead.roles[role]; !given {
			d.assignRole(role, counts)
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

// mayKeepRole reports whether the member may keep the roles that it has.
func (d *Decider) mayKeepRole(member Member) bool {
	m := d.lead.members[member]
	return m != nil && !m.lost(d.now.Mono) && !d.lead.leavingMembers[member] && !d.lead.endedMembers[member]
}

// memberRolesKnown reports whether the roles that each member may hold are known.
func (d *Decider) memberRolesKnown() bool {
	for _, m := range d.lead.members {
		if !m.holdingsKnown(d.now.Mono, d.lead.takeoverDeadline) {
			return false
		}
	}
	return true
}

// wantedRoles returns the roles that some VM of the failure domain should have.
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

// assignRole assigns the role to the live member with the fewest roles. Holder and
// backup of a partition are never the same VM.
func (d *Decider) assignRole(role Role, counts map[Member]int) {
	var best Member
	for _, member := range d.sortedMembers() {
		if !d.liveMember(member) || d.lead.roles[counterpart(role)] == member {
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
	d.lead.mapChanged = true
}

// balanceRoles moves one role of each kind from the VM with the most to the one with
// the fewest. A holder of idempotency keys can only swap with its backup, because no
// other VM has the entries, and a backup is not moved on its own.
func (d *Decider) balanceRoles() {
	if d.now.Mono-d.lead.rolesBalancedAt < roleBalanceInterval {
		return
	}
	d.lead.rolesBalancedAt = d.now.Mono
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

// moveRole moves the role and reports whether it could. A partition role is swapped
// with its counterpart.
func (d *Decider) moveRole(role Role, from, to Member) bool {
	if other := counterpart(role); other != (Role{}) {
		if d.lead.roles[other] != to || !d.pairSettled(role.Partition) {
			return false
		}
		d.lead.roles[other] = from
	}
	d.lead.roles[role] = to
	d.lead.mapChanged = true
	return true
}

// counterpart returns the role of the same partition that must be at another VM, or
// the zero Role if there is none.
func counterpart(role Role) Role {
	switch role.Kind {
	case RoleIdempotencyHolder:
		return Role{Kind: RoleIdempotencyBackup, Partition: role.Partition}
	case RoleIdempotencyBackup:
		return Role{Kind: RoleIdempotencyHolder, Partition: role.Partition}
	}
	return Role{}
}

// rolesFor returns the roles that the next heartbeat leases to the member: those
// assigned to it that no other member may hold. While the roles of some member are not
// known, these are only roles that the member may hold already.
func (d *Decider) rolesFor(member Member, m *lessee[Role]) []Role {
	known := d.memberRolesKnown()
	var roles []Role
	for role, assignee := range d.lead.roles {
		if assignee != member || !known && !m.mayHold(role) {
			continue
		}
		if isPartitionRole(role) && !d.pairRecorded(role.Partition) {
			continue
		}
		if d.roleFreeExcept(role, member) {
			roles = append(roles, role)
		}
	}
	slices.SortFunc(roles, compareRoles)
	return roles
}

// roleFreeExcept reports whether no member but except may hold the role.
func (d *Decider) roleFreeExcept(role Role, except Member) bool {
	for member, m := range d.lead.members {
		if member != except && m.mayHold(role) {
			return false
		}
	}
	return true
}

// initPartitions assigns the partitions to failure domains for the first time.
func (d *Decider) initPartitions() {
	isInit := func(r Record) bool { return r.Init != nil && r.Init.Service == IdempotencyService }
	if len(d.homes.Services[IdempotencyService]) != 0 || d.hasPendingAppend(isInit) ||
		d.authority() != authorityFromLog || !d.confirmedSince(HomesStream, d.lead.startedAt) {
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
