package quota

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	askInterval = 25 * time.Millisecond
	// accountIdle is the time after which a silent holder without loans is
	// forgotten.
	accountIdle = 10 * time.Second
	// minLifetime is the shortest rest of a drawn batch that is worth lending on.
	minLifetime = 20 * time.Millisecond
)

// KeeperConfig describes a keeper that starts.
type KeeperConfig struct {
	Workspace string
	Domain    string
	// Term rises with each keeper of the workspace in the domain. A process that
	// lost its state never uses a term again.
	Term uint64
	// Instance differs from that of every other keeper process of the domain.
	Instance uint64
	// Limit is the part of this domain (Split).
	Limit Limit
	// VMs are those of the domain that may hold tokens of the former keeper. A VM
	// whose process is proved to have ended is left out.
	VMs []string
	// Domains are the other failure domains.
	Domains []string
	// LeaseUntil is the end of the role lease on the clock of this VM. The former
	// keeper's lease has ended.
	LeaseUntil time.Time
	Policy     Policy
}

// Keeper holds the token bucket of one workspace in one failure domain. It is
// safe for concurrent use.
type Keeper struct {
	mu     sync.Mutex
	config KeeperConfig
	bucket bucket
	// accounts has one entry per holder process, held the own tokens lent per
	// holder name.
	accounts   map[accountKey]*account
	held       map[string]int64
	nextExpiry time.Time
	draws      []*draw
	queue      []*Sync
	deadlines  []time.Time
	demand     demand
	// unanswered are the holders whose tokens from the former keeper are unknown.
	unanswered  map[string]bool
	recoveryEnd time.Time
	asked       time.Time
	// forgot is the time of the last removal of idle accounts.
	forgot time.Time
}

// NewKeeper starts a keeper with an empty bucket. Until every holder has answered
// or all former batches have expired it assumes that the rest of them hold all
// that they can.
func NewKeeper(config KeeperConfig, now time.Time) *Keeper {
	k := &Keeper{
		config:      config,
		bucket:      bucket{limit: config.Limit, last: now},
		accounts:    make(map[accountKey]*account),
		held:        make(map[string]int64),
		unanswered:  make(map[string]bool),
		recoveryEnd: now.Add(BatchLifetime + ClockMargin),
	}
	for _, vm := range config.VMs {
		k.unanswered[vm] = true
	}
	for _, domain := range config.Domains {
		k.unanswered[DomainHolder(domain)] = true
		k.draws = append(k.draws, k.newDraw(domain))
	}
	k.assume()
	return k
}

func isDomain(holder string) bool { return strings.HasPrefix(holder, domainPrefix) }

// assume sets the tokens that unanswered holders may have.
func (k *Keeper) assume() {
	most := int64(len(k.unanswered)) * k.bucket.limit.holderCap()
	k.bucket.assumed = min(most, k.bucket.limit.Burst)
	k.bucket.clip()
}

// advance brings the bucket to the present.
func (k *Keeper) advance(now time.Time) {
	if len(k.unanswered) > 0 && !now.Before(k.recoveryEnd) {
		k.expireLoans(k.recoveryEnd)
		k.bucket.accrue(k.recoveryEnd)
		clear(k.unanswered)
		k.assume()
	}
	k.expireLoans(now)
	k.bucket.accrue(now)
	for _, d := range k.draws {
		d.expire(now)
	}
}

// SetLease extends the role lease of the same term.
func (k *Keeper) SetLease(until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.LeaseUntil = until
}

// SetLimit changes rate and burst. Tokens above the new burst are dropped.
func (k *Keeper) SetLimit(limit Limit, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(now)
	k.bucket.limit = limit
	k.assume()
}

