package quota

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// askInterval is the time after which holders that have not answered are asked
	// again.
	askInterval = 25 * time.Millisecond
	// accountIdleTimeout is the time after which the account of a silent holder
	// without loans is removed.
	accountIdleTimeout = 10 * time.Second
	// minRelendLifetime is the shortest remaining lifetime with which a batch from
	// another failure domain is lent on.
	minRelendLifetime = 20 * time.Millisecond
)

// KeeperConfig configures a new keeper.
type KeeperConfig struct {
	Workspace string
	Domain    string
	// Term increases with each keeper of the workspace in the domain. A process that
	// has lost its state never reuses a term.
	Term uint64
	// Instance differs from that of every other keeper process of the domain.
	Instance uint64
	// Limit is this domain's part of the workspace's limit; see Split.
	Limit Limit
	// VMs are the VMs of the domain that may hold tokens lent by the previous keeper.
	// A VM whose process is proved to have ended is left out.
	VMs []string
	// Domains are the other failure domains.
	Domains []string
	// LeaseUntil is the time on this VM's clock until which the lease of the keeper
	// role is valid. The previous keeper's lease has ended.
	LeaseUntil time.Time
	Policy     Policy
}

// Keeper holds the token bucket of one workspace in one failure domain. It is
// safe for concurrent use.
type Keeper struct {
	mu     sync.Mutex
	config KeeperConfig
	bucket bucket
	// accounts has one entry per holder process. lentTo counts the tokens of this
	// keeper's bucket that are lent to each holder name.
	accounts   map[accountKey]*account
	lentTo     map[string]int64
	nextExpiry time.Time
	// remotes borrow from the keepers of the other failure domains.
	remotes []*remoteBorrower
	// queue holds the syncs that wait for tokens; deadlines[i] belongs to queue[i].
	queue     []*Sync
	deadlines []time.Time
	// demand estimates the rate at which the VMs of this domain spend tokens, from the
	// tokens lent to them less those that they return.
	demand demand
	// unanswered is the set of holders that have not yet reported which tokens of the
	// previous keeper they have. recoveryEnd is the time at which all batches of the
	// previous keeper have expired.
	unanswered  map[string]bool
	recoveryEnd time.Time
	lastAsked   time.Time
	// lastCleanup is the time at which idle accounts were last removed.
	lastCleanup time.Time
}

// NewKeeper returns a keeper with an empty bucket. Until all batches of the previous
// keeper have expired, it assumes that each holder that has not answered has as many
// tokens as a holder may have.
func NewKeeper(config KeeperConfig, now time.Time) *Keeper {
	k := &Keeper{
		config:      config,
		bucket:      bucket{limit: config.Limit, lastAccrual: now},
		accounts:    make(map[accountKey]*account),
		lentTo:      make(map[string]int64),
		unanswered:  make(map[string]bool),
		recoveryEnd: now.Add(BatchLifetime + ClockMargin),
	}
	for _, vm := range config.VMs {
		k.unanswered[vm] = true
	}
	for _, domain := range config.Domains {
		k.unanswered[DomainHolder(domain)] = true
		k.remotes = append(k.remotes, k.newRemoteBorrower(domain))
	}
	k.updateAssumed()
	return k
}

// isDomain reports whether the holder is a failure domain rather than a VM.
func isDomain(holder string) bool { return strings.HasPrefix(holder, domainPrefix) }

// updateAssumed sets the number of tokens that unanswered holders may have, at most
// the burst.
func (k *Keeper) updateAssumed() {
	maxAssumed := int64(len(k.unanswered)) * k.bucket.limit.holderCap()
	k.bucket.assumed = min(maxAssumed, k.bucket.limit.Burst)
	k.bucket.clampLevel()
}

// advance updates the bucket and all batches to their state at now. When recovery
// has ended it accrues up to that time first, since the assumed tokens count until
// then.
func (k *Keeper) advance(now time.Time) {
	if len(k.unanswered) > 0 && !now.Before(k.recoveryEnd) {
		k.expireLoans(k.recoveryEnd)
		k.bucket.accrue(k.recoveryEnd)
		clear(k.unanswered)
		k.updateAssumed()
	}
	k.expireLoans(now)
	k.bucket.accrue(now)
	for _, r := range k.remotes {
		r.expireBatches(now)
	}
}

