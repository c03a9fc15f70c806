// Package linelimit limits the number of log lines of each kind per second. It counts
// suppressed lines and logs a summary of the counts; callers write the allowed lines.
package linelimit

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// summaryInterval is the shortest time between summaries of suppressed lines.
const summaryInterval = 5 * time.Second

// Limiter decides which lines are written. It is safe for concurrent use. It calls
// nothing but the logger while it holds its lock, so it may be called under any other
// lock.
type Limiter struct {
	log       *zap.Logger
	now       func() time.Duration
	perSecond int
	summary   string

	mu            sync.Mutex
	currentSecond time.Duration
	written       map[string]int
	suppressed    map[string]int
	nextSummary   time.Duration
}

// New returns a limiter that allows perSecond lines of each kind in each second. It
// logs the counts of suppressed lines by kind with the message summary. The clock now
// is monotonic.
func New(log *zap.Logger, now func() time.Duration, perSecond int, summary string) *Limiter {
	return &Limiter{
		log: log, now: now, perSecond: perSecond, summary: summary,
		written: make(map[string]int), suppressed: make(map[string]int),
	}
}

// Allow counts a line of the kind and reports whether it may be written. The first call
// in a new second also logs a summary if one is due.
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

// summarize logs the counts of suppressed lines unless there are none or the last
// summary is too recent. The caller holds the lock.
func (l *Limiter) summarize(now time.Duration) {
	if len(l.suppressed) == 0 || now < l.nextSummary {
		return
	}
	l.nextSummary = now + summaryInterval
	fields := make([]zap.Field, 0, len(l.suppressed))
	for kind, count := range l.suppressed {
		fields = append(fields, zap.Int(kind, count))
	}
	clear(l.suppressed)
	l.log.Info(l.summary, fields...)
}
