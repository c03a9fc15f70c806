package keylease

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/sharedlog"
	"fireflyfield/internal/waittest"
)

// noWeight is a key space without known load.
func noWeight(string) *keyrange.Weight { return nil }

// memoryLog is an in-memory shared log of one topic with injected faults.
type memoryLog struct {
	mu           sync.Mutex
	records      []sharedlog.Record
	disconnected bool
	// loseResponses makes appends fail although they take effect.
	loseResponses bool
	reads         int
	era           int64
}

// restore takes the log back to its first records and starts a new era.
func (l *memoryLog) restore(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append([]sharedlog.Record(nil), l.records[:records]...)
	l.era++
}

// size returns the number of records.
func (l *memoryLog) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// end returns the end of the topic. The caller holds the lock.
func (l *memoryLog) end() sharedlog.Position {
	return sharedlog.Position{Era: l.era, Offset: int64(len(l.records))}
}

var errUnreachable = errors.New("the shared log is unreachable")

func (l *memoryLog) setFaults(disconnected, loseResponses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected, l.loseResponses = disconnected, loseResponses
}

func (l *memoryLog) Append(_ context.Context, _ string, records []sharedlog.Record, expectedEnd sharedlog.Position) (sharedlog.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.disconnected {
		return sharedlog.Position{}, errUnreachable
	}
	moved := expectedEnd != sharedlog.AnyEnd && expectedEnd.Offset != int64(len(l.records))
	restored := expectedEnd != sharedlog.AnyEnd && expectedEnd.Era < l.era
	if moved && !restored {
		return sharedlog.Position{}, sharedlog.ErrEndMoved
	}
	if !moved { // the log does not know the expected era
		for _, r := range records {
			r.Offset = int64(len(l.records))
			l.records = append(l.records, r)
		}
	}
	if l.loseResponses {
		return sharedlog.Position{}, errUnreachable
	}
	if restored {
		return sharedlog.Position{}, sharedlog.ErrRestored
	}
	return l.end(), nil
}

func (l *memoryLog) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l *memoryLog) Read(ctx context.Context, _ string, from sharedlog.Position, wait time.Duration) (sharedlog.Batch, error) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		l.mu.Lock()
		if l.disconnected {
			l.mu.Unlock()
			return sharedlog.Batch{}, errUnreachable
		}
		if l.era > from.Era {
			l.mu.Unlock()
			return sharedlog.Batch{}, sharedlog.ErrRestored
		}
		next := int64(len(l.records))
		if next > from.Offset || time.Now().After(end) || ctx.Err() != nil {
			b := sharedlog.Batch{Era: l.era, Next: next, End: next}
			if next > from.Offset {
				b.Records = append(b.Records, l.records[from.Offset:]...)
			}
			l.mu.Unlock()
			return b, nil
		}
		l.mu.Unlock()
	}
}

func (l *memoryLog) Newest(ctx context.Context, topic string) (sharedlog.Batch, error) {
	l.mu.Lock()
	from := sharedlog.Position{Era: l.era}
	l.mu.Unlock()
	return l.Read(ctx, topic, from, 0)
}

// vmLog is one VM's connection to the shared log.
type vmLog struct {
	*memoryLog
	mu           sync.Mutex
	disconnected bool
}

func (c *vmLog) setDisconnected(disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = disconnected
}

func (c *vmLog) isDisconnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disconnected
}

func (c *vmLog) Append(ctx context.Context, topic string, records []sharedlog.Record, expectedEnd sharedlog.Position) (sharedlog.Position, error) {
	if c.isDisconnected() {
		return sharedlog.Position{}, errUnreachable
	}
	return c.memoryLog.Append(ctx, topic, records, expectedEnd)
}

func (c *vmLog) Read(ctx context.Context, topic string, from sharedlog.Position, wait time.Duration) (sharedlog.Batch, error) {
	if c.isDisconnected() {
		return sharedlog.Batch{}, errUnreachable
	}
	return c.memoryLog.Read(ctx, topic, from, wait)
}

func (c *vmLog) Newest(ctx context.Context, topic string) (sharedlog.Batch, error) {
	if c.isDisconnected() {
		return sharedlog.Batch{}, errUnreachable
	}
	return c.memoryLog.Newest(ctx, topic)
}

// countingGranter accepts every call and counts the grants.
type countingGranter struct{ n atomic.Int64 }

