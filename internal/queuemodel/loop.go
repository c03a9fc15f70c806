// Package queuemodel is a small queueing model for the measurements of admission
// and balancing: events under a fake clock, and a backend server with slots. It
// models no network and no process.
package queuemodel

import (
	"container/heap"
	"time"
)

// Loop runs events in the order of their time, and equal times in the order in
// which they were added. It is not safe for concurrent use.
type Loop struct {
	now    time.Time
	events eventHeap
	added  uint64
}

// NewLoop returns a Loop that starts at the given time.
func NewLoop(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the time of the event that runs.
func (l *Loop) Now() time.Time { return l.now }

// After runs f once the wait has passed.
func (l *Loop) After(wait time.Duration, f func()) {
	l.added++
	heap.Push(&l.events, event{at: l.now.Add(wait), order: l.added, run: f})
}

// Every runs f at each multiple of the interval until the end.
func (l *Loop) Every(interval time.Duration, end time.Time, f func()) {
	if l.now.Add(interval).After(end) {
		return
	}
	l.After(interval, func() {
		f()
		l.Every(interval, end, f)
	})
}

// Run runs every event, also those that events add.
func (l *Loop) Run() {
	for len(l.events) > 0 {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.run()
	}
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
