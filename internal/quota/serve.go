package quota

import "time"

// serveQueue answers queued syncs in the order in which they arrived. A sync whose
// need can't be met yet blocks those behind it, so that later, smaller ones don't
// starve it. Each sync is answered no later than its own deadline.
func (k *Keeper) serveQueue(now time.Time) []Envelope {
	var out []Envelope
	var rest []*Sync
	var deadlines []time.Time
	blocked := false
	for i, s := range k.queue {
		overdue := !now.Before(k.deadlines[i])
		fits := !blocked && k.lendable(s, now) >= s.Need
		if fits || overdue {
			out = append(out, k.serve(s, now))
			continue
		}
		blocked = true
		rest = append(rest, s)
		deadlines = append(deadlines, k.deadlines[i])
	}
	k.queue, k.deadlines = rest, deadlines
	return out
}

// headroom returns the number of tokens that the holder may still get from this
// keeper's bucket before it reaches the cap per holder.
func (k *Keeper) headroom(holder string) int64 {
	return k.bucket.limit.holderCap() - k.lentTo[holder]
}

// ownLendable returns the number of tokens of this keeper's bucket that can be lent to
// the holder. Another failure domain can't get those that the VMs of this domain are
// expected to need during the next report interval.
func (k *Keeper) ownLendable(holder string, now time.Time) int64 {
	tokens := k.bucket.wholeTokens()
	if isDomain(holder) {
		tokens -= int64(k.demand.expectedWithin(now, k.bucket.limit.reportInterval()))
	}
	return max(0, min(tokens, k.headroom(holder)))
}

// lendable returns the number of tokens that can be lent to the sender of the sync.
// Tokens borrowed from another failure domain are lent only to VMs of this domain.
func (k *Keeper) lendable(s *Sync, now time.Time) int64 {
	sum := k.ownLendable(s.Holder, now)
	if !isDomain(s.Holder) {
		sum += k.remoteAvailable(now)
	}
	return sum
}

// serve lends the tokens that the waiting requests need and, in advance, up to half
// of the rest, so that one holder does not empty the bucket for later ones. It lends
// borrowed tokens first.
func (k *Keeper) serve(s *Sync, now time.Time) Envelope {
	a := k.account(*s)
	available := k.lendable(s, now)
	need := min(s.Need, available)
	prefetch := min(s.Want-s.Need, (available-need+1)/2)
	grant := max(0, need+prefetch)
	reply := Reply{
		Workspace: s.Workspace, Domain: k.config.Domain, Term: k.config.Term, Seq: s.Seq,
		ReportInterval: k.bucket.limit.reportInterval(),
	}
	if !isDomain(s.Holder) {
		k.demand.add(now, grant)
		grant -= k.lendRemote(a, s, &reply, grant, now)
	}
	k.lendOwn(a, s, &reply, min(grant, k.ownLendable(s.Holder, now)), now)
	if reply.tokens() < s.Need {
		reply.RetryAfter = k.retryAfter(now)
	}
	a.lastReply = &reply
	return k.replyTo(s.Holder, reply)
}

// lendOwn lends n tokens of this keeper's bucket, if n is positive.
func (k *Keeper) lendOwn(a *account, s *Sync, reply *Reply, n int64, now time.Time) {
	if n <= 0 {
		return
	}
	k.bucket.lend(n)
	k.lentTo[s.Holder] += n
	k.addLoan(a, s, reply, &loan{tokens: n}, BatchLifetime, now)
}

// addLoan records the loan in the account and adds its grant to the reply. The loan
// expires ClockMargin after the lifetime that the holder is given.
func (k *Keeper) addLoan(a *account, s *Sync, reply *Reply, l *loan, lifetime time.Duration, now time.Time) {
	l.expires = now.Add(lifetime + ClockMargin)
	id := BatchID{Term: k.config.Term, Seq: s.Seq, Part: len(reply.Grants)}
	a.loans[id] = l
	k.nextExpiry = earliest(k.nextExpiry, l.expires)
	reply.Grants = append(reply.Grants, Grant{Tokens: l.tokens, Lifetime: lifetime})
}

// retryAfter returns the time after which a token is expected, either in this keeper's
// bucket, after those that queued requests need (those of the sync that is being
// answered included), or in another failure domain.
func (k *Keeper) retryAfter(now time.Time) time.Duration {
	var queued int64
	for _, s := range k.queue {
		queued += s.Need
	}
	wait := k.bucket.untilToken(1 + queued)
	for _, r := range k.remotes {
		if now.Before(r.retryAt) {
			wait = min(wait, r.retryAt.Sub(now))
		}
	}
	return wait
}
