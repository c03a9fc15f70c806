package ownership

import (
	"time"

	"fireflyfield/internal/keyspace"
)

// Event is an input of Decider.Step.
type Event interface{ event() }

// Stream names one of the two streams that a VM replays.
type Stream uint8

// The streams.
const (
	// DomainStream is the stream domain.NAME of the VM's failure domain.
	DomainStream Stream = iota
	// HomesStream is the stream homes.
	HomesStream
	streamCount
)

// ServerID identifies a backend server.
type ServerID struct {
	Service string
	Name    string
}

// StreamRecord is a record at its offset. Invalid marks one that cannot be decoded.
type StreamRecord struct {
	Offset  uint64
	Record  Record
	Invalid bool
}

// The events that Step accepts.
type (
	// Tick only advances the time. Step needs one at least every 20 ms.
	Tick struct{}
	// RecordsRead is the answer to a Read action.
	RecordsRead struct {
		Stream  Stream
		Records []StreamRecord
		// ReachedEnd is set if no record followed these when the shared log answered.
		ReachedEnd bool
		// SentAt is the instant just before the read was sent.
		SentAt Instant
	}
	// ReadFailed reports that a Read action got no answer.
	ReadFailed struct{ Stream Stream }
	// AppendDone reports that a record was appended.
	AppendDone struct{ ID RecordID }
	// AppendLost reports that an append got no answer; the record may or may not be
	// in the shared log.
	AppendLost struct{ ID RecordID }
	// HeartbeatReceived delivers a heartbeat of a decider to this member.
	HeartbeatReceived struct{ Heartbeat Heartbeat }
	// HeartbeatReplied delivers the reply of a member to this decider.
	HeartbeatReplied struct{ Reply HeartbeatReply }
	// GrantReplied delivers the reply to a SendGrant action.
	GrantReplied struct {
		Server ServerID
		Seq    uint64
		// Refused is set for status 409.
		Refused  bool
		Instance string
		// Now is the backend server's monotonic time when it replied.
		Now  time.Duration
		Term Term
		Held []HeldUnit
	}
	// GrantFailed reports that a SendGrant action got no reply.
	GrantFailed struct {
		Server ServerID
		Seq    uint64
	}
	// ServerEnded reports that the connection to a backend server was refused, which
	// proves that its process has ended.
	ServerEnded struct{ Server ServerID }
	// ServerHealth reports whether a backend server that does not check grants is up.
	ServerHealth struct {
		Server ServerID
		Up     bool
	}
	// PeerEnded reports that the connection to a VM was refused or that another
	// instance answered there, which proves that the member's process has ended.
	PeerEnded struct{ Member Member }
	// ConfigChanged delivers the configuration in force.
	ConfigChanged struct{ Config Config }
	// LoadReported delivers the recent load per unit and the keys that should be hot.
	LoadReported struct {
		Service string
		Load    map[keyspace.Unit]float64
		Hot     []keyspace.Unit
	}
	// UnitsStopped is the acknowledgement of a StopUnits action: the gate sends no
	// more requests for the units and those in flight have ended.
	UnitsStopped struct {
		Server ServerID
		VM     Member
		Term   Term
		Seq    uint64
		Units  []keyspace.Unit
	}
	// MapReceived reports that the VM received a domain map of its own failure
	// domain.
	MapReceived struct {
		Term    Term
		Version uint64
	}
	// StopRequested asks for a planned stop of the VM.
	StopRequested struct{}
)

// HeldUnit is a unit with the fencing token under which it is granted or held.
type HeldUnit struct {
	Unit  keyspace.Unit
	Token Token
}

func (Tick) event()              {}
func (RecordsRead) event()       {}
func (ReadFailed) event()        {}
func (AppendDone) event()        {}
func (AppendLost) event()        {}
func (HeartbeatReceived) event() {}
func (HeartbeatReplied) event()  {}
func (GrantReplied) event()      {}
func (GrantFailed) event()       {}
func (ServerEnded) event()       {}
func (ServerHealth) event()      {}
func (PeerEnded) event()         {}
func (ConfigChanged) event()     {}
func (LoadReported) event()      {}
func (UnitsStopped) event()      {}
func (MapReceived) event()       {}
func (StopRequested) event()     {}

