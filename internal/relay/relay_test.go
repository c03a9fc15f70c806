package relay

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/share"
	"fireflyfield/internal/sharedlog"
	"fireflyfield/internal/waittest"
)

// recordingSink collects the records that a follower gets.
type recordingSink struct {
	mu          sync.Mutex
	records     map[string]string
	confirmedAt time.Duration
}

func (s *recordingSink) follower(log *zap.Logger) *directory.Follower {
	s.records = make(map[string]string)
	return &directory.Follower{
		Topic: "t", Now: clock.System{}.Now, Log: log, Interval: 20 * time.Millisecond,
		Apply: func(b sharedlog.Batch, info directory.BatchInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if info.Snapshot {
				clear(s.records)
			}
			for _, r := range b.Records {
				s.records[r.Key] = string(r.Value)
			}
			s.confirmedAt = max(s.confirmedAt, info.ConfirmedAt)
		},
	}
}

func (s *recordingSink) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[key]
}

// countingLog is a shared log in memory that counts its reads.
type countingLog struct {
	mu      sync.Mutex
	records []sharedlog.Record
	calls   int
	down    bool
}

func (l *countingLog) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, sharedlog.Record{Key: key, Value: []byte(value), Offset: int64(len(l.records))})
}

func (l *countingLog) Append(context.Context, string, []sharedlog.Record, sharedlog.Position) (sharedlog.Position, error) {
	return sharedlog.Position{}, nil
}

func (l *countingLog) Read(_ context.Context, _ string, from sharedlog.Position, _ time.Duration) (sharedlog.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down {
		return sharedlog.Batch{}, errors.New("log unavailable")
	}
	next := int64(len(l.records))
	return sharedlog.Batch{Records: append([]sharedlog.Record(nil), l.records[min(from.Offset, next):]...), Next: next, End: next}, nil
}

func (l *countingLog) Newest(ctx context.Context, topic string) (sharedlog.Batch, error) {
	return l.Read(ctx, topic, sharedlog.Position{}, 0)
}

func (l *countingLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	waittest.Until(t, 10*time.Second, what, done)
}

// TestRelayAndFallback guards against a VM that reads the shared log although its relay
// works, that misses records, or that gets no records after its relay stopped.
func TestRelayAndFallback(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rootLog, leafLog := &countingLog{}, &countingLog{}
	for i := range 3 {
		rootLog.put(fmt.Sprint(i), "v")
		leafLog.put(fmt.Sprint(i), "v")
	}

	var rootSink, leafSink recordingSink
	cache := NewCache(clock.System{}.Now, nil)
	root := rootSink.follower(zap.NewNop())
	cache.Wrap(root)
	go root.Run(ctx, rootLog)
	reports := make(chan string, 10)
	peers := peer.NewServer(peer.Identity{Version: peer.Version, VM: "root"}, "", zap.NewNop())
	Serve(peers, cache, func(r [][]byte) { reports <- string(r[0]) }, func() bool { return false })
	server := httptest.NewServer(peers)
	address := strings.TrimPrefix(server.URL, "http://")

	leaf := leafSink.follower(zap.NewNop())
	client := &Client{
		Peers: peer.NewClient(peer.Identity{Version: peer.Version, VM: "leaf"}, ""), Followers: []*directory.Follower{leaf},
		Address: func() (string, bool) { return address, false }, Fallbacks: func() []string { return nil }, MaxStaleness: testStaleness, Reports: func() [][]byte { return [][]byte{[]byte("load")} },
		ReturnReports: func([][]byte) {}, Now: clock.System{}.Now, Log: zap.NewNop(),
	}
	client.AttachFollowers()
	go client.Run(ctx)
	eventually(t, "the relay is in use", client.Active)
	go leaf.Run(ctx, leafLog)
	is.Equal(<-reports, "load")
	eventually(t, "the leaf has the first records", func() bool { return leafSink.get("2") == "v" })
	rootLog.put("3", "news")
	leafLog.put("3", "news")
	eventually(t, "the leaf has the new record", func() bool { return leafSink.get("3") == "news" })
	is.Equal(leafLog.count(), 0)

	peers.Close()
	server.CloseClientConnections()
	server.Close()
	leafLog.put("4", "direct")
	eventually(t, "the leaf reads the log itself", func() bool { return leafSink.get("4") == "direct" })
	is.True(!client.Active())
}

