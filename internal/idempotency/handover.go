package idempotency

import "time"

// StartHandover refuses new keys from now on. Repeats are still answered. Export
// follows when InFlight is zero or its deadline is over.
func (s *Store) StartHandover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handover = true
}

// InFlight returns the number of runs that have not finished.
func (s *Store) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, found := range s.entries.byKey {
		if found.runID != 0 {
			count++
		}
	}
	return count
}

// Export gives up the role and returns the entries for the new holder. Runs that
// have not finished become intents there. A blind store exports nothing, so that
// the new holder is blind as well.
func (s *Store) Export(now time.Time) []Chunk {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holds(now) || !s.handover || now.Before(s.blindUntil) {
		return nil
	}
	s.leaveRole()
	s.role.LeaseUntil = time.Time{}
	s.role.Holder = false
	s.entries.sweep(now)
	chunks := split(s.entries.list(now))
	for i := range chunks {
		chunks[i].Partition = s.partition
		chunks[i].Term = s.role.Term
		chunks[i].Index = i
		chunks[i].Count = len(chunks)
	}
	return chunks
}

func split(list []Entry) []Chunk {
	chunks := []Chunk{{}}
	size := 0
	for _, e := range list {
		last := &chunks[len(chunks)-1]
		size += e.Result.size()
		if len(last.Entries) >= maxBatchChanges || (size > maxBatchBytes && len(last.Entries) > 0) {
			chunks = append(chunks, Chunk{})
			last = &chunks[len(chunks)-1]
			size = e.Result.size()
		}
		last.Entries = append(last.Entries, e)
	}
	return chunks
}

// Import takes one chunk on the VM that is to become the holder, before SetRole.
// It reports whether the copy is complete; without a complete copy the new holder
// is blind for Window.
func (s *Store) Import(c Chunk, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role.Holder || c.Partition != s.partition || c.Term < s.role.Term || c.Count < 1 {
		return false
	}
	if s.chunks == nil || s.role.Term != c.Term {
		s.becomeBackup()
		s.role = Role{Term: c.Term}
		s.chunks = make(map[int]bool)
	}
	if !s.chunks[c.Index] {
		s.entries.install(c.Entries, now)
		s.chunks[c.Index] = true
	}
	if len(s.chunks) == c.Count {
		s.copyTerm = c.Term
	}
	return s.copyTerm == c.Term
}
