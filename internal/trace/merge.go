package trace

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"io"
	"iter"

	"github.com/go-faster/errors"
)

// Merge yields the events of several readers in the order of Compare. The order within
// one reader is kept even where its clock was set back. The first error ends the
// sequence and is yielded with a zero event. ErrTruncated ends only the reader that
// returned it, and is yielded after all events.
func Merge(readers ...*Reader) iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		m := &merger{}
		for _, reader := range readers {
			m.pushFirst(reader)
		}
		for m.failed == nil && len(m.heads) > 0 {
			next := m.heads[0]
			if !yield(next.event, nil) {
				return
			}
			m.advance()
		}
		if err := errors.Join(m.failed, m.truncated); err != nil {
			yield(Event{}, err)
		}
	}
}

// MergeAll returns the events of Merge as a slice. If there is an error, it returns the
// events before the error too.
func MergeAll(readers ...*Reader) ([]Event, error) {
	var events []Event
	for event, err := range Merge(readers...) {
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
	return events, nil
}

// WriteAll writes events as JSON lines with the sequence numbers that they already
// have. It stops at the first error.
func WriteAll(output io.Writer, events iter.Seq2[Event, error]) error {
	encoder := json.NewEncoder(output)
	for event, err := range events {
		if err != nil {
			return err
		}
		if err := encoder.Encode(event); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}

// readerHead is the next event of a reader.
type readerHead struct {
	event  Event
	reader *Reader
}

// merger is a heap of the next events of all readers, and the errors of readers that
// have ended.
type merger struct {
	heads     []readerHead
	failed    error
	truncated error
}

// pushFirst adds a reader with its first event.
func (m *merger) pushFirst(reader *Reader) {
	if event, ok := m.read(reader); ok {
		heap.Push(m, readerHead{event, reader})
	}
}

// advance replaces the event at the top of the heap by the next one of its reader.
func (m *merger) advance() {
	event, ok := m.read(m.heads[0].reader)
	if !ok {
		heap.Pop(m)
		return
	}
	m.heads[0].event = event
	heap.Fix(m, 0)
}

func (m *merger) read(reader *Reader) (Event, bool) {
	event, err := reader.Next()
	switch {
	case err == nil:
		return event, true
	case err == io.EOF:
	case errors.Is(err, ErrTruncated):
		m.truncated = errors.Join(m.truncated, err)
	default:
		m.failed = errors.Join(m.failed, err)
	}
	return Event{}, false
}

// Compare orders events by time, then recorder, then sequence number.
func Compare(a, b Event) int {
	return cmp.Or(cmp.Compare(a.Time, b.Time), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Seq, b.Seq))
}

// Len implements heap.Interface.
func (m *merger) Len() int { return len(m.heads) }

// Less implements heap.Interface.
func (m *merger) Less(i, j int) bool { return Compare(m.heads[i].event, m.heads[j].event) < 0 }

// Swap implements heap.Interface.
func (m *merger) Swap(i, j int) { m.heads[i], m.heads[j] = m.heads[j], m.heads[i] }

// Push implements heap.Interface.
func (m *merger) Push(x any) { m.heads = append(m.heads, x.(readerHead)) }

// Pop implements heap.Interface.
func (m *merger) Pop() any {
	last := m.heads[len(m.heads)-1]
	m.heads = m.heads[:len(m.heads)-1]
	return last
}
