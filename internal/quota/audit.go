package quota

import "time"

// auditTolerance allows for rounding in the audit's own sums.
const auditTolerance = 1e-6

// Audit checks the bound of one workspace. Spending stays within rate x window +
// burst over every window exactly if a full token bucket of that rate and burst,
// from which each spending is taken, never falls below zero.
type Audit struct {
	limit Limit
	level float64
	last  time.Time
}

// NewAudit returns an audit with a full bucket.
func NewAudit(limit Limit, now time.Time) *Audit {
	return &Audit{limit: limit, level: float64(limit.Burst), last: now}
}

// SetLimit changes the limit. A lower one is set only after the batches lent
// under the higher one have expired.
func (a *Audit) SetLimit(limit Limit, now time.Time) {
	a.Level(now)
	a.limit = limit
	a.level = min(a.level, float64(limit.Burst))
}

// Level returns the tokens that the workspace could still spend. A request that
// is refused at a level of one or more is refused wrongfully.
func (a *Audit) Level(now time.Time) float64 {
	if elapsed := now.Sub(a.last); elapsed > 0 {
		a.level = min(float64(a.limit.Burst), a.level+a.limit.Rate*elapsed.Seconds())
		a.last = now
	}
	return a.level
}

// Spend records one token spent and reports whether the bound still holds.
func (a *Audit) Spend(now time.Time) bool {
	a.Level(now)
	a.level--
	return a.level >= -auditTolerance
}
