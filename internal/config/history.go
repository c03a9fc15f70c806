package config

import "fireflyfield/internal/resource"

// historyEvents bounds the events kept for watches that resume. A watch that is
// further behind gets the whole state again.
const historyEvents = 4096

// Event is one change of one resource.
type Event struct {
	Revision uint64
	Op       Op
	ID       resource.ID
	// Resource is set for OpPut.
	Resource resource.Resource
}

// history is the recent events in order of their revision.
type history struct {
	// after is the revision from which on the events are complete.
	after  uint64
	events []Event
}

func (h *history) add(event Event) {
	h.events = append(h.events, event)
	if len(h.events) <= 2*historyEvents {
		return
	}
	surplus := len(h.events) - historyEvents
	h.after = h.events[surplus-1].Revision
	h.events = append([]Event(nil), h.events[surplus:]...)
}

// Since returns the events after the revision and the position up to which they
// are complete. It returns false if the events no longer reach back that far.
func (s *State) Since(revision uint64) (events []Event, position uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.history.after {
		return nil, s.position, false
	}
	for _, event := range s.history.events {
		if event.Revision > revision {
			events = append(events, event)
		}
	}
	return events, s.position, true
}
