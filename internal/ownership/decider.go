package ownership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"fireflyfield/internal/keyspace"
)

// Options are the fixed properties of one VM.
type Options struct {
	Domain string
	Self   Member
	// Random makes record identifiers; its seed must differ between processes.
	Random *rand.Rand
}

// Decider is the state machine of one VM in its failure domain. It is a member
// and, while its term lasts, the decider. It does no I/O and is not safe for
// concurrent use: one goroutine calls Step.
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
	// longUntil is the local time until which a lease of OutageLease may be held
	// that this VM knows or has to assume.
	longUntil time.Duration
	// started is the time of the first step.
	started  time.Duration
	stepped  bool
	leaving  bool
	reported bool
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

// Restore starts the replay from snapshots; it is called before the first Step.
// Either may be nil.
func (d *Decider) Restore(state *State, homes *Homes) {
	if state != nil {
		d.state = state
	}
	if homes != nil {
		d.homes = homes
	}
}

// State returns the replayed domain stream, for snapshots; it must not be changed
// and is valid until the next Step.
func (d *Decider) State() *State { return d.state }

// Homes returns the replayed homes stream; it must not be changed and is valid
// until the next Step.
func (d *Decider) Homes() *Homes { return d.homes }

// IsDecider reports whether this VM is the decider as far as it knows; that does
// not mean that it has authority.
func (d *Decider) IsDecider() bool { return d.lead != nil }

// Step processes one event at now and returns the actions to carry out. The
// clocks must be read immediately before the call.
func (d *Decider) Step(now Instant, event Event) []Action {
	d.actions = nil
	d.advance(now)
	d.handle(event)
	d.pump()
	return d.actions
}

func (d *Decider) advance(now Instant) {
	if !d.stepped {
		d.stepped = true
		d.started = now.Mono
		d.member.lastHeartbeat = now.Mono
	} else if d.now.Age(now) == forever {
		d.member.suspend(now.Mono)
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
		d.handleLead(event)
	}
}

// handleLead processes the events that concern only a decider.
func (d *Decider) handleLead(event Event) {
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

func (d *Decider) replan() {
	if d.lead == nil {
		return
	}
	d.lead.synced = false
	for _, run := range d.lead.services {
		run.planned = false
	}
}

// pump does everything that is due after an event.
func (d *Decider) pump() {
	d.pumpLog()
	d.pumpMember()
	if d.lead != nil {
		d.pumpLead()
	}
}

func (d *Decider) newID() RecordID {
	var id RecordID
	binary.LittleEndian.PutUint64(id[:8], d.options.Random.Uint64())
	binary.LittleEndian.PutUint64(id[8:], d.options.Random.Uint64())
	return id
}

// leadership is the state of a decider during its term.
type leadership struct {
	term    Term
	since   time.Duration
	counter uint64
	// wait is the local time from which a lessee that never answered in this term
	// holds nothing.
	wait time.Duration
	// relinquished is set once a handoff was sent; nothing is granted afterwards.
	relinquished bool
	// superseded is set once a higher term was seen anywhere.
	superseded bool

	members map[Member]*lessee[Role]
	// sentInstants holds the sending instant of the last heartbeat.
	sentInstants map[Member]Instant
	promises     map[Member]Instant
	endedMembers map[Member]bool
	leavingVMs   map[Member]bool
	handoffAt    time.Duration
	roles        map[Role]Member
	// pairSince is the local time since which the pair of a partition is recorded.
	pairSince  map[uint32]time.Duration
	rolesAt    time.Duration
	balancedAt time.Duration

	services map[string]*serviceRun

	// synced is cleared when the configuration changed.
	synced bool

	version     uint64
	published   DomainMap
	changed     bool
	publishedAt time.Duration
}

// serviceRun is the state of one keyed service at its decider.
type serviceRun struct {
	config  ServiceConfig
	servers map[string]*lessee[keyspace.Unit]
	down    map[string]bool
	refills map[string]*refillState
	units   map[keyspace.Unit]*unitRun
	// active holds the units that have work to do.
	active map[keyspace.Unit]*unitRun
	load   map[keyspace.Unit]float64
	hot    []keyspace.Unit
	// reported is set by the first load report of the term; without one no hot key
	// is merged back.
	reported bool
	gates    map[string]*gateStop
	// frozen counts the reasons for which a unit must have no owner for now.
	frozen map[keyspace.Unit]int
	// splits and merges hold hot keys whose record is written.
	splits map[keyspace.Unit]bool
	merges map[keyspace.Unit]bool
	// leaves holds the slices that are on the way to another failure domain.
	leaves  map[keyspace.Unit]*leaveRun
	leaveAt time.Duration
	// usable holds the last known answer of Decider.usable per backend server.
	usable    map[string]bool
	planned   bool
	plannedAt time.Duration
}
