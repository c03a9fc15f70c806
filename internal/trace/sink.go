package trace

import (
	"bytes"
	"io"
	"os"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/multierr"
)

// Sink is a trace file that several Writers share. It writes only whole lines, so that
// the lines of different Writers do not mix. All methods are safe for concurrent use; a
// nil Sink records nothing.
type Sink struct {
	mu      sync.Mutex
	output  io.WriteCloser
	writers []*Writer
}

// NewSink returns a Sink that writes to output and closes it in Close.
func NewSink(output io.WriteCloser) *Sink { return &Sink{output: output} }

// CreateSink creates or truncates the file and returns a Sink that writes to it. It
// returns nil for an empty name.
func CreateSink(file string) (*Sink, error) {
	if file == "" {
		return nil, nil
	}
	created, err := os.Create(file)
	if err != nil {
		return nil, errors.Wrap(err, "create trace file")
	}
	return NewSink(created), nil
}

// Writer starts a recording and returns its Writer, which Sink.Close closes. It returns nil
// for a nil Sink.
func (s *Sink) Writer(options WriterOptions) (*Writer, error) {
	if s == nil {
		return nil, nil
	}
	created, err := NewWriter(&lineWriter{sink: s}, options)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writers = append(s.writers, created)
	return created, nil
}

// Close closes every recording and the file.
func (s *Sink) Close() error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	writers := s.writers
	s.writers = nil
	s.mu.Unlock()
	var closeErr error
	for _, w := range writers {
		closeErr = multierr.Append(closeErr, w.Close())
	}
	return multierr.Append(closeErr, s.output.Close())
}

// lineWriter holds back an incomplete line until its end arrives, since the buffer of
// a Writer can be flushed in the middle of a line.
type lineWriter struct {
	sink    *Sink
	partial []byte
}

// Write implements io.Writer.
func (l *lineWriter) Write(data []byte) (int, error) {
	end := bytes.LastIndexByte(data, '\n') + 1
	if end == 0 {
		l.partial = append(l.partial, data...)
		return len(data), nil
	}
	whole := append(l.partial, data[:end]...)
	l.partial = append([]byte(nil), data[end:]...)
	l.sink.mu.Lock()
	defer l.sink.mu.Unlock()
	if _, err := l.sink.output.Write(whole); err != nil {
		return 0, err
	}
	return len(data), nil
}
