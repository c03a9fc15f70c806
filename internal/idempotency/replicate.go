package idempotency

import "time"

// waiter is told once what became of a change; nil functions are skipped.
type waiter struct {
	acknowledged func(now time.Time)
	refused      func(Reason)
}

// changeLog is the part of the replicated log that the backup has not
// acknowledged.
type changeLog struct {
	// acked is the number of the last acknowledged change.
	acked   uint64
	changes []Change
	waiters []waiter
	// sent counts the changes that were sent at least once.
	sent     int
	lastSent time.Time
}

func (l *changeLog) append(c Change, w waiter) {
	l.changes = append(l.changes, c)
	l.waiters = append(l.waiters, w)
}

// acknowledge drops changes up to seq and tells their waiters.
func (l *changeLog) acknowledge(seq uint64, now time.Time) {
	if seq <= l.acked || seq > l.acked+uint64(l.sent) {
		return
	}
	count := int(seq - l.acked)
	done := l.waiters[:count]
	l.acked = seq
	l.changes = l.changes[count:]
	l.waiters = l.waiters[count:]
	l.sent -= count
	for _, w := range done {
		if w.acknowledged != nil {
			w.acknowledged(now)
		}
	}
}

func (l *changeLog) refuse(reason Reason) {
	waiters := l.waiters
	l.waiters = nil
	for _, w := range waiters {
		if w.refused != nil {
			w.refused(reason)
		}
	}
}

// startLog begins the term with a copy of everything.
func (s *Store) startLog(now time.Time) {
	if s.role.Backup == "" {
		return
	}
	s.entries.sweep(now)
	for _, e := range s.entries.list(now) {
		s.log.append(Change{Put: &e}, waiter{})
	}
	// A blind holder's copy is not complete: its backup must be blind as well.
	if !now.Before(s.blindUntil) {
		s.log.append(Change{CopyComplete: true}, waiter{})
	}
}

// Backup returns the VM that the messages of Poll go to, empty if there is none.
func (s *Store) Backup() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role.Backup
}

// Poll returns the messages to send to the backup and the time of the next call.
// It is called after every other call that may have added changes.
func (s *Store) Poll(now time.Time) ([]Replicate, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.sweep(now)
	if !s.role.Holder || s.role.Backup == "" {
		return nil, time.Time{}
	}
	s.endBlindness(now)
	if s.log.sent > 0 && now.Sub(s.log.lastSent) >= ResendInterval {
		s.log.sent = 0
	}
	var out []Replicate
	for s.log.sent < len(s.log.changes) {
		out = append(out, s.nextBatch(now))
	}
	if len(s.log.changes) == 0 {
		return out, time.Time{}
	}
	return out, s.log.lastSent.Add(ResendInterval)
}

// endBlindness completes the backup's copy once the holder's own memory covers the
// whole window.
func (s *Store) endBlindness(now time.Time) {
	if !s.blindUntil.IsZero() && !now.Before(s.blindUntil) {
		s.blindUntil = time.Time{}
		s.log.append(Change{CopyComplete: true}, waiter{})
	}
}

func (s *Store) nextBatch(now time.Time) Replicate {
	first := s.log.sent
	size := 0
	for s.log.sent < len(s.log.changes) && s.log.sent-first < maxBatchChanges {
		if put := s.log.changes[s.log.sent].Put; put != nil {
			size += put.Result.size()
		}
		if size > maxBatchBytes && s.log.sent > first {
			break
		}
		s.log.sent++
	}
	s.log.lastSent = now
	return Replicate{
		Partition: s.partition, Term: s.role.Term, FirstSeq: s.log.acked + uint64(first) + 1,
		Changes: s.log.changes[first:s.log.sent:s.log.sent],
	}
}

// HandleAck takes the backup's acknowledgement and decides waiting requests.
func (s *Store) HandleAck(ack Ack, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role.Holder && ack.Term == s.role.Term {
		s.log.acknowledge(ack.Seq, now)
	}
}

// HandleReplicate applies changes on the backup. Messages of another term get no
// acknowledgement, so a former holder never starts a run that its promoted backup
// does not know. A gap is answered with what was applied so far.
func (s *Store) HandleReplicate(m Replicate, now time.Time) (Ack, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role.Holder || m.Term != s.role.Term {
		return Ack{}, false
	}
	for i, change := range m.Changes {
		if m.FirstSeq+uint64(i) == s.applied+1 {
			s.apply(change, now)
			s.applied++
		}
	}
	return Ack{Partition: s.partition, Term: s.role.Term, Seq: s.applied}, true
}

func (s *Store) apply(c Change, now time.Time) {
	switch {
	case c.Put != nil:
		s.entries.install([]Entry{*c.Put}, now)
	case c.Delete != nil:
		s.entries.remove(*c.Delete)
	case c.CopyComplete:
		s.copyTerm = s.role.Term
	}
}
