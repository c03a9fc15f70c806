package quota

import (
	"math"
	"time"
)

// bucket is a token bucket that counts lent tokens against its burst.
type bucket struct {
	limit Limit
	level float64
	// lent counts tokens that holders may still spend or have not reported.
	lent int64
	// assumed stands for tokens lent by the former keeper that are not known yet.
	assumed int64
	last    time.Time
}

// accrue adds the tokens of the time since the last call. Callers accrue up to
// each expiry before they release the batch: crediting that time to the room which
// the expiry makes would allow the batch and its replacement within one window.
func (b *bucket) accrue(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.level = min(b.level+b.limit.Rate*elapsed.Seconds(), max(b.level, b.room()))
	b.clip()
}

func (b *bucket) room() float64 {
	return math.Max(0, float64(b.limit.Burst-b.lent-b.assumed))
}

func (b *bucket) clip() { b.level = min(b.level, b.room()) }

func (b *bucket) whole() int64 { return int64(b.level) }

func (b *bucket) lend(n int64) {
	b.level -= float64(n)
	b.lent += n
}

// untilToken estimates the time until n more whole tokens are there.
func (b *bucket) untilToken(n int64) time.Duration {
	if b.limit.Rate <= 0 {
		return RetryAfterUnknown
	}
	missing := float64(b.whole()+n) - b.level
	wait := time.Duration(math.Ceil(missing / b.limit.Rate * float64(time.Second)))
	if b.room() < 1 {
		wait += b.limit.window()
	}
	return max(wait, time.Millisecond)
}
