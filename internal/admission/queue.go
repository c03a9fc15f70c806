package admission

import (
	"slices"
	"time"
)

// waiter is one queued request.
type waiter struct {
	workspace string
	// latestStart is the latest time at which the request may start.
	latestStart time.Time
	// decided receives exactly one decision, unless the waiter is withdrawn from the
	// queue. Its capacity is 1, so sending never blocks.
	decided chan decision
}

// decision is the result of waiting in the queue: either a slot or a refusal.
type decision struct {
	slot    slotID
	refusal Refusal
}

// workspaceQueue holds the queued requests of one workspace in order of arrival.
type workspaceQueue struct {
	workspace string
	waiters   []*waiter
}

// fairQueue is a bounded queue that serves the workspaces round robin.
type fairQueue struct {
	bound       int
	length      int
	byWorkspace map[string]*workspaceQueue
	// rotation lists the workspace queues, none of them empty, in the order in which
	// they are served next.
	rotation []*workspaceQueue
}

func newFairQueue(bound int) fairQueue {
	return fairQueue{bound: bound, byWorkspace: make(map[string]*workspaceQueue)}
}

// push appends w to the queue of its workspace. The caller must have made room.
func (q *fairQueue) push(w *waiter) {
	l := q.byWorkspace[w.workspace]
	if l == nil {
		l = &workspaceQueue{workspace: w.workspace}
		q.byWorkspace[w.workspace] = l
		q.rotation = append(q.rotation, l)
	}
	l.waiters = append(l.waiters, w)
	q.length++
}

// pop removes and returns the waiter to serve next, or nil if there is none.
func (q *fairQueue) pop() *waiter {
	if len(q.rotation) == 0 {
		return nil
	}
	l := q.rotation[0]
	w := l.waiters[0]
	q.remove(w)
	if len(l.waiters) > 0 {
		q.rotation = append(slices.Delete(q.rotation, 0, 1), l)
	}
	return w
}

// remove removes w and reports whether it was queued.
func (q *fairQueue) remove(w *waiter) bool {
	l := q.byWorkspace[w.workspace]
	if l == nil {
		return false
	}
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	q.length--
	if len(l.waiters) == 0 {
		delete(q.byWorkspace, w.workspace)
		q.rotation = slices.DeleteFunc(q.rotation, func(t *workspaceQueue) bool { return t == l })
	}
	return true
}

// makeRoom makes room for one more request of the workspace. If the queue is full,
// it removes the newest request of the workspace with the longest queue, and
// returns it to be refused. It returns false if that queue would then be shorter
// than the queue of the given workspace with its new request.
func (q *fairQueue) makeRoom(workspace string) (evicted *waiter, ok bool) {
	if q.length < q.bound {
		return nil, true
	}
	longest := q.longest()
	if longest == nil || len(longest.waiters) <= q.lengthOf(workspace)+1 {
		return nil, false
	}
	evicted = longest.waiters[len(longest.waiters)-1]
	q.remove(evicted)
	return evicted, true
}

func (q *fairQueue) longest() *workspaceQueue {
	var longest *workspaceQueue
	for _, l := range q.rotation {
		if longest == nil || len(l.waiters) > len(longest.waiters) {
			longest = l
		}
	}
	return longest
}

func (q *fairQueue) lengthOf(workspace string) int {
	l := q.byWorkspace[workspace]
	if l == nil {
		return 0
	}
	return len(l.waiters)
}

// ahead returns how many queued requests are served before a request of the
// workspace, own of which belong to the same workspace. It assumes that in each round
// all other workspaces are served first, so the result may be too high.
func (q *fairQueue) ahead(workspace string, own int) int {
	total := own
	for _, l := range q.rotation {
		if l.workspace != workspace {
			total += min(len(l.waiters), own+1)
		}
	}
	return total
}

// aheadOf returns how many queued requests are served before w.
func (q *fairQueue) aheadOf(w *waiter) int {
	l := q.byWorkspace[w.workspace]
	if l == nil {
		return 0
	}
	return q.ahead(w.workspace, max(0, slices.Index(l.waiters, w)))
}

// all returns the waiters of all workspaces.
func (q *fairQueue) all() []*waiter {
	list := make([]*waiter, 0, q.length)
	for _, l := range q.rotation {
		list = append(list, l.waiters...)
	}
	return list
}
