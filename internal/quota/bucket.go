package quota

import (
	"math"
	"time"
)

// bucket is a token bucket that counts lent tokens against its burst: the level is
// kept at or below burst - lent - assumed, and never below zero.
type bucket struct {
	limit Limit
	level float64
	// lent counts tokens that holders may still spend or have not yet reported.
	lent int64
	// assumed is an upper estimate of the tokens lent by the previous keeper that no
	// holder has reported yet.
	assumed     int64
	lastAccrual time.Time
}

// accrue adds the tokens that the rate yields since the last call. Callers accrue
// up to the expiry of a batch before they release it. Otherwise the time before the
// expiry would fill the capacity that the expiry frees, and both the batch and its
// replacement could be spent within one window.
func (b *bucket) accrue(now time.Time) {
	elapsed := now.Sub(b.lastAccrual)
	if elapsed <= 0 {
		return
	}
	b.lastAccrual = now
	b.level = min(b.level+b.limit.Rate*elapsed.Seconds(), max(b.level, b.maxLevel()))
	b.clampLevel()
}

// maxLevel returns the part of the burst that is neither lent nor assumed lent.
func (b *bucket) maxLevel() float64 {
	return math.Max(0, float64(b.limit.Burst-b.lent-b.assumed))
}

// clampLevel drops tokens above maxLevel.
func (b *bucket) clampLevel() { b.level = min(b.level, b.maxLevel()) }

// wholeTokens returns the level rounded down, since only whole tokens are lent.
func (b *bucket) wholeTokens() int64 { return int64(b.level) }

// lend moves n tokens from the level to the lent amount.
func (b *bucket) lend(n int64) {
	b.level -= float64(n)
	b.lent += n
}

// untilToken estimates the time until the level has risen by n whole tokens. While
// every token is lent it adds one report interval, the time for tokens to return.
func (b *bucket) untilToken(n int64) time.Duration {
	if b.limit.Rate <= 0 {
		return RetryAfterUnknown
	}
	missing := float64(b.wholeTokens()+n) - b.level
	wait := time.Duration(math.Ceil(missing / b.limit.Rate * float64(time.Second)))
	if b.maxLevel() < 1 {
		wait += b.limit.reportInterval()
	}
	return max(wait, time.Millisecond)
}
