package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// backoffBase is the longest wait before the second attempt.
	backoffBase = 5 * time.Millisecond
	// backoffMax bounds the wait before any attempt.
	backoffMax = 250 * time.Millisecond
)

// Backoff draws waits that double with each attempt. The whole wait is random, so
// that callers that failed together do not come back together. It is safe for
// concurrent use; its lock is a leaf.
type Backoff struct {
	mu     sync.Mutex
	random *rand.Rand
}

// NewBackoff returns a Backoff that uses random under its own lock.
func NewBackoff(random *rand.Rand) *Backoff { return &Backoff{random: random} }

// Wait returns the wait after the given number of attempts, from 1, and at least
// the time that the refusal asked for.
func (b *Backoff) Wait(attempts int, retryAfter time.Duration) time.Duration {
	ceiling := backoffBase
	for range attempts - 1 {
		ceiling = min(2*ceiling, backoffMax)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return retryAfter + time.Duration(b.random.Int64N(int64(ceiling)+1))
}
