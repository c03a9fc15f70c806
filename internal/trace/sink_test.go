package trace_test

import (
	"bytes"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	"fireflyfield/internal/trace"
)

// memoryFile is a buffer that implements io.WriteCloser.
type memoryFile struct{ bytes.Buffer }

// Close implements io.Closer.
func (*memoryFile) Close() error { return nil }

// Guards against mixed lines of two recorders, which occur if their buffers are
// flushed in the middle of a line.
func TestSinkKeepsLinesWhole(t *testing.T) {
	is := is.New(t)
	output := &memoryFile{}
	sink := trace.NewSink(output)
	const recorders, events = 4, 2000 // the events of each recorder exceed its buffer of 64 KiB
	var running sync.WaitGroup
	for i := range recorders {
		writer, err := sink.Writer(trace.WriterOptions{VM: strconv.Itoa(i), Header: trace.Header{Role: trace.RoleVM, Instance: "a"}})
		is.NoErr(err)
		running.Go(func() {
			for n := range events {
				writer.Record(trace.Admitted{Request: strconv.Itoa(n), Workspace: "w"})
			}
		})
	}
	running.Wait()
	is.NoErr(sink.Close())
	read, err := trace.ReadAll(bytes.NewReader(output.Bytes()), trace.ReaderOptions{})
	is.NoErr(err)
	is.Equal(len(read), recorders*(events+2)) // including header and end
}

// Guards against a process that fails or records events when no trace file is set.
func TestNilSink(t *testing.T) {
	is := is.New(t)
	sink, err := trace.CreateSink("")
	is.NoErr(err)
	writer, err := sink.Writer(trace.WriterOptions{})
	is.NoErr(err)
	is.True(writer == nil)
	is.NoErr(sink.Close())
}
