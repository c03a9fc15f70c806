package quota

import "time"

// batch is a number of tokens that a borrower received in one grant.
type batch struct {
	id       BatchID
	tokens   int64
	spent    int64
	returned int64
	// lent counts tokens that a keeper has lent on to the holders of its domain.
	lent    int64
	expires time.Time
	// discardAt is the time after which the lending keeper no longer records the
	// batch.
	discardAt time.Time
}

func (b *batch) available() int64 { return b.tokens - b.spent - b.returned - b.lent }

func (b *batch) state() BatchState {
	return BatchState{ID: b.id, Tokens: b.tokens, Spent: b.spent, Returned: b.returned}
}

// borrower is the client side of the lending protocol: it borrows tokens from one
// keeper role, whichever process holds that role. It is not safe for concurrent use.
type borrower struct {
	workspace      string
	holder         string
	instance       uint64
	term           uint64
	seq            uint64
	batches        []*batch
	pending        *Sync
	firstSent      time.Time
	lastSent       time.Time
	reportInterval time.Duration
	// backoffUntil is the time until which the keeper, which had too few tokens, is
	// not asked again. retryAt is the time at which the keeper expects a token.
	backoffUntil time.Time
	retryAt      time.Time
	// unreported is set when a batch has changed since the last sync.
	unreported bool
}

func newBorrower(workspace, holder string, instance uint64) borrower {
	return borrower{workspace: workspace, holder: holder, instance: instance, reportInterval: minReportInterval}
}

// expireBatches marks the rest of expired batches as returned and removes batches
// that the keeper no longer records.
func (b *borrower) expireBatches(now time.Time) {
	kept := b.batches[:0]
	for _, held := range b.batches {
		if !now.Before(held.expires) && held.available() > 0 {
			held.returned += held.available()
			b.unreported = true
		}
		if now.Before(held.discardAt) {
			kept = append(kept, held)
		}
	}
	clear(b.batches[len(kept):])
	b.batches = kept
}

// available returns the number of tokens that can still be spent.
func (b *borrower) available() int64 {
	var sum int64
	for _, held := range b.batches {
		sum += held.available()
	}
	return sum
}

// spendOne spends a token of the batch that expires soonest. It reports false if no
// unexpired batch has a token.
func (b *borrower) spendOne(now time.Time) bool {
	soonest := b.firstAvailable(now)
	if soonest == nil {
		return false
	}
	soonest.spent++
	b.unreported = true
	return true
}

// firstAvailable returns the unexpired batch with tokens that expires soonest, or nil.
func (b *borrower) firstAvailable(now time.Time) *batch {
	var soonest *batch
	for _, held := range b.batches {
		if held.available() == 0 || !now.Before(held.expires) {
			continue
		}
		if soonest == nil || held.expires.Before(soonest.expires) {
			soonest = held
		}
	}
	return soonest
}

// returnTokens marks up to n available tokens as returned; the next sync reports
// them.
func (b *borrower) returnTokens(n int64) {
	for _, held := range b.batches {
		part := min(n, held.available())
		if part > 0 {
			held.returned += part
			n -= part
			b.unreported = true
		}
	}
}

// openSync creates a sync that reports all batches and asks for want tokens. The
// caller has checked that no sync is pending.
func (b *borrower) openSync(now time.Time, want, need int64, complete bool) *Sync {
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

// resend returns the pending sync if it is due to be sent again, and abandons it
// after SyncTimeout. A sync that is sent again keeps its sequence number and the
// time at which it was first sent.
func (b *borrower) resend(now time.Time) *Sync {
	if b.pending == nil {
		return nil
	}
	if now.Sub(b.firstSent) >= SyncTimeout {
		b.abandonSync()
		return nil
	}
	if now.Sub(b.lastSent) < ResendInterval {
		return nil
	}
	b.lastSent = now
	return b.pending
}

// abandonSync drops the pending sync; the next sync reports its contents again.
func (b *borrower) abandonSync() {
	if b.pending != nil {
		b.unreported = true
		b.pending = nil
	}
}

// adoptTerm moves to a higher keeper term and reports whether the term is higher.
// Replies of lower terms are ignored from then on, so the report to the new keeper
// covers every batch that this borrower can ever spend.
func (b *borrower) adoptTerm(term uint64) bool {
	if term <= b.term {
		return false
	}
	b.term = term
	b.abandonSync()
	b.unreported = true
	b.backoffUntil = time.Time{}
	return true
}

// acceptReply adds the granted batches if the reply answers the pending sync, and
// reports whether it does. Lifetimes count from the first sending of the sync, so
// that a batch never expires later here than at the keeper.
func (b *borrower) acceptReply(reply Reply, now time.Time) bool {
	if b.adoptTerm(reply.Term) {
		return false
	}
	if b.pending == nil || reply.Term != b.term || reply.Seq != b.pending.Seq {
		return false
	}
	b.dropSettled(b.pending.Batches)
	for i, grant := range reply.Grants {
		b.batches = append(b.batches, &batch{
			id:        BatchID{Term: b.term, Seq: reply.Seq, Part: i},
			tokens:    grant.Tokens,
			expires:   b.firstSent.Add(grant.Lifetime),
			discardAt: now.Add(grant.Lifetime + 2*ClockMargin),
		})
	}
	b.pending = nil
	b.reportInterval = min(max(reply.ReportInterval, minReportInterval), maxReportInterval)
	b.backoffUntil = time.Time{}
	if reply.RetryAfter > 0 {
		b.backoffUntil = now.Add(min(reply.RetryAfter, maxBackoff))
		b.retryAt = now.Add(reply.RetryAfter)
	}
	b.expireBatches(now)
	return true
}

// dropSettled removes the batches that the acknowledged sync reported as entirely
// spent or returned.
func (b *borrower) dropSettled(acknowledged []BatchState) {
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

// reportDue reports whether unreported changes have waited for the report interval.
func (b *borrower) reportDue(now time.Time) bool {
	return b.unreported && b.pending == nil && now.Sub(b.lastSent) >= b.reportInterval
}

// nextPoll returns the next time at which polling has work to do, or the zero time
// if there is none.
func (b *borrower) nextPoll() time.Time {
	if b.pending != nil {
		return b.lastSent.Add(ResendInterval)
	}
	if b.unreported {
		return b.lastSent.Add(b.reportInterval)
	}
	var next time.Time
	for _, held := range b.batches {
		if held.available() > 0 {
			next = earliest(next, held.expires)
		}
	}
	return next
}

// earliest returns the earlier of two times, where the zero time means no time.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
