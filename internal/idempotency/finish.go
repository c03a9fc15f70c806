package idempotency

import "time"

// Finish stores the result of a run. The response must not be sent to the caller
// before the returned channel delivers. True means that the backup, if there is one,
// has the result. False means that the run is not known here any more or that the
// role changed first; repeats may then get Unknown.
func (s *Store) Finish(key Key, runID uint64, result Result, now time.Time) <-chan bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan bool, 1)
	found := s.runningEntry(key, runID)
	if found == nil {
		done <- false
		return done
	}
	found.rememberedFrom = now
	if result.size() <= MaxResultBytes && s.entries.resultBytes+result.size() <= MaxStoredBytes {
		found.result = &result
		s.entries.resultBytes += result.size()
	}
	if !s.role.Holder || s.role.Backup == "" {
		found.endRun()
		done <- s.role.Holder
		return done
	}
	s.log.append(Change{Put: &Entry{Key: key, Fingerprint: found.fingerprint, Result: found.result}}, waiter{
		acknowledged: func(time.Time) { found.endRun(); done <- true },
		rejected:     func(Reason) { found.endRun(); done <- false },
	})
	return done
}

// Abandon removes the entry of a run that certainly did not reach a backend server,
// so that a retry may run.
func (s *Store) Abandon(key Key, runID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.runningEntry(key, runID)
	if found == nil || found.result != nil {
		return
	}
	s.drop(key, found)
	if s.role.Holder && s.role.Backup != "" {
		s.log.append(Change{Delete: &key}, waiter{})
	}
}

// MarkUnknown ends a run whose outcome is unknown. Repeats get Unknown for Window from
// now on. The backup is not told; if it is promoted, its Window began when it received
// the intent.
func (s *Store) MarkUnknown(key Key, runID uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.runningEntry(key, runID); found != nil && found.result == nil {
		found.rememberedFrom = now
		found.endRun()
	}
}

// runningEntry returns the entry of the run, or nil if it has ended.
func (s *Store) runningEntry(key Key, runID uint64) *entry {
	found := s.entries.byKey[key]
	if found == nil || runID == 0 || found.runID != runID {
		return nil
	}
	return found
}
