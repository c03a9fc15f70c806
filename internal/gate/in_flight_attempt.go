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

// inFlightAttempt is one admitted attempt from its admission to the end of its
// response.
type inFlightAttempt struct {
	gate     *openGate
	ticket   admission.Ticket
	keyed    bool
	unit     uint64
	keyHash  uint64
	ctx      context.Context
	cancel   context.CancelFunc
	now      Clock
	recorder Recorder
	attempt  peer.Attempt
	// status is the status of the response; 0 until its head has arrived.
	status   int
	start    time.Time
	instance string
	done     sync.Once
}

// newInFlightAttempt begins an attempt. For a keyed service the caller has counted it at
// the unit already.
func newInFlightAttempt(ctx context.Context, gate *openGate, ticket admission.Ticket, attempt peer.Attempt, owner Owner, now Clock) *inFlightAttempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &inFlightAttempt{
		gate: gate, ticket: ticket, now: now, ctx: ctx, cancel: cancel,
		keyed: attempt.Keyed, unit: owner.Unit, keyHash: attempt.KeyHash, attempt: attempt,
	}
	if a.keyed {
		gate.attempts.add(a)
	}
	return a
}

// send sends the request. An error is always a *backend.Failure and has ended the
// attempt.
func (a *inFlightAttempt) send(attempt peer.Attempt, owner Owner) (*backend.Response, error) {
	a.start = a.now()
	a.recordSending(owner)
	resp, err := a.gate.client.Send(a.ctx, backend.Request{
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
		a.instance = failure.Instance
		a.recordFailed(failure)
		a.observe(resultOf(a.ctx, failure))
		return nil, failure
	}
	a.instance = resp.Instance
	a.status = resp.Status
	resp.Body = &observedBody{body: resp.Body, attempt: a}
	return resp, nil
}

// observe ends the attempt with the result and the time since the send.
func (a *inFlightAttempt) observe(result admission.Result) {
	a.finish(admission.Observation{Result: result, Instance: a.instance, Latency: a.now().Sub(a.start)})
}

// finish ends the attempt and frees its slot and unit. Further calls have no effect.
func (a *inFlightAttempt) finish(observation admission.Observation) {
	a.done.Do(func() {
		a.recordEnd(observation.Result)
		a.ticket.Done(observation)
		if a.keyed {
			a.gate.attempts.remove(a)
			a.gate.units.end(a.unit)
		}
		a.cancel()
	})
}

// observedBody ends the attempt at the end of the response body.
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
