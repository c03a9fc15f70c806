package keylease

import (
	"bytes"
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/linelimit"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/sharedlog"
)

const (
	// idleWait is how long a read of the topic waits while nobody holds the lease, or
	// the holder is silent and this VM has tried to claim it.
	idleWait = 500 * time.Millisecond
	// ownAppends is the age of the last accepted append up to which the holder does
	// not read the topic: one beat and an append that takes 100 times as long. VMs do not
	// take knowledge that is older than 1.5 s from it.
	ownAppends = time.Second
	// holderTick and memberTick are the times between steps without an event.
	holderTick = 100 * time.Millisecond
	memberTick = 250 * time.Millisecond
	// claimSpread spreads the claims of several VMs.
	claimSpread = 250 * time.Millisecond
	// grantTimeout bounds a grant call, which is answered at once.
	grantTimeout = 700 * time.Millisecond
	// releaseTimeout bounds a release call, which is answered when the work that
	// runs on the range has ended.
	releaseTimeout = 1600 * time.Millisecond
	// changeLines bounds the log lines about changes of owners, for each kind of change
	// in a second: a plan moves up to a third of the backend servers' number of ranges.
	changeLines = 40
	// appendRetry is the time between attempts to append while the log fails.
	appendRetry = 250 * time.Millisecond
)

// errDeposed reports that another VM holds the lease.
var errDeposed = errors.New("another VM holds the lease on assignments")

// LessorOptions are the parts that a Lessor works with.
type LessorOptions struct {
	Log      sharedlog.Log
	Topic    string
	Granter  Granter
	Clock    clock.Clock
	Table    *Table
	Instance string
	// Address is where other VMs reach this one.
	Address string
	Logger  *zap.Logger
	// FleetKnown reports whether anything is known of the fleet. Each VM asks at each step.
	FleetKnown func() bool
	// Input returns what is known. Only the holder asks, and only if Known.
	Input func() Input
	// Wake returns a channel that is closed when the input changes.
	Wake func() <-chan struct{}
	// Notices returns the contents of the next beat and of the list of members, which
	// all VMs get.
	Notices func() (beat, members []byte)
	// OnHeartbeat and OnMembers get the notices that were read.
	OnHeartbeat, OnMembers func(content []byte)
	// OnLeaseChange is told when this VM takes or loses the lease.
	OnLeaseChange func(held bool)
}

// Lessor takes the lease on assignments when it is free, and then grants key
// ranges. Each VM runs one.
type Lessor struct {
	LessorOptions

	held      *holding
	results   chan result
	appends   chan appended
	claiming  bool
	stopping  chan struct{}
	stopped   chan struct{}
	claimFrom time.Duration
	follower  *directory.Follower
	lines     *linelimit.Limiter
	// paused is set while the topic is not read; its channel is closed at the end.
	paused atomic.Pointer[chan struct{}]
	// deposedAt is the offset after the record by which another VM took the lease.
	deposedAt int64
}

// NewLessor returns a lessor that does not hold the lease.
func NewLessor(o LessorOptions) *Lessor {
	l := &Lessor{
		LessorOptions: o, stopping: make(chan struct{}),
		lines: linelimit.New(o.Logger, o.Clock.Now, changeLines, "key range lines suppressed"),
	}
	l.follower = l.newFollower()
	return l
}

// holding is the state while this VM holds the lease.
type holding struct {
	core      *Core
	end       int64         // offset at which the topic ends
	confirmed time.Duration // send time of the last accepted append
	appending bool
	nextBeat  time.Duration
	nextTry   time.Duration
	stopping  time.Duration // when the VM began to stop; 0 before
	members   []byte        // last recorded list of members
}

type result struct {
	call     Call
	handover string
	err      error
	from     *holding
}

type appended struct {
	from    *holding
	version int64
	claim   bool
	sent    time.Duration
	records []sharedlog.Record
	at, end int64
	err     error
}

// Run works until ctx ends. Stop gives the lease back before.
func (l *Lessor) Run(ctx context.Context) {
	l.results = make(chan result, 64)
	l.appends = make(chan appended, 4)
	l.stopped = make(chan struct{})
	defer close(l.stopped)
	for ctx.Err() == nil {
		l.step(ctx)
		l.wait(ctx)
	}
}