// HolderGone says that the process of a VM is proved to have ended, so that
// nothing it held can be spent any more.
func (k *Keeper) HolderGone(vm string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(now)
	delete(k.unanswered, vm)
	k.assume()
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

// HandleSync takes a holder's reports and request.
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
		return []Envelope{k.envelope(s.Holder, Reply{
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
		return []Envelope{k.envelope(s.Holder, *a.lastReply)}
	}
	a.lastSeq = s.Seq
	a.lastReply = nil
	k.applyReports(a, s, now)
	k.dequeue(s)
	k.queue = append(k.queue, &s)
	k.deadlines = append(k.deadlines, k.deadline(s, now))
	return k.step(now)
}

func (k *Keeper) account(s Sync) *account {
	key := accountKey{s.Holder, s.Instance}
	a := k.accounts[key]
	if a == nil {
		a = &account{loans: make(map[BatchID]*loan)}
		k.accounts[key] = a
	}
	return a
}

func (k *Keeper) applyReports(a *account, s Sync, now time.Time) {
	for _, state := range s.Batches {
		if state.ID.Term < k.config.Term && now.Before(k.recoveryEnd) {
			k.inherit(s.Holder, a, state)
		}
		k.report(s.Holder, a, state, now)
	}
	if s.Complete {
		delete(k.unanswered, s.Holder)
	}
	k.assume()
}

// deadline is the time at which the sync is answered with what there is. Other
// failure domains are answered at once, since they ask several keepers.
func (k *Keeper) deadline(s Sync, now time.Time) time.Time {
	if s.Need == 0 || isDomain(s.Holder) {
		return now
	}
	return now.Add(k.config.Policy.MaxDefer)
}

// dequeue drops an earlier sync of the same holder process, which it gave up.
func (k *Keeper) dequeue(s Sync) {
	for i, queued := range k.queue {
		if queued.Holder == s.Holder && queued.Instance == s.Instance {
			k.queue = slices.Delete(k.queue, i, i+1)
			k.deadlines = slices.Delete(k.deadlines, i, i+1)
			return
		}
	}
}

// HandleReply takes the reply of another failure domain's keeper.
func (k *Keeper) HandleReply(reply Reply, now time.Time) []Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(now)
	for _, d := range k.draws {
		if d.domain == reply.Domain {
			d.handle(reply, now)
		}
	}
	return k.step(now)
}

// HandleAsk takes the question of another failure domain's new keeper.
func (k *Keeper) HandleAsk(ask Ask, now time.Time) []Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(now)
	for _, d := range k.draws {
		if d.domain == ask.Domain && ask.Term >= d.term {
			d.adopt(ask.Term)
			d.urgent = true
		}
	}
	return k.step(now)
}

// Poll returns the messages that are due.
func (k *Keeper) Poll(now time.Time) []Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(now)
	k.forgetAccounts(now)
	return k.step(now)
}

func (k *Keeper) forgetAccounts(now time.Time) {
	if now.Sub(k.forgot) < accountIdle {
		return
	}
	k.forgot = now
	for key, a := range k.accounts {
		if len(a.loans) == 0 && now.Sub(a.lastSeen) >= accountIdle {
			delete(k.accounts, key)
		}
	}
}

// step serves what can be served and draws for the rest.
func (k *Keeper) step(now time.Time) []Envelope {
	if !now.Before(k.config.LeaseUntil) {
		k.queue, k.deadlines = nil, nil
		return nil
	}
	out := k.serveQueue(now)
	out = append(out, k.drawMore(now)...)
	return append(out, k.askHolders(now)...)
}

func (k *Keeper) askHolders(now time.Time) []Envelope {
	if len(k.unanswered) == 0 || now.Sub(k.asked) < askInterval {
		return nil
	}
	k.asked = now
	var out []Envelope
	for holder := range k.unanswered {
		e := Envelope{Ask: &Ask{Workspace: k.config.Workspace, Domain: k.config.Domain, Term: k.config.Term}}
		out = append(out, address(e, holder))
	}
	slices.SortFunc(out, func(a, b Envelope) int {
		return strings.Compare(a.ToVM+"/"+a.ToDomain, b.ToVM+"/"+b.ToDomain)
	})
	return out
}

func (k *Keeper) envelope(holder string, reply Reply) Envelope {
	return address(Envelope{Reply: &reply}, holder)
}

func address(e Envelope, holder string) Envelope {
	if domain, ok := strings.CutPrefix(holder, domainPrefix); ok {
		e.ToDomain = domain
	} else {
		e.ToVM = holder
	}
	return e
}

// NextPoll returns the time of the next Poll, or the zero time if none is due. A
// keeper without a lease has nothing to do until SetLease.
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
		next = earliest(next, k.asked.Add(askInterval))
	}
	for _, d := range k.draws {
		next = earliest(next, d.wake())
		if d.pending == nil && d.available() > 0 {
			next = earliest(next, maxTime(d.lastSent.Add(idleInterval), now.Add(minWindow)))
		}
	}
	return next
}
