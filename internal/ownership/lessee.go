package ownership

import (
	"maps"
	"time"
)

// lessee is what a decider knows in its term about one holder of leases: a backend
// server (keys are units) or a member (keys are roles). Times are monotonic times of
// the decider unless said otherwise.
type lessee[K comparable] struct {
	instance string
	// answered is set once this instance replied in this term, so that it refuses
	// messages of earlier deciders and its holdings are known.
	answered bool
	// lastClock is the lessee's own monotonic time in its last reply and
	// lastClockReceivedAt when that reply arrived, which is after the lessee read its
	// clock.
	lastClock           time.Duration
	lastClockReceivedAt time.Duration
	// latestExpiry is the latest expiry that any message may have given it, in the
	// lessee's own time.
	latestExpiry time.Duration
	// held contains the keys that it may hold, including those of grants that were
	// sent and not answered.
	held map[K]Token
	// uncertain maps a key of an unanswered grant to its expiry, in the lessee's own
	// time. Such a message may still arrive after a later revocation was answered,
	// so the key is not free before the lessee's own clock has passed the expiry.
	uncertain map[K]time.Duration

	// seq, sentAt and sentExpires are those of the last message. While its answer is
	// awaited, outstanding is set and sentKeys holds the keys that it grants.
	seq         uint64
	outstanding bool
	sentAt      time.Duration
	sentKeys    []K
	sentExpires time.Duration
	// renewedAt is when the last message that renews leases was sent to a backend
	// server.
	renewedAt   time.Duration
	lastReplyAt time.Duration
}

func newLessee[K comparable](now time.Duration) *lessee[K] {
	return &lessee[K]{
		held:        make(map[K]Token),
		uncertain:   make(map[K]time.Duration),
		lastReplyAt: now,
	}
}

// reset drops all knowledge of a process that has ended and returns what it held.
func (l *lessee[K]) reset() map[K]Token {
	previouslyHeld := l.held
	l.dropHoldings()
	l.instance = ""
	l.answered = false
	l.outstanding = false
	l.latestExpiry = 0
	return previouslyHeld
}

// dropHoldings empties the holdings after their leases expired or the process ended.
func (l *lessee[K]) dropHoldings() {
	l.held = make(map[K]Token)
	clear(l.uncertain)
}

// expiresAt returns the time from which it holds nothing unless it answers again.
func (l *lessee[K]) expiresAt(takeoverDeadline time.Duration) time.Duration {
	if !l.answered {
		return takeoverDeadline
	}
	return l.lastClockReceivedAt + max(0, l.latestExpiry-l.lastClock) + WaitMargin
}

// mayHold reports whether it may hold the key, by a confirmed or an unanswered grant.
func (l *lessee[K]) mayHold(key K) bool {
	if _, held := l.held[key]; held {
		return true
	}
	_, uncertain := l.uncertain[key]
	return uncertain
}

// holdingsKnown reports whether everything that it may hold is in held and uncertain.
func (l *lessee[K]) holdingsKnown(now, takeoverDeadline time.Duration) bool {
	return l.answered || now >= takeoverDeadline
}

// recordSend records that a message with grants of the keys was sent and returns its
// sequence number. The grants expire at expires, in the lessee's own time.
func (l *lessee[K]) recordSend(now, expires time.Duration, keys []K) uint64 {
	l.seq++
	l.outstanding = true
	l.sentAt = now
	l.sentKeys = keys
	l.sentExpires = expires
	l.latestExpiry = max(l.latestExpiry, expires)
	return l.seq
}

// recordFailure records that the outstanding message got no answer.
func (l *lessee[K]) recordFailure() {
	l.outstanding = false
	for _, key := range l.sentKeys {
		l.uncertain[key] = max(l.uncertain[key], l.sentExpires)
	}
	l.sentKeys = nil
}

// recordReply records a reply, the lessee's own time in it and what it then held.
func (l *lessee[K]) recordReply(now, clock time.Duration, held map[K]Token) {
	l.outstanding = false
	l.sentKeys = nil
	l.lastReplyAt = now
	l.lastClock, l.lastClockReceivedAt = clock, now
	l.held = held
	maps.DeleteFunc(l.uncertain, func(_ K, expires time.Duration) bool { return expires <= clock })
}

// lost reports whether it has not answered for longer than lostAfter.
func (l *lessee[K]) lost(now time.Duration) bool { return now-l.lastReplyAt > lostAfter }
