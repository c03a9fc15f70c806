package idempotency

import "time"

// StartHandover makes Begin reject new keys with ReasonHandover; repeats are still
// answered. The caller is to call Export once InFlight is zero or the time for the
// handover has passed.
func (s *Store) StartHandover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handingOver = true
}

// InFlight returns the number of runs of this process that have not ended.
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

// Export gives up the role and returns the entries for the new holder, where runs that
// have not ended become intents. It returns nil if the store isn't the holder or
// StartHandover was not called. It also returns nil while the store is incomplete,
// so that the new holder is incomplete as well.
func (s *Store) Export(now time.Time) []Chunk {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isHolder(now) || !s.handingOver || now.Before(s.incompleteUntil) {
		return nil
	}
	s.endRole()
	s.role.LeaseUntil = time.Time{}
	s.role.Holder = false
	s.entries.sweep(now)
	chunks := splitIntoChunks(s.entries.list(now))
	for i := range chunks {
		chunks[i].Partition = s.partition
		chunks[i].Term = s.role.Term
		chunks[i].Index = i
		chunks[i].Count = len(chunks)
	}
	return chunks
}

// splitIntoChunks divides the entries by maxBatchChanges and maxBatchBytes. It returns
// at least one chunk.
func splitIntoChunks(list []Entry) []Chunk {
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

// Import adds one chunk on the VM that is to become the holder; it must be called
// before SetRole. It reports whether the copy is complete. Without a complete copy
// the new holder is incomplete for Window.
func (s *Store) Import(c Chunk, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role.Holder || c.Partition != s.partition || c.Term < s.role.Term || c.Count < 1 {
		return false
	}
	if s.importedChunks == nil || s.role.Term != c.Term {
		s.discardEntries()
		s.role = Role{Term: c.Term}
		s.importedChunks = make(map[int]bool)
	}
	if !s.importedChunks[c.Index] {
		s.entries.install(c.Entries, now)
		s.importedChunks[c.Index] = true
	}
	if len(s.importedChunks) == c.Count {
		s.completeTerm = c.Term
	}
	return s.completeTerm == c.Term
}
