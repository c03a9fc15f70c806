package ownership

import (
	"maps"
	"slices"
	"time"
)

// memberState is what a VM knows as a member of its failure domain.
type memberState struct {
	lastHeartbeat time.Duration
	// term and seq order the heartbeats that were accepted.
	term    Term
	seq     uint64
	decider Member
	// promises maps a decider to the local time until which this VM does not claim.
	promises map[Member]time.Duration
	lease    RoleLease
	// voidBefore is the local time of the last suspend; an older reading of the
	// clock does not count.
	voidBefore time.Duration
	claiming   bool
	mapTerm    Term
	mapVersion uint64
	probedAt   time.Duration
	joinedAt   time.Duration
	epochSent  uint64
}

func newMemberState() memberState {
	return memberState{promises: make(map[Member]time.Duration), voidBefore: -forever}
}

// suspend drops what may have ended while the clock did not run.
func (m *memberState) suspend(now time.Duration) {
	m.lease = RoleLease{}
	m.voidBefore = now
}

func (d *Decider) heartbeatReceived(h Heartbeat) {
	m := &d.member
	if h.To != d.options.Self || h.Term < m.term || h.Term < d.state.Term {
		return
	}
	if h.Term == m.term && h.Seq <= m.seq {
		return
	}
	m.term, m.seq, m.decider = h.Term, h.Seq, h.From
	if !h.Unconfirmed || !d.logAnswers() {
		m.lastHeartbeat = d.now.Mono
	}
	if d.lead != nil && h.Term > d.lead.term {
		d.lead.superseded = true
	}
	if !h.Query {
		d.acceptRoles(h)
	}
	if h.Release {
		d.endPromise(h.From)
	}
	d.replyHeartbeat(h)
}

func (d *Decider) acceptRoles(h Heartbeat) {
	m := &d.member
	if h.Echo < m.voidBefore {
		return
	}
	m.lease = RoleLease{
		Roles:      slices.Clone(h.Roles),
		Term:       h.Term,
		MapVersion: h.MapVersion,
		ValidUntil:      h.Expires,
		ClocksAgreedAt:      d.now,
	}
	d.emit(SetRoles{Lease: m.lease})
}

func (d *Decider) replyHeartbeat(h Heartbeat) {
	reply := HeartbeatReply{
		Term:    h.Term,
		From:    d.options.Self,
		Seq:     h.Seq,
		SentAt:  h.SentAt,
		Now:     d.now.Mono,
		Roles:   d.heldRoles(),
		Leaving: d.leaving,

		MapTerm:    d.member.mapTerm,
		MapVersion: d.member.mapVersion,
	}
	if d.mayPromise(h) {
		reply.Promise = true
		d.member.promises[h.From] = d.now.Mono + PromiseDuration
	}
	if h.From == d.options.Self {
		d.heartbeatReplied(reply)
		return
	}
	d.emit(ReplyHeartbeat{To: h.From, Reply: reply})
}

// mayPromise reports whether the member can't reach the log and has no claim that
// may take effect.
func (d *Decider) mayPromise(h Heartbeat) bool {
	return h.From != d.options.Self && d.lead == nil && !d.member.claiming && !d.logAnswers()
}

func (d *Decider) heldRoles() []Role {
	if !d.member.lease.Valid(d.now) {
		return nil
	}
	return d.member.lease.Roles
}

// peerEnded notes the proof that a process ended. A promise protects only the
// decider that got it, and its leases end within OutageLease.
func (d *Decider) peerEnded(member Member) {
	d.endPromise(member)
	if d.lead != nil {
		d.lead.endedMembers[member] = true
	}
}

// endPromise allows claims again after the proof that the decider's process ended
// or after it released the promise. Leases that it granted may still run.
func (d *Decider) endPromise(decider Member) {
	if _, promised := d.member.promises[decider]; !promised {
		return
	}
	delete(d.member.promises, decider)
	d.longUntil = max(d.longUntil, d.now.Mono+OutageLease+WaitMargin)
}

// longBound is the local time until which a lease of OutageLease may be held. A
// promise may have let its decider grant such leases until the promise ends.
func (d *Decider) longBound() time.Duration {
	bound := d.longUntil
	for _, until := range d.member.promises {
		bound = max(bound, until+OutageLease+WaitMargin)
	}
	return bound
}

func (d *Decider) expirePromises() {
	for decider, until := range d.member.promises {
		if until > d.now.Mono {
			continue
		}
		d.longUntil = max(d.longUntil, until+OutageLease+WaitMargin)
		delete(d.member.promises, decider)
	}
}

func (d *Decider) pumpMember() {
	d.expirePromises()
	d.member.claiming = d.appending(func(r Record) bool { return r.Claim != nil })
	if d.lead != nil {
		return
	}
	if d.leaving {
		d.pumpLeaving()
		return
	}
	d.pumpProbe()
	d.pumpJoin()
	d.pumpClaim()
}

func (d *Decider) pumpLeaving() {
	if !d.reported && len(d.heldRoles()) == 0 {
		d.reported = true
		d.emit(Stopped{})
	}
}

// pumpProbe looks for the proof that a silent decider which has a promise ended.
func (d *Decider) pumpProbe() {
	m := &d.member
	if d.now.Mono-m.lastHeartbeat <= ClaimAfter || d.now.Mono-m.probedAt < HeartbeatInterval {
		return
	}
	m.probedAt = d.now.Mono
	for _, decider := range slices.SortedFunc(maps.Keys(m.promises), compareMembers) {
		d.emit(ProbePeer{Member: decider})
	}
}

func (d *Decider) mapReceived(term Term, version uint64) {
	m := &d.member
	if term < m.mapTerm || term == m.mapTerm && version < m.mapVersion {
		return
	}
	m.mapTerm, m.mapVersion = term, version
}

func (d *Decider) pumpJoin() {
	if d.state.Term == 0 || d.state.IsMember(d.options.Self) || !d.logAnswers() {
		return
	}
	if d.member.joinedAt != 0 && d.now.Mono-d.member.joinedAt < joinInterval {
		return
	}
	if d.state.Joins[d.options.Self.VM] == d.options.Self.Instance {
		return
	}
	d.member.joinedAt = d.now.Mono
	d.append(DomainStream, Record{Join: &Join{Member: d.options.Self}})
}

func (d *Decider) pumpClaim() {
	if !d.mayClaim() {
		return
	}
	if d.config.MemberEpoch > d.state.MemberEpoch && d.config.MemberEpoch > d.member.epochSent {
		d.member.epochSent = d.config.MemberEpoch
		d.append(DomainStream, Record{MemberEpoch: &MemberEpoch{Epoch: d.config.MemberEpoch}})
		return
	}
	if len(d.state.Members) > 0 && !d.state.IsMember(d.options.Self) {
		return
	}
	d.append(DomainStream, Record{Claim: &Claim{Member: d.options.Self, Previous: d.state.Term}})
}

func (d *Decider) mayClaim() bool {
	silent := d.now.Mono-d.member.lastHeartbeat > ClaimAfter
	return silent && !d.member.claiming && len(d.member.promises) == 0 &&
		d.logAnswers() && d.confirmedAfter(DomainStream, d.now.Mono-ConfirmFor)
}
