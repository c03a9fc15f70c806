package soak

import (
	"sync"
	"time"
)

// faultLog records when faults of one kind last. It is safe for concurrent use.
type faultLog struct {
	mu      sync.Mutex
	active  int
	endedAt time.Time // of the last one
}

// begin records the start of a fault. The returned function records its end.
func (l *faultLog) begin() (ended func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active++
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.active--
			l.endedAt = time.Now()
		})
	}
}

// since reports whether a fault has lasted at any time since from.
func (l *faultLog) since(from time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active > 0 || !l.endedAt.Before(from)
}

// stopLog records the planned stops of a VM. It is safe for concurrent use.
type stopLog struct {
	// faults are those that excuse requests without an answer.
	faults faultLog

	mu sync.Mutex
	// stoppingSince and stoppedAt are the start and the end of the last planned stop.
	stoppingSince, stoppedAt time.Time
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

// mustAnswer reports whether a request that was under way from sentAt until now must have had
// an answer although the VM stopped: a planned stop fell into that time and no fault did.
func (l *stopLog) mustAnswer(sentAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	stopped := !l.stoppingSince.IsZero() && (l.stoppedAt.IsZero() || l.stoppedAt.After(sentAt))
	return stopped && !l.faults.since(sentAt)
}
