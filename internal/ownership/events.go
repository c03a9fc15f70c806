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

// The events.
type (
	// Tick lets time pass. Step needs one at least every 20 ms.
	Tick struct{}
	// RecordsRead is the answer to a Read action.
	RecordsRead struct {
		Stream  Stream
		Records []StreamRecord
		// ReachedEnd says that no record followed when the log answered.
		ReachedEnd bool
		// SentAt is the instant just before the read was sent.
		SentAt Instant
	}
	// ReadFailed says that a Read action got no answer.
	ReadFailed struct{ Stream Stream }
	// AppendDone says that a record was appended.
	AppendDone struct{ ID RecordID }
	// AppendLost says that an append got no answer; the record may be in the log.
	AppendLost struct{ ID RecordID }
	// HeartbeatReceived is a heartbeat of a decider.
	HeartbeatReceived struct{ Heartbeat Heartbeat }
	// HeartbeatReplied is the reply of a member to this decider.
	HeartbeatReplied struct{ Reply HeartbeatReply }
	// GrantReplied is the reply to a SendGrant action.
	GrantReplied struct {
		Server ServerID
		Seq    uint64
		// Refused is set for status 409.
		Refused  bool
		Instance string
		// Now is the reading of the backend server's monotonic clock.
		Now  time.Duration
		Term Term
		Held []HeldUnit
	}
	// GrantFailed says that a SendGrant action got no reply.
	GrantFailed struct {
		Server ServerID
		Seq    uint64
	}
	// ServerEnded says that the connection to a backend server was refused, which
	// proves that its process has ended.
	ServerEnded struct{ Server ServerID }
	// ServerHealth reports a backend server that does not check grants.
	ServerHealth struct {
		Server ServerID
		Up     bool
	}
	// PeerEnded says that the connection to a VM was refused or that another
	// instance answered there, which proves that this process has ended.
	PeerEnded struct{ Member Member }
	// ConfigChanged gives the configuration in force.
	ConfigChanged struct{ Config Config }
	// LoadReported gives the recent load per unit and the keys that should be hot.
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
	// MapReceived says that the VM has a domain map of its own failure domain.
	MapReceived struct {
		Term    Term
		Version uint64
	}
	// StopRequested asks for a planned stop of the VM.
	StopRequested struct{}
)

// HeldUnit is a grant that a backend server reports.
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

// Heartbeat is sent by a decider to each member. The Roles replace those that the
// member has, unless Query is set.
type Heartbeat struct {
	Term Term   `cbor:"1,keyasint"`
	From Member `cbor:"2,keyasint"`
	To   Member `cbor:"3,keyasint"`
	// Seq increases within a term; a member ignores a heartbeat that is not
	// higher than the last one, so a delayed one cannot give a role back.
	Seq uint64 `cbor:"4,keyasint"`
	// SentAt is a reading of the decider's monotonic clock, echoed by the member.
	SentAt time.Duration `cbor:"5,keyasint"`
	Query  bool          `cbor:"6,keyasint,omitempty"`
	// Unconfirmed says that the decider has no authority and asks for promises. A
	// member that can reach the log does not count such a heartbeat.
	Unconfirmed bool `cbor:"10,keyasint,omitempty"`
	// MapVersion is the version of the domain map that the Roles belong to.
	MapVersion uint64 `cbor:"11,keyasint,omitempty"`
	// Release says that the decider has dropped the member's promise and will not
	// rely on one before the member gives it again.
	Release bool   `cbor:"12,keyasint,omitempty"`
	Roles   []Role `cbor:"7,keyasint,omitempty"`
	// Echo and Expires are readings of the member's own monotonic clock.
	Echo    time.Duration `cbor:"8,keyasint"`
	Expires time.Duration `cbor:"9,keyasint"`
}

// HeartbeatReply is the answer of a member.
type HeartbeatReply struct {
	Term   Term          `cbor:"1,keyasint"`
	From   Member        `cbor:"2,keyasint"`
	Seq    uint64        `cbor:"3,keyasint"`
	SentAt time.Duration `cbor:"4,keyasint"`
	// Now is a reading of the member's monotonic clock.
	Now time.Duration `cbor:"5,keyasint"`
	// Promise says that the member will not claim for PromiseDuration.
	Promise bool   `cbor:"6,keyasint,omitempty"`
	Roles   []Role `cbor:"7,keyasint,omitempty"`
	// MapTerm and MapVersion are those of the newest domain map of the member.
	MapTerm    Term   `cbor:"9,keyasint"`
	MapVersion uint64 `cbor:"10,keyasint"`
	// Leaving asks the decider to move the member's roles and to remove it.
	Leaving bool `cbor:"8,keyasint,omitempty"`
}

// Config is the part of the configuration that ownership depends on.
type Config struct {
	Services   []ServiceConfig
	Workspaces []string
	// DrainedDomains maps a drained failure domain to its confirmedDown.
	DrainedDomains map[string]bool
	DrainedServers map[ServerID]bool
	// MemberEpoch is that of the VM's own failure domain.
	MemberEpoch uint64
}

// ServiceConfig describes one service.
type ServiceConfig struct {
	Name string
	// Slices is zero for a service that is not partitioned by key.
	Slices       int
	ChecksGrants bool
	// MaxRequest is the longest request deadline.
	MaxRequest time.Duration
	Servers    []ServerConfig
}

// ServerConfig describes one backend server.
type ServerConfig struct {
	Name     string
	Domain   string
	Capacity float64
}