// readWait returns how long a read waits: until this VM may claim the lease of a
// silent holder. The read after it does not wait, and confirms that the holder is
// silent.
func (l *Lessor) readWait() time.Duration {
	heard, read := l.Table.times()
	claimAt := heard + ClaimAfter + l.spread()
	now := l.Clock.Now()
	switch {
	case l.Table.holder() == "" || read >= claimAt:
		return idleWait
	case now < claimAt:
		return min(ClaimAfter, claimAt-now)
	}
	return 0
}

// Follower returns the follower of the topic.
func (l *Lessor) Follower() *directory.Follower { return l.follower }

func (l *Lessor) newFollower() *directory.Follower {
	return &directory.Follower{
		Topic: l.Topic, Wait: l.readWait, Pause: l.pauseReads, Log: l.Logger, Now: l.Clock.Now,
		Apply: func(b sharedlog.Batch, info directory.BatchInfo) {
			n := l.Table.apply(b, info.ConfirmedAt, l.Clock.Now())
			if n.members != nil {
				l.OnMembers(n.members)
			}
			if n.beat != nil {
				l.OnHeartbeat(n.beat)
			}
		},
	}
}

// pauseReads returns a channel that is closed when the topic is to be read again, or
// nil to read it now. A holder whose appends are accepted knows what the topic holds.
func (l *Lessor) pauseReads() <-chan struct{} {
	if paused := l.paused.Load(); paused != nil {
		return *paused
	}
	return nil
}

// setPaused pauses the reads of the topic or lets them go on.
func (l *Lessor) setPaused(pause bool) {
	if pause == (l.paused.Load() != nil) {
		return
	}
	if pause {
		resume := make(chan struct{})
		l.paused.Store(&resume)
		return
	}
	close(*l.paused.Swap(nil))
}

// Stop gives the lease back, so that another VM takes it at once.
func (l *Lessor) Stop() { close(l.stopping) }

func (l *Lessor) isStopping() bool {
	select {
	case <-l.stopping:
		return true
	default:
		return false
	}
}

// wait blocks until something happened.
func (l *Lessor) wait(ctx context.Context) {
	tick := memberTick
	var wake <-chan struct{}
	if l.held != nil {
		tick, wake = holderTick, l.Wake()
	}
	timer := time.NewTimer(tick)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	case <-l.Table.Changed():
	case r := <-l.results:
		l.finish(r)
	case a := <-l.appends:
		l.finishAppend(a)
	}
}

func (l *Lessor) finish(r result) {
	if r.from != l.held || l.held == nil {
		return
	}
	now := l.Clock.Now()
	if r.err != nil {
		l.Logger.Warn("call for a key range failed", zap.String("backend", r.call.Target.Backend), zap.Uint8("call", uint8(r.call.Kind)),
			zap.Stringer("range", r.call.Grant.Range), zap.Int64("fence", r.call.Grant.Fence), logfield.Error(r.err))
	}
	l.held.core.Done(r.call, r.handover, r.err, now)
	l.logChanges()
}

// logChanges writes a line for each change of an owner.
func (l *Lessor) logChanges() {
	for _, change := range l.held.core.TakeChanges() {
		if !l.lines.Allow(string(change.Kind)) {
			continue
		}
		list := []zap.Field{
			zap.String("service", change.Service), zap.Stringer("range", change.Range), zap.String("backend", change.Backend),
			zap.Int64("fence", change.Fence), zap.Int64("version", l.held.core.Version()),
		}
		if change.Target != "" {
			list = append(list, zap.String("target", change.Target))
		}
		if change.Reason != "" {
			list = append(list, zap.String("reason", change.Reason))
		}
		l.Logger.Info("key range "+string(change.Kind), list...)
	}
}

func (l *Lessor) step(ctx context.Context) {
	now := l.Clock.Now()
	if l.held == nil {
		l.claimIfFree(ctx, now)
		return
	}
	if l.Table.holder() != l.Instance && l.tableIsNewer() {
		l.lose(errDeposed)
		return
	}
	if l.isStopping() && l.logAnswers(now) {
		l.resign(ctx)
		return
	}
	l.stepHolder(ctx, now)
}

// logAnswers reports whether an append was accepted since the stop began, and makes
// one due. A resignation that fails may have taken effect all the same, so it is not
// tried while the log is away; nobody else can take the lease then, and the keys stay
// served.
func (l *Lessor) logAnswers(now time.Duration) bool {
	h := l.held
	if h.stopping == 0 {
		h.stopping, h.nextBeat = now, 0
	}
	return h.confirmed >= h.stopping
}

