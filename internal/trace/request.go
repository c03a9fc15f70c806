package trace

import (
	"strings"

	"github.com/go-faster/errors"
)

// Types of the events of a request as VMs record them.
const (
	TypeRequest        Type = "request"
	TypeAdmitted       Type = "admitted"
	TypeAttempt        Type = "attempt"
	TypeAttemptOutcome Type = "attempt-outcome"
	TypeAnswer         Type = "answer"
)

// Request is a request received by an entry VM. It is recorded after
// authentication, so that the workspace is known; an unauthenticated request has
// none.
type Request struct {
	Request   string `json:"request"`
	Workspace string `json:"workspace,omitzero"`
	// CallerKey is the digest of the caller key that the request carried.
	CallerKey Digest `json:"caller_key,omitzero"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	// Path is without the query.
	Path string `json:"path"`
	// Key is the hash of the owned key by xxhash64(service, key); zero for an
	// unkeyed service.
	Key Hash `json:"key,omitzero"`
	// IdempotencyKey is the hash of the Idempotency-Key header; zero without one.
	IdempotencyKey Hash `json:"idempotency_key,omitzero"`
	// Idempotent says that the method may run more than once for this service.
	Idempotent bool `json:"idempotent,omitzero"`
	// BodyBytes is the declared size of the body; -1 when it was not declared.
	BodyBytes int64 `json:"body_bytes"`
}

// Type implements Body.
func (Request) Type() Type { return TypeRequest }

func (r Request) validate() error {
	if len(r.Path) > maxPathBytes {
		return errors.Errorf("path is longer than %d bytes", maxPathBytes)
	}
	if strings.Contains(r.Path, "?") {
		// A query may carry a caller key.
		return errors.New("path has a query")
	}
	if r.CallerKey != "" {
		if err := r.CallerKey.validate(); err != nil {
			return err
		}
	}
	return errors.Join(needName("request", r.Request), limitName("workspace", r.Workspace),
		needName("service", r.Service), needName("method", r.Method))
}

// Admitted says that one token of the workspace's rate was taken for the request.
// It is an event of its own because a window of the rate is counted from this
// moment and not from the arrival of the request.
type Admitted struct {
	Request   string `json:"request"`
	Workspace string `json:"workspace"`
}

// Type implements Body.
func (Admitted) Type() Type { return TypeAdmitted }

func (a Admitted) validate() error {
	return errors.Join(needName("request", a.Request), needName("workspace", a.Workspace))
}

// Attempt says that the recorder starts to send a request to a backend server. It
// is recorded before the first byte is written.
type Attempt struct {
	Request string `json:"request"`
	// Attempt numbers the attempts of one request from 1, hedges included.
	Attempt uint32 `json:"attempt"`
	Server  Server `json:"server"`
	Unit    Unit   `json:"unit,omitzero"`
	Token   Token  `json:"token,omitzero"`
	// InFlight is the recorder's count of attempts at the server with this one.
	InFlight int `json:"in_flight"`
}

// Type implements Body.
func (Attempt) Type() Type { return TypeAttempt }

func (a Attempt) validate() error {
	return errors.Join(needName("request", a.Request), needAttempt(a.Attempt), a.Server.validate())
}

// AttemptOutcome ends an attempt, at the recorder of the attempt.
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
	return errors.Join(needName("request", a.Request), needAttempt(a.Attempt), a.Outcome.validate())
}

// Answer says that the entry VM has finished with a request: the last byte was
// written, or the connection was aborted.
type Answer struct {
	Request string `json:"request"`
	// Attempt is the one whose response was sent; zero for an answer that the VM
	// made itself.
	Attempt uint32 `json:"attempt,omitzero"`
	// ReplayOf is the request whose stored response was sent again for the same
	// idempotency key.
	ReplayOf string  `json:"replay_of,omitzero"`
	Outcome  Outcome `json:"outcome"`
	// Status is zero when no status line was sent.
	Status int `json:"status,omitzero"`
	// Bytes is the length of the body as sent.
	Bytes int64 `json:"bytes"`
	// Digest is the xxhash64 of the body as sent.
	Digest Hash    `json:"digest,omitzero"`
	Reason Refusal `json:"reason,omitzero"`
	// InsideRate says that the workspace was inside its rate when the request
	// arrived.
	InsideRate bool `json:"inside_rate,omitzero"`
	// Aborted says that the caller can see that the answer is incomplete, because
	// the connection or the stream was reset.
	Aborted bool `json:"aborted,omitzero"`
}

// Type implements Body.
func (Answer) Type() Type { return TypeAnswer }

func (a Answer) validate() error {
	return errors.Join(needName("request", a.Request), limitName("replay_of", a.ReplayOf), a.Outcome.validate())
}

func needAttempt(attempt uint32) error {
	if attempt == 0 {
		return errors.New("attempt is missing")
	}
	return nil
}
