package gate

import (
	"context"
	"io"
	"sync"
	"time"

	"fireflyfield/internal/admission"
	"fireflyfield/internal/backend"
	"fireflyfield/internal/peer"
)

// inFlightAttempt is one admitted attempt from the send to the end of its answer.
type inFlightAttempt struct {
	entry    *openGate
	ticket   admission.Ticket
	keyed    bool
	unit     uint64
	keyHash  uint64
	ctx      context.Context
	cancel   context.CancelFunc
	now      Clock
	recorder Recorder
	attempt  peer.Attempt
	status   int
	start    time.Time
	instance string
	done     sync.Once
}

func newInFlightAttempt(ctx context.Context, entry *openGate, ticket admission.Ticket, attempt peer.Attempt, owner Owner, now Clock) *inFlightAttempt {
	ctx, cancel := context.WithCancel(ctx)
	r := &inFlightAttempt{
		entry: entry, ticket: ticket, now: now, ctx: ctx, cancel: cancel,
		keyed: attempt.Keyed, unit: owner.Unit, keyHash: attempt.KeyHash, attempt: attempt,
	}
	if r.keyed {
		entry.attempts.add(r)
	}
	return r
}

func (r *inFlightAttempt) send(attempt peer.Attempt, owner Owner) (*backend.Response, error) {
	r.start = r.now()
	r.recordSending(owner)
	resp, err := r.entry.client.Send(r.ctx, backend.Request{
		ID:         attempt.RequestID,
		Attempt:    attempt.Number,
		Workspace:  attempt.Workspace,
		Method:     attempt.Method,
		Target:     attempt.Target,
		Header:     attempt.Header,
		Body:       attempt.Body,
		Deadline:   attempt.Deadline(),
		Idempotent: attempt.Idempotent,
		Keyed:      attempt.Keyed,
		Unit:       owner.Unit,
		Fence:      owner.Fence,
	})
	if err != nil {
		failure := err.(*backend.Failure)
		r.instance = failure.Instance
		r.recordFailed(failure)
		r.observe(resultOf(r.ctx, failure))
		return nil, failure
	}
	r.instance = resp.Instance
	r.status = resp.Status
	resp.Body = &observedBody{body: resp.Body, attempt: r}
	return resp, nil
}

func (r *inFlightAttempt) observe(result admission.Result) {
	r.finish(admission.Observation{Result: result, Instance: r.instance, Latency: r.now().Sub(r.start)})
}

// finish frees the slot and the unit; further calls have no effect.
func (r *inFlightAttempt) finish(observation admission.Observation) {
	r.done.Do(func() {
		r.recordEnd(observation.Result)
		r.ticket.Done(observation)
		if r.keyed {
			r.entry.attempts.remove(r)
			r.entry.units.end(r.unit)
		}
		r.cancel()
	})
}

// observedBody reports how the answer ended.
type observedBody struct {
	body    io.ReadCloser
	attempt *inFlightAttempt
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	ended := b.attempt.ctx.Err()
	switch {
	case err == io.EOF:
		b.attempt.observe(admission.Answered)
	case err != nil && ended == context.DeadlineExceeded:
		b.attempt.observe(admission.TimedOut)
	case err != nil && ended == nil:
		b.attempt.observe(admission.ConnectionReset)
	}
	return n, err
}

// Close implements io.Closer.
func (b *observedBody) Close() error {
	err := b.body.Close()
	b.attempt.observe(admission.Abandoned)
	return err
}
