// Package relay distributes the records that one VM reads from the shared log to the
// other VMs, so that the number of calls to the log service does not grow with the number
// of VMs. It decides for each VM whether the VM polls its relay or reads the log itself,
// as it does when the relay fails; the meaning of the records is left to the followers.
package relay

import (
	"slices"
	"sync"
	"time"

	"fireflyfield/internal/directory"
	"fireflyfield/internal/sharedlog"
)

// maxRecentRecords is the number of recent records that are kept for each topic. A VM
// whose cursor is older than these gets the newest record of each key instead.
const maxRecentRecords = 256

// Cache holds the newest record of each key and the recent records of each topic that
// this VM follows, for the VMs that poll it. It is safe for concurrent use. No other lock
// is acquired while its lock is held.
type Cache struct {
	now        func() time.Duration
	unchanged  map[string]func(before, after sharedlog.Record) bool
	unreadable map[string]func(sharedlog.Record) bool

	mu      sync.Mutex
	topics  map[string]*topicCache
	changed chan struct{}
}

// topicCache is the part of a Cache for one topic.
type topicCache struct {
	newest     map[string]sharedlog.Record
	recent     []sharedlog.Record
	recentFrom int64 // recent is complete from this offset on, except for unchanged records, unreadable ones of new keys and superseded ones of a key
	next       int64 // offset after the newest record
	era        int64 // era of all offsets
	info       directory.BatchInfo
}

// NewCache returns an empty cache. unchanged holds, by topic, a function that reports
// whether a record does not differ from the one before it under the same key. Such
// records are not passed on; topics without a function pass on all records.
func NewCache(now func() time.Duration, unchanged map[string]func(before, after sharedlog.Record) bool) *Cache {
	return &Cache{now: now, unchanged: unchanged, unreadable: make(map[string]func(sharedlog.Record) bool), topics: make(map[string]*topicCache), changed: make(chan struct{})}
}

// OmitUnreadable makes the cache pass on records of a topic that no VM can decode as
// removals of their keys, which they are for the VMs: their values could be large. It must be
// called before Wrap.
func (c *Cache) OmitUnreadable(topic string, unreadable func(sharedlog.Record) bool) {
	c.unreadable[topic] = unreadable
}

// Wrap makes the follower store each batch in the cache before it applies the batch. It
// must be called before the follower runs.
func (c *Cache) Wrap(f *directory.Follower) {
	apply := f.Apply
	topic := f.Topic
	f.Apply = func(b sharedlog.Batch, info directory.BatchInfo) {
		c.put(topic, b, info)
		apply(b, info)
	}
}

// put stores a batch of a topic. It wakes waiting polls if the batch holds a change or
// confirms the topic as of a later time.
func (c *Cache) put(topic string, b sharedlog.Batch, info directory.BatchInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topics[topic]
	if t == nil {
		t = &topicCache{newest: make(map[string]sharedlog.Record)}
		c.topics[topic] = t
	}
	if info.Snapshot {
		clear(t.newest)
		t.recent, t.recentFrom = nil, b.Next
	}
	wake := info.Snapshot // whether to wake waiting polls
	for _, record := range b.Records {
		before, known := t.newest[record.Key]
		if unreadable := c.unreadable[topic]; unreadable != nil && len(record.Value) > 0 && unreadable(record) {
			if !known {
				continue
			}
			record.Value = nil
		}
		if len(record.Value) == 0 {
			delete(t.newest, record.Key)
		} else {
			t.newest[record.Key] = record
		}
		if info.Snapshot {
			continue
		}
		if unchanged := c.unchanged[topic]; unchanged != nil && unchanged(before, record) {
			continue
		}
		t.add(record)
		wake = true
	}
	if extra := len(t.recent) - maxRecentRecords; extra > 0 {
		t.recentFrom = t.recent[extra-1].Offset + 1
		t.recent = append([]sharedlog.Record(nil), t.recent[extra:]...)
	}
	wake = wake || info.ConfirmedAt > t.info.ConfirmedAt
	t.next, t.era = b.Next, b.Era
	t.info = directory.BatchInfo{ConfirmedAt: max(t.info.ConfirmedAt, info.ConfirmedAt), FailedAt: info.FailedAt}
	if wake {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// add appends a record to the recent ones. It removes an older record of the same key,
// since a VM needs the newest only.
func (t *topicCache) add(record sharedlog.Record) {
	t.recent = slices.DeleteFunc(t.recent, func(r sharedlog.Record) bool { return r.Key == record.Key })
	t.recent = append(t.recent, record)
}

// read returns the records of a topic from the cursor on, or a snapshot if these are no
// longer kept, or the cursor lies beyond the cached records or in another era. The second
// result reports whether the poll is to be answered at once. It is false for a cursor beyond
// the cached records, since the polling VM ignores batches behind its cursor.
func (c *Cache) read(topic string, cursor sharedlog.Position) (topicReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.topics[topic]
	if t == nil {
		return topicReply{}, false
	}
	now := c.now()
	// Milliseconds rounds down, so 1 is added: an age must not be understated.
	reply := topicReply{Era: t.era, Next: t.next, AgeMs: (now - t.info.ConfirmedAt).Milliseconds() + 1, FailedMs: -1}
	if t.info.FailedAt != 0 {
		reply.FailedMs = (now - t.info.FailedAt).Milliseconds()
	}
	next := sharedlog.Position{Era: t.era, Offset: t.next}
	if cursor.Era != t.era || cursor.Offset < t.recentFrom || cursor.Offset > t.next {
		reply.Snapshot = true
		for _, record := range t.newest {
			reply.Records = append(reply.Records, wireRecord(record))
		}
		return reply, !next.Before(cursor)
	}
	for _, record := range t.recent {
		if record.Offset >= cursor.Offset {
			reply.Records = append(reply.Records, wireRecord(record))
		}
	}
	return reply, len(reply.Records) > 0
}

// nextChange returns a channel that is closed at the next change of the cache.
func (c *Cache) nextChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// age returns the age of the topic that was confirmed the longest time ago, or 0 before the
// first batch.
func (c *Cache) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := time.Duration(0)
	for _, t := range c.topics {
		oldest = max(oldest, c.now()-t.info.ConfirmedAt)
	}
	return oldest
}
