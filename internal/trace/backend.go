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

// RunStart records that a backend server begins to execute a request.
type RunStart struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Server  Server `json:"server"`
	// Workspace is the workspace named in the request header.
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
	return errors.Join(requireName("request", r.Request), requireAttempt(r.Attempt),
		checkNameLength("workspace", r.Workspace), r.Server.validate())
}

// RunEnd records that a backend server has finished executing a request and written
// its response.
type RunEnd struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Server  Server `json:"server"`
	Status  int    `json:"status"`
	// Bytes and Digest are the length and the xxhash64 of the body that the caller has
	// to receive. The body is empty for HEAD.
	Bytes  int64 `json:"bytes"`
	Digest Hash  `json:"digest"`
	// Cancelled is true if the run ended early and its response is incomplete.
	Cancelled bool `json:"cancelled,omitzero"`
}

// Type implements Body.
func (RunEnd) Type() Type { return TypeRunEnd }

func (r RunEnd) validate() error {
	return errors.Join(requireName("request", r.Request), requireAttempt(r.Attempt), r.Server.validate())
}

// RunRefused records that a backend server refused a request before executing it.
type RunRefused struct {
	Request string  `json:"request"`
	Attempt uint32  `json:"attempt"`
	Server  Server  `json:"server"`
	Reason  Refusal `json:"reason"`
}

// Type implements Body.
func (RunRefused) Type() Type { return TypeRunRefused }

func (r RunRefused) validate() error {
	return errors.Join(requireName("request", r.Request), requireAttempt(r.Attempt), r.Server.validate())
}

// Grant records that a backend server holds the lease of a unit from now on.
type Grant struct {
	Server   Server `json:"server"`
	Instance string `json:"instance"`
	Unit     Unit   `json:"unit"`
	Token    Token  `json:"token"`
	// Expires is the end of the lease in Unix ns, converted from the server's monotonic
	// clock. Zero means that the lease does not expire.
	Expires int64 `json:"expires,omitzero"`
}

// Type implements Body.
func (Grant) Type() Type { return TypeGrant }

func (g Grant) validate() error {
	return errors.Join(g.Server.validate(), requireName("instance", g.Instance))
}

// Renew records a new end, in Unix ns, for the leases of all units that the instance
// holds. One event covers all units, because separate events for 256 slices every
// 100 ms would dominate the trace.
type Renew struct {
	Server   Server `json:"server"`
	Instance string `json:"instance"`
	Expires  int64  `json:"expires"`
}

// Type implements Body.
func (Renew) Type() Type { return TypeRenew }

func (r Renew) validate() error {
	return errors.Join(r.Server.validate(), requireName("instance", r.Instance))
}

// Revoke records that a backend server released the lease of a unit on request.
type Revoke struct {
	Server   Server `json:"server"`
	Instance string `json:"instance"`
	Unit     Unit   `json:"unit"`
}

// Type implements Body.
func (Revoke) Type() Type { return TypeRevoke }

func (r Revoke) validate() error {
	return errors.Join(r.Server.validate(), requireName("instance", r.Instance))
}

// Lapse records that the lease of a unit expired at a backend server.
type Lapse struct {
	Server   Server `json:"server"`
	Instance string `json:"instance"`
	Unit     Unit   `json:"unit"`
}

// Type implements Body.
func (Lapse) Type() Type { return TypeLapse }

func (l Lapse) validate() error {
	return errors.Join(l.Server.validate(), requireName("instance", l.Instance))
}

// State is the state of a backend server as it reports it.
type State string

// The states of a backend server: in cold start with reduced capacity, at full
// capacity, and finishing its requests before it leaves.
const (
	Cold     State = "cold"
	Warm     State = "warm"
	Draining State = "draining"
)

// ServerState records a change of state or capacity, by the backend server itself.
type ServerState struct {
	Server   Server `json:"server"`
	Instance string `json:"instance"`
	State    State  `json:"state"`
	// Capacity is the number of requests that the server can currently run at once.
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
	return errors.Join(s.Server.validate(), requireName("instance", s.Instance))
}
