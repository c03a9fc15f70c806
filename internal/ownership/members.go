package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// heartbeatTimeout bounds the wait for the reply to one heartbeat.
const heartbeatTimeout = 150 * time.Millisecond

// updateMembers sends the heartbeats that are due and admits and removes members.
func (d *Decider) updateMembers() {
	lead := d.lead
	if lead.relinquished || lead.superseded {
		return
	}
	for vm, instance := range d.state.Members {
		member := Member{VM: vm, Instance: instance}
		if lead.members[member] == nil {
			lead.members[member] = newLessee[Role](d.now.Mono)
		}
	}
	d.ensureSelf()
	for _, member := range d.sortedMembers() {
		d.updateMember(member, lead.members[member])
	}
	d.admitMembers()
	d.removeMembers()
}

func (d *Decider) sortedMembers() []Member {
	return slices.SortedFunc(maps.Keys(d.lead.members), compareMembers)
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Instance, b.Instance))
}

// ensureSelf makes the decider one of its own lessees, so that it leases roles to itself
// as to other members, also after a raised member epoch emptied the set of members.
func (d *Decider) ensureSelf() {
	self := d.lead.members[d.options.Self]
	if self == nil {
		self = newLessee[Role](d.now.Mono)
		d.lead.members[d.options.Self] = self
	}
}

// updateMember expires the role lease of one process and sends the next heartbeat to
// it, at most one at a time. A process that is no longer a member is forgotten once it
// is known to hold no role.
func (d *Decider) updateMember(member Member, m *lessee[Role]) {
	now := d.now.Mono
	if m.outstanding && now-m.sentAt > heartbeatTimeout {
		m.recordFailure()
	}
	if now >= m.expiresAt(d.lead.takeoverDeadline) && len(m.held) > 0 {
		m.dropHoldings()
		d.lead.mapChanged = true
	}
	if !d.state.IsMember(member) && len(m.held) == 0 && m.holdingsKnown(now, d.lead.takeoverDeadline) {
		delete(d.lead.members, member)
		return
	}
	if m.outstanding || m.seq != 0 && now-m.sentAt < HeartbeatInterval {
		return
	}
	d.sendHeartbeat(member, m)
}

func (d *Decider) sendHeartbeat(member Member, m *lessee[Role]) {
	authority := d.authority()
	heartbeat := Heartbeat{
		Term:        d.lead.term,
		From:        d.options.Self,
		To:          member,
		SentAt:      d.now.Mono,
		Query:       !m.answered || authority == noAuthority,
		Unconfirmed: authority == noAuthority,
		Echo:        m.lastClock,
		MapVersion:  d.lead.mapVersion,
	}
	if _, promised := d.lead.promises[member]; promised && authority == authorityFromLog && d.logAvailable() {
		heartbeat.ReleasePromise = true
		delete(d.lead.promises, member)
	}
	var expires time.Duration
	if !heartbeat.Query {
		expires = m.lastClock + authority.leaseDuration()
		heartbeat.Expires = expires
		heartbeat.Roles = d.rolesFor(member, m)
		if authority == authorityFromPromises {
			d.outageLeaseUntil = max(d.outageLeaseUntil, d.now.Mono+OutageLeaseDuration+WaitMargin)
		}
	}
	for _, role := range heartbeat.Roles {
		m.held[role] = Token{Term: d.lead.term}
	}
	heartbeat.Seq = m.recordSend(d.now.Mono, expires, nil)
	d.lead.heartbeatSentAt[member] = d.now
	if member == d.options.Self {
		d.heartbeatReceived(heartbeat)
		return
	}
	d.emit(SendHeartbeat{Heartbeat: heartbeat})
}

func (d *Decider) heartbeatReplied(reply HeartbeatReply) {
	m := d.lead.members[reply.From]
	if m == nil || reply.Term != d.lead.term || !m.outstanding || reply.Seq != m.seq {
		return
	}
	held := make(map[Role]Token, len(reply.Roles))
	for _, role := range reply.Roles {
		held[role] = Token{Term: d.lead.term}
		if _, taken := d.lead.roles[role]; !taken && !isPartitionRole(role) {
			d.lead.roles[role] = reply.From
		}
	}
	firstReply := !m.answered
	m.answered = true
	m.recordReply(d.now.Mono, reply.Now, held)
	if firstReply {
		m.latestExpiry = reply.Now + d.longestLease()
	}
	if reply.Promise {
		d.lead.promises[reply.From] = d.lead.heartbeatSentAt[reply.From]
	}
	d.lead.leavingMembers[reply.From] = reply.Leaving
	d.sendMissingMap(reply)
}

// admitMembers admits the processes that asked to join. None is admitted while a
// lease of OutageLeaseDuration may run: a new member gave no promise, and would take
// the missing promise for proof that no such lease exists.
func (d *Decider) admitMembers() {
	now := d.now.Mono
	if d.authority() != authorityFromLog || !d.logAvailable() || now < d.lead.takeoverDeadline || now < d.outageLeaseBound() {
		return
	}
	for _, vm := range slices.Sorted(maps.Keys(d.state.Joins)) {
		instance := d.state.Joins[vm]
		member := Member{VM: vm, Instance: instance}
		isAdmit := func(r Record) bool { return r.Admit != nil && r.Admit.Member == member }
		if vm != d.options.Self.VM && !d.hasPendingAppend(isAdmit) {
			d.append(DomainStream, Record{Admit: &Admit{Term: d.lead.term, Member: member}})
		}
	}
}

// removeMembers removes the members that are lost, have ended or have left.
func (d *Decider) removeMembers() {
	if d.authority() != authorityFromLog || !d.logAvailable() {
		return
	}
	for _, member := range d.sortedMembers() {
		m := d.lead.members[member]
		lost := d.now.Mono-m.lastReplyAt > removeAfter || d.lead.endedMembers[member]
		hasLeft := d.lead.leavingMembers[member] && len(m.held) == 0
		if member == d.options.Self || !d.state.IsMember(member) || !lost && !hasLeft {
			continue
		}
		isRemove := func(r Record) bool { return r.Remove != nil && r.Remove.Member == member }
		if !d.hasPendingAppend(isRemove) {
			d.append(DomainStream, Record{Remove: &Remove{Term: d.lead.term, Member: member}})
		}
	}
}

// handOff makes another member the decider before a planned stop. If the next term has
// not begun removeAfter later, for example because there is no other live member, this
// VM stops all the same.
func (d *Decider) handOff() {
	lead := d.lead
	if !d.leaving {
		return
	}
	if lead.relinquished {
		if !d.stopReported && d.now.Mono-lead.handoffAt > removeAfter {
			d.stopReported = true
			d.emit(Stopped{})
		}
		return
	}
	if d.authority() != authorityFromLog || !d.logAvailable() {
		return
	}
	lead.handoffAt = d.now.Mono
	for _, member := range d.sortedMembers() {
		if member != d.options.Self && d.liveMember(member) {
			d.append(DomainStream, Record{Handoff: &Handoff{Term: lead.term, To: member}})
			break
		}
	}
	lead.relinquished = true
}

// liveMember reports whether the member may get new roles.
func (d *Decider) liveMember(member Member) bool {
	m := d.lead.members[member]
	return m != nil && m.answered && !m.lost(d.now.Mono) && d.state.IsMember(member) &&
		!d.lead.leavingMembers[member] && !d.lead.endedMembers[member]
}