func (g *countingGranter) Grant(context.Context, Target, Grant) error {
	g.n.Add(1)
	return nil
}

func (*countingGranter) Release(context.Context, Target, Grant) (string, error) { return "", nil }

type testLessor struct {
	*Lessor
	log    *vmLog
	grants *countingGranter
	unfit  atomic.Bool
	// started is the start of the process of the only backend server.
	started atomic.Int64
	mu      sync.Mutex
	// acquisitions counts how often this VM acquired the assignment lease.
	acquisitions int
	held         bool
}

func startLessor(t *testing.T, log *memoryLog, name string) *testLessor {
	t.Helper()
	return startLessorAt(t, log, name, name)
}

func startLessorAt(t *testing.T, log *memoryLog, name, address string) *testLessor {
	t.Helper()
	if testing.Short() {
		t.Skip("runs on the real clock")
	}
	l := &testLessor{log: &vmLog{memoryLog: log}, grants: &countingGranter{}}
	never := make(chan struct{})
	l.Lessor = NewLessor(LessorOptions{
		Log: l.log, Topic: "lease", Granter: l.grants, Clock: clock.System{}, Table: NewTable(zap.NewNop()),
		Instance: name, Address: address, Logger: zap.NewNop(),
		ConfigKnown: func() bool { return true }, Preferred: func() bool { return true }, Unfit: l.unfit.Load,
		Input: func() Input {
			return Input{Weight: noWeight, Servers: map[string][]Server{"s": {{ID: "b", Address: "a", Started: l.started.Load(), Usable: true, Capacity: 1}}}}
		},
		Wake:        func() <-chan struct{} { return never },
		Notices:     func() ([]byte, []byte) { return []byte("same heartbeat"), []byte("same members") },
		OnHeartbeat: func([]byte) {}, OnMembers: func([]byte) {},
		OnLeaseChange: func(held bool) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.held = held
			if held {
				l.acquisitions++
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Follower().Run(ctx, l.log)
	go l.Run(ctx)
	return l
}

func (l *testLessor) state() (held bool, acquisitions int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held, l.acquisitions
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	waittest.Until(t, 15*time.Second, what, done)
}

// TestLostLeaseIsNotReacquired guards against a VM that loses the assignment lease and
// acquires it again because its table does not include the other VM's claim yet.
func TestLostLeaseIsNotReacquired(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	first := startLessor(t, log, "first")
	await(t, "the first VM acquires the assignment lease", func() bool { held, _ := first.state(); return held })
	second := startLessor(t, log, "second")
	first.log.setDisconnected(true)
	await(t, "the second VM takes over", func() bool { held, _ := second.state(); return held })
	first.log.setDisconnected(false)
	await(t, "the first VM loses the lease", func() bool { held, _ := first.state(); return !held })
	time.Sleep(200 * time.Millisecond)
	held, acquisitions := first.state()
	is.True(!held)
	is.Equal(acquisitions, 1)
}

// TestLostAppendResponses guards against a lease holder that gives up the lease, or
// claims it twice, because the responses to its appends are lost.
func TestLostAppendResponses(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	first := startLessor(t, log, "first")
	await(t, "the lease is held", func() bool { held, _ := first.state(); return held })
	log.setFaults(false, true)
	time.Sleep(2 * time.Second)
	log.setFaults(false, false)
	held, acquisitions := first.state()
	is.True(held)
	is.Equal(acquisitions, 1)
}

// TestRestartedHolder guards against a restarted VM that waits for the silence of its
// own former process: a new process at the holder's address must claim at once.
func TestRestartedHolder(t *testing.T) {
	log := &memoryLog{}
	first := startLessorAt(t, log, "first", "address")
	await(t, "the lease is held", func() bool { held, _ := first.state(); return held })
	first.log.setDisconnected(true)
	started := time.Now()
	second := startLessorAt(t, log, "second", "address")
	await(t, "the new process acquires the lease", func() bool { held, _ := second.state(); return held })
	if elapsed := time.Since(started); elapsed > ClaimAfter/2 {
		t.Errorf("the new process acquired the lease after %s", elapsed)
	}
}

// TestUnreadableRecord guards against a VM that acquires the lease although it cannot
// decode the recorded assignment: it would grant keys that backend servers still hold.
func TestUnreadableRecord(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	_, err := log.Append(context.Background(), "lease", []sharedlog.Record{{Key: keyAssignment, Value: []byte("of a later version")}}, sharedlog.Position{})
	is.NoErr(err)
	l := startLessor(t, log, "first")
	time.Sleep(2 * ClaimAfter)
	_, acquisitions := l.state()
	is.Equal(acquisitions, 0)
}

// oddAssignments are records under the key of the assignment that no VM wrote.
var oddAssignments = []string{"{}", "\x00\xff", "", "\xa0", "\xf6", "\xa2\x0a\x02\x06\xa1\x61s\x80"}

// TestOddAssignment guards against a fleet without a lease holder, for good, after another
// program has written to the topic of the assignment lease: the holder took the record for a
// claim, and no VM claimed a lease whose record it could not decode.
func TestOddAssignment(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	first := startLessor(t, log, "first")
	await(t, "the lease is held", func() bool { held, _ := first.state(); return held })
	second := startLessor(t, log, "second")
	await(t, "both VMs know the holder", func() bool { return second.Table.holder() == "first" && first.Table.holder() == "first" })
	for _, odd := range oddAssignments {
		_, err := log.Append(context.Background(), "lease", []sharedlog.Record{{Key: keyAssignment, Value: []byte(odd)}}, sharedlog.AnyEnd)
		is.NoErr(err)
		// A VM that starts now gets the newest record only.
		await(t, "the assignment is recorded again", func() bool {
			content := log.newest(keyAssignment)
			a, err := keyrange.Decode(content)
			return err == nil && a.Holder == "first"
		})
	}
	held, acquisitions := first.state()
	is.True(held)
	is.Equal(acquisitions, 1)
	first.log.setDisconnected(true)
	_, err := log.Append(context.Background(), "lease", []sharedlog.Record{{Key: keyAssignment, Value: []byte("odd")}}, sharedlog.AnyEnd)
	is.NoErr(err)
	await(t, "the second VM takes over", func() bool { held, _ := second.state(); return held })
}

// newest returns the value of the newest record of a key.
func (l *memoryLog) newest(key string) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range slices.Backward(l.records) {
		if r.Key == key {
			return r.Value
		}
	}
	return nil
}

// TestHolderReadsAfterOtherWriter guards against a lease holder that no longer reads its topic
// after another program has written to it: the VMs that poll it would get no records for good.
func TestHolderReadsAfterOtherWriter(t *testing.T) {
	log := &memoryLog{}
	holder := startLessor(t, log, "first")
	await(t, "the lease is held", func() bool { held, _ := holder.state(); return held })
	await(t, "reads are paused", func() bool { return holder.pauseReads() != nil })
	size := log.size()
	await(t, "a heartbeat is accepted", func() bool { return log.size() > size })
	if _, err := log.Append(context.Background(), "lease", []sharedlog.Record{{Key: "odd", Value: []byte("odd")}}, sharedlog.AnyEnd); err != nil {
		t.Fatal(err)
	}
	holder.started.Add(1) // the assignment changes before the next heartbeat is due
	end := int64(log.size())
	time.Sleep(2 * HeartbeatInterval)
	if next, _ := holder.Follower().Cursor(); next.Offset <= end {
		t.Errorf("the holder has read up to %d of %d records", next.Offset, log.size())
	}
}

// TestHolderPausesReads guards against a lease holder that reads the topic although it
// is the only writer; each read costs a call. It must read again once its appends fail.
func TestHolderPausesReads(t *testing.T) {
	log := &memoryLog{}
	holder := startLessor(t, log, "first")
	await(t, "the lease is held", func() bool { held, _ := holder.state(); return held })
	await(t, "reads are paused", func() bool { return holder.pauseReads() != nil })
	time.Sleep(ClaimAfter) // wait for the read in flight to end
	before := log.readCount()
	time.Sleep(2 * HeartbeatInterval)
	if n := log.readCount() - before; n > 0 {
		t.Errorf("the lease holder read the topic %d times", n)
	}
	holder.log.setDisconnected(true)
	await(t, "a disconnected holder resumes its reads", func() bool { return holder.pauseReads() == nil })
}

// TestStopResignsLease guards against a planned stop after which the lease stays vacant
// for as long as after a crash.
func TestStopResignsLease(t *testing.T) {
	log := &memoryLog{}
	first := startLessor(t, log, "first")
	await(t, "the lease is held", func() bool { held, _ := first.state(); return held })
	second := startLessor(t, log, "second")
	time.Sleep(100 * time.Millisecond)
	first.Stop()
	started := time.Now()
	await(t, "the second VM takes over", func() bool { held, _ := second.state(); return held })
	if elapsed := time.Since(started); elapsed > ClaimAfter {
		t.Errorf("the second VM took over after %s", elapsed)
	}
}

// TestUnfitHolderGivesUpLease guards against a lease holder that reaches no backend server and
// keeps the lease, so that the leases on all keys end, against one that claims it again, and
// against a successor that takes calls of the predecessor for ended.
func TestUnfitHolderGivesUpLease(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	first := startLessor(t, log, "first")
	await(t, "the lease is held", func() bool { held, _ := first.state(); return held })
	second := startLessor(t, log, "second")
	time.Sleep(100 * time.Millisecond)
	started := time.Now()
	first.unfit.Store(true)
	await(t, "the second VM takes over", func() bool { held, _ := second.state(); return held })
	is.True(time.Since(started) < ClaimAfter)
	second.unfit.Store(true)
	await(t, "the second VM gives up the lease", func() bool { held, _ := second.state(); return !held })
	time.Sleep(ClaimAfter)
	held, acquisitions := first.state()
	is.True(!held)
	is.Equal(acquisitions, 1)
	batch, err := log.Newest(context.Background(), "lease")
	is.NoErr(err)
	for _, r := range batch.Records {
		if r.Key == keyAssignment {
			a, err := keyrange.Decode(r.Value)
			is.NoErr(err)
			is.Equal(a.Unconfirmed, a.Holder == "") // vacant by abandonment each time
		}
	}
	first.unfit.Store(false)
	await(t, "the first VM claims the lease again", func() bool { held, _ := first.state(); return held })
}

// TestStopWhileLogUnreachable guards against key range leases that expire because the
// lease holder stops while the shared log is unreachable, although no other VM can take
// over.
func TestStopWhileLogUnreachable(t *testing.T) {
	is := is.New(t)
	holder := startLessor(t, &memoryLog{}, "first")
	await(t, "keys are granted", func() bool { return holder.grants.n.Load() > 0 })
	holder.log.setDisconnected(true)
	holder.Stop()
	before := holder.grants.n.Load()
	time.Sleep(2 * RenewInterval)
	held, _ := holder.state()
	is.True(held)
	is.True(holder.grants.n.Load() > before)
	holder.log.setDisconnected(false)
	await(t, "the lease is resigned", func() bool { held, _ := holder.state(); return !held })
}

// TestLostResignationResponse guards against a lease holder that goes on granting keys
// after its resignation took effect although the append failed: its successor assumes
// that all its calls have ended.
func TestLostResignationResponse(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	holder := startLessor(t, log, "first")
	await(t, "keys are granted", func() bool { return holder.grants.n.Load() > 0 })
	log.setFaults(false, true)
	holder.Stop()
	resigned := func() bool {
		batch, err := log.Newest(context.Background(), "lease")
		is.NoErr(err)
		for i := len(batch.Records) - 1; i >= 0; i-- {
			if batch.Records[i].Key == keyAssignment {
				a, err := keyrange.Decode(batch.Records[i].Value)
				is.NoErr(err)
				return a.Holder == ""
			}
		}
		return false
	}
	await(t, "the resignation is recorded", resigned)
	before := holder.grants.n.Load()
	time.Sleep(2 * RenewInterval)
	is.Equal(holder.grants.n.Load(), before)
}

// TestNewServiceWaitsForServers guards against a first backend server that gets all keys
// of a new service because the others were not listed yet.
func TestNewServiceWaitsForServers(t *testing.T) {
	is := is.New(t)
	c := NewCore("vm", nil, 0, 0, Predecessor{Resigned: true})
	in := Input{Weight: noWeight, Servers: map[string][]Server{"s": nil}}
	for i := range 5 {
		now := time.Duration(i) * 500 * time.Millisecond
		id := string(rune('a' + i))
		in.Servers["s"] = append(in.Servers["s"], Server{ID: id, Address: id, Usable: true, Capacity: 1})
		c.Step(now, in)
		is.Equal(len(c.State().Services["s"]), 0)
	}
	c.Step(2*time.Second+newServiceDelay, in)
	owners := map[string]int{}
	for _, entry := range c.State().Services["s"] {
		owners[entry.Backend] += entry.Range.Size()
	}
	is.Equal(len(owners), 5)
	for _, keys := range owners {
		is.True(keys > (keyrange.MaxKey+1)/8)
	}
}

// TestFailedGrantBacksOff guards against a failed grant that is retried at once, with a new
// fencing token each time.
func TestFailedGrantBacksOff(t *testing.T) {
	for _, err := range []error{ErrRejected, ErrNotSent, errors.New("reset")} {
		c := NewCore("vm", nil, 0, 0, Predecessor{Resigned: true})
		in := Input{Weight: noWeight, Servers: map[string][]Server{"s": {{ID: "a", Address: "a", Usable: true, Capacity: 1}}}}
		calls := 0
		for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
			for _, call := range c.Step(now, in) {
				calls++
				c.HandleResult(call, "", err, now)
			}
			c.SetAccepted(c.Version())
		}
		if calls > 15 {
			t.Errorf("%v: %d calls in 5 s, at most 15 are allowed", err, calls)
		}
	}
}

// TestEntryWithoutStart guards against two owners of a key: an entry of an owner that lacks the
// start of its process, as another program may write it, was taken for that of a later process,
// so that its keys went to another backend server while the owner still served them.
func TestEntryWithoutStart(t *testing.T) {
	is := is.New(t)
	core := NewCore("vm", nil, 0, 0, Predecessor{Resigned: true})
	step := func(now time.Duration, started int64) {
		a := Server{ID: "a", Address: "a", Started: started, Usable: true, Capacity: 1}
		for _, call := range core.Step(now, Input{Weight: noWeight, Servers: map[string][]Server{"s": {a}}}) {
			core.HandleResult(call, "", nil, now)
		}
		core.SetAccepted(core.Version())
	}
	now := time.Duration(0)
	run := func(started int64) []Change {
		for until := now + 3*time.Second; now < until; now += 100 * time.Millisecond {
			step(now, started)
		}
		return core.TakeChanges()
	}
	is.Equal(run(0)[0].Kind, ChangeAssigned)
	is.Equal(len(run(7)), 0) // the real entry of the process that got the keys
	is.Equal(len(run(0)), 0)
	core.freeRange(core.ranges["s"][0], "", 0, now, "")
	is.Equal(run(7)[1].Kind, ChangeAssigned)
	is.Equal(len(run(0)), 0)
	is.Equal(len(run(7)), 0)
	is.Equal(run(8)[0].Reason, "owner restarted")
}

// TestChangesAreLogged guards against an owner change that is not reported: to find out
// why two servers served a key, one needs to know who got it when, and why.
func TestChangesAreLogged(t *testing.T) {
	is := is.New(t)
	server := func(id string, usable bool) Server {
		return Server{ID: id, Address: id, Started: 1, Usable: usable, Capacity: 4}
	}
	core := NewCore("vm", nil, 0, 0, Predecessor{Resigned: true})
	kinds := make(map[ChangeKind]string)
	step := func(now time.Duration, servers ...Server) {
		for _, call := range core.Step(now, Input{Weight: noWeight, Servers: map[string][]Server{"s": servers}}) {
			core.HandleResult(call, "", nil, now)
		}
		core.SetAccepted(core.Version())
		for _, change := range core.TakeChanges() {
			is.Equal(change.Service, "s")
			kinds[change.Kind] += change.Backend + " " + change.Reason + ";"
		}
	}
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Millisecond {
		step(now, server("a", true))
	}
	is.Equal(kinds[ChangeAssigned], "a ;")
	for now := 2 * time.Second; now < 3*time.Second; now += 100 * time.Millisecond {
		step(now, server("a", false), server("b", true))
	}
	is.Equal(kinds[ChangeMoving], "a owner leaves;")
	is.Equal(kinds[ChangeFreed], "a released;")
	is.Equal(kinds[ChangeAssigned], "a ;b ;")
}

// assignments returns the recorded assignments.
func (l *memoryLog) assignments(t *testing.T) []*keyrange.Assignment {
	t.Helper()
	batch, err := l.Newest(context.Background(), "lease")
	if err != nil {
		t.Fatal(err)
	}
	var list []*keyrange.Assignment
	for _, r := range batch.Records {
		if r.Key != keyAssignment {
			continue
		}
		a, err := keyrange.Decode(r.Value)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, a)
	}
	return list
}

