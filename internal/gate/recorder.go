package gate

import (
	"fireflyfield/internal/admission"
	"fireflyfield/internal/backend"
	"fireflyfield/internal/peer"
)

// Sending is what a gate knows of an attempt that it is about to send.
type Sending struct {
	// FailureDomain is that of the backend server.
	FailureDomain string
	Owner         Owner
	// InFlight counts the attempts at the backend server with this one.
	InFlight int
}

// Recorder is told of the attempts that reach backend servers.
type Recorder interface {
	// Sending is called before the first byte is sent.
	Sending(attempt peer.Attempt, to Sending)
	// Failed is called when an attempt brought no answer.
	Failed(attempt peer.Attempt, failure *backend.Failure)
	// Answered is called at the end of an answer; complete says that it arrived
	// whole.
	Answered(attempt peer.Attempt, status int, complete bool)
}

func domainOf(server Server) string {
	found, _ := server.Spec.Server(server.ID.Name)
	return found.FailureDomain
}

func (r *inFlightAttempt) recordSending(owner Owner) {
	if r.recorder == nil {
		return
	}
	inFlight := r.entry.inFlight.Add(1)
	r.recorder.Sending(r.attempt, Sending{FailureDomain: r.entry.domain, Owner: owner, InFlight: int(inFlight)})
}

func (r *inFlightAttempt) recordFailed(failure *backend.Failure) {
	if r.recorder == nil {
		return
	}
	r.entry.inFlight.Add(-1)
	r.recorder.Failed(r.attempt, failure)
}

// recordEnd ends an attempt whose answer had begun.
func (r *inFlightAttempt) recordEnd(result admission.Result) {
	if r.recorder == nil || r.status == 0 {
		return
	}
	r.entry.inFlight.Add(-1)
	r.recorder.Answered(r.attempt, r.status, result == admission.Answered)
}
