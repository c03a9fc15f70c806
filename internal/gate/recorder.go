package gate

import (
	"fireflyfield/internal/admission"
	"fireflyfield/internal/backend"
	"fireflyfield/internal/peer"
)

// Sending describes an attempt that a gate is about to send.
type Sending struct {
	// FailureDomain is the failure domain of the backend server.
	FailureDomain string
	// Owner is the owner of the key; for a service that is not keyed it names the
	// backend server only.
	Owner Owner
	// InFlight counts this VM's attempts in flight at the backend server, with this
	// one.
	InFlight int
}

// Recorder is notified of the attempts that this VM sends to backend servers. Its
// methods are called concurrently.
type Recorder interface {
	// Sending is called before the first byte of an attempt is sent.
	Sending(attempt peer.Attempt, to Sending)
	// Failed is called if an attempt ended without the head of a response.
	Failed(attempt peer.Attempt, failure *backend.Failure)
	// Answered is called at the end of a response. complete says that all of it
	// arrived.
	Answered(attempt peer.Attempt, status int, complete bool)
}

// domainOf returns the failure domain of the backend server; empty if the service does
// not list it.
func domainOf(server Server) string {
	found, _ := server.Spec.Server(server.ID.Name)
	return found.FailureDomain
}

// recordSending records that the attempt is about to be sent.
func (a *inFlightAttempt) recordSending(owner Owner) {
	if a.recorder == nil {
		return
	}
	inFlight := a.gate.inFlight.Add(1)
	a.recorder.Sending(a.attempt, Sending{FailureDomain: a.gate.domain, Owner: owner, InFlight: int(inFlight)})
}

// recordFailed records an attempt without a response.
func (a *inFlightAttempt) recordFailed(failure *backend.Failure) {
	if a.recorder == nil {
		return
	}
	a.gate.inFlight.Add(-1)
	a.recorder.Failed(a.attempt, failure)
}

// recordEnd records the end of an attempt whose response had begun.
func (a *inFlightAttempt) recordEnd(result admission.Result) {
	if a.recorder == nil || a.status == 0 {
		return
	}
	a.gate.inFlight.Add(-1)
	a.recorder.Answered(a.attempt, a.status, result == admission.Answered)
}