// TestHolderAfterRestore guards against a lease holder that stops renewing leases, or never
// records them again, because the restored log lacks its last records or its claim.
func TestHolderAfterRestore(t *testing.T) {
	for name, kept := range map[string]int{"without the last records": 4, "without the claim": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &memoryLog{}
			holder := startLessor(t, log, "first")
			await(t, "keys are granted", func() bool { return holder.grants.n.Load() > 0 })
			await(t, "the log has more records", func() bool { return log.size() > 5 })
			other := startLessor(t, log, "second")
			time.Sleep(100 * time.Millisecond)
			log.restore(kept)
			await(t, "the assignment is recorded again", func() bool {
				list := log.assignments(t)
				return len(list) > 0 && list[len(list)-1].Holder == "first" && list[len(list)-1].Era == 1
			})
			list := log.assignments(t)
			is.Equal(list[len(list)-1].Services["s"][0].Backend, "b")
			before := holder.grants.n.Load()
			time.Sleep(ClaimAfter + maxClaimJitter)
			is.True(holder.grants.n.Load() > before)
			_, acquisitions := holder.state()
			is.Equal(acquisitions, 1)
			_, acquisitions = other.state()
			is.Equal(acquisitions, 0)
		})
	}
}

// TestTakeoverAfterRestore guards against a new lease holder that trusts the owners in a
// restored log, which may lack the newest grants: it must wait until all leases have ended,
// and use higher fencing tokens than all before.
func TestTakeoverAfterRestore(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	first := startLessor(t, log, "first")
	await(t, "keys are granted", func() bool { return first.grants.n.Load() > 0 })
	await(t, "the log has more records", func() bool { return log.size() > 4 })
	lastFence := log.assignments(t)[len(log.assignments(t))-1].Fence
	first.log.setDisconnected(true)
	log.restore(3)
	restoredAt := time.Now()
	second := startLessor(t, log, "second")
	await(t, "the second VM grants keys", func() bool { return second.grants.n.Load() > 0 })
	is.True(time.Since(restoredAt) > AssignmentLeaseDuration+RangeLeaseDuration)
	list := log.assignments(t)
	is.True(list[len(list)-1].Services["s"][0].Fence > lastFence)
	first.log.setDisconnected(false)
	await(t, "the first VM has lost the lease", func() bool { held, _ := first.state(); return !held })
}

