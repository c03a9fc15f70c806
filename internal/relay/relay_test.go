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

// sink collects what a follower gets.
type sink struct {
	mu      sync.Mutex
	records map[string]string
	sent    time.Duration
}

func (s *sink) follower(log *zap.Logger) *directory.Follower {
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
			s.sent = max(s.sent, info.ConfirmedAt)
		},
	}
}

func (s *sink) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[key]
}

// countingLog is a log that counts its calls.
type countingLog struct {
	mu      sync.Mutex
	records []sharedlog.Record
	calls   int
}

func (l *countingLog) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, sharedlog.Record{Key: key, Value: []byte(value), Offset: int64(len(l.records))})
}

func (l *countingLog) Append(context.Context, string, []sharedlog.Record, int64) (int64, error) {
	return 0, nil
}

func (l *countingLog) Read(_ context.Context, _ string, from int64, _ time.Duration) (sharedlog.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	next := int64(len(l.records))
	return sharedlog.Batch{Records: append([]sharedlog.Record(nil), l.records[min(from, next):]...), Next: next, End: next}, nil
}

func (l *countingLog) Newest(ctx context.Context, topic string) (sharedlog.Batch, error) {
	return l.Read(ctx, topic, 0, 0)
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

// TestRelay guards against a VM that reads the log although its relay works, that
// misses records, or that is left without news when its relay is gone.
func TestRelay(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rootLog, log := &countingLog{}, &countingLog{}
	for i := range 3 {
		rootLog.put(fmt.Sprint(i), "v")
		log.put(fmt.Sprint(i), "v")
	}

	var rootSink, leafSink sink
	cache := NewCache(clock.System{}.Now, nil)
	root := rootSink.follower(zap.NewNop())
	cache.Wrap(root)
	go root.Run(ctx, rootLog)
	reports := make(chan string, 10)
	peers := peer.NewServer(peer.Identity{Version: peer.Version, VM: "root"}, "", zap.NewNop())
	Serve(peers, cache, func(r [][]byte) { reports <- string(r[0]) })
	server := httptest.NewServer(peers)
	address := strings.TrimPrefix(server.URL, "http://")

	leaf := leafSink.follower(zap.NewNop())
	client := &Client{
		Peers: peer.NewClient(peer.Identity{Version: peer.Version, VM: "leaf"}, ""), Followers: []*directory.Follower{leaf},
		Address: func() (string, bool) { return address, false }, Reports: func() [][]byte { return [][]byte{[]byte("load")} },
		Now: clock.System{}.Now, Log: zap.NewNop(),
	}
	client.Prepare()
	go client.Run(ctx)
	eventually(t, "the relay is in use", client.Active)
	go leaf.Run(ctx, log)
	is.Equal(<-reports, "load")
	eventually(t, "the leaf has the first records", func() bool { return leafSink.get("2") == "v" })
	rootLog.put("3", "news")
	log.put("3", "news")
	eventually(t, "the leaf has the news", func() bool { return leafSink.get("3") == "news" })
	is.Equal(log.count(), 0)

	peers.Close()
	server.CloseClientConnections()
	server.Close()
	log.put("4", "direct")
	eventually(t, "the leaf reads the log itself", func() bool { return leafSink.get("4") == "direct" })
	is.True(!client.Active())
}

// TestStaleRelay guards against a relay that lost the log and passes old knowledge
// on as new.
func TestStaleRelay(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	cache := NewCache(fake.Now, nil)
	cache.put("t", sharedlog.Batch{Next: 5}, directory.BatchInfo{Snapshot: true, ConfirmedAt: fake.Time})
	reply, _ := cache.read("t", 5)
	is.True(reply.AgeMs <= 1)
	fake.Time += 3 * time.Second
	cache.put("t", sharedlog.Batch{Next: 5}, directory.BatchInfo{ConfirmedAt: fake.Time - time.Hour, FailedAt: fake.Time})
	reply, _ = cache.read("t", 5)
	is.True(reply.AgeMs >= 3000)
	is.Equal(reply.FailedMs, int64(0))
}

// TestRepeats guards against heartbeats that go to every VM, and against changes
// that are taken for heartbeats.
func TestRepeats(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	cache := NewCache(fake.Now, map[string]func(a, b sharedlog.Record) bool{
		"t": func(a, b sharedlog.Record) bool { return string(a.Value) == string(b.Value) },
	})
	cache.put("t", sharedlog.Batch{Next: 1, Records: []sharedlog.Record{{Key: "a", Value: []byte("1")}}}, directory.BatchInfo{Snapshot: true})
	cache.put("t", sharedlog.Batch{Next: 2, Records: []sharedlog.Record{{Key: "a", Offset: 1, Value: []byte("1")}}}, directory.BatchInfo{})
	reply, news := cache.read("t", 1)
	is.True(!news)
	is.Equal(reply.Next, int64(2))
	cache.put("t", sharedlog.Batch{Next: 3, Records: []sharedlog.Record{{Key: "a", Offset: 2}}}, directory.BatchInfo{})
	reply, news = cache.read("t", 2)
	is.True(news)
	is.Equal(len(reply.Records), 1)
	reply, _ = cache.read("t", -1)
	is.True(reply.Whole)
	is.Equal(len(reply.Records), 0)
}

// TestParent guards against VMs that poll each other in a circle, or all the same one.
func TestParent(t *testing.T) {
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
		for at := address; at != "a0"; at = parents[at] {
			steps++
			is.True(steps < 10)
		}
	}
	for parent, n := range children {
		is.True(n <= fanOut || parent == "a0" && n == 4)
	}
	is.Equal(Parent(members, "unlisted", "d1", "a0"), "a0")
}

