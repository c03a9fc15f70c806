package ownership

import "time"

// authority is what entitles a decider to act at one instant.
type authority uint8

const (
	noAuthority authority = iota
	// authorityFromLog: a read of the end of the stream confirmed the term.
	authorityFromLog
	// authorityFromPromises: the shared log does not answer and no other member can
	// claim the next term.
	authorityFromPromises
)

// authority returns the authority of this VM now and is evaluated before every
// action of a decider. Validity is counted from the instant at which a read or
// heartbeat was sent, so that neither a late answer nor a suspension of this VM
// extends it.
func (d *Decider) authority() authority {
	lead := d.lead
	if lead == nil || lead.relinquished || lead.superseded || d.state.Term != lead.term {
		return noAuthority
	}
	read := d.reads[DomainStream]
	if read.reachedEnd && read.confirmedAt.Age(d.now) <= ConfirmationDuration {
		return authorityFromLog
	}
	if !d.logAvailable() && d.noOtherMemberCanClaim() {
		return authorityFromPromises
	}
	return noAuthority
}

// noOtherMemberCanClaim reports whether every other process that may be a member
// has given an unexpired promise or is proved to have ended. A process counts as a
// member as soon as its admission is appended, before the record is read back.
func (d *Decider) noOtherMemberCanClaim() bool {
	for vm, instance := range d.state.Members {
		if !d.cannotClaim(Member{VM: vm, Instance: instance}) {
			return false
		}
	}
	for _, pending := range d.appends {
		if admit := pending.record.Admit; admit != nil && !d.cannotClaim(admit.Member) {
			return false
		}
	}
	return true
}

// cannotClaim reports whether the member is this process, has ended or is bound by
// an unexpired promise.
func (d *Decider) cannotClaim(member Member) bool {
	if member == d.options.Self || d.lead.endedMembers[member] {
		return true
	}
	sent, found := d.lead.promises[member]
	return found && sent.Age(d.now) < PromiseDuration-WaitMargin
}

// leaseDuration returns the duration of leases granted under the authority.
func (a authority) leaseDuration() time.Duration {
	if a == authorityFromPromises {
		return OutageLeaseDuration
	}
	return LeaseDuration
}

// termChanged starts or ends the leadership of this VM after a claim or handoff was
// accepted.
func (d *Decider) termChanged() {
	if d.lead != nil {
		d.lead = nil
		d.dropTermAppends()
	}
	d.member.lastHeartbeat = d.now.Mono
	if d.state.Decider == d.options.Self {
		d.lead = d.newLeadership()
		d.adoptPartitions()
	}
}

// newLeadership returns the state at the start of a term of this VM. The takeover
// deadline covers the last message of every earlier decider: its authority ends
// ConfirmationDuration after a read that did not see the new term, and the leases
// that it granted last end LeaseDuration later.
func (d *Decider) newLeadership() *leadership {
	now := d.now.Mono
	if d.state.BeganWithoutMembers && !d.state.FirstTerm {
		// The members that gave promises are gone, so a lease of
		// OutageLeaseDuration may be held that this VM does not know of.
		d.outageLeaseUntil = max(d.outageLeaseUntil, now+OutageLeaseDuration+WaitMargin)
	}
	lead := &leadership{
		term:             d.state.Term,
		startedAt:        now,
		takeoverDeadline: max(now+ConfirmationDuration+LeaseDuration+WaitMargin, d.outageLeaseBound()),
		members:          make(map[Member]*lessee[Role]),
		heartbeatSentAt:  make(map[Member]Instant),
		promises:         make(map[Member]Instant),
		endedMembers:     make(map[Member]bool),
		leavingMembers:   make(map[Member]bool),
		roles:            make(map[Role]Member),
		pairRecordedAt:   make(map[uint32]time.Duration),
		services:         make(map[string]*keyedService),
		mapChanged:       true,
	}
	if d.state.FirstTerm {
		// No earlier decider can have granted a lease.
		lead.takeoverDeadline = now
	}
	return lead
}
