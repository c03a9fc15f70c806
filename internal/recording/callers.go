package recording

import (
	"github.com/cespare/xxhash/v2"

	"fireflyfield/internal/caller"
	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/trace"
)

// Callers records the requests of callers and their answers. It is safe for
// concurrent use.
type Callers struct{ Writer *trace.Writer }

var _ caller.Recorder = Callers{}

// Received implements caller.Recorder.
func (c Callers) Received(r *dispatch.Request, info caller.RequestInfo) {
	event := trace.Request{
		Request:        r.ID,
		Workspace:      r.Workspace,
		Service:        r.Service,
		Method:         r.Method,
		Path:           info.Path,
		IdempotencyKey: hashIfSet(r.IdempotencyKey),
		Idempotent:     r.Spec != nil && r.Idempotent(),
		BodyBytes:      info.BodyBytes,
	}
	if info.Token != "" {
		event.CallerKey = trace.DigestOf([]byte(info.Token))
	}
	if r.Key != "" {
		event.Key = trace.Hash(keyspace.HashKey(r.Service, r.Key))
	}
	c.Writer.Record(event)
}

// hashIfSet returns the xxhash64 of the value, or zero for an empty value.
func hashIfSet(value string) trace.Hash {
	if value == "" {
		return 0
	}
	return trace.Hash(xxhash.Sum64String(value))
}

// Admitted implements caller.Recorder.
func (c Callers) Admitted(r *dispatch.Request) {
	c.Writer.Record(trace.Admitted{Request: r.ID, Workspace: r.Workspace})
}

// Finished implements caller.Recorder.
func (c Callers) Finished(r *dispatch.Request, info caller.AnswerInfo) {
	event := trace.Answer{
		Request:  r.ID,
		Attempt:  info.Attempt,
		ReplayOf: info.ReplayOf,
		Outcome:  trace.Ran,
		Status:   info.Answer.Status,
		Bytes:    info.BodyBytes,
		Digest:   trace.Hash(info.BodyDigest),
		// This VM only knows whether it admitted the request. Whether the workspace was
		// within its rate when a request was rejected is determined from the whole trace,
		// since one VM doesn't see what the others admitted.
		InsideRate: info.Admitted,
		Aborted:    info.Answer.Cut,
	}
	if refusal := info.Answer.Refusal; refusal != nil {
		event.Outcome = Outcome(refusal.Kind)
		event.Reason = Refusal(refusal.Reason)
	}
	if info.Answer.Cut {
		event.Outcome = Outcome(outcome.Unknown)
		event.Reason = refusalByCutCause[info.CutCause]
	}
	c.Writer.Record(event)
}

// refusalByCutCause maps the cause of a cut answer to the reason in the trace.
var refusalByCutCause = map[caller.CutCause]trace.Refusal{
	caller.CutByRouter:        trace.RefusedOther,
	caller.CutByCaller:        trace.RefusedCallerGone,
	caller.CutAtDeadline:      trace.RefusedDeadline,
	caller.CutByKeyWithdrawal: trace.RefusedUnauthenticated,
}
