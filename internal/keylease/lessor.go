package keylease

import (
	"bytes"
	"context"
	"hash/fnv"
	"slices"
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
	// idleReadWait is how long a read of the topic waits once a read has confirmed that this
	// VM may claim the lease of a silent holder.
	idleReadWait = 500 * time.Millisecond
	// vacantReadWait is the same while no VM holds the assignment lease. The first claim ends
	// the wait.
	vacantReadWait = 2 * time.Second
	// maxAppendAge is the age of its last accepted append up to which the lease holder
	// does not read the topic: one heartbeat interval, and 200 ms for an append, 100 times
	// the usual time. VMs that use this one as their relay read the shared log themselves
	// if its state is older than 1.5 s.
	maxAppendAge = time.Second
	// holderTick and memberTick are the times between steps without an event, on the
	// lease holder and on other VMs.
	holderTick = 100 * time.Millisecond
	memberTick = 250 * time.Millisecond
	// minStepGap is the least time between two steps of the lease holder. It is far below
	// the time of a call to another failure domain and of an append.
	minStepGap = 5 * time.Millisecond
	// maxClaimJitter bounds the jitter between the claims of several VMs. The first half is
	// that of the preferred VMs.
	maxClaimJitter = 250 * time.Millisecond
	// grantTimeout bounds a grant call, which a backend server answers at once.
	grantTimeout = 700 * time.Millisecond
	// releaseTimeout bounds a release call, which is answered when the requests that run
	// on the range have ended.
	releaseTimeout = 1600 * time.Millisecond
	// maxChangeLines bounds the log lines per second for each kind of owner change. One
	// plan moves up to one range for every three backend servers.
	maxChangeLines = 40
	// appendRetryInterval is the time between attempts to append while the shared log
	// fails.
	appendRetryInterval = 250 * time.Millisecond
)

// errNotHolder reports that another VM holds the assignment lease.
var errNotHolder = errors.New("another VM holds the assignment lease")

// errUnfit reports that this VM reaches no backend server.
var errUnfit = errors.New("the VM has no path to the backend servers")

// errLeaseUnconfirmed reports that the shared log was restored from an older copy, and that
// another VM may have claimed the assignment lease in the part that is lost.
var errLeaseUnconfirmed = errors.New("the shared log was restored, and the lease was not confirmed shortly before")

// LessorOptions are the dependencies and settings of a Lessor.
type LessorOptions struct {
	Log      sharedlog.Log
	Topic    string
	Granter  Granter
	Clock    clock.Clock
	Table    *Table
	Instance string
	// Address is the HOST:PORT at which other VMs reach this one.
	Address string
	// FirstStart is set if no VM has run before.
	FirstStart bool
	// Preferred reports whether this VM is among the most capable ones. They claim a free
	// lease first, since the work of the holder grows with the fleet.
	Preferred func() bool
	// Unfit reports whether this VM reaches no backend server while others do. It gives up the
	// lease then, and claims none. Nil means never.
	Unfit  func() bool
	Logger *zap.Logger
	// ConfigKnown reports whether this VM has read a configuration. It is called at each
	// step on each VM.
	ConfigKnown func() bool
	// Input returns the state of the fleet. It is called only on the lease holder, and
	// only if ConfigKnown returns true.
	Input func() Input
	// Wake returns a channel that is closed when the input changes.
	Wake func() <-chan struct{}
	// Notices returns the contents of the next heartbeat and of the list of members, which
	// are published to all VMs.
	Notices func() (heartbeat, members []byte)
	// OnHeartbeat and OnMembers are called with the contents that were read.
	OnHeartbeat, OnMembers func(content []byte)
	// OnLeaseChange is called when this VM acquires or loses the assignment lease.
	OnLeaseChange func(held bool)
}