// TestAgeAfterFailedRead guards against a relay that cannot read the shared log and
// passes old records on as confirmed just now.
func TestAgeAfterFailedRead(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	cache := NewCache(fake.Now, nil)
	cache.put("t", sharedlog.Batch{Next: 5}, directory.BatchInfo{Snapshot: true, ConfirmedAt: fake.Time})
	reply, _ := cache.read("t", sharedlog.Position{Offset: 5})
	is.True(reply.AgeMs <= 1)
	fake.Time += 3 * time.Second
	cache.put("t", sharedlog.Batch{Next: 5}, directory.BatchInfo{ConfirmedAt: fake.Time - time.Hour, FailedAt: fake.Time})
	reply, _ = cache.read("t", sharedlog.Position{Offset: 5})
	is.True(reply.AgeMs >= 3000)
	is.Equal(reply.FailedMs, int64(0))
}

// TestUnchangedRecords guards against unchanged records that are passed on to every VM,
// and against changes and removals that are taken for unchanged records.
func TestUnchangedRecords(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	cache := NewCache(fake.Now, map[string]func(a, b sharedlog.Record) bool{
		"t": func(a, b sharedlog.Record) bool { return string(a.Value) == string(b.Value) },
	})
	cache.put("t", sharedlog.Batch{Next: 1, Records: []sharedlog.Record{{Key: "a", Value: []byte("1")}}}, directory.BatchInfo{Snapshot: true})
	cache.put("t", sharedlog.Batch{Next: 2, Records: []sharedlog.Record{{Key: "a", Offset: 1, Value: []byte("1")}}}, directory.BatchInfo{})
	reply, answerNow := cache.read("t", sharedlog.Position{Offset: 1})
	is.True(!answerNow)
	is.Equal(reply.Next, int64(2))
	cache.put("t", sharedlog.Batch{Next: 3, Records: []sharedlog.Record{{Key: "a", Offset: 2}}}, directory.BatchInfo{})
	reply, answerNow = cache.read("t", sharedlog.Position{Offset: 2})
	is.True(answerNow)
	is.Equal(len(reply.Records), 1)
	reply, _ = cache.read("t", sharedlog.Position{Offset: noCursor})
	is.True(reply.Snapshot)
	is.Equal(len(reply.Records), 0)
}

// TestKeysOfOtherWriters guards against VMs that can use no relay, and all read the shared
// log, because another program has written a record whose key is no UTF-8.
func TestKeysOfOtherWriters(t *testing.T) {
	is := is.New(t)
	cache := NewCache(clock.System{}.Now, nil)
	cache.put("t", sharedlog.Batch{Next: 2, Records: []sharedlog.Record{
		{Key: "\xff\xfe", Value: []byte("odd")}, {Key: "b", Offset: 1, Value: []byte("1")},
	}}, directory.BatchInfo{Snapshot: true})
	peers := peer.NewServer(peer.Identity{Version: peer.Version, VM: "relay"}, "", zap.NewNop())
	Serve(peers, cache, func([][]byte) {}, func() bool { return false })
	server := httptest.NewServer(peers)
	defer server.Close()
	client := peer.NewClient(peer.Identity{Version: peer.Version, VM: "leaf"}, "")
	var reply pollReply
	_, err := client.Call(context.Background(), strings.TrimPrefix(server.URL, "http://"), pollMessage, poll{Cursors: map[string]int64{"t": noCursor}}, &reply)
	is.NoErr(err)
	values := make(map[string]string)
	for _, r := range reply.Topics["t"].Records {
		values[r.Key] = string(r.Value)
	}
	is.Equal(values, map[string]string{"\xff\xfe": "odd", "b": "1"})
}

