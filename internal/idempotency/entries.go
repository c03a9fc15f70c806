package idempotency

import (
	"slices"
	"strings"
	"time"
)

// entry is the state of one key: an intent or, after the run, its result.
type entry struct {
	fingerprint Fingerprint
	// rememberedFrom is the start of Window: the beginning of the run or, once it has
	// ended, its end.
	rememberedFrom time.Time
	// result is nil for an intent.
	result *Result
	// runID is the number of the run while this process may start it or has it
	// running, and zero otherwise.
	runID   uint64
	started bool
	// finished is closed at the end of the run. It is nil for an entry that was
	// received from another VM.
	finished chan struct{}
}

// entryTable holds the entries of one partition.
type entryTable struct {
	byKey map[Key]*entry
	// workspaceKeys is the number of keys of each workspace.
	workspaceKeys map[string]int
	// resultBytes is the size of all results.
	resultBytes int
	// sweptAt is the time of the last removal of expired entries.
	sweptAt time.Time
}

func newEntryTable() entryTable {
	return entryTable{byKey: make(map[Key]*entry), workspaceKeys: make(map[string]int)}
}

// put adds the entry in place of an existing one with the same key.
func (e *entryTable) put(key Key, added *entry) {
	e.remove(key)
	e.byKey[key] = added
	e.workspaceKeys[key.Workspace]++
	e.resultBytes += added.result.size()
}

func (e *entryTable) remove(key Key) {
	existing := e.byKey[key]
	if existing == nil {
		return
	}
	delete(e.byKey, key)
	e.resultBytes -= existing.result.size()
	e.workspaceKeys[key.Workspace]--
	if e.workspaceKeys[key.Workspace] == 0 {
		delete(e.workspaceKeys, key.Workspace)
	}
}

// expired reports whether the key may be used again. A run of this process that
// has not finished never expires.
func (e *entry) expired(now time.Time) bool {
	return e.runID == 0 && now.Sub(e.rememberedFrom) >= Window
}

// sweepInterval is the shortest time between two removals of expired entries.
const sweepInterval = time.Second

// sweep removes expired entries, at most once per sweepInterval.
func (e *entryTable) sweep(now time.Time) {
	if now.Sub(e.sweptAt) < sweepInterval {
		return
	}
	e.sweptAt = now
	for key, found := range e.byKey {
		if found.expired(now) {
			e.remove(key)
		}
	}
}

// list returns all entries in the form in which they are sent, in the order of their
// keys.
func (e *entryTable) list(now time.Time) []Entry {
	list := make([]Entry, 0, len(e.byKey))
	for key, found := range e.byKey {
		list = append(list, Entry{Key: key, Fingerprint: found.fingerprint, Age: now.Sub(found.rememberedFrom), Result: found.result})
	}
	slices.SortFunc(list, func(a, b Entry) int {
		if c := strings.Compare(a.Key.Workspace, b.Key.Workspace); c != 0 {
			return c
		}
		return strings.Compare(a.Key.Value, b.Key.Value)
	})
	return list
}

// install adds entries that were received from another VM.
func (e *entryTable) install(list []Entry, now time.Time) {
	for _, received := range list {
		e.put(received.Key, &entry{
			fingerprint: received.Fingerprint, rememberedFrom: now.Add(-max(0, received.Age)), result: received.Result,
		})
	}
}
