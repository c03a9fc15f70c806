package ownership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"fireflyfield/internal/keyspace"
)

// Options configures the Decider of one VM.
type Options struct {
	// Domain is the name of the VM's failure domain.
	Domain string
	// Self identifies this process.
	Self Member
	// Random generates record identifiers; its seed must differ between processes.
	Random *rand.Rand
}

// Decider is the state machine of one VM in its failure domain. It acts as a member
// and, during a term of its own, also as the decider, which places units and roles.
// It does no I/O and is not safe for concurrent use: one goroutine calls Step.
type Decider struct {
	options Options
	now     Instant
	config  Config
	actions []Action

	state   *State
	homes   *Homes
	reads   [streamCount]readState
	appends map[RecordID]*pendingAppend

	member memberState
	lead   *leadership
	// outageLeaseUntil is the monotonic time until which a lease of
	// OutageLeaseDuration may be held that this VM knows of or has to assume.
	outageLeaseUntil time.Duration
	// started is the monotonic time of the first step.
	started time.Duration
	stepped bool
	// leaving is set once a planned stop was requested, stopReported once Stopped
	// was emitted.
	leaving      bool
	stopReported bool
}

// NewDecider returns the state machine of a VM that has just started.
func NewDecider(options Options) *Decider {
	return &Decider{
		options: options,
		state:   NewState(),
		homes:   NewHomes(),
		appends: make(map[RecordID]*pendingAppend),
		member:  newMemberState(),
	}
}

// Restore makes the replay continue from snapshots. It must be called before the
// first Step; a nil argument leaves that stream to be replayed from its start.
func (d *Decider) Restore(state *State, homes *Homes) {
	if state != nil {
		d.state = state
	}
	if homes != nil {
		d.homes = homes
	}
}

// State returns the replayed state of the domain stream, for snapshots. The caller
// must not change it or use it after the next Step.
func (d *Decider) State() *State { return d.state }

// Homes returns the replayed state of the homes stream. The caller must not change
// it or use it after the next Step.
func (d *Decider) Homes() *Homes { return d.homes }

// IsDecider reports whether this VM is the decider as far as it knows. It may lack
// the authority to act all the same.
func (d *Decider) IsDecider() bool { return d.lead != nil }

// Step processes one event and everything that is due at now, and returns the
// actions to carry out. The clocks must be read immediately before the call.
func (d *Decider) Step(now Instant, event Event) []Action {
	d.actions = nil
	d.advanceClock(now)
	d.handle(event)
	d.performDue()
	return d.actions
}

// advanceClock sets the current instant and drops the member's roles if the VM was
// suspended since the previous step.
func (d *Decider) advanceClock(now Instant) {
	if !d.stepped {
		d.stepped = true
		d.started = now.Mono
		d.member.lastHeartbeat = now.Mono
	} else if d.now.Age(now) == forever {
		d.member.handleSuspend(now.Mono)
		d.emit(SetRoles{})
	}
	d.now = now
}

func (d *Decider) emit(action Action) { d.actions = append(d.actions, action) }

func (d *Decider) handle(event Event) {
	switch e := event.(type) {
	case Tick:
	case RecordsRead:
		d.recordsRead(e)
	case ReadFailed:
		d.reads[e.Stream].outstanding = false
	case AppendDone:
		d.appendDone(e.ID)
	case AppendLost:
		d.appendLost(e.ID)
	case HeartbeatReceived:
		d.heartbeatReceived(e.Heartbeat)
	case PeerEnded:
		d.peerEnded(e.Member)
	case ConfigChanged:
		d.config = e.Config
		d.replan()
	case MapReceived:
		d.mapReceived(e.Term, e.Version)
	case StopRequested:
		d.leaving = true
	default:
		d.handleDeciderEvent(event)
	}
}

