package quota

import "time"

// draw is the account of this keeper with the keeper of another failure domain.
type draw struct {
	borrower
	domain string
	urgent bool
}

func (k *Keeper) newDraw(domain string) *draw {
	holder := DomainHolder(k.config.Domain)
	return &draw{borrower: newBorrower(k.config.Workspace, holder, k.config.Instance), domain: domain}
}

func (d *draw) handle(reply Reply, now time.Time) {
	before := d.term
	d.accept(reply, now)
	if d.term != before {
		d.urgent = true
	}
}

func (d *draw) usable(held *batch, now time.Time) bool {
	return held.available() > 0 && held.expires.Sub(now) >= minLifetime
}

// drawer returns the account that the batch belongs to.
func (k *Keeper) drawer(source *batch) *draw {
	for _, d := range k.draws {
		if d.owns(source) {
			return d
		}
	}
	return &draw{}
}

func (d *draw) owns(source *batch) bool {
	for _, held := range d.batches {
		if held == source {
			return true
		}
	}
	return false
}

func (k *Keeper) drawnAvailable(now time.Time) int64 {
	var sum int64
	for _, d := range k.draws {
		for _, held := range d.batches {
			if d.usable(held, now) {
				sum += held.available()
			}
		}
	}
	return sum
}

// lendDrawn lends up to n drawn tokens on and returns how many it lent. They keep
// the expiry of the batch that they came from.
func (k *Keeper) lendDrawn(a *account, s *Sync, reply *Reply, n int64, now time.Time) int64 {
	var lent int64
	for _, d := range k.draws {
		for _, held := range d.batches {
			part := min(n-lent, held.available())
			if part <= 0 || !d.usable(held, now) {
				continue
			}
			held.lent += part
			lent += part
			k.addLoan(a, s, reply, &loan{tokens: part, source: held}, min(BatchLifetime, held.expires.Sub(now)), now)
		}
	}
	return lent
}

// drawMore sends the syncs that are due to other failure domains: what queued
// requests lack, and ahead of them the demand above the own rate.
func (k *Keeper) drawMore(now time.Time) []Envelope {
	stock := k.drawnAvailable(now)
	shortage := k.shortage() - stock
	ahead := int64(k.excess(now))
	asking := k.eligible(now)
	missing := max(0, shortage) + max(0, ahead-stock)
	var share, need int64
	if len(asking) > 0 && (shortage > 0 || stock < ahead/2) {
		count := int64(len(asking))
		share = (missing + count - 1) / count
		need = min(share, max(0, (shortage+count-1)/count))
	}
	var out []Envelope
	surplus := stock - ahead - max(0, shortage+stock)
	for _, d := range k.draws {
		before := d.available()
		sync := k.pollDraw(d, now, share, need, surplus)
		surplus -= before - d.available()
		if sync != nil {
			out = append(out, Envelope{ToDomain: d.domain, Sync: sync})
		}
	}
	return out
}

func (k *Keeper) pollDraw(d *draw, now time.Time, share, need, surplus int64) *Sync {
	if d.pending != nil {
		if again := d.resend(now); again != nil || d.pending != nil {
			return again
		}
	}
	if now.Before(d.dryUntil) {
		share, need = 0, 0
	}
	idle := now.Sub(d.lastSent) >= idleInterval
	switch {
	case d.urgent, share > 0:
	case idle && surplus > 0 && d.available() > 0:
		d.giveBack(min(surplus, d.available()))
	case d.reportDue(now):
	default:
		return nil
	}
	d.urgent = false
	return d.open(now, share, need, !now.Before(k.recoveryEnd))
}

// shortage is what queued requests need beyond the part of the own level that
// their holders may have.
func (k *Keeper) shortage() int64 {
	var need, allowed int64
	for _, s := range k.queue {
		if !isDomain(s.Holder) {
			need += s.Need
			allowed += min(s.Need, max(0, k.headroom(s.Holder)))
		}
	}
	return need - min(allowed, k.bucket.whole())
}

// excess is the expected demand above the own rate in the time that a draw takes.
func (k *Keeper) excess(now time.Time) float64 {
	if !k.config.Policy.Prefetch {
		return 0
	}
	span := 2 * k.bucket.limit.window()
	return max(0, k.demand.within(now, span)-k.bucket.limit.Rate*span.Seconds())
}

func (k *Keeper) eligible(now time.Time) []*draw {
	var list []*draw
	for _, d := range k.draws {
		if d.pending == nil && !now.Before(d.dryUntil) {
			list = append(list, d)
		}
	}
	return list
}