// TestUnreadableRecords guards against VMs that can use no relay because entries of another
// program, which no VM can decode, make its answers larger than a message may be.
func TestUnreadableRecords(t *testing.T) {
	is := is.New(t)
	const entries, size = 40, 256 << 10
	cache := NewCache(clock.System{}.Now, nil)
	cache.OmitUnreadable("t", func(r sharedlog.Record) bool { return r.Value[0] == 'x' })
	odd := make([]byte, size)
	odd[0] = 'x'
	batch := sharedlog.Batch{Next: entries}
	for i := range entries {
		batch.Records = append(batch.Records, sharedlog.Record{Key: fmt.Sprint("odd-", i), Offset: int64(i), Value: odd})
	}
	cache.put("t", sharedlog.Batch{Next: 1, Records: []sharedlog.Record{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}}, directory.BatchInfo{Snapshot: true})
	batch.Records[3] = sharedlog.Record{Key: "b", Offset: 3, Value: odd} // it was a valid entry before
	cache.put("t", batch, directory.BatchInfo{})
	poll := func(cursor int64) map[string]string {
		reply, _ := cache.read("t", sharedlog.Position{Offset: cursor})
		is.Equal(reply.Next, int64(entries))
		values := make(map[string]string)
		for _, r := range reply.Records {
			values[r.Key] = string(r.Value)
		}
		return values
	}
	is.Equal(poll(noCursor), map[string]string{"a": "1"})
	is.Equal(poll(1), map[string]string{"b": ""}) // removed
	is.Equal(len(batch.Records[3].Value), size)   // this VM itself gets the entries as they are
}

// TestParentsFormTree guards against VMs that poll each other in a cycle, and against too
// many VMs that poll the same one.
func TestParentsFormTree(t *testing.T) {
	is := is.New(t)
	var members []share.Member
	for i := range 40 {
		domain := fmt.Sprint("d", i%4)
		members = append(members, share.Member{VM: fmt.Sprint(i), Domain: domain, Address: fmt.Sprint("a", i)})
	}
	children := map[string]int{}
	parents := map[string]string{}
	for _, m := range members[1:] {
		parent := Parent(members, m.VM, m.Domain, "a0")
		children[parent]++
		parents[m.Address] = parent
	}
	for address := range parents {
		steps := 0
		for current := address; current != "a0"; current = parents[current] {
			steps++
			is.True(steps < 10)
		}
	}
	for parent, n := range children {
		is.True(n <= minFanOut || parent == "a0" && n == 4) // the root of each failure domain polls a0
	}
	is.Equal(Parent(members, "unlisted", "d1", "a0"), "a0")
}

// TestConfirmationEndsWait guards against staleness that adds up along the tree: a poll
// that waits is answered when a read confirms the topics, not at the end of its wait.
func TestConfirmationEndsWait(t *testing.T) {
	is := is.New(t)
	now := clock.System{}.Now
	cache := NewCache(now, nil)
	cache.put("t", sharedlog.Batch{Next: 5}, directory.BatchInfo{Snapshot: true, ConfirmedAt: now() - 3*time.Second})
	go func() {
		time.Sleep(maxPollWait / 10)
		cache.put("t", sharedlog.Batch{Next: 5}, directory.BatchInfo{ConfirmedAt: now()})
	}()
	started := now()
	reply := cache.waitForChange(context.Background(), poll{Cursors: map[string]int64{"t": 5}, WaitMs: maxPollWait.Milliseconds(), AgeMs: 3000})
	is.True(now()-started < maxPollWait/2)
	is.True(reply.age() < maxPollWait/2)
	// A confirmation that is only slightly newer must not end the wait, or VMs would poll
	// without a pause.
	cache.put("t", sharedlog.Batch{Next: 5}, directory.BatchInfo{ConfirmedAt: now()})
	started = now()
	cache.waitForChange(context.Background(), poll{Cursors: map[string]int64{"t": 5}, WaitMs: maxPollWait.Milliseconds(), AgeMs: 1})
	is.True(now()-started >= maxPollWait/2)
}