// Lessor acquires the assignment lease when it is free, and while it holds the lease
// grants key ranges to backend servers. Each VM runs one.
type Lessor struct {
	LessorOptions

	// lease is nil unless this VM holds the assignment lease.
	lease         *leaseState
	results       chan callResult
	appendResults chan appendResult
	claiming      bool // the append of a claim is in flight
	// unansweredClaims are those since this VM held the lease last.
	unansweredClaims unansweredAppends
	stopping         chan struct{}
	stopped          chan struct{}
	vacantSince      time.Duration // when this VM noticed that no VM holds the lease; 0 otherwise
	follower         *directory.Follower
	logLimit         *linelimit.Limiter
	// paused is set while the topic is not read; its channel is closed when reads resume.
	paused atomic.Pointer[chan struct{}]
	// lostAt is the position after the record by which another VM acquired the lease.
	lostAt sharedlog.Position
	// background runs a call or an append beside the loop; a test may run it in steps.
	background func(task func())
}

// NewLessor returns a lessor that does not hold the assignment lease.
func NewLessor(o LessorOptions) *Lessor {
	l := &Lessor{
		LessorOptions: o, stopping: make(chan struct{}), background: func(task func()) { go task() },
		logLimit: linelimit.New(o.Logger, o.Clock.Now, maxChangeLines, "key range lines suppressed"),
	}
	l.follower = l.newFollower()
	return l
}

// leaseState is the state while this VM holds the assignment lease.
type leaseState struct {
	core            *Core
	topicEnd        sharedlog.Position // position after the newest record of the topic
	renewedAt       time.Duration      // send time of the last accepted append
	unanswered      unansweredAppends
	appending       bool
	newGrants       int // in flight, without renewals
	nextHeartbeat   time.Duration
	nextAppend      time.Duration
	stoppingSince   time.Duration // when Stop was first noticed; 0 before
	recordedMembers []byte        // last recorded list of members
}

// callResult is the result of a call to a backend server. lease is the lease under which
// the call was made; the result is dropped if that lease has been lost since.
type callResult struct {
	call     Call
	handover string
	err      error
	lease    *leaseState
}

// appendResult is the result of an append of records at the position expectedEnd. version
// is the version of the state in them; claim marks a claim of the assignment lease, and
// reclaim the record of a held lease in a restored shared log. overwritten is set if another
// program has written over the assignment.
type appendResult struct {
	lease               *leaseState
	version             int64
	claimed             *Core
	reclaim             bool
	overwritten         bool
	readBack            bool // the append had no answer, and its records were found by a read
	sentAt              time.Duration
	records             []sharedlog.Record
	expectedEnd, newEnd sharedlog.Position
	err                 error
}

// unansweredAppends has the send time of the first append without an answer since the last
// accepted one; 0 for none. The records that a read finds for a later append may be of that one.
type unansweredAppends struct{ first time.Duration }

// add notes a failed append.
func (u *unansweredAppends) add(a *appendResult) {
	if u.first == 0 {
		u.first = a.sentAt
	}
}

// sentAt returns the earliest time at which the records of an accepted append may have been sent.
func (u *unansweredAppends) sentAt(a *appendResult) time.Duration {
	sentAt := a.sentAt
	if a.readBack && u.first != 0 {
		sentAt = min(sentAt, u.first)
	}
	u.first = 0
	return sentAt
}

// Run runs the lessor until ctx ends. Call Stop before to resign the lease.
func (l *Lessor) Run(ctx context.Context) {
	l.results = make(chan callResult, 64)
	l.appendResults = make(chan appendResult, 4)
	l.stopped = make(chan struct{})
	defer close(l.stopped)
	for ctx.Err() == nil {
		l.step(ctx)
		l.wait(ctx)
	}
}

