package ownership

import "time"

// authority is the ground on which a decider may act at one instant.
type authority uint8

const (
	noAuthority authority = iota
	// byLog: a read of the end of the stream confirmed the term.
	byLog
	// byPromises: the log does not answer and no other member can claim.
	byPromises
)

// authority is evaluated before every action of a decider. It uses the instants at
// which a read or heartbeat was sent, so that neither a late answer nor a suspend
// of this VM makes it longer.
func (d *Decider) authority() authority {
	lead := d.lead
	if lead == nil || lead.relinquished || lead.superseded || d.state.Term != lead.term {
		return noAuthority
	}
	read := d.reads[DomainStream]
	if read.ever && read.confirmed.Age(d.now) <= ConfirmFor {
		return byLog
	}
	if !d.logAnswers() && d.allPromised() {
		return byPromises
	}
	return noAuthority
}

// allPromised reports whether every other process that may be a member has an
// unexpired promise or is proved to have ended. A process whose admission was
// appended counts before the record is read back.
func (d *Decider) allPromised() bool {
	for vm, instance := range d.state.Members {
		if !d.promised(Member{VM: vm, Instance: instance}) {
			return false
		}
	}
	for _, pending := range d.appends {
		if admit := pending.record.Admit; admit != nil && !d.promised(admit.Member) {
			return false
		}
	}
	return true
}

func (d *Decider) promised(member Member) bool {
	if member == d.options.Self || d.lead.endedMembers[member] {
		return true
	}
	sent, found := d.lead.promises[member]
	return found && sent.Age(d.now) < PromiseDuration-WaitMargin
}

// lease returns the duration of a lease under the authority.
func (a authority) lease() time.Duration {
	if a == byPromises {
		return OutageLease
	}
	return LeaseDuration
}

// termChanged handles the acceptance of a claim or handoff.
func (d *Decider) termChanged() {
	if d.lead != nil {
		d.lead = nil
		d.dropAppends()
	}
	d.member.lastHeartbeat = d.now.Mono
	if d.state.Decider == d.options.Self {
		d.lead = d.newLeadership()
		d.adoptPartitions()
	}
}

// newLeadership starts the term of this VM. The wait covers the last message of
// any earlier decider: its authority ends ConfirmFor after a read that did not see
// the new term, and then the lease has to end.
func (d *Decider) newLeadership() *leadership {
	now := d.now.Mono
	if d.state.Orphaned && !d.state.First {
		// The members that gave promises are lost, so a lease of the outage
		// duration may be held that this VM knows nothing of.
		d.longUntil = max(d.longUntil, now+OutageLease+WaitMargin)
	}
	lead := &leadership{
		term:         d.state.Term,
		since:        now,
		wait:         max(now+ConfirmFor+LeaseDuration+WaitMargin, d.longBound()),
		members:      make(map[Member]*lessee[Role]),
		sentInstants: make(map[Member]Instant),
		promises:     make(map[Member]Instant),
		endedMembers: make(map[Member]bool),
		leavingVMs:   make(map[Member]bool),
		roles:        make(map[Role]Member),
		pairSince:    make(map[uint32]time.Duration),
		services:     make(map[string]*serviceRun),
		changed:      true,
	}
	if d.state.First {
		lead.wait = now
	}
	return lead
}