// tableIsNewer reports whether the table has read past this VM's own appends.
func (l *Lessor) tableIsNewer() bool {
	_, next := l.Table.silent()
	return next >= l.held.end
}

func (l *Lessor) stepHolder(ctx context.Context, now time.Duration) {
	h := l.held
	if now-h.confirmed > ownAppends {
		l.setPaused(false)
	}
	if l.FleetKnown() && now-h.confirmed < Authority {
		for _, call := range h.core.Step(now, l.Input()) {
			l.send(ctx, call)
		}
		l.logChanges()
	}
	due := now >= h.nextBeat || h.core.Version() > h.core.accepted
	if due && !h.appending && now >= h.nextTry {
		l.appendState(ctx, now)
	}
}

func (l *Lessor) send(ctx context.Context, call Call) {
	held := l.held
	go func() {
		r := result{call: call, from: held}
		if call.Kind == CallRelease {
			ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			r.handover, r.err = l.Granter.Release(ctx, call.Target, call.Grant)
		} else {
			ctx, cancel := context.WithTimeout(ctx, grantTimeout)
			defer cancel()
			r.err = l.Granter.Grant(ctx, call.Target, call.Grant)
		}
		select {
		case l.results <- r:
		case <-ctx.Done():
		}
	}()
}

// appendState records the newest assignment, if it changed, and a beat.
func (l *Lessor) appendState(ctx context.Context, now time.Duration) {
	h := l.held
	version := h.core.Version()
	var records []sharedlog.Record
	if version > h.core.accepted {
		state := h.core.State()
		state.Address = l.Address
		record, ok := l.record("assignment", state)
		if !ok {
			return
		}
		records = append(records, record)
	}
	if now >= h.nextBeat {
		beat, members := l.Notices()
		if !bytes.Equal(members, h.members) {
			records = append(records, sharedlog.Record{Key: keyMembers, Value: members})
			h.members = members
		}
		records = append(records, sharedlog.Record{Key: keyBeat, Value: beat})
		h.nextBeat = now + BeatInterval
	}
	h.appending = true
	l.append(ctx, h, records, h.end, appended{from: h, version: version, sent: now})
}

// record returns the record of an assignment, and logs if there can be none.
func (l *Lessor) record(what string, state *keyrange.Assignment) (sharedlog.Record, bool) {
	content, err := state.Encode()
	if err != nil {
		l.Logger.Error(what+" cannot be encoded", logfield.Error(err))
		return sharedlog.Record{}, false
	}
	return sharedlog.Record{Key: keyAssignment, Value: content}, true
}

// append runs one conditional append and reports its result to the loop.
func (l *Lessor) append(ctx context.Context, h *holding, records []sharedlog.Record, at int64, a appended) {
	a.records, a.at = records, at
	go func() {
		a.end, a.err = l.Log.Append(ctx, l.Topic, records, at)
		if a.err != nil {
			var applied bool
			if applied, a.end, a.err = l.readBack(ctx, records, at, a.err); applied {
				a.err = nil
			}
		}
		select {
		case l.appends <- a:
		case <-ctx.Done():
		}
	}()
}

// readBack finds out what became of an append that failed. It returns whether the
// records are in the topic, the offset to append at next, and an error if not.
func (l *Lessor) readBack(ctx context.Context, records []sharedlog.Record, at int64, cause error) (bool, int64, error) {
	batch, err := l.Log.Read(ctx, l.Topic, at, 0)
	if err != nil {
		return false, at, cause
	}
	applied := false
	for _, record := range batch.Records {
		if record.Key == keyAssignment {
			assignment, err := keyrange.Decode(record.Value)
			if err != nil || assignment.Holder != l.Instance {
				return false, batch.Next, errDeposed
			}
		}
		for _, own := range records {
			applied = applied || own.Key == record.Key && bytes.Equal(own.Value, record.Value)
		}
	}
	return applied, batch.Next, cause
}

func (l *Lessor) finishAppend(a appended) {
	if a.claim {
		l.finishClaim(a)
		return
	}
	h := a.from
	if l.held != h {
		return
	}
	h.appending = false
	switch {
	case a.err == nil:
		h.end, h.confirmed = a.end, a.sent
		h.core.Accepted(a.version)
		l.learn(a)
	case errors.Is(a.err, errDeposed):
		l.deposedAt = a.end
		l.lose(a.err)
	default:
		h.end = max(h.end, a.end)
		h.nextTry = l.Clock.Now() + appendRetry
		h.nextBeat, h.members = 0, nil
		l.Logger.Warn("append of the assignment failed", logfield.Error(a.err), zap.Duration("unconfirmed", l.Clock.Now()-h.confirmed))
	}
}

