package idempotency

import "time"

// Finish stores the result of a run. The response is sent to the caller after the
// channel delivers: true means that the backup has the result, false that the role
// changed first, in which case repeats are answered "unknown".
func (s *Store) Finish(key Key, runID uint64, result Result, now time.Time) <-chan bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan bool, 1)
	found := s.running(key, runID)
	if found == nil {
		done <- false
		return done
	}
	found.since = now
	if result.size() <= MaxResultBytes && s.entries.bytes+result.size() <= MaxStoredBytes {
		found.result = &result
		s.entries.bytes += result.size()
	}
	if !s.role.Holder || s.role.Backup == "" {
		found.close()
		done <- s.role.Holder
		return done
	}
	s.log.append(Change{Put: &Entry{Key: key, Fingerprint: found.fingerprint, Result: found.result}}, waiter{
		acknowledged: func(time.Time) { found.close(); done <- true },
		refused:      func(Reason) { found.close(); done <- false },
	})
	return done
}

// Abandon forgets a run that certainly did not reach a backend server, so that a
// retry may run.
func (s *Store) Abandon(key Key, runID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.running(key, runID)
	if found == nil || found.result != nil {
		return
	}
	s.drop(key, found)
	if s.role.Holder && s.role.Backup != "" {
		s.log.append(Change{Delete: &key}, waiter{})
	}
}

// MarkUnknown records that the outcome of a run is unknown. Repeats are answered
// "unknown" for the rest of the window.
func (s *Store) MarkUnknown(key Key, runID uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.running(key, runID); found != nil && found.result == nil {
		found.since = now
		found.close()
	}
}

func (s *Store) running(key Key, runID uint64) *entry {
	found := s.entries.byKey[key]
	if found == nil || runID == 0 || found.runID != runID {
		return nil
	}
	return found
}