// TestConfirmationIsPassedOn guards against ages that add up along the tree: a VM that
// waits hears of a confirmation at once, not after its own time.
func TestConfirmationIsPassedOn(t *testing.T) {
	is := is.New(t)
	now := clock.System{}.Now
	cache := NewCache(now, nil)
	cache.put("t", sharedlog.Batch{Next: 5}, directory.BatchInfo{Snapshot: true, ConfirmedAt: now() - 3*time.Second})
	go func() {
		time.Sleep(pollWait / 10)
		cache.put("t", sharedlog.Batch{Next: 5}, directory.BatchInfo{ConfirmedAt: now()})
	}()
	started := now()
	reply := cache.answer(context.Background(), poll{Cursors: map[string]int64{"t": 5}, WaitMs: pollWait.Milliseconds(), AgeMs: 3000})
	is.True(now()-started < pollWait/2)
	is.True(reply.age() < pollWait/2)
	// A small gain does not end the wait: VMs would poll without pause.
	cache.put("t", sharedlog.Batch{Next: 5}, directory.BatchInfo{ConfirmedAt: now()})
	started = now()
	cache.answer(context.Background(), poll{Cursors: map[string]int64{"t": 5}, WaitMs: pollWait.Milliseconds(), AgeMs: 1})
	is.True(now()-started >= pollWait/2)
}

// TestLogAway guards against a fleet whose VMs all keep reading a log that is away,
// and against a VM that never tries again.
func TestLogAway(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	f := &directory.Follower{
		Topic: "t", Now: fake.Now, Log: zap.NewNop(), Apply: func(sharedlog.Batch, directory.BatchInfo) {},
	}
	c := &Client{Now: fake.Now}
	stale := map[string]topicReply{"t": {Next: 5, AgeMs: (maxAge + time.Second).Milliseconds()}}
	is.True(c.check(f, stale) != nil) // it may be that only the relay cannot read
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx, brokenLog{cancel, new(atomic.Int64)})
	<-ctx.Done()
	is.NoErr(c.check(f, stale))
	fake.Time += 2 * probeInterval
	is.True(c.check(f, stale) != nil)
	is.True(c.check(f, nil) != nil)
}

// brokenLog fails each read, and ends its reader at the second one.
type brokenLog struct {
	end   context.CancelFunc
	reads *atomic.Int64
}

func (b brokenLog) Append(context.Context, string, []sharedlog.Record, int64) (int64, error) {
	return 0, errors.New("away")
}

func (b brokenLog) Read(context.Context, string, int64, time.Duration) (sharedlog.Batch, error) {
	return sharedlog.Batch{}, errors.New("away")
}

func (b brokenLog) Newest(context.Context, string) (sharedlog.Batch, error) {
	if b.reads.Add(1) == 2 {
		b.end()
	}
	return sharedlog.Batch{}, errors.New("away")
}

// TestAgeBound guards against a VM that still uses what it learned before its relay
// froze when a backend server that left must get no more requests.
func TestAgeBound(t *testing.T) {
	const drainWithin, ownRead = 2500 * time.Millisecond, 100 * time.Millisecond
	if age := maxAge + pollWait + pollMargin + ownRead; age > drainWithin {
		t.Errorf("knowledge may be %s old", age)
	}
}
