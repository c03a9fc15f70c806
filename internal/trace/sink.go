package trace

import (
	"bytes"
	"io"
	"os"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/multierr"
)

// Sink is one file that several recorders share. Each of their lines is written
// whole. All methods are safe for concurrent use; a nil Sink records nothing.
type Sink struct {
	mu      sync.Mutex
	output  io.WriteCloser
	writers []*Writer
}

// NewSink returns a Sink that closes the output at Close.
func NewSink(output io.WriteCloser) *Sink { return &Sink{output: output} }

// CreateSink creates or truncates the file. With an empty name it returns nil.
func CreateSink(file string) (*Sink, error) {
	if file == "" {
		return nil, nil
	}
	created, err := os.Create(file)
	if err != nil {
		return nil, errors.Wrap(err, "create trace")
	}
	return NewSink(created), nil
}

// Writer starts a recording in the file. It returns nil for a nil Sink.
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
	var faults error
	for _, w := range writers {
		faults = multierr.Append(faults, w.Close())
	}
	return multierr.Append(faults, s.output.Close())
}

// lineWriter keeps the begin of a line back until its end arrives, since a
// recorder's buffer can be written in the middle of a line.
type lineWriter struct {
	sink *Sink
	rest []byte
}

// Write implements io.Writer.
func (l *lineWriter) Write(data []byte) (int, error) {
	end := bytes.LastIndexByte(data, '\n') + 1
	if end == 0 {
		l.rest = append(l.rest, data...)
		return len(data), nil
	}
	whole := append(l.rest, data[:end]...)
	l.rest = append([]byte(nil), data[end:]...)
	l.sink.mu.Lock()
	defer l.sink.mu.Unlock()
	if _, err := l.sink.output.Write(whole); err != nil {
		return 0, err
	}
	return len(data), nil
}
