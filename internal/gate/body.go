package gate

import (
	"context"
	"io"
	"sync"
	"time"

	"fireflyfield/internal/admission"
)

// observedBody frees the slot when the answer has ended and tells the gate how it
// ended.
type observedBody struct {
	body     io.ReadCloser
	ctx      context.Context
	ticket   admission.Ticket
	instance string
	start    time.Time
	now      Clock
	done     sync.Once
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.finish(admission.Answered)
	case err != nil && b.ctx.Err() == context.DeadlineExceeded:
		b.finish(admission.TimedOut)
	case err != nil && b.ctx.Err() == nil:
		b.finish(admission.ConnectionReset)
	}
	return n, err
}

// Close implements io.Closer.
func (b *observedBody) Close() error {
	err := b.body.Close()
	b.finish(admission.Abandoned)
	return err
}

// finish reports the first end of the answer only.
func (b *observedBody) finish(result admission.Result) {
	b.done.Do(func() {
		b.ticket.Done(admission.Observation{Result: result, Instance: b.instance, Latency: b.now().Sub(b.start)})
	})
}
