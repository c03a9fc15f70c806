// Package relay passes what one VM reads from the log on to the others, so that
// the calls to the log do not grow with the number of VMs. A VM whose relay fails
// reads the log itself.
package relay

import (
	"slices"
	"sync"
	"time"

	"fireflyfield/internal/directory"
	"fireflyfield/internal/sharedlog"
)

// ringSize is the number of records of one topic that are kept for VMs that read
// on; a VM that is further behind gets the newest record of each key.
const ringSize = 256

// Cache keeps what this VM read of each topic. It is safe for concurrent use; its
// lock is a leaf.
type Cache struct {
	now     func() time.Duration
	repeats map[string]func(before, after sharedlog.Record) bool

	mu      sync.Mutex
	topics  map[string]*cached
	changed chan struct{}
}

type cached struct {
	newest map[string]sharedlog.Record
	ring   []sharedlog.Record
	floor  int64 // the ring has all from this offset on, but for repeats and older records of a key
	next   int64
	info   directory.BatchInfo
}

// NewCache returns an empty cache. repeats names, for some topics, the function
// that reports records which tell nothing new; they are not passed on.
func NewCache(now func() time.Duration, repeats map[string]func(before, after sharedlog.Record) bool) *Cache {
	return &Cache{now: now, repeats: repeats, topics: make(map[string]*cached), changed: make(chan struct{})}
}

// Wrap makes a follower also fill the cache.
func (c *Cache) Wrap(f *directory.Follower) {
	apply := f.Apply
	topic := f.Topic
	f.Apply = func(b sharedlog.Batch, info directory.BatchInfo) {
		c.put(topic, b, info)
		apply(b, info)
	}
}

func (c *Cache) put(topic string, b sharedlog.Batch, info directory.BatchInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topics[topic]
	if t == nil {
		t = &cached{newest: make(map[string]sharedlog.Record)}
		c.topics[topic] = t
	}
	if info.Snapshot {
		clear(t.newest)
		t.ring, t.floor = nil, b.Next
	}
	news := info.Snapshot // wakes the VMs that wait
	for _, record := range b.Records {
		before := t.newest[record.Key]
		if len(record.Value) == 0 {
			delete(t.newest, record.Key)
		} else {
			t.newest[record.Key] = record
		}
		if info.Snapshot {
			continue
		}
		if repeats := c.repeats[topic]; repeats != nil && repeats(before, record) {
			continue
		}
		t.add(record)
		news = true
	}
	if extra := len(t.ring) - ringSize; extra > 0 {
		t.floor = t.ring[extra-1].Offset + 1
		t.ring = append([]sharedlog.Record(nil), t.ring[extra:]...)
	}
	news = news || info.ConfirmedAt > t.info.ConfirmedAt
	t.next = b.Next
	t.info = directory.BatchInfo{ConfirmedAt: max(t.info.ConfirmedAt, info.ConfirmedAt), FailedAt: info.FailedAt}
	if news {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// add appends a record to the ring. An older one of the same key tells nothing any
// more: each VM needs the newest only.
func (t *cached) add(record sharedlog.Record) {
	t.ring = slices.DeleteFunc(t.ring, func(r sharedlog.Record) bool { return r.Key == record.Key })
	t.ring = append(t.ring, record)
}

// read returns what follows the cursor of a topic, and whether that is any news.
func (c *Cache) read(topic string, cursor int64) (topicReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topics[topic]
	if t == nil {
		return topicReply{}, false
	}
	now := c.now()
	reply := topicReply{Next: t.next, AgeMs: (now - t.info.ConfirmedAt).Milliseconds() + 1, FailedMs: -1}
	if t.info.FailedAt != 0 {
		reply.FailedMs = (now - t.info.FailedAt).Milliseconds()
	}
	if cursor < t.floor || cursor > t.next {
		reply.Whole = true
		for _, record := range t.newest {
			reply.Records = append(reply.Records, wireRecord(record))
		}
		return reply, cursor <= t.next
	}
	for _, record := range t.ring {
		if record.Offset >= cursor {
			reply.Records = append(reply.Records, wireRecord(record))
		}
	}
	return reply, len(reply.Records) > 0
}

// waitFor returns a channel that is closed at the next news.
func (c *Cache) waitFor() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
