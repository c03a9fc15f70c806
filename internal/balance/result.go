package balance

import "time"

// Kind says how a picked request ended.
type Kind uint8

// The kinds of result. The zero value says nothing about the server.
const (
	// Abandoned: the request was not sent, or its caller went away.
	Abandoned Kind = iota
	// Answered: a complete response came back.
	Answered
	// Refused: the gate or the backend server refused the request before running it.
	Refused
	// Failed: no connection, or one that ended early, or no response in time.
	Failed
)

// Result is what a request showed of the picked server.
type Result struct {
	Kind Kind
	// Latency counts for Answered. It includes the way to the gate and its queue.
	Latency time.Duration
	// RetryAfter counts for Refused.
	RetryAfter time.Duration
}
