package trace

import (
	"bufio"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// DefaultBufferEvents is the default number of events that can wait to be written.
const DefaultBufferEvents = 1 << 16

// WriterOptions describes a recording.
type WriterOptions struct {
	// VM names the recorder.
	VM string
	// Header is written first; its Version is filled in.
	Header Header
	// BufferEvents bounds the events that wait to be written; zero means
	// DefaultBufferEvents.
	BufferEvents int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Writer records events. Record never waits for the file: if the buffer is full, the
// event is dropped and counted. A dropped event uses a sequence number, so that the file
// shows a gap. All methods are safe for concurrent use.
type Writer struct {
	vm       string
	now      func() time.Time
	capacity int
	output   *bufio.Writer
	wake     chan struct{}
	done     chan struct{}

	mu      sync.Mutex
	seq     uint64
	pending []Event
	dropped uint64
	closed  bool
	err     error
}

// NewWriter starts a goroutine that writes events to output, beginning with the header.
// Close must be called to stop it.
func NewWriter(output io.Writer, options WriterOptions) (*Writer, error) {
	if options.BufferEvents == 0 {
		options.BufferEvents = DefaultBufferEvents
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	w := &Writer{
		vm:       options.VM,
		now:      options.Now,
		capacity: options.BufferEvents,
		output:   bufio.NewWriterSize(output, 64<<10),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	options.Header.Version = Version
	header := Event{Time: w.now().UnixNano(), VM: w.vm, Seq: 1, Body: options.Header}
	if err := header.validate(); err != nil {
		return nil, errors.Wrap(err, "validate trace header")
	}
	w.seq = 1
	w.pending = append(w.pending, header)
	go w.run()
	w.wakeWriter()
	return w, nil
}

// Record records an event with the current time. A nil Writer ignores it, so that
// callers need not check whether tracing is on.
func (w *Writer) Record(body Body) {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.addLocked(w.now().UnixNano(), body)
	w.mu.Unlock()
}

// RecordAt records an event that happened at another time, such as a lease that
// expired while the recorder was frozen.
func (w *Writer) RecordAt(at time.Time, body Body) {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.addLocked(at.UnixNano(), body)
	w.mu.Unlock()
}

// addLocked numbers an event and adds it to the pending ones, or drops it if the Writer
// is closed or the buffer is full. The caller must hold mu.
func (w *Writer) addLocked(at int64, body Body) {
	w.seq++
	if w.closed || len(w.pending) >= w.capacity {
		w.dropped++
		return
	}
	w.pending = append(w.pending, Event{Time: at, VM: w.vm, Seq: w.seq, Body: body})
	if len(w.pending) == 1 {
		w.wakeWriter()
	}
}

func (w *Writer) wakeWriter() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of events that were not written. It does not include
// events that were lost with the output buffer when a write failed; Close returns that
// error.
func (w *Writer) Dropped() uint64 {
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes the pending events and the end event, and returns the first error of the
// whole recording. Events recorded after Close are dropped.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	firstClose := !w.closed
	w.closed = true
	w.mu.Unlock()
	if firstClose {
		// No goroutine sends on wake any more: addLocked checks closed.
		close(w.wake)
	}
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []Event
	for range w.wake {
		spare = w.writePending(spare)
		w.flush()
	}
	w.writePending(spare)
	w.writeEnd()
	w.flush()
}

// writePending replaces the pending events by the empty buffer spare and writes them.
// Record waits only for this swap. It returns the emptied buffer for reuse.
func (w *Writer) writePending(spare []Event) []Event {
	w.mu.Lock()
	batch := w.pending
	w.pending = spare[:0]
	w.mu.Unlock()
	for _, event := range batch {
		w.write(event)
	}
	clear(batch)
	return batch
}

func (w *Writer) write(event Event) {
	data, err := event.MarshalJSON()
	if err == nil {
		_, err = w.output.Write(append(data, '\n'))
	}
	w.recordError(err, true)
}

func (w *Writer) writeEnd() {
	w.mu.Lock()
	w.seq++
	end := Event{Time: w.now().UnixNano(), VM: w.vm, Seq: w.seq, Body: End{Dropped: w.dropped}}
	w.mu.Unlock()
	w.write(end)
}

func (w *Writer) flush() { w.recordError(w.output.Flush(), false) }

// recordError keeps the first error, and counts a dropped event if lost is true.
func (w *Writer) recordError(err error, lost bool) {
	if err == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if lost {
		w.dropped++
	}
	if w.err == nil {
		w.err = errors.Wrap(err, "write trace")
	}
}
