// Package backend is the HTTP client of backend servers and their protocol: it sends
// requests, grants and cancellations, and reads health and load reports. It classifies
// whether a failed attempt ran; which server to use and whether to retry is left to its
// users.
package backend

import "fmt"

// Headers of requests to backend servers and of their responses.
const (
	HeaderRequestID = "Fireflyfield-Request-Id"
	HeaderWorkspace = "Fireflyfield-Workspace"
	// HeaderAttempt holds the number of the attempt, from 1 for each request. It is used
	// only for traces; a backend server need not read it.
	HeaderAttempt = "Fireflyfield-Attempt"
	// HeaderDeadline holds the request's deadline in Unix milliseconds.
	HeaderDeadline = "Fireflyfield-Deadline"
	// HeaderFence holds the fencing token as "term.counter".
	HeaderFence = "Fireflyfield-Fence"
	// HeaderSlice holds the unit, a slice number or a hot key, in decimal.
	HeaderSlice = "Fireflyfield-Slice"
	// HeaderInstance identifies one run of a backend server process.
	HeaderInstance = "Backend-Instance"
	// HeaderOutcome is "not-run" in a response to a request that did not run.
	HeaderOutcome = "Backend-Outcome"
	// HeaderReason holds one of the Reason constants, if the request did not run.
	HeaderReason = "Backend-Reason"
)

// Values of HeaderReason: the reasons for which a backend server does not run a request.
const (
	// ReasonShed means that the backend server already runs as many requests as it can.
	ReasonShed = "shed"
	// ReasonDraining means that the backend server accepts no further requests.
	ReasonDraining = "draining"
	// ReasonFence means that the backend server does not hold the grant with the
	// request's fencing token.
	ReasonFence = "fence"
	// ReasonDeadline means that the request's deadline had passed when it arrived.
	ReasonDeadline = "deadline"
)

// Paths of the control interface.
const (
	PathGrants   = "/control/grants"
	PathHealth   = "/control/health"
	PathLoad     = "/control/load"
	PathDrain    = "/control/drain"
	PathRequests = "/control/requests/"
)

// Fence is a fencing token, which orders the grants of one unit: by term, then by
// counter.
type Fence struct {
	Term    uint64
	Counter uint64
}

// Less reports whether f is older than other.
func (f Fence) Less(other Fence) bool {
	return f.Term < other.Term || f.Term == other.Term && f.Counter < other.Counter
}

// String returns the token as TERM.COUNTER, the form of HeaderFence.
func (f Fence) String() string { return fmt.Sprintf("%d.%d", f.Term, f.Counter) }

// ParseFence parses a token in the form that String returns.
func ParseFence(s string) (Fence, error) {
	var f Fence
	if _, err := fmt.Sscanf(s, "%d.%d", &f.Term, &f.Counter); err != nil {
		return Fence{}, fmt.Errorf("fencing token %q is not TERM.COUNTER", s)
	}
	return f, nil
}

// Grant grants one unit to the backend server. Its fencing token consists of the term of
// the grant request and Counter.
type Grant struct {
	Unit    uint64 `json:"slice"`
	Counter uint64 `json:"counter"`
}

// GrantRequest is the body of POST /control/grants. With an empty Instance it only
// queries the instance and its grants and announces the term.
type GrantRequest struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Term     uint64 `json:"term"`
	// ExpiresAtMs is the end of the granted and renewed leases in milliseconds of the
	// backend server's own monotonic clock.
	ExpiresAtMs int64    `json:"expires_at_ms"`
	Renew       bool     `json:"renew,omitempty"`
	Grant       []Grant  `json:"grant,omitempty"`
	Revoke      []uint64 `json:"revoke,omitempty"`
}

// HeldGrant is an unexpired grant that the backend server holds.
type HeldGrant struct {
	Unit    uint64 `json:"slice"`
	Term    uint64 `json:"term"`
	Counter uint64 `json:"counter"`
}

// GrantReply is the body of the response to a GrantRequest, with status 200 or 409.
type GrantReply struct {
	Instance string `json:"instance"`
	// NowMs is the current time in milliseconds of the backend server's own monotonic
	// clock.
	NowMs int64 `json:"now_ms"`
	// Term is the latest term that the backend server knows.
	Term uint64      `json:"term"`
	Held []HeldGrant `json:"held"`
}

// States of a backend server in its load report.
const (
	StateCold     = "cold"
	StateWarm     = "warm"
	StateDraining = "draining"
)

// Load is the load report of a backend server, the body of GET /control/load. It shows
// the state of AgeMs milliseconds ago, and backend servers may report wrong figures.
type Load struct {
	Instance string `json:"instance"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	State    string `json:"state"`
	AgeMs    int64  `json:"age_ms"`
}
