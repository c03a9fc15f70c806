package config

import "fireflyfield/internal/resource"

// Limits of the events kept in memory for watches that resume. A watch that is
// further behind receives the whole state again.
const (
	maxHistoryEvents = 4096
	maxHistoryBytes  = 16 << 20
	// eventOverheadBytes is what an event counts for apart from its resource.
	eventOverheadBytes = 256
)

// Event is one accepted change of one resource.
type Event struct {
	// Revision is the offset of the record that made the change.
	Revision uint64
	Op       Op
	ID       resource.ID
	// Resource is set for OpPut.
	Resource resource.Resource
	// size is the encoded size of the resource in bytes.
	size int
}

// history holds the most recent events in order of their revision.
type history struct {
	// completeAfter is the revision after which no event is missing.
	completeAfter uint64
	events        []Event
	bytes         int
}

func (h *history) add(event Event) {
	h.events = append(h.events, event)
	h.bytes += event.size + eventOverheadBytes
	for len(h.events) > maxHistoryEvents || h.bytes > maxHistoryBytes {
		h.dropOldest()
	}
}

func (h *history) dropOldest() {
	oldest := h.events[0]
	h.completeAfter = oldest.Revision
	h.bytes -= oldest.size + eventOverheadBytes
	h.events[0] = Event{}
	h.events = h.events[1:]
}

// Since returns the events after the revision, and the position up to which they are
// complete. It returns false if some events after the revision were dropped from
// memory.
func (s *State) Since(revision uint64) (events []Event, position uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.history.completeAfter {
		return nil, s.position, false
	}
	for _, event := range s.history.events {
		if event.Revision > revision {
			events = append(events, event)
		}
	}
	return events, s.position, true
}