// TestStaleAnswerDuringOutage guards against VMs that all keep reading a shared log that
// is unavailable, and against a VM that never tries again.
func TestStaleAnswerDuringOutage(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	f := &directory.Follower{
		Topic: "t", Now: fake.Now, Log: zap.NewNop(), Apply: func(sharedlog.Batch, directory.BatchInfo) {},
	}
	c := &Client{Now: fake.Now, Fallbacks: func() []string { return nil }}
	stale := topicReply{Next: 5, AgeMs: (maxRelayAge + time.Second).Milliseconds(), FailedMs: -1}
	is.True(c.checkAge(f, stale, false) != nil) // possibly only the relay cannot read the log
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx, failingLog{cancel, new(atomic.Int64)})
	<-ctx.Done()
	is.NoErr(c.checkAge(f, stale, false))
	fake.Time += 2*probeInterval - time.Millisecond
	is.NoErr(c.checkAge(f, stale, true)) // the relay's own reads fail too
	is.True(c.checkAge(f, stale, false) != nil)
	fake.Time += 2 * time.Millisecond
	is.True(c.checkAge(f, stale, true) != nil)
}

// testStaleness is the staleness that VMs of a large fleet may reach.
const testStaleness = 3 * time.Second

// relayStandIn is a relay whose topic "t" was confirmed the given time ago.
type relayStandIn struct {
	address   string
	polls     atomic.Int64
	reports   atomic.Int64 // number of reports received
	age       atomic.Int64 // in ns
	readsFail atomic.Bool
}

// startRelay starts a relay stand-in.
func startRelay(t *testing.T) *relayStandIn {
	t.Helper()
	r := &relayStandIn{}
	peers := peer.NewServer(peer.Identity{Version: peer.Version, VM: "relay"}, "", zap.NewNop())
	peer.Handle(peers, pollMessage, maxPollBytes, func(_ context.Context, _ peer.Identity, p poll) (pollReply, error) {
		r.polls.Add(1)
		r.reports.Add(int64(len(p.Reports)))
		time.Sleep(5 * time.Millisecond)
		topic := topicReply{Next: 5, Snapshot: true, AgeMs: time.Duration(r.age.Load()).Milliseconds(), FailedMs: -1}
		return pollReply{Topics: map[string]topicReply{"t": topic}, ReadsFail: r.readsFail.Load()}, nil
	})
	server := httptest.NewServer(peers)
	t.Cleanup(server.Close)
	r.address = strings.TrimPrefix(server.URL, "http://")
	return r
}

// startLeaf starts a VM that polls the first relay and falls back to the others, and returns
// the shared log that it reads when none of them is used.
func startLeaf(t *testing.T, relays ...*relayStandIn) (*Client, *countingLog) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	log := &countingLog{}
	log.put("k", "v")
	f := &directory.Follower{
		Topic: "t", Now: clock.System{}.Now, Log: zap.NewNop(), Interval: 20 * time.Millisecond, Apply: func(sharedlog.Batch, directory.BatchInfo) {},
	}
	var fallbacks []string
	for _, r := range relays[1:] {
		fallbacks = append(fallbacks, r.address)
	}
	c := &Client{
		Peers: peer.NewClient(peer.Identity{Version: peer.Version, VM: "leaf"}, ""), Followers: []*directory.Follower{f},
		Address:   func() (string, bool) { return relays[0].address, false },
		Fallbacks: func() []string { return fallbacks }, Reports: func() [][]byte { return [][]byte{[]byte("report")} }, ReturnReports: func([][]byte) {},
		MaxStaleness: testStaleness, Now: clock.System{}.Now, Log: zap.NewNop(),
	}
	c.AttachFollowers()
	go c.Run(ctx)
	eventually(t, "a relay is in use", c.Active)
	go f.Run(ctx, log)
	return c, log
}

// TestFallbackRelay guards against VMs that all read the shared log when the lease holder
// fails: with 295 VMs that was most of the calls of a day. Those whose relay has old records
// must use another VM of the failure domain that has begun to read the log.
func TestFallbackRelay(t *testing.T) {
	is := is.New(t)
	parent, reader := startRelay(t), startRelay(t)
	c, log := startLeaf(t, parent, reader, startRelay(t), startRelay(t))
	calls := log.count()
	parent.age.Store(int64(time.Minute))
	before := reader.polls.Load()
	eventually(t, "the fallback is polled", func() bool { return reader.polls.Load() > before+20 })
	is.True(c.Active())
	is.Equal(log.count(), calls)
}

