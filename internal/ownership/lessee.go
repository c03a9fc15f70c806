package ownership

import (
	"maps"
	"time"
)

// lessee is what a decider knows in its term about one holder of leases: a backend
// server (keys are units) or a member (keys are roles).
type lessee[K comparable] struct {
	instance string
	// answered says that this instance replied in this term, so that it refuses
	// messages of earlier deciders and its holdings are known.
	answered bool
	// echo is the last reading of the lessee's clock and echoAt the local time at
	// which it arrived; the reading was made before.
	echo   time.Duration
	echoAt time.Duration
	// highest is the highest expiry that any message may have given it.
	highest time.Duration
	// held contains everything that it may hold, including grants that were sent
	// and not answered.
	held map[K]Token
	// uncertain maps a key of an unanswered grant to its expiry. Such a message
	// may still arrive after a later revoke was answered, so the key is not free
	// before the lessee's own clock has passed the expiry.
	uncertain map[K]time.Duration

	seq         uint64
	outstanding bool
	sentAt      time.Duration
	sentKeys    []K
	sentExpires time.Duration
	renewedAt   time.Duration
	lastAnswer  time.Duration
}

func newLessee[K comparable](now time.Duration) *lessee[K] {
	return &lessee[K]{
		held:       make(map[K]Token),
		uncertain:  make(map[K]time.Duration),
		lastAnswer: now,
	}
}

// reset forgets a process that has ended and returns what it held.
func (l *lessee[K]) reset() map[K]Token {
	before := l.held
	l.clear()
	l.instance = ""
	l.answered = false
	l.outstanding = false
	l.highest = 0
	return before
}

// clear drops the holdings because their leases have ended or their process has.
func (l *lessee[K]) clear() {
	l.held = make(map[K]Token)
	clear(l.uncertain)
}

// lapseAt is the local time from which it holds nothing unless it answers again.
func (l *lessee[K]) lapseAt(takeoverWait time.Duration) time.Duration {
	if !l.answered {
		return takeoverWait
	}
	return l.echoAt + max(0, l.highest-l.echo) + WaitMargin
}

// mayHold reports whether it may hold the key.
func (l *lessee[K]) mayHold(key K) bool {
	if _, held := l.held[key]; held {
		return true
	}
	_, uncertain := l.uncertain[key]
	return uncertain
}

// known reports whether everything that it may hold is in held and uncertain.
func (l *lessee[K]) known(now, takeoverWait time.Duration) bool {
	return l.answered || now >= takeoverWait
}

// send notes a message with grants that expire at the reading of the lessee's clock.
func (l *lessee[K]) send(now, expires time.Duration, keys []K) uint64 {
	l.seq++
	l.outstanding = true
	l.sentAt = now
	l.sentKeys = keys
	l.sentExpires = expires
	l.highest = max(l.highest, expires)
	return l.seq
}

// fail notes that the outstanding message got no answer.
func (l *lessee[K]) fail() {
	l.outstanding = false
	for _, key := range l.sentKeys {
		l.uncertain[key] = max(l.uncertain[key], l.sentExpires)
	}
	l.sentKeys = nil
}

// answer notes a reply and what the lessee held when it was made.
func (l *lessee[K]) answer(now, echo time.Duration, held map[K]Token) {
	l.outstanding = false
	l.sentKeys = nil
	l.lastAnswer = now
	l.echo, l.echoAt = echo, now
	l.held = held
	maps.DeleteFunc(l.uncertain, func(_ K, expires time.Duration) bool { return expires <= echo })
}

// lost reports whether it has not answered for so long that it is replaced.
func (l *lessee[K]) lost(now time.Duration) bool { return now-l.lastAnswer > lostAfter }
