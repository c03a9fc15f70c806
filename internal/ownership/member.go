package ownership

import (
	"maps"
	"slices"
	"time"
)

// memberState is what a VM knows as a member of its failure domain. Its times are
// monotonic times of this VM.
type memberState struct {
	lastHeartbeat time.Duration
	// term and seq are those of the last accepted heartbeat, decider its sender.
	term    Term
	seq     uint64
	decider Member
	// promises maps a decider to the time until which this VM does not claim.
	promises map[Member]time.Duration
	lease    RoleLease
	// suspendedAt is when the last suspension was detected. Roles whose expiry was
	// computed from an earlier time of this VM are not accepted.
	suspendedAt time.Duration
	claiming    bool
	mapTerm     Term
	mapVersion  uint64
	probedAt    time.Duration
	joinSentAt  time.Duration
	epochSent   uint64
}

func newMemberState() memberState {
	return memberState{promises: make(map[Member]time.Duration), suspendedAt: -forever}
}

// handleSuspend drops the role lease, which may have expired while the clock did not
// run.
func (m *memberState) handleSuspend(now time.Duration) {
	m.lease = RoleLease{}
	m.suspendedAt = now
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
	if !h.Unconfirmed || !d.logAvailable() {
		m.lastHeartbeat = d.now.Mono
	}
	if d.lead != nil && h.Term > d.lead.term {
		d.lead.superseded = true
	}
	if !h.Query {
		d.acceptRoles(h)
	}
	if h.ReleasePromise {
		d.endPromise(h.From)
	}
	d.replyHeartbeat(h)
}

// acceptRoles replaces the roles of this VM by those of the heartbeat.
func (d *Decider) acceptRoles(h Heartbeat) {
	m := &d.member
	if h.Echo < m.suspendedAt {
		return
	}
	m.lease = RoleLease{
		Roles:          slices.Clone(h.Roles),
		Term:           h.Term,
		MapVersion:     h.MapVersion,
		ValidUntil:     h.Expires,
		ClocksAgreedAt: d.now,
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

// mayPromise reports whether this VM may promise the sender not to claim: it is not a
// decider itself, can't reach the shared log and has no claim that may take effect.
func (d *Decider) mayPromise(h Heartbeat) bool {
	return h.From != d.options.Self && d.lead == nil && !d.member.claiming && !d.logAvailable()
}

// heldRoles returns the roles that this VM holds under a valid lease.
func (d *Decider) heldRoles() []Role {
	if !d.member.lease.Valid(d.now) {
		return nil
	}
	return d.member.lease.Roles
}

// peerEnded handles the proof that a process has ended. The promise that it got ends:
// a promise protects only the decider that got it, and the leases that this decider
// granted end within OutageLeaseDuration.
func (d *Decider) peerEnded(member Member) {
	d.endPromise(member)
	if d.lead != nil {
		d.lead.endedMembers[member] = true
	}
}

// endPromise ends the promise to a decider whose process has ended or that released
// it. Leases that this decider granted may still run.
func (d *Decider) endPromise(decider Member) {
	if _, promised := d.member.promises[decider]; !promised {
		return
	}
	delete(d.member.promises, decider)
	d.outageLeaseUntil = max(d.outageLeaseUntil, d.now.Mono+OutageLeaseDuration+WaitMargin)
}

// outageLeaseBound returns the monotonic time until which a lease of
// OutageLeaseDuration may be held. A decider may have granted such leases until the
// promise that it got ends.
func (d *Decider) outageLeaseBound() time.Duration {
	bound := d.outageLeaseUntil
	for _, until := range d.member.promises {
		bound = max(bound, until+OutageLeaseDuration+WaitMargin)
	}
	return bound
}

func (d *Decider) expirePromises() {
	for decider, until := range d.member.promises {
		if until > d.now.Mono {
			continue
		}
		d.outageLeaseUntil = max(d.outageLeaseUntil, until+OutageLeaseDuration+WaitMargin)
		delete(d.member.promises, decider)
	}
}

// runMember performs the duties of a member that are due.
func (d *Decider) runMember() {
	d.expirePromises()
	d.member.claiming = d.hasPendingAppend(func(r Record) bool { return r.Claim != nil })
	if d.lead != nil {
		return
	}
	if d.leaving {
		d.reportStopped()
		return
	}
	d.probeDeciders()
	d.requestJoin()
	d.claimTerm()
}

// reportStopped reports once that a leaving VM has no roles left.
func (d *Decider) reportStopped() {
	if !d.stopReported && len(d.heldRoles()) == 0 {
		d.stopReported = true
		d.emit(Stopped{})
	}
}

// probeDeciders probes the deciders that hold a promise of this VM once heartbeats
// have stopped: proof that such a decider has ended allows a claim.
func (d *Decider) probeDeciders() {
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

// requestJoin asks to be admitted as a member.
func (d *Decider) requestJoin() {
	if d.state.Term == 0 || d.state.IsMember(d.options.Self) || !d.logAvailable() {
		return
	}
	if d.member.joinSentAt != 0 && d.now.Mono-d.member.joinSentAt < joinInterval {
		return
	}
	if d.state.Joins[d.options.Self.VM] == d.options.Self.Instance {
		return
	}
	d.member.joinSentAt = d.now.Mono
	d.append(DomainStream, Record{Join: &Join{Member: d.options.Self}})
}

// claimTerm claims the next term, or first raises the member epoch if the
// configuration asks for it.
func (d *Decider) claimTerm() {
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

// mayClaim reports whether heartbeats have stopped, no claim of this VM is pending, no
// promise binds it and the stream was read to its end recently.
func (d *Decider) mayClaim() bool {
	silent := d.now.Mono-d.member.lastHeartbeat > ClaimAfter
	return silent && !d.member.claiming && len(d.member.promises) == 0 &&
		d.logAvailable() && d.confirmedSince(DomainStream, d.now.Mono-ConfirmationDuration)
}
