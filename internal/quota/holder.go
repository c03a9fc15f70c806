package quota

import (
	"slices"
	"sync"
	"time"
)

// Outcome is the result of Holder.Take.
type Outcome int

// The outcomes of Holder.Take.
const (
	// Refused means that no token was spent.
	Refused Outcome = iota
	// Granted means that one token was spent.
	Granted
	// Waiting means that the decision will be sent on Decision.Wait.
	Waiting
)

// maxWaiting is the largest number of requests of one workspace that wait on one VM.
const maxWaiting = 4096

// Decision tells whether one request may run.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the time after which a refused request may find a token.
	RetryAfter time.Duration
	// Wait receives exactly one decision, granted or refused, when Outcome is
	// Waiting. It arrives within Policy.MaxWait if Poll is called when it is due.
	Wait <-chan Decision
}

// Holder borrows tokens from the keepers of its failure domain and spends them on one
// VM. It is safe for concurrent use.
type Holder struct {
	vm       string
	domain   string
	instance uint64
	policy   Policy
	wake     chan struct{}

	mu         sync.RWMutex
	workspaces map[string]*workspaceState
}

// workspaceState is a holder's state of one workspace.
type workspaceState struct {
	mu       sync.Mutex
	borrower borrower
	demand   demand
	waiters  []waiter
	// wantsBatch is set when a request found no token under a policy without waiting.
	wantsBatch bool
	// syncNow is set when a new keeper needs a report of the batches at once.
	syncNow bool
}

// waiter is a request that waits for a token until its deadline.
type waiter struct {
	result   chan Decision
	deadline time.Time
}

// NewHolder returns the holder of the VM in the failure domain. The instance differs
// between processes that run under the same VM name.
func NewHolder(vm, domain string, instance uint64, policy Policy) *Holder {
	return &Holder{
		vm: vm, domain: domain, instance: instance, policy: policy,
		wake:       make(chan struct{}, 1),
		workspaces: make(map[string]*workspaceState),
	}
}

// Wake returns a channel that receives a value when Poll should be called before the
// time that it returned last.
func (h *Holder) Wake() <-chan struct{} { return h.wake }