// readWait returns how long the next read of the topic waits for a record: until this VM
// may claim the lease of a silent holder. The read after that does not wait; it confirms
// that the holder is silent.
func (l *Lessor) readWait() time.Duration {
	lastRecordAt, lastReadSentAt := l.Table.recordAndReadTimes()
	claimAt := lastRecordAt + ClaimAfter + l.claimJitter()
	now := l.Clock.Now()
	switch {
	case l.Table.holder() == "":
		return vacantReadWait
	case lastReadSentAt >= claimAt:
		return idleReadWait
	case now < claimAt:
		return min(ClaimAfter, claimAt-now)
	}
	return 0
}

// Follower returns the follower that reads the topic into the table.
func (l *Lessor) Follower() *directory.Follower { return l.follower }

func (l *Lessor) newFollower() *directory.Follower {
	return &directory.Follower{
		Topic: l.Topic, Wait: l.readWait, Pause: l.pauseReads, Log: l.Logger, Now: l.Clock.Now,
		Apply: func(b sharedlog.Batch, info directory.BatchInfo) {
			n := l.Table.apply(b, info.ConfirmedAt, l.Clock.Now())
			if n.members != nil {
				l.OnMembers(n.members)
			}
			if n.heartbeat != nil {
				l.OnHeartbeat(n.heartbeat)
			}
		},
	}
}

// pauseReads returns a channel that is closed when the topic is to be read again, or
// nil to read it now. A lease holder whose appends are accepted knows the contents of
// the topic without reading it.
func (l *Lessor) pauseReads() <-chan struct{} {
	if paused := l.paused.Load(); paused != nil {
		return *paused
	}
	return nil
}

// setPaused pauses or resumes the reads of the topic.
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

// Stop makes the lessor resign the assignment lease, so that another VM can acquire it
// at once. It must be called at most once.
func (l *Lessor) Stop() { close(l.stopping) }

func (l *Lessor) isStopping() bool {
	select {
	case <-l.stopping:
		return true
	default:
		return false
	}
}

// wait blocks until the next event or tick, and processes the result of a call or append.
func (l *Lessor) wait(ctx context.Context) {
	tick := memberTick
	var wake <-chan struct{}
	if l.lease != nil {
		tick, wake = holderTick, l.Wake()
		clock.Sleep(ctx, minStepGap)
	}
	timer := time.NewTimer(tick)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	case <-l.Table.Changed():
	case r := <-l.results:
		l.finishCall(r)
	case a := <-l.appendResults:
		l.finishAppend(a)
	}
	l.finishPending()
}

// finishPending processes the results that have arrived meanwhile. With hundreds of ranges to
// renew, a step for each result would take most of a small VM's processor.
func (l *Lessor) finishPending() {
	for {
		select {
		case r := <-l.results:
			l.finishCall(r)
		case a := <-l.appendResults:
			l.finishAppend(a)
		default:
			return
		}
	}
}

// finishCall passes the result of a call to the core.
func (l *Lessor) finishCall(r callResult) {
	if r.lease != l.lease || l.lease == nil {
		return
	}
	if r.call.isNewGrant() {
		l.lease.newGrants--
	}
	now := l.Clock.Now()
	if r.err != nil {
		l.Logger.Warn("call for a key range failed", zap.String("backend", r.call.Target.Backend), zap.Uint8("call", uint8(r.call.Kind)),
			zap.Stringer("range", r.call.Grant.Range), zap.Int64("fence", r.call.Grant.Fence), logfield.Error(r.err))
	}
	l.lease.core.HandleResult(r.call, r.handover, r.err, now)
	l.logChanges()
}

// logChanges writes a log line for each change of a range's owner.
func (l *Lessor) logChanges() {
	for _, change := range l.lease.core.TakeChanges() {
		if !l.logLimit.Allow(string(change.Kind)) {
			continue
		}
		fields := []zap.Field{
			zap.String("service", change.Service), zap.Stringer("range", change.Range), zap.String("backend", change.Backend),
			zap.Int64("fence", change.Fence), zap.Int64("version", l.lease.core.Version()),
		}
		if change.Target != "" {
			fields = append(fields, zap.String("target", change.Target))
		}
		if change.Reason != "" {
			fields = append(fields, zap.String("reason", change.Reason))
		}
		if change.Kind == ChangeFreed {
			fields = append(fields, zap.Int64("lease_left_ms", change.LeaseLeft.Milliseconds()), zap.Int64("uncertain_left_ms", change.UncertainLeft.Milliseconds()))
		}
		l.Logger.Info("key range "+string(change.Kind), fields...)
	}
}

