package quota

import "time"

// serveQueue answers syncs in the order in which they came. One that can't be
// filled blocks those behind it until its deadline, so that none is starved.
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

// headroom is what the holder may still get from the own bucket.
func (k *Keeper) headroom(holder string) int64 {
	return k.bucket.limit.holderCap() - k.held[holder]
}

// ownLendable is the part of the level that the holder may have. Other failure
// domains leave what the own VMs are expected to need in the next window.
func (k *Keeper) ownLendable(holder string, now time.Time) int64 {
	whole := k.bucket.whole()
	if isDomain(holder) {
		whole -= int64(k.demand.within(now, k.bucket.limit.window()))
	}
	return max(0, min(whole, k.headroom(holder)))
}

func (k *Keeper) lendable(s *Sync, now time.Time) int64 {
	sum := k.ownLendable(s.Holder, now)
	if !isDomain(s.Holder) {
		sum += k.drawnAvailable(now)
	}
	return sum
}

// serve lends what the waiting requests need and up to half of the rest ahead, so
// that one holder does not empty the bucket for later ones.
func (k *Keeper) serve(s *Sync, now time.Time) Envelope {
	a := k.account(*s)
	there := k.lendable(s, now)
	need := min(s.Need, there)
	ahead := min(s.Want-s.Need, (there-need+1)/2)
	grant := max(0, need+ahead)
	reply := Reply{
		Workspace: s.Workspace, Domain: k.config.Domain, Term: k.config.Term, Seq: s.Seq,
		Window: k.bucket.limit.window(),
	}
	if !isDomain(s.Holder) {
		k.demand.add(now, grant)
		grant -= k.lendDrawn(a, s, &reply, grant, now)
	}
	k.lendOwn(a, s, &reply, min(grant, k.ownLendable(s.Holder, now)), now)
	if reply.tokens() < s.Need {
		reply.RetryAfter = k.retryAfter(now)
	}
	a.lastReply = &reply
	return k.envelope(s.Holder, reply)
}

func (k *Keeper) lendOwn(a *account, s *Sync, reply *Reply, n int64, now time.Time) {
	if n <= 0 {
		return
	}
	k.bucket.lend(n)
	k.held[s.Holder] += n
	k.addLoan(a, s, reply, &loan{tokens: n}, BatchLifetime, now)
}

func (k *Keeper) addLoan(a *account, s *Sync, reply *Reply, l *loan, lifetime time.Duration, now time.Time) {
	l.expires = now.Add(lifetime + ClockMargin)
	id := BatchID{Term: k.config.Term, Seq: s.Seq, Part: len(reply.Grants)}
	a.loans[id] = l
	k.nextExpiry = earliest(k.nextExpiry, l.expires)
	reply.Grants = append(reply.Grants, Grant{Tokens: l.tokens, Lifetime: lifetime})
}

// retryAfter is the time after which a token is expected here or in another
// failure domain.
func (k *Keeper) retryAfter(now time.Time) time.Duration {
	var queued int64
	for _, s := range k.queue {
		queued += s.Need
	}
	wait := k.bucket.untilToken(1 + queued)
	for _, d := range k.draws {
		if now.Before(d.retryAt) {
			wait = min(wait, d.retryAt.Sub(now))
		}
	}
	return wait
}
