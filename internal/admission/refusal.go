package admission

import (
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason uint8

// The reasons of a refusal. Admitted is the zero value.
const (
	Admitted Reason = iota
	// DeadlineTooClose: the predicted wait ends too late for the deadline.
	DeadlineTooClose
	// QueueFull: the queue is full and the workspace has at least its share of it.
	QueueFull
	// Draining: the gate was told to stop.
	Draining
	// Leaving: the backend server says that it takes no more work.
	Leaving
	// NotGate: the role lease has expired and a decider is known, so another VM may
	// be the gate by now.
	NotGate
	// NoLease: the role lease has expired, no decider is known, and the backend
	// server may get no request in that state.
	NoLease
	// Reserved: the limit leaves no slot besides the one that is reserved for an
	// unreachable former gate.
	Reserved
	// LimitFell: the backend server restarted, or the role lease expired, between the
	// admission and the send.
	LimitFell
	// Cancelled: the caller's context ended while the request was queued.
	Cancelled

	reasonCount
)

var reasonNames = [reasonCount]string{
	Admitted:         "admitted",
	DeadlineTooClose: "deadline too close",
	QueueFull:        "queue full",
	Draining:         "gate is draining",
	Leaving:          "backend server is leaving",
	NotGate:          "not the gate of this backend server",
	NoLease:          "no role lease",
	Reserved:         "slot is reserved for the former gate",
	LimitFell:        "limit fell before the request was sent",
	Cancelled:        "cancelled by the caller",
}

// String returns the reason in words.
func (r Reason) String() string {
	if r >= reasonCount {
		return fmt.Sprintf("reason %d", uint8(r))
	}
	return reasonNames[r]
}

// Refusal is the answer to a request that was not admitted and has not run. The
// zero value means that the request was admitted.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which this gate may admit the request; 0 if the
	// gate can't tell.
	RetryAfter time.Duration
}

// Refused reports whether the request was refused.
func (r Refusal) Refused() bool { return r.Reason != Admitted }

// Error implements error.
func (r Refusal) Error() string {
	if r.RetryAfter == 0 {
		return "not run: " + r.Reason.String()
	}
	return fmt.Sprintf("not run: %s, retry after %s", r.Reason, r.RetryAfter)
}
