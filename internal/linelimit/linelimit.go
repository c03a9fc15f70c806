// Package linelimit bounds the number of log lines of a kind per second. Lines beyond
// it are counted, and a summary line tells how many there were.
package linelimit

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// summaryInterval is the time between summaries of suppressed lines.
const summaryInterval = 5 * time.Second

// Limiter decides which lines are written. It is safe for concurrent use; its lock is
// a leaf.
type Limiter struct {
	log       *zap.Logger
	now       func() time.Duration
	perSecond int
	summary   string

	mu         sync.Mutex
	currentSecond     time.Duration
	written    map[string]int
	suppressed map[string]int
	nextSummary  time.Duration
}

// New returns a limiter that allows perSecond lines of each kind in a second and writes
// its counts under the message summary.
func New(log *zap.Logger, now func() time.Duration, perSecond int, summary string) *Limiter {
	return &Limiter{
		log: log, now: now, perSecond: perSecond, summary: summary,
		written: make(map[string]int), suppressed: make(map[string]int),
	}
}

// Allow counts a line and reports whether it may be written.
func (l *Limiter) Allow(kind string) bool {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Truncate(time.Second); second != l.currentSecond {
		l.currentSecond = second
		clear(l.written)
		l.summarize(now)
	}
	l.written[kind]++
	if l.written[kind] > l.perSecond {
		l.suppressed[kind]++
		return false
	}
	return true
}

// summarize writes the counts of suppressed lines. The caller holds the lock.
func (l *Limiter) summarize(now time.Duration) {
	if len(l.suppressed) == 0 || now < l.nextSummary {
		return
	}
	l.nextSummary = now + summaryInterval
	list := make([]zap.Field, 0, len(l.suppressed))
	for kind, count := range l.suppressed {
		list = append(list, zap.Int(kind, count))
	}
	clear(l.suppressed)
	l.log.Info(l.summary, list...)
}