// SetLease sets the time until which the lease of the keeper role is valid.
func (k *Keeper) SetLease(until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.LeaseUntil = until
}

// SetLimit changes this domain's part of the rate and burst. Tokens above the new
// burst are dropped.
func (k *Keeper) SetLimit(limit Limit, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(now)
	k.bucket.limit = limit
	k.updateAssumed()
}

// HolderGone tells the keeper that the process of a VM is proved to have ended. Its
// unreported tokens then count as spent, and none of them can be spent later.
func (k *Keeper) HolderGone(vm string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(now)
	delete(k.unanswered, vm)
	k.updateAssumed()
	for key, a := range k.accounts {
		if key.holder != vm {
			continue
		}
		for _, l := range a.loans {
			k.settle(vm, l, l.outstanding(), 0)
		}
		delete(k.accounts, key)
	}
}

// HandleSync applies a holder's reports, queues its request and returns the messages
// that are due. A sync of a lower term is answered with the current term only. A sync
// of a higher term proves that a newer keeper exists and ends this keeper's lease. A
// repeated sync gets the same reply again, or none while the first copy is queued, and
// one that is older than the holder's last is ignored. Without a valid lease every
// sync is ignored.
func (k *Keeper) HandleSync(s Sync, now time.Time) []Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(now)
	if s.Term > k.config.Term {
		k.config.LeaseUntil = time.Time{}
	}
	if !now.Before(k.config.LeaseUntil) {
		return nil
	}
	if s.Term < k.config.Term {
		return []Envelope{k.replyTo(s.Holder, Reply{
			Workspace: s.Workspace, Domain: k.config.Domain, Term: k.config.Term, Seq: s.Seq,
		})}
	}
	a := k.account(s)
	a.lastSeen = now
	switch {
	case s.Seq < a.lastSeq:
		return nil
	case s.Seq == a.lastSeq && a.lastReply == nil:
		return nil
	case s.Seq == a.lastSeq:
		return []Envelope{k.replyTo(s.Holder, *a.lastReply)}
	}
	a.lastSeq = s.Seq
	a.lastReply = nil
	k.applyReports(a, s, now)
	k.dequeue(s)
	k.queue = append(k.queue, &s)
	k.deadlines = append(k.deadlines, k.deadline(s, now))
	return k.serveDue(now)
}

// account returns the account of the process that sent the sync and creates it if
// there is none.
func (k *Keeper) account(s Sync) *account {
	key := accountKey{s.Holder, s.Instance}
	a := k.accounts[key]
	if a == nil {
		a = &account{loans: make(map[BatchID]*loan)}
		k.accounts[key] = a
	}
	return a
}

// applyReports applies the reports of a sync. A sync that is complete ends the
// assumption about its holder.
func (k *Keeper) applyReports(a *account, s Sync, now time.Time) {
	for _, state := range s.Batches {
		if state.ID.Term < k.config.Term && now.Before(k.recoveryEnd) {
			k.inheritLoan(s.Holder, a, state)
		}
		k.applyReport(s.Holder, a, state, now)
	}
	if s.Complete {
		delete(k.unanswered, s.Holder)
	}
	k.updateAssumed()
}

// deadline returns the time at which the sync is answered even if its need can't be
// met. Other failure domains are answered at once, since they ask several keepers.
func (k *Keeper) deadline(s Sync, now time.Time) time.Time {
	if s.Need == 0 || isDomain(s.Holder) {
		return now
	}
	return now.Add(k.config.Policy.MaxReplyDelay)
}

// dequeue removes an earlier sync of the same holder process, which has abandoned it.
func (k *Keeper) dequeue(s Sync) {
	for i, queued := range k.queue {
		if queued.Holder == s.Holder && queued.Instance == s.Instance {
			k.queue = slices.Delete(k.queue, i, i+1)
			k.deadlines = slices.Delete(k.deadlines, i, i+1)
			return
		}
	}
}