// step claims, loses, resigns or uses the assignment lease, whichever is due.
func (l *Lessor) step(ctx context.Context) {
	now := l.Clock.Now()
	if l.lease == nil {
		l.claimIfFree(ctx, now)
		return
	}
	if l.Table.era() > l.lease.topicEnd.Era {
		l.reclaim(ctx, now)
		return
	}
	if l.Table.holder() != l.Instance && l.tableCaughtUp() {
		l.lose(errNotHolder)
		return
	}
	if l.isUnfit() {
		l.abandon(ctx)
		return
	}
	if l.isStopping() && l.confirmedSinceStop(now) {
		l.resign(ctx)
		return
	}
	l.stepHolder(ctx, now)
}

// confirmedSinceStop reports whether an append was accepted since Stop was noticed, and
// makes an append due. A failed resignation may still have taken effect, so none is
// tried while the shared log is unreachable: no other VM can acquire the lease then, and
// the keys stay served.
func (l *Lessor) confirmedSinceStop(now time.Duration) bool {
	lease := l.lease
	if lease.stoppingSince == 0 {
		lease.stoppingSince, lease.nextHeartbeat = now, 0
	}
	return lease.renewedAt >= lease.stoppingSince
}

// tableCaughtUp reports whether the table includes all of this VM's own appends.
func (l *Lessor) tableCaughtUp() bool {
	_, next := l.Table.holderSilence()
	return !next.Before(l.lease.topicEnd)
}

// reclaim records the held lease in a shared log that was restored from an older copy,
// which lacks the newest grants or even the claim of this VM. The state of this VM is the
// newest one, so the leases go on without a gap. If the last accepted append is older than
// ClaimAfter, another VM may have claimed the lease in the part of the log that is lost;
// then this VM starts over with a claim, which waits for all leases to end.
func (l *Lessor) reclaim(ctx context.Context, now time.Duration) {
	lease := l.lease
	_, end := l.Table.holderSilence()
	current := l.Table.Current()
	switch {
	case current != nil && current.Era == end.Era && current.Holder != l.Instance:
		l.lose(errNotHolder)
		return
	case now-lease.renewedAt >= ClaimAfter:
		l.lose(errLeaseUnconfirmed)
		return
	}
	l.sendDueCalls(ctx, now)
	if lease.appending || now < lease.nextAppend {
		return
	}
	lease.core.Restored(end.Era)
	l.Logger.Warn("assignment lease is recorded again in a restored log", zap.Int64("era", end.Era), zap.Int64("end", end.Offset))
	version := lease.core.Version()
	lease.recordedMembers = nil
	records, ok := l.stateRecords(version, true)
	if !ok {
		return
	}
	lease.appending = true
	l.append(ctx, lease, records, end, appendResult{lease: lease, version: version, reclaim: true, sentAt: now})
}

// sendDueCalls sends the calls that are due to backend servers. The assignment lease must
// be valid.
func (l *Lessor) sendDueCalls(ctx context.Context, now time.Duration) {
	if !l.ConfigKnown() {
		return
	}
	for _, call := range l.lease.core.Step(now, l.Input()) {
		l.sendCall(ctx, call)
	}
	l.logChanges()
}

