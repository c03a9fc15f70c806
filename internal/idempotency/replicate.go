package idempotency

import "time"

// waiter is notified once whether a change was acknowledged by the backup or rejected
// because the role changed. Nil functions are not called.
type waiter struct {
	acknowledged func(now time.Time)
	rejected     func(Reason)
}

// changeLog holds the changes of the term that the backup has not acknowledged yet.
type changeLog struct {
	// ackedSeq is the sequence number of the last acknowledged change.
	ackedSeq uint64
	changes  []Change
	// waiters has one element for each change.
	waiters []waiter
	// sentCount is the number of leading changes that were sent since the last
	// resend.
	sentCount  int
	lastSentAt time.Time
}

func (l *changeLog) append(c Change, w waiter) {
	l.changes = append(l.changes, c)
	l.waiters = append(l.waiters, w)
}

// acknowledge removes the changes up to seq and notifies their waiters. It ignores a
// seq that is not that of a sent, unacknowledged change.
func (l *changeLog) acknowledge(seq uint64, now time.Time) {
	if seq <= l.ackedSeq || seq > l.ackedSeq+uint64(l.sentCount) {
		return
	}
	count := int(seq - l.ackedSeq)
	done := l.waiters[:count]
	l.ackedSeq = seq
	l.changes = l.changes[count:]
	l.waiters = l.waiters[count:]
	l.sentCount -= count
	for _, w := range done {
		if w.acknowledged != nil {
			w.acknowledged(now)
		}
	}
}

// rejectAll notifies the waiters of all changes that they are rejected.
func (l *changeLog) rejectAll(reason Reason) {
	waiters := l.waiters
	l.waiters = nil
	for _, w := range waiters {
		if w.rejected != nil {
			w.rejected(reason)
		}
	}
}

// startReplication begins the log of a term with a copy of all entries.
func (s *Store) startReplication(now time.Time) {
	if s.role.Backup == "" {
		return
	}
	s.entries.sweep(now)
	for _, e := range s.entries.list(now) {
		s.log.append(Change{Put: &e}, waiter{})
	}
	// The copy of an incomplete holder is not complete: its backup must become
	// incomplete as well if it is promoted.
	if !now.Before(s.incompleteUntil) {
		s.log.append(Change{CopyComplete: true}, waiter{})
	}
}

// Backup returns the name of the VM to which the messages of Poll have to be sent. It
// is empty if there is no backup.
func (s *Store) Backup() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role.Backup
}

// Poll returns the messages to send to the backup and the time at which it has to be
// called next, which is zero if no change is unacknowledged. It must also be called
// after every other call that may have added changes.
func (s *Store) Poll(now time.Time) ([]Replicate, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.sweep(now)
	if !s.role.Holder || s.role.Backup == "" {
		return nil, time.Time{}
	}
	s.endIncompleteness(now)
	if s.log.sentCount > 0 && now.Sub(s.log.lastSentAt) >= ResendInterval {
		s.log.sentCount = 0
	}
	var out []Replicate
	for s.log.sentCount < len(s.log.changes) {
		out = append(out, s.nextBatch(now))
	}
	if len(s.log.changes) == 0 {
		return out, time.Time{}
	}
	return out, s.log.lastSentAt.Add(ResendInterval)
}

// endIncompleteness marks the copy of the backup as complete once the entries of the
// holder cover the whole Window.
func (s *Store) endIncompleteness(now time.Time) {
	if !s.incompleteUntil.IsZero() && !now.Before(s.incompleteUntil) {
		s.incompleteUntil = time.Time{}
		s.log.append(Change{CopyComplete: true}, waiter{})
	}
}

// nextBatch returns the message with the next changes that have not been sent since
// the last resend.
func (s *Store) nextBatch(now time.Time) Replicate {
	first := s.log.sentCount
	size := 0
	for s.log.sentCount < len(s.log.changes) && s.log.sentCount-first < maxBatchChanges {
		if put := s.log.changes[s.log.sentCount].Put; put != nil {
			size += put.Result.size()
		}
		if size > maxBatchBytes && s.log.sentCount > first {
			break
		}
		s.log.sentCount++
	}
	s.log.lastSentAt = now
	return Replicate{
		Partition: s.partition, Term: s.role.Term, FirstSeq: s.log.ackedSeq + uint64(first) + 1,
		Changes: s.log.changes[first:s.log.sentCount:s.log.sentCount],
	}
}

// HandleAck applies an acknowledgement of the backup and decides the requests that
// waited for it.
func (s *Store) HandleAck(ack Ack, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role.Holder && ack.Term == s.role.Term {
		s.log.acknowledge(ack.Seq, now)
	}
}

// HandleReplicate applies changes on the backup and returns the acknowledgement to
// send. It returns false if none is to be sent, because this VM is the holder or the
// message is from another term; otherwise a previous holder could start a run that its
// promoted backup doesn't know. Changes after a gap are not applied, and the
// acknowledgement then names the last applied change.
func (s *Store) HandleReplicate(m Replicate, now time.Time) (Ack, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role.Holder || m.Term != s.role.Term {
		return Ack{}, false
	}
	for i, change := range m.Changes {
		if m.FirstSeq+uint64(i) == s.appliedSeq+1 {
			s.apply(change, now)
			s.appliedSeq++
		}
	}
	return Ack{Partition: s.partition, Term: s.role.Term, Seq: s.appliedSeq}, true
}

func (s *Store) apply(c Change, now time.Time) {
	switch {
	case c.Put != nil:
		s.entries.install([]Entry{*c.Put}, now)
	case c.Delete != nil:
		s.entries.remove(*c.Delete)
	case c.CopyComplete:
		s.completeTerm = s.role.Term
	}
}
