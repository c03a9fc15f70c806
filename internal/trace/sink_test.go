package trace_test

import (
	"bytes"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	"fireflyfield/internal/trace"
)

// memory is an output that can be closed.
type memory struct{ bytes.Buffer }

// Close implements io.Closer.
func (*memory) Close() error { return nil }

// Guards against lines of two recorders that run into each other when their
// buffers are written in the middle of a line.
func TestSinkKeepsLinesWhole(t *testing.T) {
	is := is.New(t)
	output := &memory{}
	sink := trace.NewSink(output)
	const recorders, events = 4, 2000 // each recorder exceeds its buffer of 64 KiB
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
	is.Equal(len(read), recorders*(events+2)) // with header and end
}

// Guards against a process without a trace that fails or writes.
func TestNilSink(t *testing.T) {
	is := is.New(t)
	sink, err := trace.CreateSink("")
	is.NoErr(err)
	writer, err := sink.Writer(trace.WriterOptions{})
	is.NoErr(err)
	is.True(writer == nil)
	is.NoErr(sink.Close())
}