// signalWake makes Wake receive a value; it doesn't block.
func (h *Holder) signalWake() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// workspaceState returns the state of the workspace and creates it if there is none.
func (h *Holder) workspaceState(workspace string) *workspaceState {
	h.mu.RLock()
	found := h.workspaces[workspace]
	h.mu.RUnlock()
	if found != nil {
		return found
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if found = h.workspaces[workspace]; found == nil {
		found = &workspaceState{borrower: newBorrower(workspace, h.vm, h.instance)}
		h.workspaces[workspace] = found
	}
	return found
}

// Forget removes the state of a deleted workspace, drops its tokens and refuses its
// waiting requests.
func (h *Holder) Forget(workspace string) {
	h.mu.Lock()
	found := h.workspaces[workspace]
	delete(h.workspaces, workspace)
	h.mu.Unlock()
	if found == nil {
		return
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	found.refuseWaiters(RetryAfterUnknown)
	found.borrower.batches = nil
}

// Take spends one token of the workspace for one request. If the VM has none, the
// request waits for a batch or is refused, as the policy says.
func (h *Holder) Take(workspace string, now time.Time) Decision {
	w := h.workspaceState(workspace)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.demand.add(now, 1)
	if len(w.waiters) == 0 && w.borrower.spendOne(now) {
		if h.policy.Prefetch && w.needsPrefetch(now) {
			h.signalWake()
		}
		return Decision{Outcome: Granted}
	}
	if now.Before(w.borrower.backoffUntil) {
		return Decision{RetryAfter: w.borrower.retryAt.Sub(now)}
	}
	h.signalWake()
	if h.policy.MaxWait == 0 {
		w.wantsBatch = true
		return Decision{RetryAfter: minReportInterval}
	}
	if len(w.waiters) >= maxWaiting {
		return Decision{RetryAfter: RetryAfterUnknown}
	}
	result := make(chan Decision, 1)
	w.waiters = append(w.waiters, waiter{result: result, deadline: now.Add(h.policy.MaxWait)})
	return Decision{Outcome: Waiting, Wait: result}
}

// prefetchTarget returns the number of tokens that the VM should have in advance: those
// that it expects to spend in two report intervals. While it expects less than one
// request, it borrows only for waiting requests, which leaves scarce tokens in the
// bucket.
func (w *workspaceState) prefetchTarget(now time.Time) int64 {
	return int64(w.demand.expectedWithin(now, 2*w.borrower.reportInterval))
}

// nextPrefetch returns the earliest time of the next sync that only prefetches. The
// pause after the last sync keeps a keeper without tokens from being asked again after
// each round trip.
func (w *workspaceState) nextPrefetch() time.Time {
	return w.borrower.lastSent.Add(w.borrower.reportInterval / 4)
}

// needsPrefetch reports whether the VM has less than half of its prefetch target and
// no sync is pending.
func (w *workspaceState) needsPrefetch(now time.Time) bool {
	return w.borrower.pending == nil && w.borrower.available() < w.prefetchTarget(now)/2
}

// Poll returns the messages that are due at now and the time of the next call. The
// zero time means that the next call is due only when Wake receives a value.
func (h *Holder) Poll(now time.Time) ([]Envelope, time.Time) {
	var out []Envelope
	var next time.Time
	for _, w := range h.sortedWorkspaces() {
		w.mu.Lock()
		if sync := w.poll(now, h.policy); sync != nil {
			out = append(out, Envelope{ToDomain: h.domain, Sync: sync})
		}
		next = earliest(next, w.nextPoll(now, h.policy))
		w.mu.Unlock()
	}
	return out, next
}

// sortedWorkspaces returns the states of all workspaces, ordered by name, so that the
// order of Poll's messages is deterministic.
func (h *Holder) sortedWorkspaces() []*workspaceState {
	h.mu.RLock()
	defer h.mu.RUnlock()
	states := make([]*workspaceState, 0, len(h.workspaces))
	for _, w := range h.workspaces {
		states = append(states, w)
	}
	slices.SortFunc(states, func(a, b *workspaceState) int {
		if a.borrower.workspace < b.borrower.workspace {
			return -1
		}
		return 1
	})
	return states
}

// poll returns the sync that is due, if any, after it has expired old batches and
// refused overdue requests.
func (w *workspaceState) poll(now time.Time, policy Policy) *Sync {
	w.borrower.expireBatches(now)
	w.refuseOverdue(now)
	if w.borrower.pending != nil {
		if repeated := w.borrower.resend(now); repeated != nil || w.borrower.pending != nil {
			return repeated
		}
	}
	return w.openSync(now, policy)
}

// openSync returns a new sync if there is a reason to send one: a new keeper, waiting
// requests, a need to prefetch, idle tokens to return or unreported changes. Under a
// policy that prefetches, a sync with unreported changes asks for tokens too. During
// backoff a sync only reports.
func (w *workspaceState) openSync(now time.Time, policy Policy) *Sync {
	target := w.prefetchTarget(now)
	available := w.borrower.available()
	need := int64(len(w.waiters))
	backingOff := now.Before(w.borrower.backoffUntil)
	wantsBatch := w.wantsBatch && !backingOff
	want := max(0, need+target-available)
	reportDue := now.Sub(w.borrower.lastSent) >= w.borrower.reportInterval
	switch {
	case w.syncNow, need > 0 && !backingOff:
	case wantsBatch:
		want = max(1, want)
	case policy.Prefetch && !backingOff && available < target/2 && !now.Before(w.nextPrefetch()):
	case policy.ReturnIdle && available > 2*target && !now.Before(w.borrower.lastSent.Add(idleReturnInterval)):
		w.borrower.returnTokens(available - target)
	case reportDue && w.borrower.unreported && policy.Prefetch:
	case reportDue && w.borrower.unreported:
		want = 0
	default:
		return nil
	}
	if backingOff {
		want, need = 0, 0
	}
	w.wantsBatch = false
	w.syncNow = false
	return w.borrower.openSync(now, want, need, true)
}

// nextPoll returns the time at which poll is due next, or the zero time.
func (w *workspaceState) nextPoll(now time.Time, policy Policy) time.Time {
	next := w.borrower.nextPoll()
	if len(w.waiters) > 0 {
		next = earliest(next, w.waiters[0].deadline)
		if now.Before(w.borrower.backoffUntil) {
			next = earliest(next, w.borrower.backoffUntil)
		}
	}
	if policy.Prefetch && w.needsPrefetch(now) {
		next = earliest(next, maxTime(w.nextPrefetch(), w.borrower.backoffUntil))
	}
	if policy.ReturnIdle && w.borrower.pending == nil && w.borrower.available() > 0 {
		next = earliest(next, maxTime(w.borrower.lastSent.Add(idleReturnInterval), now.Add(minReportInterval)))
	}
	return next
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HandleReply handles a keeper's reply. It grants waiting requests while there are
// tokens and refuses the others if the reply says when to retry.
func (h *Holder) HandleReply(reply Reply, now time.Time) {
	w := h.workspaceState(reply.Workspace)
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.borrower.term
	accepted := w.borrower.acceptReply(reply, now)
	if w.borrower.term != before {
		w.syncNow = true
		h.signalWake()
	}
	if !accepted {
		return
	}
	w.refuseOverdue(now)
	for len(w.waiters) > 0 && w.borrower.spendOne(now) {
		w.decideFirst(Decision{Outcome: Granted})
	}
	if reply.RetryAfter > 0 {
		w.refuseWaiters(reply.RetryAfter)
	}
	if len(w.waiters) > 0 || w.needsPrefetch(now) {
		h.signalWake()
	}
}

// HandleAsk handles the request of a new keeper for a report; the next Poll returns the
// report of all batches.
func (h *Holder) HandleAsk(ask Ask, now time.Time) {
	w := h.workspaceState(ask.Workspace)
	w.mu.Lock()
	defer w.mu.Unlock()
	if ask.Term < w.borrower.term {
		return
	}
	w.borrower.adoptTerm(ask.Term)
	w.syncNow = true
	h.signalWake()
}

// decideFirst sends the decision to the request that has waited longest.
func (w *workspaceState) decideFirst(d Decision) {
	w.waiters[0].result <- d
	w.waiters = w.waiters[1:]
}

func (w *workspaceState) refuseWaiters(retryAfter time.Duration) {
	for len(w.waiters) > 0 {
		w.decideFirst(Decision{RetryAfter: retryAfter})
	}
}

// refuseOverdue refuses the waiting requests whose deadline has passed.
func (w *workspaceState) refuseOverdue(now time.Time) {
	for len(w.waiters) > 0 && !now.Before(w.waiters[0].deadline) {
		w.decideFirst(Decision{RetryAfter: RetryAfterUnknown})
	}
}
