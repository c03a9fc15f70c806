package quota

import "time"

// remoteBorrower borrows tokens from the keeper of another failure domain on behalf
// of this keeper.
type remoteBorrower struct {
	borrower
	domain string
	// syncNow is set when the lending keeper has changed and needs a report at once.
	syncNow bool
}

func (k *Keeper) newRemoteBorrower(domain string) *remoteBorrower {
	holder := DomainHolder(k.config.Domain)
	return &remoteBorrower{borrower: newBorrower(k.config.Workspace, holder, k.config.Instance), domain: domain}
}

// handleReply handles the lending keeper's reply.
func (r *remoteBorrower) handleReply(reply Reply, now time.Time) {
	before := r.term
	r.acceptReply(reply, now)
	if r.term != before {
		r.syncNow = true
	}
}

// relendable reports whether the batch has tokens and enough lifetime left to lend
// them on.
func (r *remoteBorrower) relendable(held *batch, now time.Time) bool {
	return held.available() > 0 && held.expires.Sub(now) >= minRelendLifetime
}

// remoteBorrowerOf returns the borrower that holds the batch, or an empty one if
// the batch has been discarded.
func (k *Keeper) remoteBorrowerOf(source *batch) *remoteBorrower {
	for _, r := range k.remotes {
		if r.owns(source) {
			return r
		}
	}
	return &remoteBorrower{}
}

func (r *remoteBorrower) owns(source *batch) bool {
	for _, held := range r.batches {
		if held == source {
			return true
		}
	}
	return false
}

// remoteAvailable returns the number of borrowed tokens that can be lent on.
func (k *Keeper) remoteAvailable(now time.Time) int64 {
	var sum int64
	for _, r := range k.remotes {
		for _, held := range r.batches {
			if r.relendable(held, now) {
				sum += held.available()
			}
		}
	}
	return sum
}

// lendRemote lends on up to n tokens borrowed from other failure domains and
// returns how many it lent. The tokens keep the expiry of the batch that they came
// from.
func (k *Keeper) lendRemote(a *account, s *Sync, reply *Reply, n int64, now time.Time) int64 {
	var lent int64
	for _, r := range k.remotes {
		for _, held := range r.batches {
			part := min(n-lent, held.available())
			if part <= 0 || !r.relendable(held, now) {
				continue
			}
			held.lent += part
			lent += part
			k.addLoan(a, s, reply, &loan{tokens: part, source: held}, min(BatchLifetime, held.expires.Sub(now)), now)
		}
	}
	return lent
}

// borrowRemote returns the syncs that are due to other failure domains. They ask for
// the tokens that queued requests lack and, in advance, for the expected demand above
// the rate of this keeper's bucket. The amount is divided evenly among the domains that
// can be asked now.
func (k *Keeper) borrowRemote(now time.Time) []Envelope {
	available := k.remoteAvailable(now)
	shortage := k.shortage() - available
	prefetch := int64(k.excessDemand(now))
	ready := k.readyToBorrow(now)
	missing := max(0, shortage) + max(0, prefetch-available)
	var want, need int64
	if len(ready) > 0 && (shortage > 0 || available < prefetch/2) {
		count := int64(len(ready))
		want = (missing + count - 1) / count
		need = min(want, max(0, (shortage+count-1)/count))
	}
	var out []Envelope
	// Return the tokens that neither the expected demand nor queued requests need.
	surplus := available - prefetch - max(0, shortage+available)
	for _, r := range k.remotes {
		before := r.available()
		sync := k.pollRemote(r, now, want, need, surplus)
		surplus -= before - r.available()
		if sync != nil {
			out = append(out, Envelope{ToDomain: r.domain, Sync: sync})
		}
	}
	return out
}

// pollRemote returns the sync that is due to one other failure domain, if any: a
// repeated one, a request for want tokens, a return of up to surplus tokens or a
// report.
func (k *Keeper) pollRemote(r *remoteBorrower, now time.Time, want, need, surplus int64) *Sync {
	if r.pending != nil {
		if repeated := r.resend(now); repeated != nil || r.pending != nil {
			return repeated
		}
	}
	if now.Before(r.backoffUntil) {
		want, need = 0, 0
	}
	idle := now.Sub(r.lastSent) >= idleReturnInterval
	switch {
	case r.syncNow, want > 0:
	case idle && surplus > 0 && r.available() > 0:
		r.returnTokens(min(surplus, r.available()))
	case r.reportDue(now):
	default:
		return nil
	}
	r.syncNow = false
	return r.openSync(now, want, need, !now.Before(k.recoveryEnd))
}

// shortage returns the number of tokens that queued requests of the domain's VMs
// need beyond those that they may get from this keeper's bucket.
func (k *Keeper) shortage() int64 {
	var need, allowed int64
	for _, s := range k.queue {
		if !isDomain(s.Holder) {
			need += s.Need
			allowed += min(s.Need, max(0, k.headroom(s.Holder)))
		}
	}
	return need - min(allowed, k.bucket.wholeTokens())
}

// excessDemand returns the expected demand, in tokens, above the rate of this
// keeper's bucket during two report intervals, which cover the time that borrowing from
// another failure domain takes.
func (k *Keeper) excessDemand(now time.Time) float64 {
	if !k.config.Policy.Prefetch {
		return 0
	}
	span := 2 * k.bucket.limit.reportInterval()
	return max(0, k.demand.expectedWithin(now, span)-k.bucket.limit.Rate*span.Seconds())
}

// readyToBorrow returns the remote borrowers that can ask for tokens now.
func (k *Keeper) readyToBorrow(now time.Time) []*remoteBorrower {
	var list []*remoteBorrower
	for _, r := range k.remotes {
		if r.pending == nil && !now.Before(r.backoffUntil) {
			list = append(list, r)
		}
	}
	return list
}
