package forward

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that waits for a place at one backend server.
type waiter struct {
	priority int // rank of the request; 0 is the most important
	deadline time.Duration
	// ready is closed when the request has the place, or should look again.
	ready chan struct{}
	// placed tells that the place is the request's. It is set before ready is closed.
	placed bool
}

// queue holds the waiters of one backend server. It answers bursts at the owner of a
// key: each VM has few places there, and requests that would be rejected for want of
// one are served a moment later.
type queue []*waiter

// push adds a waiter: behind more important ones, and among equals by deadline.
func (q *queue) push(w *waiter) {
	at, _ := slices.BinarySearchFunc(*q, w, compareWaiters)
	*q = slices.Insert(*q, at, w)
}

func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.deadline, b.deadline))
}

// ahead is the number of waiters that are served before a new one.
func (q queue) ahead(w *waiter) int {
	at, _ := slices.BinarySearchFunc(q, w, compareWaiters)
	return at
}

// pop removes the first waiter; nil if there is none.
func (q *queue) pop() *waiter {
	if len(*q) == 0 {
		return nil
	}
	w := (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return w
}

// remove removes a waiter that gave up.
func (q *queue) remove(w *waiter) {
	*q = slices.DeleteFunc(*q, func(other *waiter) bool { return other == w })
}
