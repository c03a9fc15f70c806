package keylease

import (
	"context"
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

// memoryLog is a log of one topic that may be cut off.
type memoryLog struct {
	mu      sync.Mutex
	records []sharedlog.Record
	cut     bool
	// late makes an append fail although it takes effect.
	late  bool
	reads int
}

var errCut = errors.New("the log cannot be reached")

func (l *memoryLog) set(cut, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.late = cut, late
}

func (l *memoryLog) Append(_ context.Context, _ string, records []sharedlog.Record, at int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return 0, errCut
	}
	if at != sharedlog.AnyEnd && at != int64(len(l.records)) {
		return 0, sharedlog.ErrEndMoved
	}
	for _, r := range records {
		r.Offset = int64(len(l.records))
		l.records = append(l.records, r)
	}
	if l.late {
		return 0, errCut
	}
	return int64(len(l.records)), nil
}

func (l *memoryLog) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l *memoryLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (sharedlog.Batch, error) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		l.mu.Lock()
		if l.cut {
			l.mu.Unlock()
			return sharedlog.Batch{}, errCut
		}
		next := int64(len(l.records))
		if next > from || time.Now().After(end) || ctx.Err() != nil {
			b := sharedlog.Batch{Next: next, End: next}
			if next > from {
				b.Records = append(b.Records, l.records[from:]...)
			}
			l.mu.Unlock()
			return b, nil
		}
		l.mu.Unlock()
	}
}

func (l *memoryLog) Newest(ctx context.Context, topic string) (sharedlog.Batch, error) {
	return l.Read(ctx, topic, 0, 0)
}

// cutLog is one VM's way to a log.
type cutLog struct {
	*memoryLog
	mu  sync.Mutex
	cut bool
}

func (c *cutLog) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cutLog) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *cutLog) Append(ctx context.Context, topic string, records []sharedlog.Record, at int64) (int64, error) {
	if c.isCut() {
		return 0, errCut
	}
	return c.memoryLog.Append(ctx, topic, records, at)
}

