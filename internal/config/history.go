package config

import "fireflyfield/internal/resource"

// Limits of the events kept for watches that resume. A watch that is further
// behind gets the whole state again.
const (
	historyEvents = 4096
	historyBytes  = 16 << 20
	// eventBytes is the size of an event apart from its resource.
	eventBytes = 256
)

// Event is one change of one resource.
type Event struct {
	Revision uint64
	Op       Op
	ID       resource.ID
	// Resource is set for OpPut.
	Resource resource.Resource
	// size is the encoded size of the resource in bytes.
	size int
}

// history is the recent events in order of their revision.
type history struct {
	// after is the revision from which on the events are complete.
	after  uint64
	events []Event
	bytes  int
}

func (h *history) add(event Event) {
	h.events = append(h.events, event)
	h.bytes += event.size + eventBytes
	for len(h.events) > historyEvents || h.bytes > historyBytes {
		h.dropOldest()
	}
}

func (h *history) dropOldest() {
	oldest := h.events[0]
	h.after = oldest.Revision
	h.bytes -= oldest.size + eventBytes
	h.events[0] = Event{}
	h.events = h.events[1:]
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
