// Package backend speaks to backend servers: it sends requests, grants and
// cancellations, and reads health and load.
package backend

import "fmt"

// Headers of requests to backend servers and of their answers.
const (
	HeaderRequestID = "Fireflyfield-Request-Id"
	HeaderWorkspace = "Fireflyfield-Workspace"
	// HeaderAttempt holds the number of the attempt, from 1 for each request. It
	// serves traces only; a backend server need not read it.
	HeaderAttempt = "Fireflyfield-Attempt"
	// HeaderDeadline holds Unix milliseconds.
	HeaderDeadline = "Fireflyfield-Deadline"
	// HeaderFence holds the fencing token as "term.counter".
	HeaderFence = "Fireflyfield-Fence"
	// HeaderSlice holds the unit, a slice number or a hot key, in decimal.
	HeaderSlice = "Fireflyfield-Slice"
	// HeaderInstance identifies one run of a backend server process.
	HeaderInstance = "Backend-Instance"
	// HeaderOutcome is "not-run" on an answer to a request that did not run.
	HeaderOutcome = "Backend-Outcome"
	// HeaderReason says in a word why a request did not run.
	HeaderReason = "Backend-Reason"
)

// Reasons that a backend server gives in HeaderReason.
const (
	ReasonShed     = "shed"
	ReasonDraining = "draining"
	ReasonFence    = "fence"
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

// Fence is a fencing token; tokens are compared by term, then by counter.
type Fence struct {
	Term    uint64
	Counter uint64
}

// Less reports whether f is lower than other.
func (f Fence) Less(other Fence) bool {
	return f.Term < other.Term || f.Term == other.Term && f.Counter < other.Counter
}

// String returns the header form.
func (f Fence) String() string { return fmt.Sprintf("%d.%d", f.Term, f.Counter) }

// ParseFence is the inverse of String.
func ParseFence(s string) (Fence, error) {
	var f Fence
	if _, err := fmt.Sscanf(s, "%d.%d", &f.Term, &f.Counter); err != nil {
		return Fence{}, fmt.Errorf("fencing token %q is not TERM.COUNTER", s)
	}
	return f, nil
}

// Grant gives one unit to the backend server under the term of the message.
type Grant struct {
	Unit    uint64 `json:"slice"`
	Counter uint64 `json:"counter"`
}

// GrantRequest is the body of POST /control/grants. An empty Instance asks only.
type GrantRequest struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Term     uint64 `json:"term"`
	// ExpiresAtMs is a reading of the backend server's own monotonic clock.
	ExpiresAtMs int64    `json:"expires_at_ms"`
	Renew       bool     `json:"renew,omitempty"`
	Grant       []Grant  `json:"grant,omitempty"`
	Revoke      []uint64 `json:"revoke,omitempty"`
}

// HeldGrant is one unit that the backend server holds.
type HeldGrant struct {
	Unit    uint64 `json:"slice"`
	Term    uint64 `json:"term"`
	Counter uint64 `json:"counter"`
}

// GrantReply answers a GrantRequest, with status 200 or 409.
type GrantReply struct {
	Instance string `json:"instance"`
	// NowMs is a reading of the backend server's own monotonic clock.
	NowMs int64       `json:"now_ms"`
	Term  uint64      `json:"term"`
	Held  []HeldGrant `json:"held"`
}

// States of a backend server.
const (
	StateCold     = "cold"
	StateWarm     = "warm"
	StateDraining = "draining"
)

// Load is the body of GET /control/load. It may lag by AgeMs and may be wrong.
type Load struct {
	Instance string `json:"instance"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	State    string `json:"state"`
	AgeMs    int64  `json:"age_ms"`
}
