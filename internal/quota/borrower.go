package quota

import "time"

// batch is a borrowed batch.
type batch struct {
	id       BatchID
	tokens   int64
	spent    int64
	returned int64
	// lent counts tokens that a keeper lent on to its own holders.
	lent    int64
	expires time.Time
	// forget is the time after which the keeper can't have the batch any more.
	forget time.Time
}

func (b *batch) available() int64 { return b.tokens - b.spent - b.returned - b.lent }

func (b *batch) state() BatchState {
	return BatchState{ID: b.id, Tokens: b.tokens, Spent: b.spent, Returned: b.returned}
}

// borrower is the client side of the lending protocol towards one keeper role.
type borrower struct {
	workspace string
	holder    string
	instance  uint64
	term      uint64
	seq       uint64
	batches   []*batch
	pending   *Sync
	firstSent time.Time
	lastSent  time.Time
	window    time.Duration
	// dryUntil is the time until which the keeper is not asked again, and retryAt
	// the time at which it expects a token.
	dryUntil time.Time
	retryAt  time.Time
	// unreported is set when a batch changed after the last sync.
	unreported bool
}

func newBorrower(workspace, holder string, instance uint64) borrower {
	return borrower{workspace: workspace, holder: holder, instance: instance, window: minWindow}
}

// expire gives up what can't be spent any more and forgets old batches.
func (b *borrower) expire(now time.Time) {
	kept := b.batches[:0]
	for _, held := range b.batches {
		if !now.Before(held.expires) && held.available() > 0 {
			held.returned += held.available()
			b.unreported = true
		}
		if now.Before(held.forget) {
			kept = append(kept, held)
		}
	}
	clear(b.batches[len(kept):])
	b.batches = kept
}

func (b *borrower) available() int64 {
	var sum int64
	for _, held := range b.batches {
		sum += held.available()
	}
	return sum
}

// spendOne spends a token of the batch that expires first.
func (b *borrower) spendOne(now time.Time) bool {
	first := b.firstAvailable(now)
	if first == nil {
		return false
	}
	first.spent++
	b.unreported = true
	return true
}

func (b *borrower) firstAvailable(now time.Time) *batch {
	var first *batch
	for _, held := range b.batches {
		if held.available() == 0 || !now.Before(held.expires) {
			continue
		}
		if first == nil || held.expires.Before(first.expires) {
			first = held
		}
	}
	return first
}

// giveBack returns up to n available tokens.
func (b *borrower) giveBack(n int64) {
	for _, held := range b.batches {
		part := min(n, held.available())
		if part > 0 {
			held.returned += part
			n -= part
			b.unreported = true
		}
	}
}

// open starts a sync. The caller has checked that none is pending.
func (b *borrower) open(now time.Time, want, need int64, complete bool) *Sync {
	b.seq++
	b.firstSent = now
	b.lastSent = now
	b.unreported = false
	b.pending = &Sync{
		Workspace: b.workspace, Holder: b.holder, Instance: b.instance, Term: b.term, Seq: b.seq,
		Want: want, Need: need, Complete: complete,
	}
	for _, held := range b.batches {
		b.pending.Batches = append(b.pending.Batches, held.state())
	}
	return b.pending
}

// resend returns the pending sync if it is due again, and gives it up when it is
// too old. The repeat keeps its number and the time of its first sending.
func (b *borrower) resend(now time.Time) *Sync {
	if b.pending == nil {
		return nil
	}
	if now.Sub(b.firstSent) >= AbandonAfter {
		b.abandon()
		return nil
	}
	if now.Sub(b.lastSent) < ResendInterval {
		return nil
	}
	b.lastSent = now
	return b.pending
}

func (b *borrower) abandon() {
	if b.pending != nil {
		b.unreported = true
		b.pending = nil
	}
}

// adopt moves to a higher keeper term. Replies of lower terms are ignored from
// then on, so what is reported to the new keeper is all there is.
func (b *borrower) adopt(term uint64) bool {
	if term <= b.term {
		return false
	}
	b.term = term
	b.abandon()
	b.unreported = true
	b.dryUntil = time.Time{}
	return true
}

// accept takes the reply to the pending sync and reports whether it was one.
func (b *borrower) accept(reply Reply, now time.Time) bool {
	if b.adopt(reply.Term) {
		return false
	}
	if b.pending == nil || reply.Term != b.term || reply.Seq != b.pending.Seq {
		return false
	}
	b.dropFinished(b.pending.Batches)
	for i, grant := range reply.Grants {
		b.batches = append(b.batches, &batch{
			id:      BatchID{Term: b.term, Seq: reply.Seq, Part: i},
			tokens:  grant.Tokens,
			expires: b.firstSent.Add(grant.Lifetime),
			forget:  now.Add(grant.Lifetime + 2*ClockMargin),
		})
	}
	b.pending = nil
	b.window = min(max(reply.Window, minWindow), maxWindow)
	b.dryUntil = time.Time{}
	if reply.RetryAfter > 0 {
		b.dryUntil = now.Add(min(reply.RetryAfter, dryInterval))
		b.retryAt = now.Add(reply.RetryAfter)
	}
	b.expire(now)
	return true
}

func (b *borrower) dropFinished(acknowledged []BatchState) {
	done := make(map[BatchID]bool, len(acknowledged))
	for _, state := range acknowledged {
		if state.Spent+state.Returned == state.Tokens {
			done[state.ID] = true
		}
	}
	kept := b.batches[:0]
	for _, held := range b.batches {
		if !done[held.id] {
			kept = append(kept, held)
		}
	}
	clear(b.batches[len(kept):])
	b.batches = kept
}

// reportDue reports whether changes have waited for the report interval.
func (b *borrower) reportDue(now time.Time) bool {
	return b.unreported && b.pending == nil && now.Sub(b.lastSent) >= b.window
}

// wake returns the next time at which a poll has work to do.
func (b *borrower) wake() time.Time {
	if b.pending != nil {
		return b.lastSent.Add(ResendInterval)
	}
	if b.unreported {
		return b.lastSent.Add(b.window)
	}
	var next time.Time
	for _, held := range b.batches {
		if held.available() > 0 {
			next = earliest(next, held.expires)
		}
	}
	return next
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
