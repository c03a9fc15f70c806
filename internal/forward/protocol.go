// Package forward takes callers' requests through admission, the choice of a
// backend server and the attempts, to exactly one final answer.
package forward

import (
	"net/http"
	"time"

	"fireflyfield/internal/keyrange"
)

// MaxKey is the last key of a keyed service.
const MaxKey = keyrange.MaxKey

// NoKey marks a request without a key.
const NoKey = -1

// CallHeaders is what the headers of a caller's request say.
type CallHeaders struct {
	// ID identifies this attempt of the caller.
	ID string
	// TimeLeft is how long the caller waits; 0 if it does not say.
	TimeLeft time.Duration
	// CallerKey is the key that the request carries; empty if none.
	CallerKey string
	// Key is the key for keyed services, or NoKey.
	Key int
}

// AttemptHeaders are the headers that each attempt sets.
type AttemptHeaders struct {
	RequestID string
	// Instance is the only backend server that may run the request.
	Instance string
	// TimeLeft is how long the backend server may work.
	TimeLeft time.Duration
	// Workspace holds the caller key; empty on open routes without one.
	Workspace string
}

// Load is the load that a backend server reports.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes at this moment relative to usual.
	Slowness float64
}

// AnswerHeaders are what the headers of a response say.
type AnswerHeaders struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// Signed responses come from a backend server's run of the request.
	Signed bool
	// NotRun states that the backend server did not run the request.
	NotRun bool
	// NotOwner states that the backend server is another instance or does not hold
	// the key.
	NotOwner bool
	Load     Load
	HasLoad  bool
}

// Protocol reads and writes the headers that callers and backend servers speak.
type Protocol interface {
	ParseCall(h http.Header) CallHeaders
	SetAttempt(h http.Header, a AttemptHeaders)
	ParseAnswer(status int, h http.Header) AnswerHeaders
	// SetAnswer sets the headers of an answer that no backend server made.
	SetAnswer(h http.Header, requestID string)
}

// Request is one request of a caller, body included.
type Request struct {
	Method string
	Target string // request target as sent
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body with a length from no body.
	HasBody bool
	// Received is when the request's head had arrived.
	Received time.Duration
}

// Answer is the final answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}
