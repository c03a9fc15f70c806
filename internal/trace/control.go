package trace

import "github.com/go-faster/errors"

// Types of the events about recordings, configuration, departures, stops and faults.
const (
	TypeHeader            Type = "header"
	TypeEnd               Type = "end"
	TypeLeave             Type = "leave"
	TypeCallerKey         Type = "caller-key"
	TypeCallerKeyWithdraw Type = "caller-key-withdraw"
	TypeRate              Type = "rate"
	TypeConfigAccepted    Type = "config-accepted"
	TypeConfigInForce     Type = "config-in-force"
	TypeStop              Type = "stop"
	TypeFault             Type = "fault"
)

// Role is the kind of process that records a trace.
type Role string

// The roles of a recorder.
const (
	RoleVM       Role = "vm"
	RoleBackend  Role = "backend"
	RolePlatform Role = "platform"
	// RoleDriver is a test or tool that injects faults and sends requests.
	RoleDriver Role = "driver"
)

// Header is the first event of a recording. It identifies the recorder.
type Header struct {
	Version int  `json:"version"`
	Role    Role `json:"role"`
	// Instance identifies one start of the recorder.
	Instance string `json:"instance"`
	Domain   string `json:"domain,omitzero"`
}

// Type implements Body.
func (Header) Type() Type { return TypeHeader }

func (h Header) validate() error {
	if h.Version != Version {
		return errors.Errorf("format version %d is not the supported version %d", h.Version, Version)
	}
	switch h.Role {
	case RoleVM, RoleBackend, RolePlatform, RoleDriver:
	default:
		return errors.Errorf("unknown role %q", h.Role)
	}
	return errors.Join(requireName("instance", h.Instance), checkNameLength("domain", h.Domain))
}

// End is the last event of a recording that was closed by Writer.Close.
type End struct {
	// Dropped counts the events that were not written.
	Dropped uint64 `json:"dropped"`
}

// Type implements Body.
func (End) Type() Type { return TypeEnd }

func (End) validate() error { return nil }

// LeavePhase is a step in a departure.
type LeavePhase string

// The phases of a departure.
const (
	// LeaveDrain begins a departure that an operator requested.
	LeaveDrain LeavePhase = "drain"
	// LeaveAnnounced begins a departure that the failure domain or backend server
	// announced itself.
	LeaveAnnounced LeavePhase = "leave"
	// LeaveWithdrawn ends a departure: the target may receive requests again.
	LeaveWithdrawn LeavePhase = "withdrawn"
)

// Leave records a step in the departure of a failure domain or backend server. Exactly
// one of Domain and Server is set.
type Leave struct {
	Phase  LeavePhase `json:"phase"`
	Domain string     `json:"domain,omitzero"`
	Server Server     `json:"server,omitzero"`
	// Revision is the configuration revision of the drain, also in the event that
	// withdraws it. Several VMs may record the same drain; the first record counts.
	// It is zero for a departure without a drain.
	Revision uint64 `json:"revision,omitzero"`
}

// Type implements Body.
func (Leave) Type() Type { return TypeLeave }

func (l Leave) validate() error {
	switch l.Phase {
	case LeaveDrain, LeaveAnnounced, LeaveWithdrawn:
	default:
		return errors.Errorf("unknown departure phase %q", l.Phase)
	}
	if (l.Domain != "") == (l.Server != Server{}) {
		return errors.New("departure must name exactly one of domain and server")
	}
	if l.Domain != "" {
		return checkNameLength("domain", l.Domain)
	}
	return l.Server.validate()
}

// CallerKey records that a caller key is valid for a workspace from now on.
type CallerKey struct {
	Digest    Digest `json:"digest"`
	Workspace string `json:"workspace"`
	Revision  uint64 `json:"revision,omitzero"`
}

// Type implements Body.
func (CallerKey) Type() Type { return TypeCallerKey }

func (c CallerKey) validate() error {
	return errors.Join(c.Digest.validate(), requireName("workspace", c.Workspace))
}

// CallerKeyWithdraw records that the withdrawal of a caller key was accepted.
type CallerKeyWithdraw struct {
	Digest Digest `json:"digest"`
	// Revision is the configuration revision of the withdrawal. A CallerKey event that
	// another VM records later with a revision up to it does not make the key valid
	// again.
	Revision uint64 `json:"revision,omitzero"`
}

