package quota

import "time"

// accountKey identifies one holder process.
type accountKey struct {
	holder   string
	instance uint64
}

// account is a keeper's record of one holder process: its last sync, the reply to
// that sync (nil until it is sent) and its loans.
type account struct {
	lastSeq   uint64
	lastReply *Reply
	lastSeen  time.Time
	loans     map[BatchID]*loan
}

// loan is the lending keeper's record of a batch.
type loan struct {
	tokens   int64
	spent    int64
	returned int64
	expires  time.Time
	// source is the batch of another failure domain that the tokens came from, nil for
	// tokens of this keeper's bucket.
	source *batch
	// inherited is set for loans of a previous keeper. Their tokens may come from
	// another failure domain's bucket, so they are never returned to the level.
	inherited bool
}

// outstanding returns the number of tokens that the holder may still spend or has not
// reported.
func (l *loan) outstanding() int64 { return l.tokens - l.spent - l.returned }

// settle records spent and returned tokens of a loan. They no longer count as lent, and
// returned tokens of this keeper's bucket go back to its level. For tokens from another
// failure domain it updates the batch that they came from instead.
func (k *Keeper) settle(holder string, l *loan, spent, returned int64) {
	l.spent += spent
	l.returned += returned
	if l.source != nil {
		l.source.lent -= spent + returned
		l.source.spent += spent
		k.remoteBorrowerOf(l.source).unreported = true
		return
	}
	k.bucket.lent -= spent + returned
	k.lentTo[holder] -= spent + returned
	if !l.inherited {
		k.bucket.level += float64(returned)
	}
	k.bucket.clampLevel()
}

// applyReport applies a holder's report of one batch. The report has totals, so only
// the increase since the last report counts.
func (k *Keeper) applyReport(holder string, a *account, state BatchState, now time.Time) {
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

// inheritLoan records a batch that a previous keeper lent, with an expiry at the end
// of recovery.
func (k *Keeper) inheritLoan(holder string, a *account, state BatchState) {
	outstanding := state.Tokens - state.Spent - state.Returned
	if _, known := a.loans[state.ID]; known || outstanding <= 0 {
		return
	}
	a.loans[state.ID] = &loan{
		tokens: state.Tokens, spent: state.Spent, returned: state.Returned,
		expires: k.recoveryEnd, inherited: true,
	}
	k.bucket.lent += outstanding
	k.lentTo[holder] += outstanding
	k.nextExpiry = earliest(k.nextExpiry, k.recoveryEnd)
}

// expireLoans counts unreported tokens of expired loans as spent, in order of expiry.
// It accrues up to each expiry before it ends the loan; see bucket.accrue.
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

// expireAccount ends the account's loans that have expired at due and lowers
// nextExpiry to the first expiry of the others.
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