// HandleReply handles the reply of another failure domain's keeper to a sync of this
// keeper and returns the messages that are due.
func (k *Keeper) HandleReply(reply Reply, now time.Time) []Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(now)
	for _, r := range k.remotes {
		if r.domain == reply.Domain {
			r.handleReply(reply, now)
		}
	}
	return k.serveDue(now)
}

// HandleAsk handles the request of another failure domain's new keeper for a report of
// the batches that this keeper has borrowed from that domain, and returns the messages
// that are due.
func (k *Keeper) HandleAsk(ask Ask, now time.Time) []Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(now)
	for _, r := range k.remotes {
		if r.domain == ask.Domain && ask.Term >= r.term {
			r.adoptTerm(ask.Term)
			r.syncNow = true
		}
	}
	return k.serveDue(now)
}

// Poll returns the messages that are due at now.
func (k *Keeper) Poll(now time.Time) []Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(now)
	k.removeIdleAccounts(now)
	return k.serveDue(now)
}

// removeIdleAccounts removes accounts without loans whose holders are silent.
func (k *Keeper) removeIdleAccounts(now time.Time) {
	if now.Sub(k.lastCleanup) < accountIdleTimeout {
		return
	}
	k.lastCleanup = now
	for key, a := range k.accounts {
		if len(a.loans) == 0 && now.Sub(a.lastSeen) >= accountIdleTimeout {
			delete(k.accounts, key)
		}
	}
}

// serveDue answers the syncs that can be answered, borrows from other failure domains
// for the rest and asks unanswered holders. Without a valid lease it drops the queue
// and sends nothing.
func (k *Keeper) serveDue(now time.Time) []Envelope {
	if !now.Before(k.config.LeaseUntil) {
		k.queue, k.deadlines = nil, nil
		return nil
	}
	out := k.serveQueue(now)
	out = append(out, k.borrowRemote(now)...)
	return append(out, k.askHolders(now)...)
}

// askHolders returns an Ask for each holder that has not answered yet, ordered by
// destination.
func (k *Keeper) askHolders(now time.Time) []Envelope {
	if len(k.unanswered) == 0 || now.Sub(k.lastAsked) < askInterval {
		return nil
	}
	k.lastAsked = now
	var out []Envelope
	for holder := range k.unanswered {
		e := Envelope{Ask: &Ask{Workspace: k.config.Workspace, Domain: k.config.Domain, Term: k.config.Term}}
		out = append(out, addressTo(e, holder))
	}
	slices.SortFunc(out, func(a, b Envelope) int {
		return strings.Compare(a.ToVM+"/"+a.ToDomain, b.ToVM+"/"+b.ToDomain)
	})
	return out
}

// replyTo returns the reply in an envelope to the holder.
func (k *Keeper) replyTo(holder string, reply Reply) Envelope {
	return addressTo(Envelope{Reply: &reply}, holder)
}

// addressTo sets the destination of the envelope from the holder's name.
func addressTo(e Envelope, holder string) Envelope {
	if domain, ok := strings.CutPrefix(holder, domainPrefix); ok {
		e.ToDomain = domain
	} else {
		e.ToVM = holder
	}
	return e
}

// NextPoll returns the time at which Poll is due next, or the zero time if it isn't
// due before the next message. A keeper without a valid lease has nothing to do until
// SetLease.
func (k *Keeper) NextPoll(now time.Time) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	var next time.Time
	if !now.Before(k.config.LeaseUntil) {
		return next
	}
	for _, deadline := range k.deadlines {
		next = earliest(next, deadline)
	}
	if len(k.queue) > 0 {
		next = earliest(next, now.Add(k.bucket.untilToken(1)))
	}
	if len(k.unanswered) > 0 {
		next = earliest(next, k.lastAsked.Add(askInterval))
	}
	for _, r := range k.remotes {
		next = earliest(next, r.nextPoll())
		if r.pending == nil && r.available() > 0 {
			next = earliest(next, maxTime(r.lastSent.Add(idleReturnInterval), now.Add(minReportInterval)))
		}
	}
	return next
}
