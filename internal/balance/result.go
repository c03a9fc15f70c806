package balance

import "time"

// Kind says how a picked request ended.
type Kind uint8

// The kinds of results. The zero value says nothing about the server.
const (
	// Abandoned means that the request was not sent, or that its caller went away.
	Abandoned Kind = iota
	// Answered means that a complete response arrived, of whatever status.
	Answered
	// Refused means that the gate or the backend server refused the request without
	// running it.
	Refused
	// Failed means that there was no connection, that it ended too early, or that there
	// was no complete response in time.
	Failed
)

// Result is the information about the picked server from one ended request.
type Result struct {
	Kind Kind
	// Latency is used for Answered only. It includes the network delay to the gate and
	// the wait in its queue.
	Latency time.Duration
	// RetryAfter is used for Refused only: the server counts as full for this long,
	// within minFullDuration and maxFullDuration.
	RetryAfter time.Duration
}