// stepHolder sends the calls that are due while the assignment lease is valid, and
// appends the assignment and the heartbeat when they are due.
func (l *Lessor) stepHolder(ctx context.Context, now time.Duration) {
	lease := l.lease
	if now-lease.renewedAt > maxAppendAge {
		l.setPaused(false)
	}
	if now-lease.renewedAt < AssignmentLeaseDuration {
		l.sendDueCalls(ctx, now)
	}
	due := now >= lease.nextHeartbeat || lease.core.Version() > lease.core.accepted
	if due && !lease.appending && now >= lease.nextAppend {
		l.appendState(ctx, now)
	}
}

// isNewGrant reports whether the call is a grant that is no renewal. It may reach a process that
// started after it was decided.
func (c *Call) isNewGrant() bool { return c.Kind == CallGrant && !c.Grant.Renewal }

// sendBy returns the time after which a call that is decided on now must not be sent. A VM that
// gives up the lease, and is suspended before it sends a call, sends it no later than others
// expect. A grant that is no renewal is not sent once another VM may have claimed the lease: it
// may reach a process that started since, and does not know the tokens of the new holder.
func sendBy(call *Call, renewedAt, now time.Duration) time.Duration {
	validFor := AssignmentLeaseDuration
	if call.isNewGrant() {
		validFor = ClaimAfter
	}
	return min(now+grantTimeout, renewedAt+validFor)
}

// sendCall makes a call to a backend server in the background and reports its result to
// the loop.
func (l *Lessor) sendCall(ctx context.Context, call Call) {
	lease := l.lease
	call.Grant.SendBy = sendBy(&call, lease.renewedAt, l.Clock.Now())
	if call.isNewGrant() {
		lease.newGrants++
	}
	timeout := grantTimeout
	if call.Kind == CallRelease {
		timeout = releaseTimeout
	}
	// The time runs from the decision: a successor counts it from the record by which the lease ends.
	limited, cancel := context.WithTimeout(ctx, timeout)
	l.background(func() {
		defer cancel()
		r := callResult{call: call, lease: lease}
		if call.Kind == CallRelease {
			r.handover, r.err = l.Granter.Release(limited, call.Target, call.Grant)
		} else {
			r.err = l.Granter.Grant(limited, call.Target, call.Grant)
		}
		select {
		case l.results <- r:
		case <-ctx.Done():
		}
	})
}

// appendState appends the newest assignment, if it changed, and a heartbeat, if one is
// due.
func (l *Lessor) appendState(ctx context.Context, now time.Duration) {
	lease := l.lease
	version := lease.core.Version()
	records, ok := l.stateRecords(version, now >= lease.nextHeartbeat)
	if !ok {
		return
	}
	lease.appending = true
	l.append(ctx, lease, records, lease.topicEnd, appendResult{lease: lease, version: version, sentAt: now})
}

// stateRecords returns the records of the assignment, if the given version of it is not
// accepted yet, and of the heartbeat, if it is wanted, with the list of members if that has
// changed. It returns false if the assignment cannot be encoded.
func (l *Lessor) stateRecords(version int64, withHeartbeat bool) ([]sharedlog.Record, bool) {
	lease := l.lease
	var records []sharedlog.Record
	if version > lease.core.accepted {
		record, ok := l.assignmentRecord("assignment", l.state(lease.core))
		if !ok {
			return nil, false
		}
		records = append(records, record)
	}
	if withHeartbeat {
		heartbeat, members := l.Notices()
		if !bytes.Equal(members, lease.recordedMembers) {
			records = append(records, sharedlog.Record{Key: keyMembers, Value: members})
			lease.recordedMembers = members
		}
		records = append(records, sharedlog.Record{Key: keyHeartbeat, Value: heartbeat})
		lease.nextHeartbeat = l.Clock.Now() + HeartbeatInterval
	}
	return records, true
}

// state returns the assignment of a core as this VM records it now.
func (l *Lessor) state(core *Core) *keyrange.Assignment {
	state := core.State()
	state.Address, state.EarlierCalls = l.Address, core.EarlierCalls(l.Clock.Now())
	return state
}

