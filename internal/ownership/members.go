package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// memberTimeout ends the wait for the reply to one heartbeat.
const memberTimeout = 150 * time.Millisecond

// pumpMembers sends heartbeats and changes the set of members.
func (d *Decider) pumpMembers() {
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
	d.heartbeatSelf()
	for _, member := range d.sortedMembers() {
		d.pumpMemberLessee(member, lead.members[member])
	}
	d.admit()
	d.remove()
}

func (d *Decider) sortedMembers() []Member {
	return slices.SortedFunc(maps.Keys(d.lead.members), compareMembers)
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Instance, b.Instance))
}

func (d *Decider) heartbeatSelf() {
	self := d.lead.members[d.options.Self]
	if self == nil {
		self = newLessee[Role](d.now.Mono)
		d.lead.members[d.options.Self] = self
	}
}

func (d *Decider) pumpMemberLessee(member Member, m *lessee[Role]) {
	now := d.now.Mono
	if m.outstanding && now-m.sentAt > memberTimeout {
		m.fail()
	}
	if now >= m.lapseAt(d.lead.wait) && len(m.held) > 0 {
		m.clear()
		d.lead.changed = true
	}
	if !d.state.IsMember(member) && len(m.held) == 0 && m.known(now, d.lead.wait) {
		delete(d.lead.members, member)
		return
	}
	if m.outstanding || m.seq != 0 && now-m.sentAt < HeartbeatInterval {
		return
	}
	d.sendHeartbeat(member, m)
}

func (d *Decider) sendHeartbeat(member Member, m *lessee[Role]) {
	ground := d.authority()
	heartbeat := Heartbeat{
		Term:        d.lead.term,
		From:        d.options.Self,
		To:          member,
		SentAt:      d.now.Mono,
		Query:       !m.answered || ground == noAuthority,
		Unconfirmed: ground == noAuthority,
		Echo:        m.echo,
		MapVersion:  d.lead.version,
	}
	if _, promised := d.lead.promises[member]; promised && ground == byLog && d.logAnswers() {
		heartbeat.Release = true
		delete(d.lead.promises, member)
	}
	var expires time.Duration
	if !heartbeat.Query {
		expires = m.echo + ground.lease()
		heartbeat.Expires = expires
		heartbeat.Roles = d.rolesFor(member, m)
		if ground == byPromises {
			d.longUntil = max(d.longUntil, d.now.Mono+OutageLease+WaitMargin)
		}
	}
	for _, role := range heartbeat.Roles {
		m.held[role] = Token{Term: d.lead.term}
	}
	heartbeat.Seq = m.send(d.now.Mono, expires, nil)
	d.lead.sentInstants[member] = d.now
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
	first := !m.answered
	m.answered = true
	m.answer(d.now.Mono, reply.Now, held)
	if first {
		m.highest = reply.Now + d.longestLease()
	}
	if reply.Promise {
		d.lead.promises[reply.From] = d.lead.sentInstants[reply.From]
	}
	d.lead.leavingVMs[reply.From] = reply.Leaving
	d.sendMissingMap(reply)
}

// admit makes processes that joined members. While a lease of the outage duration
// may run none is admitted: a new member gave no promise, and would take the
// missing promise for proof that no such lease exists.
func (d *Decider) admit() {
	now := d.now.Mono
	if d.authority() != byLog || !d.logAnswers() || now < d.lead.wait || now < d.longBound() {
		return
	}
	for _, vm := range slices.Sorted(maps.Keys(d.state.Joins)) {
		instance := d.state.Joins[vm]
		member := Member{VM: vm, Instance: instance}
		isAdmit := func(r Record) bool { return r.Admit != nil && r.Admit.Member == member }
		if vm != d.options.Self.VM && !d.appending(isAdmit) {
			d.append(DomainStream, Record{Admit: &Admit{Term: d.lead.term, Member: member}})
		}
	}
}

// remove ends the membership of processes that are lost or have left.
func (d *Decider) remove() {
	if d.authority() != byLog || !d.logAnswers() {
		return
	}
	for _, member := range d.sortedMembers() {
		m := d.lead.members[member]
		gone := d.now.Mono-m.lastAnswer > removeAfter || d.lead.endedMembers[member]
		left := d.lead.leavingVMs[member] && len(m.held) == 0
		if member == d.options.Self || !d.state.IsMember(member) || !gone && !left {
			continue
		}
		isRemove := func(r Record) bool { return r.Remove != nil && r.Remove.Member == member }
		if !d.appending(isRemove) {
			d.append(DomainStream, Record{Remove: &Remove{Term: d.lead.term, Member: member}})
		}
	}
}

// pumpHandoff gives the term to another member before a planned stop.
func (d *Decider) pumpHandoff() {
	lead := d.lead
	if !d.leaving {
		return
	}
	if lead.relinquished {
		if !d.reported && d.now.Mono-lead.handoffAt > removeAfter {
			d.reported = true
			d.emit(Stopped{})
		}
		return
	}
	if d.authority() != byLog || !d.logAnswers() {
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

// liveMember reports whether the member can get roles.
func (d *Decider) liveMember(member Member) bool {
	m := d.lead.members[member]
	return m != nil && m.answered && !m.lost(d.now.Mono) && d.state.IsMember(member) &&
		!d.lead.leavingVMs[member] && !d.lead.endedMembers[member]
}
