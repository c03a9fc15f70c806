package forward

import (
	"time"

	"fireflyfield/internal/quarantine"
)

// Event describes one request for the decision log: what decided it and how it ended.
type Event struct {
	ID            string
	Route         string
	Service       string
	Workspace     string
	Key           int
	ConfigVersion int64
	ConfigAge     time.Duration
	// Reason says why this VM answered itself; empty if a backend server's response was
	// passed on.
	Reason   string
	Status   int
	Received time.Duration
	Took     time.Duration
	// OwnerWait is the time spent waiting for the owner of the key.
	OwnerWait time.Duration
	// Owner is the assigned owner of the key, OwnerFence its fencing token, and
	// OwnerMoving whether the key range is moving.
	Owner       string
	OwnerFence  int64
	OwnerMoving bool
	// Rate and Burst are this VM's share of the workspace's limit, and RateWait is how
	// long the request was delayed by it. They are set for requests that the limit
	// rejected or delayed.
	Rate, Burst float64
	RateWait    time.Duration
	// Fingerprint identifies repetitions of the request. It is set if a connection broke.
	Fingerprint quarantine.Fingerprint
	// Detoured is set if another VM sent the request, since it had no path to the backend servers.
	Detoured bool
	// Attempts are in the order of their results. An attempt that still ran when the
	// request was answered is left out.
	Attempts []AttemptEvent
}

// AttemptEvent describes one attempt at a backend server.
type AttemptEvent struct {
	Backend string
	// Status is the HTTP status of the response, or 0 if there was none.
	Status int
	// Detail says why there was no usable response, or that the request did not run.
	Detail    string
	SentAfter time.Duration // from the receipt of the request to the send
	Took      time.Duration
	Reused    bool
	Hedge     bool // sent in parallel to a slow attempt
	Detour    bool // sent to another VM, whose address is in Backend
	// InFlight is the estimated number of requests in flight at the backend server when
	// it was chosen, and ReportAge the age of the load report behind the estimate.
	InFlight  float64
	ReportAge time.Duration
}

// Observer receives an event for each answered request.
type Observer interface {
	// Request records one answered request. It must not block.
	Request(*Event)
}
