package forward

import "time"

// Event is what decided a request and how it ended.
type Event struct {
	ID            string
	Route         string
	Service       string
	Workspace     string
	Key           int
	ConfigVersion int64
	ConfigAge     time.Duration
	// Reason says why this VM answered by itself; empty for a backend server's answer.
	Reason   string
	Status   int
	Received time.Duration
	Took     time.Duration
	OwnerWait   time.Duration // for the owner of a key that was moving
	// Owner is the recorded owner of the key, with its fencing token and whether its
	// keys are on the move.
	Owner       string
	OwnerFence  int64
	OwnerMoving bool
	// Rate and Burst are this VM's part of the workspace's limit, for requests that it
	// refused or delayed, and RateWait is the delay.
	Rate, Burst float64
	RateWait    time.Duration
	Attempts    []AttemptEvent
}

// AttemptEvent is one attempt at a backend server.
type AttemptEvent struct {
	Backend string
	// Result is the status of the response, or 0 without one.
	Result int
	// Detail says what happened without a response, or that it did not run.
	Detail string
	SentAfter     time.Duration // since the request was received
	Took   time.Duration
	Reused bool
	Hedge  bool // sent beside a slow first attempt
	// Busy and ReportAge are the estimated load at the choice and its age.
	Busy      float64
	ReportAge time.Duration
}

// Observer is told about requests. It must not block.
type Observer interface {
	Request(*Event)
}
