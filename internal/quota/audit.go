package quota

import "time"

// auditTolerance, in tokens, allows for rounding errors in Audit's sums.
const auditTolerance = 1e-6

// Audit checks that one workspace never spends more than its limit. Spending stays
// within rate x window + burst over every window if and only if a token bucket of
// that rate and burst, initially full and debited for each token spent, never falls
// below zero. It is not safe for concurrent use.
type Audit struct {
	limit      Limit
	level      float64
	lastUpdate time.Time
}

// NewAudit returns an audit of the limit whose bucket is full at now.
func NewAudit(limit Limit, now time.Time) *Audit {
	return &Audit{limit: limit, level: float64(limit.Burst), lastUpdate: now}
}

// SetLimit changes the limit. The caller sets a lower limit only after the batches
// lent under the higher one have expired.
func (a *Audit) SetLimit(limit Limit, now time.Time) {
	a.Level(now)
	a.limit = limit
	a.level = min(a.level, float64(limit.Burst))
}

// Level returns the number of tokens that the workspace may still spend at now. A
// request that is refused while the level is one or more is a wrongful refusal.
func (a *Audit) Level(now time.Time) float64 {
	if elapsed := now.Sub(a.lastUpdate); elapsed > 0 {
		a.level = min(float64(a.limit.Burst), a.level+a.limit.Rate*elapsed.Seconds())
		a.lastUpdate = now
	}
	return a.level
}

// Spend records one token spent at now and reports whether the limit still holds.
func (a *Audit) Spend(now time.Time) bool {
	a.Level(now)
	a.level--
	return a.level >= -auditTolerance
}
