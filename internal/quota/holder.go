package quota

import (
	"slices"
	"sync"
	"time"
)

// Outcome is the result of Take.
type Outcome int

// The outcomes of Take.
const (
	// Refused means that no token was spent.
	Refused Outcome = iota
	// Granted means that one token was spent.
	Granted
	// Waiting means that the decision follows on Decision.Wait.
	Waiting
)

// maxWaiting bounds the requests of one workspace that wait for a batch.
const maxWaiting = 4096

// Decision is the answer to one request.
type Decision struct {
	Outcome Outcome
	// RetryAfter is set when refused.
	RetryAfter time.Duration
	// Wait receives exactly one decision, granted or refused, when Outcome is
	// Waiting. It arrives within Policy.MaxWait if Poll is called when due.
	Wait <-chan Decision
}

// Holder spends borrowed tokens on one VM. It is safe for concurrent use.
type Holder struct {
	vm       string
	domain   string
	instance uint64
	policy   Policy
	wake     chan struct{}

	mu      sync.RWMutex
	entries map[string]*entry
}

// entry is the state of one workspace on the VM.
type entry struct {
	mu       sync.Mutex
	borrower borrower
	demand   demand
	waiters  []waiter
	// ask is set by a request that found no token under a policy without waiting.
	ask bool
	// urgent is set when a new keeper has asked for the batches held.
	urgent bool
}

type waiter struct {
	result   chan Decision
	deadline time.Time
}

// NewHolder returns the holder of a VM. The instance differs between processes
// that run under the same VM name.
func NewHolder(vm, domain string, instance uint64, policy Policy) *Holder {
	return &Holder{
		vm: vm, domain: domain, instance: instance, policy: policy,
		wake:    make(chan struct{}, 1),
		entries: make(map[string]*entry),
	}
}

// Wake receives a value when Poll should be called before the time it returned.
func (h *Holder) Wake() <-chan struct{} { return h.wake }

func (h *Holder) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Holder) entry(workspace string) *entry {
	h.mu.RLock()
	found := h.entries[workspace]
	h.mu.RUnlock()
	if found != nil {
		return found
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if found = h.entries[workspace]; found == nil {
		found = &entry{borrower: newBorrower(workspace, h.vm, h.instance)}
		h.entries[workspace] = found
	}
	return found
}

// Forget drops a deleted workspace and refuses its waiting requests.
func (h *Holder) Forget(workspace string) {
	h.mu.Lock()
	found := h.entries[workspace]
	delete(h.entries, workspace)
	h.mu.Unlock()
	if found == nil {
		return
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	found.refuseWaiters(RetryAfterUnknown)
	found.borrower.batches = nil
}

// Take spends one token of the workspace for one request.
func (h *Holder) Take(workspace string, now time.Time) Decision {
	e := h.entry(workspace)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.demand.add(now, 1)
	if len(e.waiters) == 0 && e.borrower.spendOne(now) {
		if h.policy.Prefetch && e.low(now) {
			h.signal()
		}
		return Decision{Outcome: Granted}
	}
	if now.Before(e.borrower.dryUntil) {
		return Decision{RetryAfter: e.borrower.retryAt.Sub(now)}
	}
	h.signal()
	if h.policy.MaxWait == 0 {
		e.ask = true
		return Decision{RetryAfter: minWindow}
	}
	if len(e.waiters) >= maxWaiting {
		return Decision{RetryAfter: RetryAfterUnknown}
	}
	result := make(chan Decision, 1)
	e.waiters = append(e.waiters, waiter{result: result, deadline: now.Add(h.policy.MaxWait)})
	return Decision{Outcome: Waiting, Wait: result}
}

// target is the number of tokens to have at hand. Below one expected request the
// VM borrows only for waiting requests, which leaves scarce tokens in the bucket.
func (e *entry) target(now time.Time) int64 {
	return int64(e.demand.within(now, 2*e.borrower.window))
}

// prefetchFrom spaces syncs that only fetch ahead, since a keeper without tokens
// would otherwise be asked again with each round trip.
func (e *entry) prefetchFrom() time.Time {
	return e.borrower.lastSent.Add(e.borrower.window / 4)
}

func (e *entry) low(now time.Time) bool {
	return e.borrower.pending == nil && e.borrower.available() < e.target(now)/2
}

// Poll returns the messages that are due and the time of the next call; the zero
// time means that only Wake starts the next one.
func (h *Holder) Poll(now time.Time) ([]Envelope, time.Time) {
	var out []Envelope
	var next time.Time
	for _, e := range h.all() {
		e.mu.Lock()
		if sync := e.poll(now, h.policy); sync != nil {
			out = append(out, Envelope{ToDomain: h.domain, Sync: sync})
		}
		next = earliest(next, e.next(now, h.policy))
		e.mu.Unlock()
	}
	return out, next
}

func (h *Holder) all() []*entry {
	h.mu.RLock()
	defer h.mu.RUnlock()
	list := make([]*entry, 0, len(h.entries))
	for _, e := range h.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		if a.borrower.workspace < b.borrower.workspace {
			return -1
		}
		return 1
	})
	return list
}

