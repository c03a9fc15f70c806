// Package forward decides how one caller's request is answered: it admits the request,
// chooses a backend server for each attempt, and retries and hedges up to exactly one
// final answer. It leaves connections to packages front and upstream, the header names
// to a Protocol, and the assignment of keys to package keylease.
package forward

import (
	"net/http"
	"time"

	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/upstream"
)

// MaxKey is the last key of a keyed service.
const MaxKey = keyrange.MaxKey

// NoKey marks a request without a key.
const NoKey = -1

// RequestHeaders is what the headers of a caller's request state.
type RequestHeaders struct {
	// ID identifies the request; the caller uses a new one for each of its attempts.
	ID string
	// TimeLeft is how long the caller still waits; 0 if it does not state that.
	TimeLeft time.Duration
	// CallerKey is the caller key of the request; empty if there is none.
	CallerKey string
	// Key is the key for keyed services, or NoKey.
	Key int
	// Instance is the ID of the only backend server that may run the request; empty if any
	// may, as for requests of callers.
	Instance string
}

// AttemptHeaders is the content of the headers that are set for each attempt.
type AttemptHeaders struct {
	RequestID string
	// Instance is the ID of the only backend server that may run the request.
	Instance string
	// TimeLeft is how long the backend server may work.
	TimeLeft time.Duration
	// Workspace is the workspace of the caller key; empty on open routes without one.
	Workspace string
}

// Load is the load that a backend server reports in a response.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes now as a multiple of the usual time.
	Slowness float64
}

// ResponseHeaders is what the headers of a backend server's response state.
type ResponseHeaders struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// Signed is set if the response is signed by the backend server that ran the
	// request.
	Signed bool
	// NotRun is set if the backend server did not run the request.
	NotRun bool
	// NotOwner is set if the backend server is another instance than the request
	// expects, or does not own the key.
	NotOwner bool
	// Leaving is set if the backend server is about to end.
	Leaving bool
	// Pause is how long the backend server, which has rejected the request, wants no
	// request of this VM; 0 if it does not say.
	Pause time.Duration
	// Limit is the number of requests per second that the backend server accepts from all
	// VMs together; HasLimit is set if it names one.
	Limit    float64
	HasLimit bool
	Load     Load
	HasLoad  bool
}

// Protocol reads and writes the headers of callers and backend servers.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) RequestHeaders
	// SetTimeLeft sets how long the caller of a request still waits.
	SetTimeLeft(h http.Header, d time.Duration)
	// SetAttempt sets the headers of an attempt.
	SetAttempt(h http.Header, a AttemptHeaders)
	// ParseResponse reads the headers of a backend server's response.
	ParseResponse(status int, h http.Header) ResponseHeaders
	// SetAnswer sets the headers of an answer that this VM makes itself.
	SetAnswer(h http.Header, requestID string)
}

// Request is one request of a caller with its whole body.
type Request struct {
	Method string
	Target string // request target as sent
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body with a length from no body.
	HasBody bool
	// Received is the monotonic time at which the request's first byte had arrived.
	Received time.Duration
}

// Answer is the final response to a caller's request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte

	response *upstream.Response // whose body this is; nil if there is none
}

// Done states that the answer was written or is dropped. It must be called once.
func (a *Answer) Done() {
	if a.response != nil {
		a.response.Release()
	}
}
