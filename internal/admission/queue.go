package admission

import (
	"slices"
	"time"
)

// waiter is one queued request.
type waiter struct {
	workspace string
	// latestStart is the last moment at which starting the request makes sense.
	latestStart time.Time
	// settled gets exactly one verdict; its capacity is 1, so sending never blocks.
	settled chan verdict
}

// verdict is either a slot or a refusal.
type verdict struct {
	slot    slotID
	refusal Refusal
}

// lane holds the queued requests of one workspace in order of arrival.
type lane struct {
	workspace string
	waiters   []*waiter
}

// fairQueue is a bounded queue that serves the workspaces in turn.
type fairQueue struct {
	bound  int
	length int
	lanes  map[string]*lane
	// turns lists the lanes that are not empty, the next to be served first.
	turns []*lane
}

func newFairQueue(bound int) fairQueue {
	return fairQueue{bound: bound, lanes: make(map[string]*lane)}
}

// push appends w to its workspace's lane. The caller has made room.
func (q *fairQueue) push(w *waiter) {
	l := q.lanes[w.workspace]
	if l == nil {
		l = &lane{workspace: w.workspace}
		q.lanes[w.workspace] = l
		q.turns = append(q.turns, l)
	}
	l.waiters = append(l.waiters, w)
	q.length++
}

// pop returns the next waiter in turn, or nil.
func (q *fairQueue) pop() *waiter {
	if len(q.turns) == 0 {
		return nil
	}
	l := q.turns[0]
	w := l.waiters[0]
	q.remove(w)
	if len(l.waiters) > 0 {
		q.turns = append(slices.Delete(q.turns, 0, 1), l)
	}
	return w
}

// remove takes w out and reports whether it was queued.
func (q *fairQueue) remove(w *waiter) bool {
	l := q.lanes[w.workspace]
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
		delete(q.lanes, w.workspace)
		q.turns = slices.DeleteFunc(q.turns, func(t *lane) bool { return t == l })
	}
	return true
}

// makeRoom makes room for one request of the workspace. In a full queue the newest
// request of the longest lane gives way, if that lane stays at least as long as the
// workspace's own; it is returned for refusal.
func (q *fairQueue) makeRoom(workspace string) (pushedOut *waiter, ok bool) {
	if q.length < q.bound {
		return nil, true
	}
	longest := q.longest()
	if longest == nil || len(longest.waiters) <= q.lengthOf(workspace)+1 {
		return nil, false
	}
	pushedOut = longest.waiters[len(longest.waiters)-1]
	q.remove(pushedOut)
	return pushedOut, true
}

func (q *fairQueue) longest() *lane {
	var longest *lane
	for _, l := range q.turns {
		if longest == nil || len(l.waiters) > len(longest.waiters) {
			longest = l
		}
	}
	return longest
}

func (q *fairQueue) lengthOf(workspace string) int {
	l := q.lanes[workspace]
	if l == nil {
		return 0
	}
	return len(l.waiters)
}

// ahead returns how many queued requests are served before one that has the given
// number of its own workspace's requests before it.
func (q *fairQueue) ahead(workspace string, own int) int {
	total := own
	for _, l := range q.turns {
		if l.workspace != workspace {
			total += min(len(l.waiters), own+1)
		}
	}
	return total
}

// aheadOf returns how many queued requests are served before w.
func (q *fairQueue) aheadOf(w *waiter) int {
	l := q.lanes[w.workspace]
	if l == nil {
		return 0
	}
	return q.ahead(w.workspace, max(0, slices.Index(l.waiters, w)))
}

// all returns every waiter.
func (q *fairQueue) all() []*waiter {
	list := make([]*waiter, 0, q.length)
	for _, l := range q.turns {
		list = append(list, l.waiters...)
	}
	return list
}