// TestOutageKnownToRelays guards against the same during an outage of the shared log: a VM
// whose relays all state that they cannot read the log must read it itself only now and then.
func TestOutageKnownToRelays(t *testing.T) {
	var relays []*relayStandIn
	for range 4 {
		relays = append(relays, startRelay(t))
	}
	c, log := startLeaf(t, relays...)
	calls := log.count()
	for _, r := range relays {
		r.age.Store(int64(time.Minute))
		r.readsFail.Store(true)
	}
	log.mu.Lock()
	log.down = true
	log.mu.Unlock()
	eventually(t, "the VM reads the log itself", func() bool { return log.count() > calls })
	eventually(t, "it stops reading", c.Active)
	calls = log.count()
	const probes = 3
	time.Sleep((probes - 1) * outageProbeInterval)
	// Reads go on for probeTime and are at least 100 ms apart.
	if n := log.count() - calls; n > probes*int(probeTime/(100*time.Millisecond)) {
		t.Errorf("%d reads in %s", n, (probes-1)*outageProbeInterval)
	}
}

// failingLog is a shared log that fails every call and calls cancelReader at the second read.
type failingLog struct {
	cancelReader context.CancelFunc
	reads        *atomic.Int64
}

func (l failingLog) Append(context.Context, string, []sharedlog.Record, sharedlog.Position) (sharedlog.Position, error) {
	return sharedlog.Position{}, errors.New("log unavailable")
}

func (l failingLog) Read(context.Context, string, sharedlog.Position, time.Duration) (sharedlog.Batch, error) {
	return sharedlog.Batch{}, errors.New("log unavailable")
}

func (l failingLog) Newest(context.Context, string) (sharedlog.Batch, error) {
	if l.reads.Add(1) == 2 {
		l.cancelReader()
	}
	return sharedlog.Batch{}, errors.New("log unavailable")
}

// TestStalenessBound guards against a VM that is too stale after its relay stopped
// responding: a backend server that leaves must get no requests 2.5 s later.
func TestStalenessBound(t *testing.T) {
	const drainWithin, ownRead = 2500 * time.Millisecond, 100 * time.Millisecond
	if age := maxRelayAge + maxPollWait + pollMargin + ownRead; age > drainWithin {
		t.Errorf("records may be %s old, more than a leaving backend server allows", age)
	}
	// While its relays answer with old records, a poll may still begin at mayPoll's bound.
	for _, within := range []time.Duration{2 * time.Second, drainWithin, 3 * time.Second} {
		fake := &clock.Fake{Time: time.Minute}
		c := &Client{MaxStaleness: within, Now: fake.Now}
		for c.mayPoll() {
			fake.Time += time.Millisecond
			c.confirmedAt = time.Minute
		}
		if age := fake.Time - time.Minute + pollMargin + oldRetryDelay + ownRead; age > within {
			t.Errorf("records may be %s old, %s are allowed", age, within)
		}
	}
}

// TestRelayAfterRestore guards against a relay that answers a VM with records of a restored
// log as if they followed those of the log before, or that keeps the VM waiting for them.
func TestRelayAfterRestore(t *testing.T) {
	is := is.New(t)
	cache := NewCache(clock.System{}.Now, nil)
	before := sharedlog.Position{Offset: 9}
	cache.put("t", sharedlog.Batch{Records: []sharedlog.Record{{Key: "k", Offset: 8, Value: []byte("lost")}}, Next: 9}, directory.BatchInfo{Snapshot: true})
	cache.put("t", sharedlog.Batch{Records: []sharedlog.Record{{Key: "k", Offset: 4, Value: []byte("kept")}}, Era: 1, Next: 5}, directory.BatchInfo{Snapshot: true, Restored: true})
	reply, answerNow := cache.read("t", before)
	is.True(answerNow)
	is.True(reply.Snapshot)
	is.Equal(reply.Era, int64(1))
	is.Equal(string(reply.Records[0].Value), "kept")
	cache.put("t", sharedlog.Batch{Records: []sharedlog.Record{{Key: "k", Offset: 5, Value: []byte("new")}}, Era: 1, Next: 12}, directory.BatchInfo{})
	reply, _ = cache.read("t", before) // its offset exists again
	is.True(reply.Snapshot)
	// A VM that is ahead of its relay must not be answered at once, again and again.
	_, answerNow = cache.read("t", sharedlog.Position{Era: 2, Offset: 1})
	is.True(!answerNow)
}

