package trace

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// Default limits of a Reader: 64 KiB for a line and 16 GiB for a file.
const (
	DefaultMaxLineBytes = 64 << 10
	DefaultMaxFileBytes = 16 << 30
)

// ErrTruncated is returned when the last line has no line break, which happens when
// the recorder is lost. The events before it are valid.
var ErrTruncated = errors.New("the last line is incomplete")

// LineError is an error at a line of a trace.
type LineError struct {
	// File is the name from ReaderOptions and may be empty.
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

// Unwrap returns Err.
func (e *LineError) Unwrap() error { return e.Err }

// ReaderOptions holds the limits of a Reader, in bytes; zero stands for the default.
// File names the input in errors.
type ReaderOptions struct {
	File         string
	MaxLineBytes int
	MaxFileBytes int64
}

// Reader decodes a trace and rejects everything that does not conform to the format.
// It is not safe for concurrent use.
type Reader struct {
	options ReaderOptions
	scanner *bufio.Scanner
	line    int
	bytes   int64
	partial bool
	lastSeq map[string]uint64
	err     error
}

// NewReader returns a Reader that decodes the trace in input.
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
	r.scanner.Split(r.splitLine)
	return r
}

// Next returns the next event. It returns io.EOF at the end of the trace and a
// *LineError for any other error. Once it has returned an error, it returns the same
// one again.
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
		return Event{}, r.endOfScan()
	}
	data := r.scanner.Bytes()
	r.bytes += int64(len(data)) + 1
	if r.partial {
		return Event{}, ErrTruncated
	}
	if r.bytes > r.options.MaxFileBytes {
		return Event{}, errors.Errorf("trace is larger than %d bytes", r.options.MaxFileBytes)
	}
	var event Event
	if err := event.UnmarshalJSON(data); err != nil {
		return Event{}, err
	}
	return event, r.checkOrder(event)
}

// endOfScan returns the reason why the scanner has no further line.
func (r *Reader) endOfScan() error {
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

// splitLine is the bufio.SplitFunc of the Reader. It returns lines without the line
// break, and sets partial for a last line that has none.
func (r *Reader) splitLine(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	if atEOF && len(data) > 0 {
		r.partial = true
		return len(data), data, nil
	}
	return 0, nil, nil
}

// checkOrder returns an error unless each recording starts with a header and its
// sequence numbers rise. Gaps are valid: they stand for dropped events.
func (r *Reader) checkOrder(event Event) error {
	last, started := r.lastSeq[event.VM]
	_, isHeader := event.Body.(Header)
	switch {
	case isHeader && event.Seq != 1:
		return errors.Errorf("header has sequence number %d instead of 1", event.Seq)
	case !isHeader && !started:
		return errors.Errorf("%s event before the header of %q", event.Body.Type(), event.VM)
	case !isHeader && event.Seq <= last:
		return errors.Errorf("sequence number %d after %d of recorder %q", event.Seq, last, event.VM)
	}
	r.lastSeq[event.VM] = event.Seq
	return nil
}

// ReadAll returns all events of the trace in input. If there is an error, it returns
// the events before the error too.
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
