package trace

import "github.com/go-faster/errors"

// Types of the events that backend server stand-ins record.
const (
	TypeRunStart    Type = "run-start"
	TypeRunEnd      Type = "run-end"
	TypeRunRefused  Type = "run-refused"
	TypeGrant       Type = "grant"
	TypeRenew       Type = "renew"
	TypeRevoke      Type = "revoke"
	TypeLapse       Type = "lapse"
	TypeServerState Type = "server-state"
)

// RunStart says that a backend server begins to execute a request.
type RunStart struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Server  Server `json:"server"`
	// Workspace is the one that the request header names.
	Workspace string `json:"workspace"`
	Key       Hash   `json:"key,omitzero"`
	Unit      Unit   `json:"unit,omitzero"`
	Token     Token  `json:"token,omitzero"`
	// Credentials are the SHA-256 digests of the values of every request header and
	// query parameter, with the scheme removed from Authorization.
	Credentials []Digest `json:"credentials,omitzero"`
}

// Type implements Body.
func (RunStart) Type() Type { return TypeRunStart }

func (r RunStart) validate() error {
	for _, digest := range r.Credentials {
		if err := digest.validate(); err != nil {
			return err
		}
	}
	return errors.Join(needName("request", r.Request), needAttempt(r.Attempt),
		limitName("workspace", r.Workspace), r.Server.validate())
}

// RunEnd says that a backend server has finished a request and written its
// response.
type RunEnd struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Server  Server `json:"server"`
	Status  int    `json:"status"`
	// Bytes and Digest describe the body that a caller has to receive; none for
	// HEAD.
	Bytes  int64 `json:"bytes"`
	Digest Hash  `json:"digest"`
	// Cancelled says that the run ended early, so that its response is incomplete.
	Cancelled bool `json:"cancelled,omitzero"`
}

// Type implements Body.
func (RunEnd) Type() Type { return TypeRunEnd }

func (r RunEnd) validate() error {
	return errors.Join(needName("request", r.Request), needAttempt(r.Attempt), r.Server.validate())
}

// RunRefused says that a backend server refused a request before execution.
type RunRefused struct {
	Request string  `json:"request"`
	Attempt uint32  `json:"attempt"`
	Server  Server  `json:"server"`
	Reason  Refusal `json:"reason"`
}

// Type implements Body.
func (RunRefused) Type() Type { return TypeRunRefused }

func (r RunRefused) validate() error {
	return errors.Join(needName("request", r.Request), needAttempt(r.Attempt), r.Server.validate())
}

// Grant says that a backend server holds a unit from now on.
type Grant struct {
	Server   Server `json:"server"`
	Instance string `json:"instance"`
	Unit     Unit   `json:"unit"`
	Token    Token  `json:"token"`
	// Expires is the end of the lease in Unix ns, converted from the server's
	// monotonic clock; zero without an end.
	Expires int64 `json:"expires,omitzero"`
}

// Type implements Body.
func (Grant) Type() Type { return TypeGrant }

func (g Grant) validate() error {
	return errors.Join(g.Server.validate(), needName("instance", g.Instance))
}

// Renew says that every unit which the instance holds has a new lease end. One
// event stands for all units because a renewal of 256 slices every 100 ms would
// fill the trace.
type Renew struct {
	Server   Server `json:"server"`
	Instance string `json:"instance"`
	Expires  int64  `json:"expires"`
}

// Type implements Body.
func (Renew) Type() Type { return TypeRenew }

func (r Renew) validate() error {
	return errors.Join(r.Server.validate(), needName("instance", r.Instance))
}

// Revoke says that a backend server gave up a unit on request.
type Revoke struct {
	Server   Server `json:"server"`
	Instance string `json:"instance"`
	Unit     Unit   `json:"unit"`
}

// Type implements Body.
func (Revoke) Type() Type { return TypeRevoke }

func (r Revoke) validate() error {
	return errors.Join(r.Server.validate(), needName("instance", r.Instance))
}

// Lapse says that the lease of a unit expired at a backend server.
type Lapse struct {
	Server   Server `json:"server"`
	Instance string `json:"instance"`
	Unit     Unit   `json:"unit"`
}

// Type implements Body.
func (Lapse) Type() Type { return TypeLapse }

func (l Lapse) validate() error {
	return errors.Join(l.Server.validate(), needName("instance", l.Instance))
}

// State is the state of a backend server.
type State string

// The states of a backend server.
const (
	Cold     State = "cold"
	Warm     State = "warm"
	Draining State = "draining"
)

// ServerState is a change of state of a backend server, recorded by itself.
type ServerState struct {
	Server   Server `json:"server"`
	Instance string `json:"instance"`
	State    State  `json:"state"`
	// Capacity is the number of requests that the server can run at once now.
	Capacity int `json:"bears"`
}

// Type implements Body.
func (ServerState) Type() Type { return TypeServerState }

func (s ServerState) validate() error {
	switch s.State {
	case Cold, Warm, Draining:
	default:
		return errors.Errorf("state %q is not one of cold, warm, draining", s.State)
	}
	return errors.Join(s.Server.validate(), needName("instance", s.Instance))
}