// assignmentRecord returns the record of an assignment, or logs an error and returns
// false if it cannot be encoded. what names the record in the log line.
func (l *Lessor) assignmentRecord(what string, state *keyrange.Assignment) (sharedlog.Record, bool) {
	content, err := state.Encode()
	if err != nil {
		l.Logger.Error(what+" cannot be encoded", logfield.Error(err))
		return sharedlog.Record{}, false
	}
	return sharedlog.Record{Key: keyAssignment, Value: content}, true
}

// append makes one conditional append in the background and reports its result to the
// loop.
func (l *Lessor) append(ctx context.Context, lease *leaseState, records []sharedlog.Record, expectedEnd sharedlog.Position, a appendResult) {
	a.records, a.expectedEnd = records, expectedEnd
	l.background(func() {
		a.newEnd, a.err = l.Log.Append(ctx, l.Topic, records, expectedEnd)
		if a.err != nil {
			l.readBack(ctx, &a)
		}
		select {
		case l.appendResults <- a:
		case <-ctx.Done():
		}
	})
}

// readBack finds out whether an append that failed has taken effect. It sets the position to
// append at next, and the error to report if the records are not in the topic.
func (l *Lessor) readBack(ctx context.Context, a *appendResult) {
	a.newEnd = a.expectedEnd
	var first []sharedlog.Record // of those at expectedEnd, as many as the append has
	for more := true; more; {
		batch, err := l.Log.Read(ctx, l.Topic, a.newEnd, 0)
		if err != nil {
			if errors.Is(err, sharedlog.ErrRestored) || errors.Is(err, sharedlog.ErrTrimmed) {
				a.err = err
				return
			}
			break
		}
		a.newEnd = batch.NextPosition()
		if l.inspect(batch.Records, a) {
			a.err = errNotHolder
			return
		}
		first = append(first, batch.Records[:min(len(batch.Records), len(a.records)-len(first))]...)
		more = len(batch.Records) > 0 && batch.Next < batch.End
	}
	// An earlier append at the same position may have records in common with this one.
	if slices.EqualFunc(first, a.records, func(x, y sharedlog.Record) bool { return x.Key == y.Key && bytes.Equal(x.Value, y.Value) }) {
		a.err, a.readBack = nil, true
	}
}

// inspect reports whether records that followed the expected end of an append have the claim of
// another VM, and notes whether the last assignment in them is one of another program. Assignments
// of an earlier era than the append are those of a delayed append, which no VM takes for a claim.
func (l *Lessor) inspect(records []sharedlog.Record, a *appendResult) (otherHolder bool) {
	for _, record := range records {
		if record.Key != keyAssignment {
			continue
		}
		assignment, err := keyrange.Decode(record.Value)
		if errors.Is(err, keyrange.ErrOtherFormat) || err == nil && assignment.Holder != l.Instance && assignment.Era >= a.expectedEnd.Era {
			return true
		}
		a.overwritten = err != nil
	}
	return false
}

// finishAppend processes the result of an append.
func (l *Lessor) finishAppend(a appendResult) {
	if a.claimed != nil {
		l.finishClaim(a)
		return
	}
	lease := a.lease
	if l.lease != lease {
		return
	}
	lease.appending = false
	if a.overwritten {
		lease.core.Overwritten()
	}
	switch {
	case a.err == nil:
		lease.topicEnd, lease.renewedAt = a.newEnd, lease.unanswered.sentAt(&a)
		lease.core.SetAccepted(a.version)
		l.applyAppended(a)
	case errors.Is(a.err, errNotHolder):
		l.lostAt = a.newEnd
		l.lose(a.err)
	default:
		if lease.topicEnd.Before(a.newEnd) && !a.reclaim {
			lease.topicEnd = a.newEnd
		}
		if errors.Is(a.err, sharedlog.ErrRestored) || errors.Is(a.err, sharedlog.ErrTrimmed) {
			l.setPaused(false) // reclaim follows once the restored topic is read
		}
		lease.unanswered.add(&a)
		lease.nextAppend = l.Clock.Now() + appendRetryInterval
		lease.nextHeartbeat, lease.recordedMembers = 0, nil
		l.Logger.Warn("append to the shared log failed", logfield.Error(a.err), zap.Duration("unconfirmed", l.Clock.Now()-lease.renewedAt))
	}
}

