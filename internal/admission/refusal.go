package admission

import (
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason uint8

// The reasons for a refusal. Admitted, the zero value, means no refusal.
const (
	Admitted Reason = iota
	// DeadlineTooClose means that the request can't start early enough to end by its
	// deadline.
	DeadlineTooClose
	// QueueFull means that the queue is full and that the workspace already has at
	// least its share of it.
	QueueFull
	// Draining means that the gate is being drained.
	Draining
	// Leaving means that the backend server said that it is draining.
	Leaving
	// NotGate means that the role lease has expired and a decider is known, so another
	// VM may be the gate by now.
	NotGate
	// NoLease means that the role lease has expired, no decider is known, and the
	// backend server may be sent no request without a lease.
	NoLease
	// Reserved means that the only slot within the limit is reserved for an
	// unreachable former gate.
	Reserved
	// LimitLowered means that the backend server restarted, or that the role lease
	// expired, between the admission and the send, and that too many requests are in
	// flight for the lower limit.
	LimitLowered
	// Cancelled means that the caller's context ended while the request was queued, or
	// that its ticket had ended before the send.
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
	Reserved:         "the only slot is reserved for the former gate",
	LimitLowered:     "limit was lowered before the request was sent",
	Cancelled:        "cancelled by the caller",
}

// String returns a description of the reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return fmt.Sprintf("unknown refusal reason %d", uint8(r))
	}
	return reasonNames[r]
}

// Refusal says why a request was not admitted; such a request has not run. The zero
// value means that the request was admitted.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which this gate may admit the request; 0 if
	// unknown.
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
