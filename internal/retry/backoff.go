package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// backoffBase bounds the delay before the second attempt.
	backoffBase = 5 * time.Millisecond
	// backoffMax bounds the delay before any attempt.
	backoffMax = 250 * time.Millisecond
)

// Backoff computes random delays whose bound doubles with each attempt. The whole delay
// is random ("full jitter"), so that callers that failed together don't retry together.
// It is safe for concurrent use and acquires no other lock while it holds its own.
type Backoff struct {
	mu     sync.Mutex
	random *rand.Rand
}

// NewBackoff returns a Backoff. It guards random with its own lock; random must not be
// used elsewhere.
func NewBackoff(random *rand.Rand) *Backoff { return &Backoff{random: random} }

// Delay returns the delay after the given number of attempts, which is at least 1. The
// delay is retryAfter, the time that a rejection asked for, plus the random backoff.
func (b *Backoff) Delay(attempts int, retryAfter time.Duration) time.Duration {
	ceiling := backoffBase
	for range attempts - 1 {
		ceiling = min(2*ceiling, backoffMax)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return retryAfter + time.Duration(b.random.Int64N(int64(ceiling)+1))
}