// handleDeciderEvent processes the events that concern only the decider.
func (d *Decider) handleDeciderEvent(event Event) {
	if d.lead == nil {
		return
	}
	switch e := event.(type) {
	case HeartbeatReplied:
		d.heartbeatReplied(e.Reply)
	case GrantReplied:
		d.grantReplied(e)
	case GrantFailed:
		d.grantFailed(e)
	case ServerEnded:
		d.serverEnded(e.Server)
	case ServerHealth:
		d.serverHealth(e)
	case LoadReported:
		d.loadReported(e)
	case UnitsStopped:
		d.unitsStopped(e)
	}
}

// replan makes the decider apply the configuration and plan every service again.
func (d *Decider) replan() {
	if d.lead == nil {
		return
	}
	d.lead.synced = false
	for _, service := range d.lead.services {
		service.planned = false
	}
}

// performDue performs everything that is due after an event.
func (d *Decider) performDue() {
	d.issueLogRequests()
	d.runMember()
	if d.lead != nil {
		d.runDecider()
	}
}

func (d *Decider) newID() RecordID {
	var id RecordID
	binary.LittleEndian.PutUint64(id[:8], d.options.Random.Uint64())
	binary.LittleEndian.PutUint64(id[8:], d.options.Random.Uint64())
	return id
}

// leadership is the state of a decider during its term. Its times are monotonic
// times of this VM.
type leadership struct {
	term         Term
	startedAt    time.Duration
	tokenCounter uint64
	// takeoverDeadline is the time from which a lessee that never answered in this
	// term holds nothing.
	takeoverDeadline time.Duration
	// relinquished is set once a planned stop has ended the duties of this decider;
	// nothing is granted afterwards.
	relinquished bool
	// superseded is set once a message of a higher term was seen.
	superseded bool

	members map[Member]*lessee[Role]
	// heartbeatSentAt holds when the last heartbeat was sent, promises when the
	// heartbeat was sent that a member last answered with a promise.
	heartbeatSentAt map[Member]Instant
	promises        map[Member]Instant
	endedMembers    map[Member]bool
	leavingMembers  map[Member]bool
	handoffAt       time.Duration
	// roles maps each role to the member that it is assigned to. The lease follows
	// with a heartbeat, so the member may not hold the role yet.
	roles map[Role]Member
	// pairRecordedAt is when the current pair of a partition was read back, or the
	// start of the term for pairs recorded before.
	pairRecordedAt  map[uint32]time.Duration
	rolesUpdatedAt  time.Duration
	rolesBalancedAt time.Duration

	services map[string]*keyedService

	// synced is set while the services match the configuration.
	synced bool

	mapVersion     uint64
	publishedMap   DomainMap
	mapChanged     bool
	mapPublishedAt time.Duration
}

// keyedService is the state of one keyed service at its decider.
type keyedService struct {
	config  ServiceConfig
	servers map[string]*lessee[keyspace.Unit]
	// down holds the backend servers that ServerHealth events report as not up.
	down    map[string]bool
	refills map[string]*refillState
	units   map[keyspace.Unit]*unitProgress
	// active holds the units that are planned to move, blocked or without an owner.
	active map[keyspace.Unit]*unitProgress
	// load and hot are those of the last LoadReported event.
	load map[keyspace.Unit]float64
	hot  []keyspace.Unit
	// loadReported is set by the first LoadReported event of the term; before it no
	// hot key is merged back.
	loadReported bool
	gateStops    map[string]*gateStop
	// blockCounts counts the splits, merges and transfers for which a unit must have
	// no owner for now.
	blockCounts map[keyspace.Unit]int
	// splits and merges hold the hot keys whose split or merge has not finished.
	splits map[keyspace.Unit]bool
	merges map[keyspace.Unit]bool
	// transfers holds the slices that are being moved to another failure domain.
	transfers       map[keyspace.Unit]*sliceTransfer
	excessCheckedAt time.Duration
	// usable holds the last result of Decider.usable per backend server.
	usable    map[string]bool
	planned   bool
	plannedAt time.Duration
}
