package forward

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that waits for a permit for one backend server.
type waiter struct {
	priority int // priority of the request; 0 is the highest
	deadline time.Duration
	// ready is closed when the request has the permit, or when it gets none because the
	// backend server was removed or should receive no request now.
	ready chan struct{}
	// hasPermit is set if the request has the permit. It is set before ready is closed.
	hasPermit bool
}

// queue holds the waiters of one backend server, by priority and deadline. It is for
// bursts at the owner of a key: each VM has few permits there, and requests that would
// be rejected for lack of one are served a moment later.
type queue []*waiter

// push inserts a waiter at its place in the order of compareWaiters.
func (q *queue) push(w *waiter) {
	index, _ := slices.BinarySearchFunc(*q, w, compareWaiters)
	*q = slices.Insert(*q, index, w)
}

// compareWaiters orders waiters by priority, and by deadline within a priority.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.deadline, b.deadline))
}

// ahead returns the number of waiters that would be served before w.
func (q queue) ahead(w *waiter) int {
	index, _ := slices.BinarySearchFunc(q, w, compareWaiters)
	return index
}

// pop removes and returns the first waiter, or nil if there is none.
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

// wakeAll removes all waiters without a permit.
func (q *queue) wakeAll() {
	for w := q.pop(); w != nil; w = q.pop() {
		close(w.ready)
	}
}