// applyAppended applies the records of an accepted append to the table without a read,
// and so passes them on to the VMs for which this one is the relay.
func (l *Lessor) applyAppended(a appendResult) {
	if a.newEnd.Era == a.expectedEnd.Era && a.newEnd.Offset == a.expectedEnd.Offset+int64(len(a.records)) {
		l.follower.DeliverAppended(a.records, a.expectedEnd, a.sentAt)
	}
	// If others appended too, the topic must be read.
	next, _ := l.follower.Cursor()
	l.setPaused(next == a.newEnd)
}

// claimIfFree claims the assignment lease if its holder resigned, fell silent or ended.
func (l *Lessor) claimIfFree(ctx context.Context, now time.Duration) {
	if l.claiming || l.isStopping() || l.isUnfit() {
		return
	}
	silent, next := l.Table.holderSilence()
	current := l.Table.Current()
	if next.Offset == 0 && l.Table.neverRead() || l.Table.undecodable.Load() {
		return
	}
	if !l.ConfigKnown() && current != nil {
		return // leave the lease to a VM that knows the state of the fleet
	}
	free := l.claimable(current, silent, now)
	if next.Before(l.lostAt) {
		return // the table does not include the claim of the other VM yet
	}
	if current != nil && current.Holder == l.Instance && current.Era == next.Era {
		free = true // a claim of this VM took effect although its append had failed
	}
	if free {
		l.claim(ctx, current, next, now)
	}
}

// claimable reports whether this VM may claim the assignment lease: it is vacant, its
// holder's process has ended, or the holder has been silent for too long.
func (l *Lessor) claimable(current *keyrange.Assignment, silent, now time.Duration) bool {
	if current == nil || current.Holder == "" {
		if l.vacantSince == 0 {
			l.vacantSince = now
		}
		return now-l.vacantSince >= l.claimJitter()
	}
	l.vacantSince = 0
	if current.Address == l.Address {
		// The holder is an ended process, whose address this one has, or this process itself
		// before the shared log was restored.
		return true
	}
	return silent >= ClaimAfter+l.claimJitter()
}

// claimJitter returns a fixed delay of this VM below maxClaimJitter, so that claims of
// several VMs rarely collide.
func (l *Lessor) claimJitter() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(l.Instance)) // a hash never fails
	jitter := time.Duration(h.Sum32()%uint32(maxClaimJitter/2/time.Millisecond)) * time.Millisecond
	if !l.Preferred() {
		jitter += maxClaimJitter / 2
	}
	return jitter
}

// claim appends a record with this VM as the lease holder, on the condition that the
// topic ends at expectedEnd. If the shared log was restored from an older copy, the owners
// that this VM knows may not be the newest ones, so the record has none.
func (l *Lessor) claim(ctx context.Context, current *keyrange.Assignment, expectedEnd sharedlog.Position, now time.Duration) {
	last := l.predecessor(current, now)
	if current == nil && !l.FirstStart {
		current = &keyrange.Assignment{} // the record may be lost, in a restored log
	}
	core := NewCore(l.Instance, current, expectedEnd.Era, now, last)
	record, ok := l.assignmentRecord("claim", l.state(core))
	if !ok {
		return
	}
	l.Logger.Info("claiming the assignment lease", zap.Int64("end", expectedEnd.Offset), zap.Bool("resigned", last.Resigned),
		zap.Int64("calls_left_ms", (last.CallsUntil-now).Milliseconds()))
	l.claiming = true
	l.append(ctx, nil, []sharedlog.Record{record}, expectedEnd, appendResult{claimed: core, sentAt: now})
}