func (e *entry) poll(now time.Time, policy Policy) *Sync {
	e.borrower.expire(now)
	e.refuseOverdue(now)
	if e.borrower.pending != nil {
		if again := e.borrower.resend(now); again != nil || e.borrower.pending != nil {
			return again
		}
	}
	return e.open(now, policy)
}

func (e *entry) open(now time.Time, policy Policy) *Sync {
	target := e.target(now)
	available := e.borrower.available()
	need := int64(len(e.waiters))
	dry := now.Before(e.borrower.dryUntil)
	ask := e.ask && !dry
	want := max(0, need+target-available)
	reportDue := now.Sub(e.borrower.lastSent) >= e.borrower.window
	switch {
	case e.urgent, need > 0 && !dry:
	case ask:
		want = max(1, want)
	case policy.Prefetch && !dry && available < target/2 && !now.Before(e.prefetchFrom()):
	case policy.ReturnIdle && available > 2*target && !now.Before(e.borrower.lastSent.Add(idleInterval)):
		e.borrower.giveBack(available - target)
	case reportDue && e.borrower.unreported && policy.Prefetch:
	case reportDue && e.borrower.unreported:
		want = 0
	default:
		return nil
	}
	if dry {
		want, need = 0, 0
	}
	e.ask = false
	e.urgent = false
	return e.borrower.open(now, want, need, true)
}

func (e *entry) next(now time.Time, policy Policy) time.Time {
	next := e.borrower.wake()
	if len(e.waiters) > 0 {
		next = earliest(next, e.waiters[0].deadline)
		if now.Before(e.borrower.dryUntil) {
			next = earliest(next, e.borrower.dryUntil)
		}
	}
	if policy.Prefetch && e.low(now) {
		next = earliest(next, maxTime(e.prefetchFrom(), e.borrower.dryUntil))
	}
	if policy.ReturnIdle && e.borrower.pending == nil && e.borrower.available() > 0 {
		next = earliest(next, maxTime(e.borrower.lastSent.Add(idleInterval), now.Add(minWindow)))
	}
	return next
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HandleReply takes a keeper's reply and decides waiting requests.
func (h *Holder) HandleReply(reply Reply, now time.Time) {
	e := h.entry(reply.Workspace)
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.borrower.term
	accepted := e.borrower.accept(reply, now)
	if e.borrower.term != before {
		e.urgent = true
		h.signal()
	}
	if !accepted {
		return
	}
	e.refuseOverdue(now)
	for len(e.waiters) > 0 && e.borrower.spendOne(now) {
		e.decideFirst(Decision{Outcome: Granted})
	}
	if reply.RetryAfter > 0 {
		e.refuseWaiters(reply.RetryAfter)
	}
	if len(e.waiters) > 0 || e.low(now) {
		h.signal()
	}
}

// HandleAsk answers a new keeper with the next Poll.
func (h *Holder) HandleAsk(ask Ask, now time.Time) {
	e := h.entry(ask.Workspace)
	e.mu.Lock()
	defer e.mu.Unlock()
	if ask.Term < e.borrower.term {
		return
	}
	e.borrower.adopt(ask.Term)
	e.urgent = true
	h.signal()
}

func (e *entry) decideFirst(d Decision) {
	e.waiters[0].result <- d
	e.waiters = e.waiters[1:]
}

func (e *entry) refuseWaiters(retryAfter time.Duration) {
	for len(e.waiters) > 0 {
		e.decideFirst(Decision{RetryAfter: retryAfter})
	}
}

func (e *entry) refuseOverdue(now time.Time) {
	for len(e.waiters) > 0 && !now.Before(e.waiters[0].deadline) {
		e.decideFirst(Decision{RetryAfter: RetryAfterUnknown})
	}
}
