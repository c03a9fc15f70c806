package idempotency

import (
	"math"
	"sync"
	"time"
)

// PreviousUnknown is the value of Role.Previous if the previous term isn't known. It
// matches no copy, so the new holder is incomplete for Window.
const PreviousUnknown = math.MaxUint64

// Role is the role of this VM for a partition, as the decider assigned it.
type Role struct {
	// Term increases with each change of the holder or backup of the partition.
	Term uint64
	// Holder is true for the holder and false for the backup.
	Holder bool
	// Backup is the VM to replicate to, or empty if the decider named none. A holder
	// never stops replicating of its own accord, since its backup could then be
	// promoted with an outdated copy.
	Backup string
	// Previous is the term directly before Term. It is zero if the partition never
	// had a holder, and PreviousUnknown if the decider doesn't know it.
	Previous uint64
	// LeaseUntil is the time on the clock of this VM at which the role lease expires.
	LeaseUntil time.Time
}

// Store holds the idempotency keys of one partition on its holder or backup. It is
// safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	partition int
	role      Role
	entries   entryTable
	// completeTerm is the last term for which the entries are known to be complete.
	completeTerm uint64
	// incompleteUntil is the time until which entries of earlier runs may be missing.
	incompleteUntil time.Time
	// handingOver is set between StartHandover and the end of the role.
	handingOver bool
	// lastRunID is the number of the last run. Zero stands for no run.
	lastRunID uint64
	log       changeLog
	// appliedSeq is the sequence number of the last change applied on the backup.
	appliedSeq uint64
	// importedChunks has the indexes of the chunks that Import has added.
	importedChunks map[int]bool
}

// NewStore returns a store without a role.
func NewStore(partition int) *Store {
	return &Store{partition: partition, entries: newEntryTable()}
}

// SetRole applies a new assignment. A lower term is ignored, and the same term only
// renews the lease. The decider must promote a backup only after the lease of the
// previous holder has expired.
func (s *Store) SetRole(role Role, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case role.Term < s.role.Term:
		return
	case role.Term == s.role.Term:
		s.role.LeaseUntil = role.LeaseUntil
		return
	}
	s.endRole()
	if role.Holder && s.completeTerm != role.Previous {
		s.incompleteUntil = now.Add(Window)
	}
	s.role = role
	s.appliedSeq = 0
	if !role.Holder {
		s.discardEntries()
		return
	}
	s.completeTerm = role.Term
	s.startReplication(now)
}

// endRole rejects the changes that the backup has not acknowledged: requests whose
// intent is among them don't run, and Finish delivers false for results. Runs that have
// started keep their intents. It also ends a handover or an import.
func (s *Store) endRole() {
	s.log.rejectAll(ReasonRoleChanged)
	s.log = changeLog{}
	s.handingOver = false
	s.importedChunks = nil
}

// discardEntries removes all entries, which may be outdated by a term in which this VM
// had no role. The holder sends a complete copy.
func (s *Store) discardEntries() {
	for _, found := range s.entries.byKey {
		found.endRun()
	}
	s.entries = newEntryTable()
	s.completeTerm = 0
	s.incompleteUntil = time.Time{}
}

// SetLease extends the role lease of the term.
func (s *Store) SetLease(term uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term == s.role.Term {
		s.role.LeaseUntil = until
	}
}

// isHolder reports whether this VM is the holder and its lease is valid.
func (s *Store) isHolder(now time.Time) bool {
	return s.role.Holder && now.Before(s.role.LeaseUntil)
}

// Begin decides on a request with a key. If the decision is Run, at once or after
// Pending, the caller may send the request once and must call Finish, Abandon or
// MarkUnknown exactly once with Decision.RunID, also if it did not send the request.
func (s *Store) Begin(key Key, fingerprint Fingerprint, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isHolder(now) {
		return Decision{Reason: ReasonNotHolder}
	}
	s.entries.sweep(now)
	found := s.entries.byKey[key]
	if found != nil && !found.expired(now) {
		return found.decideRepeat(fingerprint)
	}
	switch {
	case now.Before(s.incompleteUntil):
		return Decision{Outcome: Unknown}
	case s.handingOver:
		return Decision{Reason: ReasonHandover}
	case s.entries.workspaceKeys[key.Workspace] >= MaxEntries:
		return Decision{Reason: ReasonTooManyKeys}
	}
	return s.beginRun(key, fingerprint, now)
}

// decideRepeat decides on a request whose key is already known.
func (e *entry) decideRepeat(fingerprint Fingerprint) Decision {
	switch {
	case e.fingerprint != fingerprint:
		return Decision{Outcome: Mismatch}
	case e.result != nil && e.runID == 0:
		return Decision{Outcome: Done, Result: e.result}
	case e.runID != 0:
		return Decision{Outcome: InProgress, Finished: e.finished}
	default:
		return Decision{Outcome: Unknown}
	}
}

// beginRun adds the intent to run. With a backup the decision is Pending until the
// backup has acknowledged the intent.
func (s *Store) beginRun(key Key, fingerprint Fingerprint, now time.Time) Decision {
	s.lastRunID++
	added := &entry{fingerprint: fingerprint, rememberedFrom: now, runID: s.lastRunID, finished: make(chan struct{})}
	s.entries.put(key, added)
	if s.role.Backup == "" {
		added.started = true
		return Decision{Outcome: Run, RunID: added.runID}
	}
	ready := make(chan Decision, 1)
	s.log.append(Change{Put: &Entry{Key: key, Fingerprint: fingerprint}}, waiter{
		acknowledged: func(now time.Time) { ready <- s.startRun(key, added, now) },
		rejected:     func(reason Reason) { s.drop(key, added); ready <- Decision{Reason: reason} },
	})
	return Decision{Outcome: Pending, RunID: added.runID, Ready: ready}
}

// startRun is called once the backup has the intent. It checks the lease again, since
// this VM may have been paused since Begin.
func (s *Store) startRun(key Key, e *entry, now time.Time) Decision {
	if s.entries.byKey[key] != e || e.runID == 0 {
		return Decision{Reason: ReasonRoleChanged}
	}
	if !s.isHolder(now) {
		s.drop(key, e)
		return Decision{Reason: ReasonNotHolder}
	}
	e.started = true
	return Decision{Outcome: Run, RunID: e.runID}
}

// drop ends the run of the entry and removes the entry, unless another one has
// replaced it.
func (s *Store) drop(key Key, e *entry) {
	if s.entries.byKey[key] != e {
		return
	}
	s.entries.remove(key)
	e.endRun()
}

// endRun marks the run of this process as ended and wakes the repeats that wait for
// it. It does nothing if there is no such run.
func (e *entry) endRun() {
	if e.runID != 0 {
		e.runID = 0
		close(e.finished)
	}
}