// learn takes the records of an accepted append into the table, and so to the VMs that
// this one relays to, without a read.
func (l *Lessor) learn(a appended) {
	if a.end != a.at+int64(len(a.records)) {
		return // others appended too; a read tells what
	}
	l.follower.DeliverAppended(a.records, a.at, a.sent)
	if l.follower.Cursor() == a.end {
		l.setPaused(true)
	}
}

// claimIfFree claims the lease if its holder resigned, fell silent or ended.
func (l *Lessor) claimIfFree(ctx context.Context, now time.Duration) {
	if l.claiming || l.isStopping() {
		return
	}
	silent, next := l.Table.silent()
	current := l.Table.Current()
	if next == 0 && l.Table.notRead() || l.Table.unread.Load() {
		return
	}
	if !l.FleetKnown() && current != nil {
		return // a VM that knows the fleet can do more
	}
	free := l.free(current, silent, now)
	if next < l.deposedAt {
		return // the table has not read yet that another VM took the lease
	}
	if current != nil && current.Holder == l.Instance {
		// A claim of this VM took effect after its call had failed.
		l.take(current, next, now, false)
		return
	}
	if free {
		l.claim(ctx, current, next, now)
	}
}

// free reports whether this VM may claim the lease, after the holder was silent for
// some time.
func (l *Lessor) free(current *keyrange.Assignment, silent, now time.Duration) bool {
	if current == nil || current.Holder == "" {
		if l.claimFrom == 0 {
			l.claimFrom = now
		}
		return now-l.claimFrom >= l.spread()
	}
	l.claimFrom = 0
	if current.Address == l.Address && current.Holder != l.Instance {
		return true // this process listens where the holder did, which has ended
	}
	return silent >= ClaimAfter+l.spread()
}

// spread returns this VM's share of claimSpread, so that claims rarely meet.
func (l *Lessor) spread() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(l.Instance)) // a hash never fails
	return time.Duration(h.Sum32()%uint32(claimSpread/time.Millisecond)) * time.Millisecond
}

func (l *Lessor) claim(ctx context.Context, current *keyrange.Assignment, at int64, now time.Duration) {
	state := &keyrange.Assignment{}
	if current != nil {
		state = current.Clone()
	}
	state.Holder, state.Address = l.Instance, l.Address
	record, ok := l.record("claim", state)
	if !ok {
		return
	}
	l.claiming = true
	l.append(ctx, nil, []sharedlog.Record{record}, at, appended{claim: true, sent: now})
}

func (l *Lessor) finishClaim(a appended) {
	l.claiming = false
	if a.err != nil {
		l.Logger.Info("claim of the lease on assignments failed", logfield.Error(a.err))
		return
	}
	l.take(l.Table.Current(), a.end, a.sent, l.claimFrom != 0)
	l.learn(a)
}

// take starts to hold the lease. The recorded state is that before the claim, which
// changes only the holder.
func (l *Lessor) take(recorded *keyrange.Assignment, end int64, sent time.Duration, resigned bool) {
	now := l.Clock.Now()
	l.held = &holding{core: NewCore(l.Instance, recorded, now, resigned), end: end, confirmed: sent}
	l.claimFrom = 0
	l.Logger.Info("lease on assignments taken", zap.Int64("end", end), zap.Bool("resigned", resigned))
	l.OnLeaseChange(true)
}

func (l *Lessor) lose(reason error) {
	l.held = nil
	l.setPaused(false)
	l.Logger.Info("lease on assignments lost", logfield.Error(reason))
	l.OnLeaseChange(false)
}

// resign records that nobody holds the lease. Calls that are under way end first.
func (l *Lessor) resign(ctx context.Context) {
	h := l.held
	if h.appending || h.core.Calling() || h.core.Uncertain(l.Clock.Now()) {
		return
	}
	state := h.core.State()
	state.Holder = ""
	record, ok := l.record("resignation", state)
	if !ok {
		return
	}
	if _, err := l.Log.Append(ctx, l.Topic, []sharedlog.Record{record}, h.end); err != nil {
		l.Logger.Warn("lease on assignments was not given back", logfield.Error(err))
	}
	l.lose(errors.New("the VM stops"))
}
