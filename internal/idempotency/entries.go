package idempotency

import (
	"slices"
	"strings"
	"time"
)

// entry is the state of one key.
type entry struct {
	fingerprint Fingerprint
	// since is the beginning or, with a result, the end of the run.
	since  time.Time
	result *Result
	// runID is set while this process may start or has started the run.
	runID    uint64
	started  bool
	finished chan struct{}
}

// entries is the memory of one partition.
type entries struct {
	byKey  map[Key]*entry
	counts map[string]int
	bytes  int
	// swept is the time of the last removal of old entries.
	swept time.Time
}

func newEntries() entries {
	return entries{byKey: make(map[Key]*entry), counts: make(map[string]int)}
}

func (e *entries) put(key Key, added *entry) {
	e.remove(key)
	e.byKey[key] = added
	e.counts[key.Workspace]++
	e.bytes += added.result.size()
}

func (e *entries) remove(key Key) {
	former := e.byKey[key]
	if former == nil {
		return
	}
	delete(e.byKey, key)
	e.bytes -= former.result.size()
	e.counts[key.Workspace]--
	if e.counts[key.Workspace] == 0 {
		delete(e.counts, key.Workspace)
	}
}

// expired reports whether the key may be used again. A run of this process that
// has not finished never expires.
func (e *entry) expired(now time.Time) bool {
	return e.runID == 0 && now.Sub(e.since) >= Window
}

const sweepInterval = time.Second

// sweep removes old entries at most once each sweepInterval.
func (e *entries) sweep(now time.Time) {
	if now.Sub(e.swept) < sweepInterval {
		return
	}
	e.swept = now
	for key, found := range e.byKey {
		if found.expired(now) {
			e.remove(key)
		}
	}
}

// list returns the transferred form of all entries in key order.
func (e *entries) list(now time.Time) []Entry {
	list := make([]Entry, 0, len(e.byKey))
	for key, found := range e.byKey {
		list = append(list, Entry{Key: key, Fingerprint: found.fingerprint, Age: now.Sub(found.since), Result: found.result})
	}
	slices.SortFunc(list, func(a, b Entry) int {
		if c := strings.Compare(a.Key.Workspace, b.Key.Workspace); c != 0 {
			return c
		}
		return strings.Compare(a.Key.Value, b.Key.Value)
	})
	return list
}

func (e *entries) install(list []Entry, now time.Time) {
	for _, received := range list {
		e.put(received.Key, &entry{
			fingerprint: received.Fingerprint, since: now.Add(-max(0, received.Age)), result: received.Result,
		})
	}
}
