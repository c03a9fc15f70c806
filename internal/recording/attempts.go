package recording

import (
	"fireflyfield/internal/backend"
	"fireflyfield/internal/gate"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/trace"
)

// Attempts records the attempts that gates send to backend servers, and their
// outcomes. It is safe for concurrent use.
type Attempts struct{ Writer *trace.Writer }

var _ gate.Recorder = Attempts{}

// Sending implements gate.Recorder.
func (a Attempts) Sending(attempt peer.Attempt, sending gate.Sending) {
	event := trace.Attempt{
		Request:  attempt.RequestID,
		Attempt:  attempt.Number,
		Server:   trace.Server{Service: attempt.Service, Name: attempt.Server, Domain: sending.FailureDomain},
		InFlight: sending.InFlight,
	}
	if attempt.Keyed {
		event.Unit = trace.Unit(sending.Owner.Unit)
		event.Token = trace.Token{Term: sending.Owner.Fence.Term, Counter: sending.Owner.Fence.Counter}
	}
	a.Writer.Record(event)
}

// Failed implements gate.Recorder.
func (a Attempts) Failed(attempt peer.Attempt, failure *backend.Failure) {
	a.Writer.Record(trace.AttemptOutcome{
		Request: attempt.RequestID,
		Attempt: attempt.Number,
		Outcome: Outcome(failure.Kind),
		Reason:  Refusal(failure.Reason),
	})
}

// Answered implements gate.Recorder.
func (a Attempts) Answered(attempt peer.Attempt, status int, complete bool) {
	event := trace.AttemptOutcome{Request: attempt.RequestID, Attempt: attempt.Number, Outcome: trace.Ran, Status: status}
	if !complete {
		event.Outcome = Outcome(outcome.Unknown)
	}
	a.Writer.Record(event)
}
