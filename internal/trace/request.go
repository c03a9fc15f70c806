package trace

import (
	"strings"

	"github.com/go-faster/errors"
)

// Types of the events that VMs record about a request.
const (
	TypeRequest        Type = "request"
	TypeAdmitted       Type = "admitted"
	TypeAttempt        Type = "attempt"
	TypeAttemptOutcome Type = "attempt-outcome"
	TypeAnswer         Type = "answer"
)

// Request records that the entry VM, which the caller is connected to, received a
// request. It is recorded after authentication, so that the workspace is known; an
// unauthenticated request has none.
type Request struct {
	Request   string `json:"request"`
	Workspace string `json:"workspace,omitzero"`
	// CallerKey is the digest of the caller key that the request carried.
	CallerKey Digest `json:"caller_key,omitzero"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	// Path is the path of the URL without the query.
	Path string `json:"path"`
	// Key is the xxhash64 of service and key; zero for a service without keys.
	Key Hash `json:"key,omitzero"`
	// IdempotencyKey is the hash of the Idempotency-Key header; zero without the header.
	IdempotencyKey Hash `json:"idempotency_key,omitzero"`
	// Idempotent is true if the service allows the method to run more than once.
	Idempotent bool `json:"idempotent,omitzero"`
	// BodyBytes is the declared size of the body in bytes; -1 if none was declared.
	BodyBytes int64 `json:"body_bytes"`
}

// Type implements Body.
func (Request) Type() Type { return TypeRequest }

func (r Request) validate() error {
	if len(r.Path) > maxPathBytes {
		return errors.Errorf("path is longer than %d bytes", maxPathBytes)
	}
	if strings.Contains(r.Path, "?") {
		// A query can contain a caller key, which must not reach the trace.
		return errors.New("path contains a query")
	}
	if r.CallerKey != "" {
		if err := r.CallerKey.validate(); err != nil {
			return err
		}
	}
	return errors.Join(requireName("request", r.Request), checkNameLength("workspace", r.Workspace),
		requireName("service", r.Service), requireName("method", r.Method))
}

// Admitted records that the request took one token of its workspace's rate limit. It
// is a separate event because rate windows count from this time, not from the arrival
// of the request.
type Admitted struct {
	Request   string `json:"request"`
	Workspace string `json:"workspace"`
}

// Type implements Body.
func (Admitted) Type() Type { return TypeAdmitted }

func (a Admitted) validate() error {
	return errors.Join(requireName("request", a.Request), requireName("workspace", a.Workspace))
}

// Attempt records that the recorder starts to send a request to a backend server. It
// is recorded before the first byte is written.
type Attempt struct {
	Request string `json:"request"`
	// Attempt numbers the attempts of one request from 1, hedges included.
	Attempt uint32 `json:"attempt"`
	Server  Server `json:"server"`
	Unit    Unit   `json:"unit,omitzero"`
	Token   Token  `json:"token,omitzero"`
	// InFlight is the number of attempts that the recorder has in flight at the server,
	// including this one.
	InFlight int `json:"in_flight"`
}

// Type implements Body.
func (Attempt) Type() Type { return TypeAttempt }

func (a Attempt) validate() error {
	return errors.Join(requireName("request", a.Request), requireAttempt(a.Attempt), a.Server.validate())
}

// AttemptOutcome records the end of an attempt. It has the same recorder as Attempt.
type AttemptOutcome struct {
	Request string  `json:"request"`
	Attempt uint32  `json:"attempt"`
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status,omitzero"`
	Reason  Refusal `json:"reason,omitzero"`
}

// Type implements Body.
func (AttemptOutcome) Type() Type { return TypeAttemptOutcome }

func (a AttemptOutcome) validate() error {
	return errors.Join(requireName("request", a.Request), requireAttempt(a.Attempt), a.Outcome.validate())
}

// Answer records that the entry VM has finished a request: the last byte was written,
// or the connection was aborted.
type Answer struct {
	Request string `json:"request"`
	// Attempt is the number of the attempt whose response was sent; zero for an answer
	// that the VM generated itself.
	Attempt uint32 `json:"attempt,omitzero"`
	// ReplayOf is the earlier request with the same idempotency key whose stored
	// response was sent again.
	ReplayOf string  `json:"replay_of,omitzero"`
	Outcome  Outcome `json:"outcome"`
	// Status is zero when no status line was sent.
	Status int `json:"status,omitzero"`
	// Bytes is the length of the body as sent, in bytes.
	Bytes int64 `json:"bytes"`
	// Digest is the xxhash64 of the body as sent.
	Digest Hash    `json:"digest,omitzero"`
	Reason Refusal `json:"reason,omitzero"`
	// InsideRate is true if the workspace was within its rate limit when the request
	// arrived.
	InsideRate bool `json:"inside_rate,omitzero"`
	// Aborted is true if the connection or the stream was reset, by which the caller
	// can tell that the answer is incomplete.
	Aborted bool `json:"aborted,omitzero"`
}

// Type implements Body.
func (Answer) Type() Type { return TypeAnswer }

func (a Answer) validate() error {
	return errors.Join(requireName("request", a.Request), checkNameLength("replay_of", a.ReplayOf), a.Outcome.validate())
}

func requireAttempt(attempt uint32) error {
	if attempt == 0 {
		return errors.New("attempt number is missing")
	}
	return nil
}
