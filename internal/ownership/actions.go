package ownership

import (
	"time"

	"fireflyfield/internal/keyspace"
)

// Action is an output of Decider.Step. The caller carries out the actions in any
// order and without waiting for one another.
type Action interface{ action() }

// The actions that Step returns.
type (
	// Append writes the record to the stream in the shared log; the answer is
	// AppendDone or AppendLost.
	Append struct {
		Stream Stream
		Record Record
	}
	// Read reads the existing records of the stream from offset From on, without
	// waiting for new ones; the answer is RecordsRead or ReadFailed.
	Read struct {
		Stream Stream
		From   uint64
	}
	// SendGrant grants, renews and revokes units through the control interface of a
	// backend server; the answer is GrantReplied or GrantFailed.
	SendGrant struct {
		Server ServerID
		Seq    uint64
		// Instance is the expected instance of the backend server. It is empty for a
		// query, which only asks what the backend server holds.
		Instance string
		Term     Term
		// Expires is when the leases expire, in the backend server's own monotonic
		// time.
		Expires time.Duration
		Renew   bool
		Grant   []HeldUnit
		Revoke  []keyspace.Unit
	}
	// SendHeartbeat sends a heartbeat of the decider to a member.
	SendHeartbeat struct{ Heartbeat Heartbeat }
	// ReplyHeartbeat replies to the heartbeat that this Step processed.
	ReplyHeartbeat struct {
		To    Member
		Reply HeartbeatReply
	}
	// Publish sends the domain map to all VMs.
	Publish struct{ Map DomainMap }
	// SendMap sends the domain map to a member that reported an older one.
	SendMap struct {
		To  Member
		Map DomainMap
	}
	// ProbePeer connects to a decider whose heartbeats have stopped. The answer is
	// PeerEnded if the connection is refused or another instance answers; otherwise
	// there is none.
	ProbePeer struct{ Member Member }
	// SetRoles replaces the roles of this VM; RoleLease.Valid reports whether they
	// may be used.
	SetRoles struct{ Lease RoleLease }
	// StopUnits asks the gate to stop sending requests for the units of a backend
	// server that does not check grants; the answer is UnitsStopped.
	StopUnits struct {
		Server ServerID
		VM     Member
		Term   Term
		Seq    uint64
		Units  []keyspace.Unit
	}
	// Stopped reports that the VM has no role left in its failure domain and may
	// stop.
	Stopped struct{}
)

// RoleLease is the set of roles leased to one VM and the time at which the lease
// expires.
type RoleLease struct {
	Roles []Role
	// Term and MapVersion identify the oldest domain map by which the gate of a
	// backend server that does not check grants may send requests: an older map may
	// name a previous owner.
	Term       Term
	MapVersion uint64
	// ValidUntil is when the lease expires, in the VM's own monotonic time.
	ValidUntil time.Duration
	// ClocksAgreedAt is the last instant at which the VM's monotonic and wall clocks
	// were seen to agree; a later difference shows that the VM was suspended.
	ClocksAgreedAt Instant
}

// Valid reports whether the roles may be used at now: the lease has not expired and
// the VM was not suspended since its clocks agreed.
func (l RoleLease) Valid(now Instant) bool {
	return now.Mono < l.ValidUntil && l.ClocksAgreedAt.Age(now) != forever
}

func (Append) action()         {}
func (Read) action()           {}
func (SendGrant) action()      {}
func (SendHeartbeat) action()  {}
func (ReplyHeartbeat) action() {}
func (Publish) action()        {}
func (SendMap) action()        {}
func (ProbePeer) action()      {}
func (SetRoles) action()       {}
func (StopUnits) action()      {}
func (Stopped) action()        {}
