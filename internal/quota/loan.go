package quota

import "time"

// accountKey names one holder process.
type accountKey struct {
	holder   string
	instance uint64
}

// account is what a keeper knows of one holder process.
type account struct {
	lastSeq   uint64
	lastReply *Reply
	lastSeen  time.Time
	loans     map[BatchID]*loan
}

// loan is a batch as the keeper sees it.
type loan struct {
	tokens   int64
	spent    int64
	returned int64
	expires  time.Time
	// source is the drawn batch that the tokens came from, nil for own tokens.
	source *batch
	// inherited loans were made by a former keeper. Their tokens may stem from
	// another failure domain's bucket, so they never return to the level.
	inherited bool
}

func (l *loan) outstanding() int64 { return l.tokens - l.spent - l.returned }

// settle moves counted tokens out of the lent amount.
func (k *Keeper) settle(holder string, l *loan, spent, returned int64) {
	l.spent += spent
	l.returned += returned
	if l.source != nil {
		l.source.lent -= spent + returned
		l.source.spent += spent
		k.drawer(l.source).unreported = true
		return
	}
	k.bucket.lent -= spent + returned
	k.held[holder] -= spent + returned
	if !l.inherited {
		k.bucket.level += float64(returned)
	}
	k.bucket.clip()
}

// report applies a holder's totals for one batch.
func (k *Keeper) report(holder string, a *account, state BatchState, now time.Time) {
	l, known := a.loans[state.ID]
	if !known {
		return
	}
	spent := min(max(0, state.Spent-l.spent), l.outstanding())
	returned := min(max(0, state.Returned-l.returned), l.outstanding()-spent)
	k.settle(holder, l, spent, returned)
	if !isDomain(holder) {
		k.demand.add(now, -returned)
	}
	if l.outstanding() == 0 {
		delete(a.loans, state.ID)
	}
}

// inherit registers a batch that a former keeper lent.
func (k *Keeper) inherit(holder string, a *account, state BatchState) {
	outstanding := state.Tokens - state.Spent - state.Returned
	if _, known := a.loans[state.ID]; known || outstanding <= 0 {
		return
	}
	a.loans[state.ID] = &loan{
		tokens: state.Tokens, spent: state.Spent, returned: state.Returned,
		expires: k.recoveryEnd, inherited: true,
	}
	k.bucket.lent += outstanding
	k.held[holder] += outstanding
	k.nextExpiry = earliest(k.nextExpiry, k.recoveryEnd)
}

// expireLoans counts unreported tokens of expired batches as spent, in order of
// expiry, and accrues the time between.
func (k *Keeper) expireLoans(now time.Time) {
	for !k.nextExpiry.IsZero() && !now.Before(k.nextExpiry) {
		due := k.nextExpiry
		k.bucket.accrue(due)
		k.nextExpiry = time.Time{}
		for key, a := range k.accounts {
			k.expireAccount(key.holder, a, due)
		}
	}
}

func (k *Keeper) expireAccount(holder string, a *account, due time.Time) {
	for id, l := range a.loans {
		if due.Before(l.expires) {
			k.nextExpiry = earliest(k.nextExpiry, l.expires)
			continue
		}
		k.settle(holder, l, l.outstanding(), 0)
		delete(a.loans, id)
	}
}