// Heartbeat is sent by a decider to each member. Its Roles replace the roles of the
// member, unless Query is set.
type Heartbeat struct {
	Term Term   `cbor:"1,keyasint"`
	From Member `cbor:"2,keyasint"`
	To   Member `cbor:"3,keyasint"`
	// Seq increases within a term. A member ignores a heartbeat whose Seq is not
	// above the last one, so a delayed heartbeat cannot restore a role.
	Seq uint64 `cbor:"4,keyasint"`
	// SentAt is the decider's monotonic time of sending; the reply repeats it.
	SentAt time.Duration `cbor:"5,keyasint"`
	// Query asks the member for its roles without changing them.
	Query bool `cbor:"6,keyasint,omitempty"`
	// Unconfirmed marks a heartbeat of a decider without authority that asks for
	// promises. A member that can reach the shared log does not count it as a
	// heartbeat when it decides whether to claim.
	Unconfirmed bool `cbor:"10,keyasint,omitempty"`
	// MapVersion is the version of the domain map that matches Roles.
	MapVersion uint64 `cbor:"11,keyasint,omitempty"`
	// ReleasePromise frees the member from its promise; the decider does not rely on
	// one until the member gives it again.
	ReleasePromise bool   `cbor:"12,keyasint,omitempty"`
	Roles          []Role `cbor:"7,keyasint,omitempty"`
	// Echo is the Now of the member's last reply and Expires is when Roles expire,
	// both in the member's own monotonic time.
	Echo    time.Duration `cbor:"8,keyasint"`
	Expires time.Duration `cbor:"9,keyasint"`
}

// HeartbeatReply is the reply of a member to a Heartbeat.
type HeartbeatReply struct {
	Term   Term          `cbor:"1,keyasint"`
	From   Member        `cbor:"2,keyasint"`
	Seq    uint64        `cbor:"3,keyasint"`
	SentAt time.Duration `cbor:"4,keyasint"`
	// Now is the member's monotonic time when it replied.
	Now time.Duration `cbor:"5,keyasint"`
	// Promise is the promise not to claim the next term for PromiseDuration.
	Promise bool `cbor:"6,keyasint,omitempty"`
	// Roles are the roles that the member holds under a valid lease.
	Roles []Role `cbor:"7,keyasint,omitempty"`
	// MapTerm and MapVersion identify the newest domain map that the member has.
	MapTerm    Term   `cbor:"9,keyasint"`
	MapVersion uint64 `cbor:"10,keyasint"`
	// Leaving asks the decider to move the member's roles away and then to remove
	// the member.
	Leaving bool `cbor:"8,keyasint,omitempty"`
}

// Config is the part of the configuration that the decisions depend on.
type Config struct {
	Services   []ServiceConfig
	Workspaces []string
	// DrainedDomains maps each drained failure domain to whether an operator
	// confirmed that it is down.
	DrainedDomains map[string]bool
	DrainedServers map[ServerID]bool
	// MemberEpoch is the member epoch of the VM's own failure domain; raising it
	// empties the set of members.
	MemberEpoch uint64
}

// ServiceConfig describes one service.
type ServiceConfig struct {
	Name string
	// Slices is zero for a service that is not partitioned by key.
	Slices int
	// ChecksGrants is set if the backend servers themselves reject requests for
	// units that they do not hold; otherwise their gates do.
	ChecksGrants bool
	// MaxRequest is the maximum duration of a request.
	MaxRequest time.Duration
	Servers    []ServerConfig
}

// ServerConfig describes one backend server.
type ServerConfig struct {
	Name     string
	Domain   string
	Capacity float64
}