func (c *cutLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (sharedlog.Batch, error) {
	if c.isCut() {
		return sharedlog.Batch{}, errCut
	}
	return c.memoryLog.Read(ctx, topic, from, wait)
}

func (c *cutLog) Newest(ctx context.Context, topic string) (sharedlog.Batch, error) {
	return c.Read(ctx, topic, 0, 0)
}

// countedGrants accepts every call and counts the grants.
type countedGrants struct{ n atomic.Int64 }

func (g *countedGrants) Grant(context.Context, Target, Grant) error {
	g.n.Add(1)
	return nil
}

func (*countedGrants) Release(context.Context, Target, Grant) (string, error) { return "", nil }

type testLessor struct {
	*Lessor
	log    *cutLog
	grants *countedGrants
	mu     sync.Mutex
	// takes counts how often the lease was taken.
	takes int
	held  bool
}

func startLessor(t *testing.T, log *memoryLog, name string) *testLessor {
	t.Helper()
	return startLessorAt(t, log, name, name)
}

func startLessorAt(t *testing.T, log *memoryLog, name, address string) *testLessor {
	t.Helper()
	l := &testLessor{log: &cutLog{memoryLog: log}, grants: &countedGrants{}}
	never := make(chan struct{})
	l.Lessor = NewLessor(LessorOptions{
		Log: l.log, Topic: "lease", Granter: l.grants, Clock: clock.System{}, Table: NewTable(zap.NewNop()),
		Instance: name, Address: address, Logger: zap.NewNop(),
		FleetKnown: func() bool { return true },
		Input: func() Input {
			return Input{Servers: map[string][]Server{"s": {{ID: "b", Address: "a", Usable: true, Capacity: 1}}}}
		},
		Wake:    func() <-chan struct{} { return never },
		Notices: func() ([]byte, []byte) { return []byte("same beat"), []byte("same members") },
		OnHeartbeat:  func([]byte) {}, OnMembers: func([]byte) {},
		OnLeaseChange: func(held bool) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.held = held
			if held {
				l.takes++
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Follower().Run(ctx, l.log)
	go l.Run(ctx)
	return l
}

func (l *testLessor) state() (held bool, takes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held, l.takes
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	waittest.Until(t, 15*time.Second, what, done)
}

// TestDeposedHolderStaysDeposed guards against a VM that takes the lease again from
// a table that has not read the claim of another VM.
func TestDeposedHolderStaysDeposed(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	first := startLessor(t, log, "first")
	await(t, "the first VM holds the lease", func() bool { held, _ := first.state(); return held })
	second := startLessor(t, log, "second")
	first.log.set(true)
	await(t, "the second VM takes over", func() bool { held, _ := second.state(); return held })
	first.log.set(false)
	await(t, "the first VM gives up", func() bool { held, _ := first.state(); return !held })
	time.Sleep(200 * time.Millisecond)
	held, takes := first.state()
	is.True(!held)
	is.Equal(takes, 1)
}

// TestLostAnswers guards against a holder that gives up, or claims twice, because
// the answers to its appends are lost.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	first := startLessor(t, log, "first")
	await(t, "the lease is held", func() bool { held, _ := first.state(); return held })
	log.set(false, true)
	time.Sleep(2 * time.Second)
	log.set(false, false)
	held, takes := first.state()
	is.True(held)
	is.Equal(takes, 1)
}

// TestRestartedHolder guards against a lease that nobody holds until its holder counts
// as silent, although a new process runs in the place of the holder.
func TestRestartedHolder(t *testing.T) {
	log := &memoryLog{}
	first := startLessorAt(t, log, "first", "address")
	await(t, "the lease is held", func() bool { held, _ := first.state(); return held })
	first.log.set(true)
	started := time.Now()
	second := startLessorAt(t, log, "second", "address")
	await(t, "the new process takes the lease", func() bool { held, _ := second.state(); return held })
	if spent := time.Since(started); spent > ClaimAfter/2 {
		t.Errorf("it took %s", spent)
	}
}

// TestUnreadableRecord guards against a VM that takes the lease over an assignment that
// it cannot read: it would grant keys that others hold.
func TestUnreadableRecord(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	_, err := log.Append(context.Background(), "lease", []sharedlog.Record{{Key: keyAssignment, Value: []byte("of a later version")}}, 0)
	is.NoErr(err)
	l := startLessor(t, log, "first")
	time.Sleep(2 * ClaimAfter)
	_, takes := l.state()
	is.Equal(takes, 0)
}

// TestHolderReadsNothing guards against reads of the topic by its only writer, each of
// which costs a call.
func TestHolderReadsNothing(t *testing.T) {
	log := &memoryLog{}
	holder := startLessor(t, log, "first")
	await(t, "the lease is held", func() bool { held, _ := holder.state(); return held })
	await(t, "reads are paused", func() bool { return holder.pauseReads() != nil })
	time.Sleep(ClaimAfter) // a read that is under way ends
	before := log.readCount()
	time.Sleep(2 * BeatInterval)
	if n := log.readCount() - before; n > 0 {
		t.Errorf("%d reads", n)
	}
	holder.log.set(true)
	await(t, "a cut holder reads again", func() bool { return holder.pauseReads() == nil })
}

// TestStopHandsOver guards against a planned stop after which the lease is free for
// as long as after a crash.
func TestStopHandsOver(t *testing.T) {
	log := &memoryLog{}
	first := startLessor(t, log, "first")
	await(t, "the lease is held", func() bool { held, _ := first.state(); return held })
	second := startLessor(t, log, "second")
	time.Sleep(100 * time.Millisecond)
	first.Stop()
	started := time.Now()
	await(t, "the second VM takes over", func() bool { held, _ := second.state(); return held })
	if spent := time.Since(started); spent > ClaimAfter {
		t.Errorf("the hand-over took %s", spent)
	}
}

// TestStopWhileLogIsAway guards against keys that lose their leases because the holder
// stops while the log is away, although nobody can take its place.
func TestStopWhileLogIsAway(t *testing.T) {
	is := is.New(t)
	holder := startLessor(t, &memoryLog{}, "first")
	await(t, "keys are granted", func() bool { return holder.grants.n.Load() > 0 })
	holder.log.set(true)
	holder.Stop()
	before := holder.grants.n.Load()
	time.Sleep(2 * RenewInterval)
	held, _ := holder.state()
	is.True(held)
	is.True(holder.grants.n.Load() > before)
	holder.log.set(false)
	await(t, "the lease is given back", func() bool { held, _ := holder.state(); return !held })
}

// TestLostResignation guards against a holder that goes on granting keys after its
// resignation took effect although the call failed: its successor takes it that all
// calls had ended before.
func TestLostResignation(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	holder := startLessor(t, log, "first")
	await(t, "keys are granted", func() bool { return holder.grants.n.Load() > 0 })
	log.set(false, true)
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

// TestNewServiceWaits guards against a first backend server that gets all keys of a
// new service.
func TestNewServiceWaits(t *testing.T) {
	is := is.New(t)
	c := NewCore("vm", nil, 0, true)
	in := Input{Servers: map[string][]Server{"s": nil}}
	for i := range 5 {
		now := time.Duration(i) * 500 * time.Millisecond
		id := string(rune('a' + i))
		in.Servers["s"] = append(in.Servers["s"], Server{ID: id, Address: id, Usable: true, Capacity: 1})
		c.Step(now, in)
		is.Equal(len(c.State().Services["s"]), 0)
	}
	c.Step(2*time.Second+appearTime, in)
	owners := map[string]int{}
	for _, entry := range c.State().Services["s"] {
		owners[entry.Backend] += entry.Range.Size()
	}
	is.Equal(len(owners), 5)
	for _, keys := range owners {
		is.True(keys > (keyrange.MaxKey+1)/8)
	}
}

// TestRejectedGrant guards against a grant that is repeated without a pause with a
// new token each time.
func TestRejectedGrant(t *testing.T) {
	for _, err := range []error{ErrRejected, ErrNotSent, errors.New("reset")} {
		c := NewCore("vm", nil, 0, true)
		in := Input{Servers: map[string][]Server{"s": {{ID: "a", Address: "a", Usable: true, Capacity: 1}}}}
		calls := 0
		for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
			for _, call := range c.Step(now, in) {
				calls++
				c.Done(call, "", err, now)
			}
			c.Accepted(c.Version())
		}
		if calls > 15 {
			t.Errorf("%v: %d calls in 4 s", err, calls)
		}
	}
}

// TestChangesAreLogged guards against a change of an owner without its line: the trace of
// a key that two servers ran begins with who got it when, and why.
func TestChangesAreLogged(t *testing.T) {
	is := is.New(t)
	server := func(id string, usable bool) Server {
		return Server{ID: id, Address: id, Started: 1, Usable: usable, Capacity: 4}
	}
	core := NewCore("vm", nil, 0, true)
	kinds := make(map[ChangeKind]string)
	step := func(now time.Duration, servers ...Server) {
		for _, call := range core.Step(now, Input{Servers: map[string][]Server{"s": servers}}) {
			core.Done(call, "", nil, now)
		}
		core.Accepted(core.Version())
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
