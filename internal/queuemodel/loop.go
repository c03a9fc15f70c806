// Package queuemodel is a discrete-event queueing model for measuring admission and
// balancing: an event loop with simulated time, and backend servers with a limited number
// of slots. It models neither networks nor processes; arrivals and the choice of a
// backend server are left to the measurements.
package queuemodel

import (
	"container/heap"
	"time"
)

// Loop runs events in simulated time, ordered by their time and, for equal times, by the
// order in which they were added. It is not safe for concurrent use.
type Loop struct {
	now      time.Time
	events   eventHeap
	sequence uint64
}

// NewLoop returns a Loop without events whose simulated time is start.
func NewLoop(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the simulated time, which is the time of the event that is running.
func (l *Loop) Now() time.Time { return l.now }

// After schedules f to run once the given simulated time has passed.
func (l *Loop) After(wait time.Duration, f func()) {
	l.sequence++
	heap.Push(&l.events, event{runAt: l.now.Add(wait), sequence: l.sequence, run: f})
}

// Every schedules f to run at each multiple of the interval from now until end,
// inclusive.
func (l *Loop) Every(interval time.Duration, end time.Time, f func()) {
	if l.now.Add(interval).After(end) {
		return
	}
	l.After(interval, func() {
		f()
		l.Every(interval, end, f)
	})
}

// Run runs all events, including those added by other events, until none is left.
func (l *Loop) Run() {
	for len(l.events) > 0 {
		next := heap.Pop(&l.events).(event)
		l.now = next.runAt
		next.run()
	}
}

// event is a function to run at a simulated time. The sequence number orders events of
// equal time.
type event struct {
	runAt    time.Time
	sequence uint64
	run      func()
}

// eventHeap is a heap with the next event to run at the top.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].runAt.Equal(h[j].runAt) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].runAt.Before(h[j].runAt)
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