// TestLongOutageBeforeRestore guards against a holder that goes on with its leases after a
// restore although another VM may have held the lease in the part of the log that is lost.
func TestLongOutageBeforeRestore(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	holder := startLessor(t, log, "first")
	await(t, "keys are granted", func() bool { return holder.grants.n.Load() > 0 })
	await(t, "the log has more records", func() bool { return log.size() > 4 })
	log.setFaults(true, false)
	time.Sleep(ClaimAfter + HeartbeatInterval)
	log.restore(3)
	log.setFaults(false, false)
	await(t, "the lease is acquired again", func() bool { _, acquisitions := holder.state(); return acquisitions == 2 })
	list := log.assignments(t)
	is.Equal(list[len(list)-1].Era, int64(1))
	is.Equal(list[len(list)-1].Services["s"][0].Backend, "")
}

// TestStopAfterTakeover guards against a lease holder that stops shortly after it took the lease
// from a silent one, and gives it up only seconds later or not at all, since earlier calls may
// still be under way.
func TestStopAfterTakeover(t *testing.T) {
	log := &memoryLog{}
	first := startLessor(t, log, "first")
	await(t, "keys are granted", func() bool { return first.grants.n.Load() > 0 })
	second := startLessor(t, log, "second")
	first.log.setDisconnected(true)
	await(t, "the second VM takes over", func() bool { held, _ := second.state(); return held })
	third := startLessor(t, log, "third")
	time.Sleep(100 * time.Millisecond)
	second.Stop()
	started := time.Now()
	await(t, "the third VM takes over", func() bool { held, _ := third.state(); return held })
	if elapsed := time.Since(started); elapsed > ClaimAfter {
		t.Errorf("the third VM took over after %s", elapsed)
	}
}