// TestTreeByFanOut guards against a deep tree of VMs with small links when some VMs of the
// failure domain could answer many others, since the staleness grows with the depth.
func TestTreeByFanOut(t *testing.T) {
	is := is.New(t)
	var members []share.Member
	for i := range 50 {
		fanOut := FanOut(20)
		if i%20 == 7 { // three large VMs
			fanOut = FanOut(200)
		}
		members = append(members, share.Member{VM: fmt.Sprint(i), Domain: "d", Address: fmt.Sprint("a", i), FanOut: fanOut})
	}
	children := map[string]int{}
	parents := map[string]string{}
	for _, m := range members {
		parents[m.Address] = Parent(members, m.VM, "d", "holder")
		children[parents[m.Address]]++
	}
	for _, m := range members {
		depth := 0
		for current := m.Address; current != "holder"; current = parents[current] {
			depth++
			is.True(depth <= 4)
		}
		is.True(children[m.Address] <= m.FanOut)
	}
	is.Equal(children["holder"], 1)
	is.Equal(Fallbacks(members, "0", "d", "holder"), []string{"a7", "a27", "a47"})
	is.Equal(Fallbacks(members, "27", "d", "holder"), []string{"a7"})
	is.Equal(len(Fallbacks(members, "7", "d", "holder")), 0)
}

// TestReportsAvoidCutOffRelay guards against VMs that are dropped from the members, whose number
// divides the limits of cold backend servers, rates and connections, although they serve callers:
// their reports went to a relay that is cut off from the shared log and from the lease holder.
func TestReportsAvoidCutOffRelay(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := func(cache *Cache, onReports func([][]byte)) string {
		peers := peer.NewServer(peer.Identity{Version: peer.Version, VM: "relay"}, "", zap.NewNop())
		Serve(peers, cache, onReports, func() bool { return false })
		server := httptest.NewServer(peers)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	now := clock.System{}.Now
	cutOff, connected := NewCache(now, nil), NewCache(now, nil)
	cutOff.put("t", sharedlog.Batch{Next: 1}, directory.BatchInfo{Snapshot: true, ConfirmedAt: now() - time.Minute})
	log := &countingLog{}
	log.put("k", "v")
	var sink recordingSink
	reader := sink.follower(zap.NewNop())
	connected.Wrap(reader)
	go reader.Run(ctx, log)
	eventually(t, "the relay has read the log", func() bool { return sink.get("k") == "v" })

	received := make(chan string, 10)
	first := start(cutOff, func([][]byte) {})
	second := start(connected, func(reports [][]byte) {
		for _, report := range reports {
			received <- string(report)
		}
	})
	due := [][]byte{[]byte("report")}
	var leafSink recordingSink
	client := &Client{
		Peers: peer.NewClient(peer.Identity{Version: peer.Version, VM: "leaf"}, ""), Followers: []*directory.Follower{leafSink.follower(zap.NewNop())},
		Address: func() (string, bool) { return first, false }, Fallbacks: func() []string { return []string{second} }, MaxStaleness: testStaleness,
		Reports: func() [][]byte {
			reports := due
			due = nil
			return reports
		},
		ReturnReports: func(reports [][]byte) { due = reports },
		Now:           now, Log: zap.NewNop(),
	}
	client.AttachFollowers()
	go client.Run(ctx)
	select {
	case report := <-received:
		is.Equal(report, "report")
	case <-time.After(5 * time.Second):
		t.Fatal("the report did not reach the relay that is connected")
	}
}

// TestDirectReaderKeepsReports guards against reports that a VM which reads the shared log itself
// hands to a relay with old records, while the VM should append them: they came back too late
// for its next append.
func TestDirectReaderKeepsReports(t *testing.T) {
	is := is.New(t)
	old := startRelay(t)
	c, _ := startLeaf(t, old)
	old.age.Store(int64(time.Minute))
	eventually(t, "the VM reads the log itself", func() bool { return !c.Active() })
	polls, reports := old.polls.Load(), old.reports.Load()
	eventually(t, "the relay is polled again", func() bool { return old.polls.Load() > polls+2 })
	is.Equal(old.reports.Load(), reports)
}