// predecessor returns what is known of the last holder of the lease, and of those before it. A
// holder that falls silent wrote its last record before that arrived here, and sends no call once
// the lease of that record has ended.
func (l *Lessor) predecessor(current *keyrange.Assignment, now time.Duration) Predecessor {
	lastRecordAt, _ := l.Table.recordAndReadTimes()
	until := lastRecordAt + AssignmentLeaseDuration + grantTimeout
	switch {
	case current == nil || current.Holder == "" && !current.Unconfirmed:
		return Predecessor{Resigned: true, CallsUntil: now}
	case current.Holder == "": // it gave up the lease with calls in flight
		until = lastRecordAt + grantTimeout
	case current.Address == l.Address: // its process has ended
		until = now + grantTimeout
	}
	return Predecessor{CallsUntil: max(until, l.Table.callsOfEarlierHolders())}
}

// finishClaim acquires the lease if the claim was accepted.
func (l *Lessor) finishClaim(a appendResult) {
	l.claiming = false
	if a.err != nil {
		l.unansweredClaims.add(&a)
		l.Logger.Info("claim of the assignment lease failed", logfield.Error(a.err))
		return
	}
	l.lease = &leaseState{core: a.claimed, topicEnd: a.newEnd, renewedAt: l.unansweredClaims.sentAt(&a)}
	if a.overwritten {
		l.lease.core.Overwritten()
	}
	l.vacantSince = 0
	l.Logger.Info("assignment lease acquired", zap.Int64("end", a.newEnd.Offset), zap.Int64("era", a.newEnd.Era))
	l.OnLeaseChange(true)
	l.applyAppended(a)
}

// lose makes this VM give up the lease and resume the reads of the topic.
func (l *Lessor) lose(reason error) {
	l.lease = nil
	l.setPaused(false)
	l.Logger.Info("assignment lease lost", logfield.Error(reason))
	l.OnLeaseChange(false)
}

func (l *Lessor) isUnfit() bool { return l.Unfit != nil && l.Unfit() }

// abandon gives up the lease of a VM that can make no calls, so that another VM claims it at once.
// Calls of this VM may be in flight, so the successor treats the leases like those of a holder that
// fell silent. If the record is not accepted, that is what this VM is to the others. Grants that are
// no renewals are waited for: they might reach a process that starts after the successor has sent
// higher tokens to the one before it.
func (l *Lessor) abandon(ctx context.Context) {
	lease := l.lease
	if lease.appending || lease.newGrants > 0 {
		return
	}
	state := l.state(lease.core)
	state.Holder, state.Unconfirmed = "", true
	if record, ok := l.assignmentRecord("abandoned assignment", state); ok {
		if _, err := l.Log.Append(ctx, l.Topic, []sharedlog.Record{record}, lease.topicEnd); err != nil {
			l.Logger.Warn("giving up the assignment lease failed", logfield.Error(err))
		}
	}
	l.lose(errUnfit)
}

// resign records that no VM holds the assignment lease. It does nothing while calls or appends
// are in flight. If earlier grants may still take effect, it states that calls are unconfirmed.
func (l *Lessor) resign(ctx context.Context) {
	lease := l.lease
	if lease.appending || lease.core.CallsInFlight() {
		return
	}
	state := l.state(lease.core)
	state.Holder, state.Unconfirmed = "", lease.core.HasUncertainGrants(l.Clock.Now())
	record, ok := l.assignmentRecord("resignation", state)
	if !ok {
		return
	}
	if _, err := l.Log.Append(ctx, l.Topic, []sharedlog.Record{record}, lease.topicEnd); err != nil {
		l.Logger.Warn("resignation of the assignment lease failed", logfield.Error(err))
	}
	l.lose(errors.New("the VM is stopping"))
}
