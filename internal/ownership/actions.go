package ownership

import (
	"time"

	"fireflyfield/internal/keyspace"
)

// Action is an output of Decider.Step. The caller carries out the actions in any
// order and without waiting for one another.
type Action interface{ action() }

// The actions.
type (
	// Append writes the record; the answer is AppendDone or AppendLost.
	Append struct {
		Stream Stream
		Record Record
	}
	// Read asks for the records from the offset without waiting for new ones; the
	// answer is RecordsRead or ReadFailed.
	Read struct {
		Stream Stream
		From   uint64
	}
	// SendGrant calls the control interface of a backend server; the answer is
	// GrantReplied or GrantFailed.
	SendGrant struct {
		Server ServerID
		Seq    uint64
		// Instance is empty for a query.
		Instance string
		Term     Term
		// Expires is a reading of the backend server's own monotonic clock.
		Expires time.Duration
		Renew   bool
		Grant   []HeldUnit
		Revoke  []keyspace.Unit
	}
	// SendHeartbeat sends a heartbeat to a member.
	SendHeartbeat struct{ Heartbeat Heartbeat }
	// ReplyHeartbeat answers the heartbeat just received.
	ReplyHeartbeat struct {
		To    Member
		Reply HeartbeatReply
	}
	// Publish distributes the domain map.
	Publish struct{ Map DomainMap }
	// SendMap sends the domain map to a member that reported an older one.
	SendMap struct {
		To  Member
		Map DomainMap
	}
	// ProbePeer connects to a silent decider; the answer is PeerEnded if the
	// connection is refused or another instance answers, and nothing otherwise.
	ProbePeer struct{ Member Member }
	// SetRoles gives the roles that this VM has; see RoleLease.Valid.
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
	// Stopped says that the VM has no duty left in its failure domain.
	Stopped struct{}
)

// RoleLease is the set of roles of one VM and how long it has them.
type RoleLease struct {
	Roles []Role
	// Term and MapVersion are those of the domain map that the gate of a backend
	// server which does not check grants must have, or a higher one, before it
	// sends a request: an older map may name a former owner.
	Term       Term
	MapVersion uint64
	// ValidUntil is a reading of the VM's own monotonic clock.
	ValidUntil time.Duration
	// ClocksAgreedAt is the last instant at which the clocks were seen to agree.
	ClocksAgreedAt Instant
}

// Valid reports whether the roles may be used at now.
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
