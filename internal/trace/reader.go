package trace

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// Limits of a Reader.
const (
	DefaultMaxLineBytes = 64 << 10
	DefaultMaxFileBytes = 16 << 30
)

// ErrTruncated says that the last line has no line break, as after the loss of the
// recorder. The events before it are valid.
var ErrTruncated = errors.New("the last line is incomplete")

// LineError is a fault with its place.
type LineError struct {
	// File is empty when the Reader has no name.
	File string
	// Line counts from 1.
	Line int
	Err  error
}

// Error returns "file: line 12: reason".
func (e *LineError) Error() string {
	place := "line " + strconv.Itoa(e.Line) + ": " + e.Err.Error()
	if e.File == "" {
		return place
	}
	return e.File + ": " + place
}

// Unwrap returns the reason.
func (e *LineError) Unwrap() error { return e.Err }

// ReaderOptions bounds what a Reader accepts; zero values mean the defaults.
type ReaderOptions struct {
	File         string
	MaxLineBytes int
	MaxFileBytes int64
}

// Reader decodes a trace strictly. It is not safe for concurrent use.
type Reader struct {
	options ReaderOptions
	scanner *bufio.Scanner
	line    int
	bytes   int64
	partial bool
	lastSeq map[string]uint64
	err     error
}

// NewReader returns a Reader of input.
func NewReader(input io.Reader, options ReaderOptions) *Reader {
	if options.MaxLineBytes == 0 {
		options.MaxLineBytes = DefaultMaxLineBytes
	}
	if options.MaxFileBytes == 0 {
		options.MaxFileBytes = DefaultMaxFileBytes
	}
	r := &Reader{options: options, lastSeq: make(map[string]uint64)}
	r.scanner = bufio.NewScanner(input)
	r.scanner.Buffer(make([]byte, 0, min(options.MaxLineBytes, 4<<10)), options.MaxLineBytes)
	r.scanner.Split(r.split)
	return r
}

// Next returns the next event. It returns io.EOF at the end and a *LineError for a
// fault; after either it returns the same error again.
func (r *Reader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	event, err := r.next()
	if err != nil && err != io.EOF {
		err = &LineError{File: r.options.File, Line: r.line, Err: err}
	}
	r.err = err
	return event, err
}

func (r *Reader) next() (Event, error) {
	r.line++
	if !r.scanner.Scan() {
		return Event{}, r.endReason()
	}
	data := r.scanner.Bytes()
	r.bytes += int64(len(data)) + 1
	if r.partial {
		return Event{}, ErrTruncated
	}
	if r.bytes > r.options.MaxFileBytes {
		return Event{}, errors.Errorf("file is larger than %d bytes", r.options.MaxFileBytes)
	}
	var event Event
	if err := event.UnmarshalJSON(data); err != nil {
		return Event{}, err
	}
	return event, r.checkOrder(event)
}

func (r *Reader) endReason() error {
	switch err := r.scanner.Err(); {
	case err == nil && r.line == 1:
		return errors.New("trace is empty")
	case err == nil:
		return io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return errors.Errorf("line is longer than %d bytes", r.options.MaxLineBytes)
	default:
		return err
	}
}

// split returns lines without the line break and marks one that has none.
func (r *Reader) split(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	if atEOF && len(data) > 0 {
		r.partial = true
		return len(data), data, nil
	}
	return 0, nil, nil
}

// checkOrder makes sure that each recording starts with a header and that its
// sequence numbers rise. Gaps are valid: they stand for dropped events.
func (r *Reader) checkOrder(event Event) error {
	last, started := r.lastSeq[event.VM]
	_, isHeader := event.Body.(Header)
	switch {
	case isHeader && event.Seq != 1:
		return errors.Errorf("header has sequence number %d instead of 1", event.Seq)
	case !isHeader && !started:
		return errors.Errorf("%s before the header of %q", event.Body.Type(), event.VM)
	case !isHeader && event.Seq <= last:
		return errors.Errorf("sequence number %d after %d of %q", event.Seq, last, event.VM)
	}
	r.lastSeq[event.VM] = event.Seq
	return nil
}

// ReadAll returns every event. With an error it returns the events before it.
func ReadAll(input io.Reader, options ReaderOptions) ([]Event, error) {
	reader := NewReader(input, options)
	var events []Event
	for {
		event, err := reader.Next()
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}