// Type implements Body.
func (CallerKeyWithdraw) Type() Type { return TypeCallerKeyWithdraw }

func (c CallerKeyWithdraw) validate() error { return c.Digest.validate() }

// Rate records that a rate limit for a workspace was accepted.
type Rate struct {
	Workspace         string  `json:"workspace"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             int     `json:"burst"`
	Revision          uint64  `json:"revision,omitzero"`
}

// Type implements Body.
func (Rate) Type() Type { return TypeRate }

func (r Rate) validate() error {
	if r.RequestsPerSecond <= 0 || r.Burst < 1 {
		return errors.New("requests_per_second and burst must be positive")
	}
	return requireName("workspace", r.Workspace)
}

// ConfigAccepted records that a configuration change was accepted.
type ConfigAccepted struct {
	Revision uint64 `json:"revision"`
	// Digest is the xxhash64 of the whole configuration at the revision.
	Digest Hash `json:"digest"`
}

// Type implements Body.
func (ConfigAccepted) Type() Type { return TypeConfigAccepted }

func (ConfigAccepted) validate() error { return nil }

// ConfigInForce records that a configuration revision is in force at the recorder from
// now on. A VM that starts records only the revision with which it becomes ready, not
// those that it replays.
type ConfigInForce struct {
	Revision uint64 `json:"revision"`
	Digest   Hash   `json:"digest"`
}

// Type implements Body.
func (ConfigInForce) Type() Type { return TypeConfigInForce }

func (ConfigInForce) validate() error { return nil }

// Phase distinguishes the begin of a planned stop or a fault from its end.
type Phase string

// The phases of planned stops and faults.
const (
	Begin    Phase = "begin"
	Finished Phase = "end"
)

func (p Phase) validate() error {
	if p != Begin && p != Finished {
		return errors.Errorf("phase %q is neither begin nor end", p)
	}
	return nil
}

// Stop records the begin or the end of the planned stop of the recorder.
type Stop struct {
	Phase Phase `json:"phase"`
}

// Type implements Body.
func (Stop) Type() Type { return TypeStop }

func (s Stop) validate() error { return s.Phase.validate() }

// FaultKind is the kind of an injected fault.
type FaultKind string

// The fault kinds.
const (
	FaultVMLost            FaultKind = "vm-lost"
	FaultVMPaused          FaultKind = "vm-paused"
	FaultVMPartitioned     FaultKind = "vm-partitioned"
	FaultDomainPartitioned FaultKind = "domain-partitioned"
	FaultDomainLost        FaultKind = "domain-lost"
	FaultServerFrozen      FaultKind = "server-frozen"
	FaultServerLost        FaultKind = "server-lost"
	FaultServerRestarted   FaultKind = "server-restarted"
	FaultServerSlow        FaultKind = "server-slow"
	// FaultServerMisreports makes the load reports of a backend server wrong.
	FaultServerMisreports FaultKind = "server-misreports"
	// FaultServerTruncates breaks connections in the middle of a response.
	FaultServerTruncates FaultKind = "server-truncates"
	FaultLogDown         FaultKind = "log-down"
	FaultLogSlow         FaultKind = "log-slow"
	// FaultLogLosesAnswers lets appends to the shared log take effect but loses their
	// responses.
	FaultLogLosesAnswers FaultKind = "log-loses-answers"
)

// Fault records the begin or the end of an injected fault; both events have the same
// ID. A fault without a target affects the whole system. A fault without an end event
// lasts until the end of the trace; one without a duration, such as a restart, has both
// events at the same time.
type Fault struct {
	Phase Phase     `json:"phase"`
	ID    string    `json:"id"`
	Kind  FaultKind `json:"kind"`
	// VM, Domain and Server name the target; unused ones are empty.
	VM     string `json:"vm,omitzero"`
	Domain string `json:"domain,omitzero"`
	Server Server `json:"server,omitzero"`
}

// Type implements Body.
func (Fault) Type() Type { return TypeFault }

func (f Fault) validate() error {
	if f.Server != (Server{}) {
		if err := f.Server.validate(); err != nil {
			return err
		}
	}
	return errors.Join(f.Phase.validate(), requireName("id", f.ID), requireName("kind", string(f.Kind)),
		checkNameLength("vm", f.VM), checkNameLength("domain", f.Domain))
}
