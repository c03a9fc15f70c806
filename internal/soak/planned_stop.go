package soak

import (
	"sync"
	"time"
)

// stopLog records the planned stops of a VM, and the faults that excuse requests without an
// answer. It is safe for concurrent use.
type stopLog struct {
	mu sync.Mutex
	// stoppingSince and stoppedAt are the start and the end of the last planned stop.
	stoppingSince, stoppedAt time.Time
	// faults is the number of faults that last, and faultEndedAt the end of the last one.
	faults       int
	faultEndedAt time.Time
}

// stop records the start of a planned stop. The returned function records its end.
func (l *stopLog) stop() (ended func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stoppingSince, l.stoppedAt = time.Now(), time.Time{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.stoppedAt = time.Now()
	}
}

// fault records the start of a fault of the process or of its connections to callers. The
// returned function records its end.
func (l *stopLog) fault() (ended func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults++
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.faults--
			l.faultEndedAt = time.Now()
		})
	}
}

// mustAnswer reports whether a request that was under way from sentAt until now must have had
// an answer although the VM stopped: a planned stop fell into that time and no fault did.
func (l *stopLog) mustAnswer(sentAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	stopped := !l.stoppingSince.IsZero() && (l.stoppedAt.IsZero() || l.stoppedAt.After(sentAt))
	return stopped && l.faults == 0 && l.faultEndedAt.Before(sentAt)
}
