package idempotency

import (
	"math"
	"sync"
	"time"
)

// PreviousUnknown makes a new holder blind.
const PreviousUnknown = math.MaxUint64

// Role is the assignment of a partition to this VM by the decider.
type Role struct {
	// Term rises with each change of holder or backup of the partition.
	Term uint64
	// Holder is true for the holder and false for the backup.
	Holder bool
	// Backup is the VM to replicate to; empty if the decider named none. A holder
	// never stops replicating by itself, since its backup could then be promoted
	// with an old copy.
	Backup string
	// Previous is the term directly before Term, zero if the partition never had a
	// holder, PreviousUnknown if the decider can't tell.
	Previous uint64
	// LeaseUntil is the end of the role lease on the clock of this VM.
	LeaseUntil time.Time
}

// Store is the memory of one partition on its holder or backup. It is safe for
// concurrent use.
type Store struct {
	mu        sync.Mutex
	partition int
	role      Role
	entries   entries
	// copyTerm is the last term for which the entries are known to be complete.
	copyTerm uint64
	// blindUntil is the end of the time in which runs may be missing here.
	blindUntil time.Time
	handover   bool
	nextRun    uint64
	log        changeLog
	applied    uint64
	chunks     map[int]bool
}

// NewStore returns a store without a role. The first run number is above zero.
func NewStore(partition int) *Store {
	return &Store{partition: partition, entries: newEntries()}
}

// SetRole takes a new assignment. A lower term is ignored. The decider promotes
// only after the lease of the former holder has ended.
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
	s.leaveRole()
	if role.Holder && s.copyTerm != role.Previous {
		s.blindUntil = now.Add(Window)
	}
	s.role = role
	s.applied = 0
	if !role.Holder {
		s.becomeBackup()
		return
	}
	s.copyTerm = role.Term
	s.startLog(now)
}

// leaveRole refuses requests that have not started. Runs that have started keep
// their intents.
func (s *Store) leaveRole() {
	s.log.refuse(ReasonRoleChanged)
	s.log = changeLog{}
	s.handover = false
	s.chunks = nil
}

// becomeBackup empties the memory: the holder sends a complete copy, and what was
// here before may have been overtaken in a term without this VM.
func (s *Store) becomeBackup() {
	for _, found := range s.entries.byKey {
		found.close()
	}
	s.entries = newEntries()
	s.copyTerm = 0
	s.blindUntil = time.Time{}
}

// SetLease extends the role lease of the term.
func (s *Store) SetLease(term uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term == s.role.Term {
		s.role.LeaseUntil = until
	}
}

func (s *Store) holds(now time.Time) bool {
	return s.role.Holder && now.Before(s.role.LeaseUntil)
}

// Begin decides on a request with a key. After Run, the caller sends the request
// and then calls Finish, Abandon or Lose exactly once with the run number.
func (s *Store) Begin(key Key, fingerprint Fingerprint, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holds(now) {
		return Decision{Reason: ReasonNotHolder}
	}
	s.entries.sweep(now)
	found := s.entries.byKey[key]
	if found != nil && !found.expired(now) {
		return found.repeat(fingerprint)
	}
	switch {
	case now.Before(s.blindUntil):
		return Decision{Outcome: Unknown}
	case s.handover:
		return Decision{Reason: ReasonHandover}
	case s.entries.counts[key.Workspace] >= MaxEntries:
		return Decision{Reason: ReasonTooManyKeys}
	}
	return s.prepare(key, fingerprint, now)
}

func (e *entry) repeat(fingerprint Fingerprint) Decision {
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

func (s *Store) prepare(key Key, fingerprint Fingerprint, now time.Time) Decision {
	s.nextRun++
	added := &entry{fingerprint: fingerprint, since: now, runID: s.nextRun, finished: make(chan struct{})}
	s.entries.put(key, added)
	if s.role.Backup == "" {
		added.started = true
		return Decision{Outcome: Run, RunID: added.runID}
	}
	ready := make(chan Decision, 1)
	s.log.append(Change{Put: &Entry{Key: key, Fingerprint: fingerprint}}, waiter{
		acknowledged: func(at time.Time) { ready <- s.start(key, added, at) },
		refused:      func(reason Reason) { s.drop(key, added); ready <- Decision{Reason: reason} },
	})
	return Decision{Outcome: Pending, RunID: added.runID, Ready: ready}
}

// start is called when the backup has the intent. The lease is checked again,
// since this VM may have been paused since Begin.
func (s *Store) start(key Key, e *entry, now time.Time) Decision {
	if s.entries.byKey[key] != e || e.runID == 0 {
		return Decision{Reason: ReasonRoleChanged}
	}
	if !s.holds(now) {
		s.drop(key, e)
		return Decision{Reason: ReasonNotHolder}
	}
	e.started = true
	return Decision{Outcome: Run, RunID: e.runID}
}

// drop removes an entry whose run has not started.
func (s *Store) drop(key Key, e *entry) {
	if s.entries.byKey[key] != e {
		return
	}
	s.entries.remove(key)
	e.close()
}

func (e *entry) close() {
	if e.runID != 0 {
		e.runID = 0
		close(e.finished)
	}
}
