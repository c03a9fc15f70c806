package keylease

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/keyrange"
)

// Durations of the lease protocol.
const (
	// RangeLeaseDuration is the duration of a key range lease. It is short because the keys
	// of a lost backend server stay unserved until the lease expires. It must be longer than
	// RenewInterval and ClaimAfter together, so that the successor of a lost lease holder
	// can renew the holder's leases before they expire.
	RangeLeaseDuration = 3 * time.Second
	// RenewInterval is the time between renewals of a key range lease.
	RenewInterval = time.Second
	// AssignmentLeaseDuration is how long an accepted append keeps the assignment lease
	// valid, counted from the time it was sent. Together with RangeLeaseDuration it bridges
	// an outage of the shared log of 6 s.
	AssignmentLeaseDuration = 3 * time.Second
	// HeartbeatInterval is the time between the appends that renew the assignment lease.
	HeartbeatInterval = 800 * time.Millisecond
	// ClaimAfter is the time without a record of the lease holder after which another
	// VM claims the assignment lease: a little more than two heartbeat intervals.
	ClaimAfter = 1700 * time.Millisecond
	// holdMargin covers a backend server's clock that runs 2% slow, and the transit time
	// of a call.
	holdMargin = RangeLeaseDuration/50 + 150*time.Millisecond
	// callRetryInterval is the time between a failed call for a range and the next one.
	callRetryInterval = 300 * time.Millisecond
	// balanceInterval is the time between two balancing plans of a service.
	balanceInterval = time.Second
	// avoidDuration is how long an unreachable backend server gets no further keys. Its
	// catalogue entry expires after about the same time.
	avoidDuration = 3 * time.Second
	// newServiceDelay is the time without a new backend server after which the keys of a
	// new service are assigned. Backend servers publish themselves in the catalogue about
	// once a second.
	newServiceDelay = 1200 * time.Millisecond
	// takeoverSettleTime is the time after a claim of a lease that was not resigned in which no
	// range is moved for balance or merged. Reports of the load of keys arrive in it.
	takeoverSettleTime = 3 * time.Second
)

// Server is a backend server as listed in the catalogue.
type Server struct {
	ID      string
	Address string
	Started int64 // Unix ms of the start of its process
	// Usable servers may get keys; others keep theirs only until they are released.
	Usable bool
	// Avoided servers could not be reached recently and get no further keys for now.
	Avoided  bool
	Capacity float64 // relative to the other servers of the service
}

// Input is the state of the fleet as the lease holder knows it.
type Input struct {
	// Servers are the backend servers of each keyed service.
	Servers map[string][]Server
	// Weight returns the load of the key space of a service, or nil if none is known. It is
	// called only to plan, since the load of a key space is large.
	Weight func(service string) *keyrange.Weight
}

// CallKind distinguishes grants from releases.
type CallKind uint8

// The kinds of calls to a backend server.
const (
	CallGrant CallKind = iota
	CallRelease
)

// Call is a call that the core wants made to a backend server. The caller passes its
// result to Core.HandleResult.
type Call struct {
	Kind    CallKind
	Service string
	Target  Target
	Grant   Grant
	state   *rangeState
}

// Change describes a change of a range's owner, for the log.
type Change struct {
	Service string
	Range   keyrange.Range
	Kind    ChangeKind
	// Backend is the new owner of an assigned range, otherwise the last owner.
	Backend string
	Fence   int64
	// Target is the planned next owner of a moving or freed range; empty if there is none.
	Target string
	Reason string
	// LeaseLeft is for how long a lease of the last owner may still run as far as this core
	// knows; UncertainLeft is the part of it that a release does not end. Negative values are
	// the time since then.
	LeaseLeft, UncertainLeft time.Duration
}

// ChangeKind is the kind of a change of a range's owner.
type ChangeKind string

// The kinds of changes; the values appear in log messages.
const (
	ChangeAssigned ChangeKind = "assigned"
	ChangeMoving   ChangeKind = "moving"
	ChangeFreed    ChangeKind = "freed"
)

// rangeState is one key range of a service with its runtime state.
type rangeState struct {
	service string
	entry   keyrange.Entry
	// version is the first state version that contains the entry. The range is granted
	// only after the shared log has accepted that version.
	version int64
	// leasedUntil is the latest time at which a key range lease of any backend server on
	// the range may end.
	leasedUntil time.Duration
	// uncertainUntil is the latest time at which a lease may end that was made by a grant which may
	// still take effect, of this VM or of a predecessor. After a release the range gets no new owner
	// before then. An accepted grant is one of them too, unless it was sent on a connection of its
	// own: the answer may be that to an earlier grant. Those grants were sent to the owner: it
	// changes only once they have no effect any more.
	uncertainUntil time.Duration
	// uncertainFence is the token of the last such grant of this VM. Once the owner has accepted a
	// higher one it rejects that grant and those before it.
	uncertainFence int64
	// unansweredUntil is the part of uncertainUntil without accepted grants.
	unansweredUntil time.Duration
	// confirmSent is set once a moving range was granted to its owner with a token above
	// uncertainFence.
	confirmSent bool
	nextCall    time.Duration
	// inFlight is set while a call for the range has no result. Until then the range keeps its
	// owner and its token, and is neither split nor merged.
	inFlight      bool
	granted       bool   // the owner accepted a grant of the range
	acceptedFence int64  // token of the grant that the owner accepted last; with it, further ones are renewals
	handover      string // returned by the last owner's release, for the next owner
	target        string // planned next owner
}

// Core decides on grants, releases and moves of key ranges. It does no I/O; the caller
// passes the monotonic time to each method. It is not safe for concurrent use.
type Core struct {
	instance string
	era      int64 // of the shared log in which the state is recorded
	fence    int64
	ranges   map[string][]*rangeState
	version  int64 // of the newest state; grows with each change
	accepted int64 // newest version that the shared log accepted
	// earlierCallsUntil is the latest time at which a call of an earlier lease holder may reach a
	// backend server.
	earlierCallsUntil time.Duration
	// settledFrom is the time from which ranges are moved for balance and merged.
	settledFrom time.Duration
	lastBalance map[string]time.Duration
	// newServices are the services whose keys are not assigned yet. Before newServicesFrom a
	// service without ranges may be one whose ranges are lost since the log was restored.
	newServices     map[string]*newService
	newServicesFrom time.Duration
	// avoidUntil is the time until which an unreachable backend server gets no further
	// keys, by server ID.
	avoidUntil map[string]time.Duration
	changes    []Change
}

// newService is the number of backend servers of a service without assignments, and
// the time since which it has not changed.
type newService struct {
	servers int
	since   time.Duration
}

// eraFences is the number of fencing tokens of one era of the shared log. A restored log
// does not say how many tokens were used since the copy, so a claim begins with those of its era.
// An era of days, with thousands of moves a second, stays far below it.
const eraFences = int64(1) << 32

// firstFence returns a fencing token above all that were used in earlier eras of the
// shared log.
func firstFence(era int64) int64 { return era * eraFences }

// Predecessor is what a VM that claims the assignment lease knows of its last holder.
type Predecessor struct {
	// Resigned is set if the holder had ended all its calls before it gave up the lease.
	Resigned bool
	// CallsUntil is the latest time at which a call of the holder, or of one before it, may reach a
	// backend server.
	CallsUntil time.Duration
}

// NewCore returns the core of an instance that claims the assignment lease in the given era
// of the shared log; its State is what the claim records. recorded is the assignment before
// the claim, or nil if there is none. A recorded assignment of an earlier era may lack the
// newest grants: its owners only hint at where the ranges were.
//
// Each range gets a new fencing token: the process at an owner's address may have started
// after the recorded grant, and must not get the range with the token of an earlier process.
func NewCore(instance string, recorded *keyrange.Assignment, era int64, now time.Duration, p Predecessor) *Core {
	c := &Core{
		instance: instance, era: era, fence: firstFence(era),
		ranges: make(map[string][]*rangeState), lastBalance: make(map[string]time.Duration),
		newServices: make(map[string]*newService),
		avoidUntil:  make(map[string]time.Duration),
		settledFrom: now,
	}
	if !p.Resigned {
		c.settledFrom += takeoverSettleTime
	}
	if recorded == nil {
		return c
	}
	restored := recorded.Era < era
	if restored { // other VMs may have held the lease in the part of the log that is lost
		p = Predecessor{CallsUntil: now + AssignmentLeaseDuration + grantTimeout}
	}
	c.earlierCallsUntil = p.CallsUntil
	leasedUntil := p.CallsUntil + RangeLeaseDuration + holdMargin
	unansweredUntil := leasedUntil // the predecessor may renew a lease that its owner has released
	if p.Resigned {
		unansweredUntil = now
	}
	if era > 0 {
		c.newServicesFrom = now + AssignmentLeaseDuration + grantTimeout + RangeLeaseDuration + holdMargin
	}
	c.fence = max(c.fence, recorded.Fence)
	for service, entries := range recorded.Services {
		for _, entry := range entries {
			s := &rangeState{
				service: service, entry: entry,
				leasedUntil: leasedUntil, uncertainUntil: leasedUntil, unansweredUntil: unansweredUntil,
			}
			switch {
			case restored:
				s.entry, s.target = keyrange.Entry{Range: entry.Range}, entry.Backend
			case entry.Backend != "":
				c.fence++
				s.entry.Fence = c.fence
			}
			c.ranges[service] = append(c.ranges[service], s)
		}
	}
	return c
}

// Restored notes that the shared log was restored from an older copy and is now in the
// given era. The whole state has to be recorded again. No other instance may have acquired the
// lease in the part of the log that is lost, so this one knows the highest token.
func (c *Core) Restored(era int64) {
	c.era = era
	c.version++
}

// Overwritten notes that another program has overwritten the recorded state, so that it has to
// be recorded again.
func (c *Core) Overwritten() { c.version++ }

// State returns the assignment to record in the shared log.
func (c *Core) State() *keyrange.Assignment {
	a := &keyrange.Assignment{Holder: c.instance, Fence: c.fence, Era: c.era, Services: make(map[string][]keyrange.Entry)}
	for service, ranges := range c.ranges {
		entries := make([]keyrange.Entry, len(ranges))
		for i, s := range ranges {
			entries[i] = s.entry
		}
		a.Services[service] = entries
	}
	return a
}

// EarlierCalls returns for how long calls of earlier lease holders may still reach backend servers.
func (c *Core) EarlierCalls(now time.Duration) time.Duration { return max(0, c.earlierCallsUntil-now) }

// Version returns the version of the newest state; it grows with each change.
func (c *Core) Version() int64 { return c.version }

// SetAccepted notes that the shared log accepted the state of a version, so that its
// grants may be sent.
func (c *Core) SetAccepted(version int64) { c.accepted = max(c.accepted, version) }

// CallsInFlight reports whether any call to a backend server is in flight.
func (c *Core) CallsInFlight() bool {
	for _, ranges := range c.ranges {
		for _, s := range ranges {
			if s.inFlight {
				return true
			}
		}
	}
	return false
}

// HasUncertainGrants reports whether an unanswered grant may still take effect.
func (c *Core) HasUncertainGrants(now time.Duration) bool {
	for _, ranges := range c.ranges {
		for _, s := range ranges {
			if now < s.unansweredUntil {
				return true
			}
		}
	}
	return false
}

// Step updates the assignments to the input and returns the calls that are due.
func (c *Core) Step(now time.Duration, in Input) []Call {
	var calls []Call
	for service, servers := range in.Servers {
		if !c.coverNewService(service, servers, now) {
			continue
		}
		servers = c.markAvoided(servers, now)
		byID := make(map[string]Server, len(servers))
		for _, server := range servers {
			byID[server.ID] = server
		}
		c.handleLostOwners(service, byID, now)
		c.assignFree(service, servers, in.Weight, now)
		c.balance(service, servers, in.Weight, now)
		c.merge(service, now)
		calls = append(calls, c.dueCalls(service, now)...)
	}
	return calls
}

// markAvoided returns the servers with those marked as avoided that could not be
// reached recently. If that leaves no usable server, none is marked.
func (c *Core) markAvoided(servers []Server, now time.Duration) []Server {
	out := slices.Clone(servers)
	usable := 0
	for i := range out {
		if now < c.avoidUntil[out[i].ID] {
			out[i].Avoided = true
		} else if out[i].Usable {
			usable++
		}
	}
	if usable == 0 {
		return servers
	}
	return out
}

// coverNewService adds the key space of a new service as one range without an owner.
// It waits until the number of backend servers is stable, since otherwise the first
// ones would get all keys. It reports whether the service has ranges.
func (c *Core) coverNewService(service string, servers []Server, now time.Duration) bool {
	if len(c.ranges[service]) > 0 {
		return true
	}
	pending := c.newServices[service]
	if pending == nil || pending.servers != len(servers) {
		c.newServices[service] = &newService{servers: len(servers), since: now}
		return false
	}
	if len(servers) == 0 || now < pending.since+newServiceDelay || now < c.newServicesFrom {
		return false
	}
	c.ranges[service] = []*rangeState{{service: service, entry: keyrange.Entry{Range: keyrange.Range{First: 0, Last: keyrange.MaxKey}}}}
	c.version++
	return true
}

// handleLostOwners starts to move the ranges of owners that are gone, restarted or leaving, and
// frees ranges whose lease has ended. The catalogue never frees a range: an entry may be older or
// newer than the process at the address, which may hold a lease by a grant of this VM.
func (c *Core) handleLostOwners(service string, byID map[string]Server, now time.Duration) {
	for _, s := range c.ranges[service] {
		if s.entry.Backend == "" {
			continue
		}
		server, listed := byID[s.entry.Backend]
		switch {
		case s.entry.Moving && now >= s.leasedUntil && !s.inFlight:
			c.freeRange(s, "", 0, now, "lease ended")
		case !s.granted && now < c.avoidUntil[s.entry.Backend] && now >= s.leasedUntil && !s.inFlight:
			c.freeRange(s, "", 0, now, "owner unreachable, lease ended")
		case s.entry.Moving:
		case !listed:
			c.startMove(s, "", now, "owner gone")
		case differentStarts(server.Started, s.entry.Started):
			c.startMove(s, "", now, "owner restarted")
		case !server.Usable:
			c.startMove(s, "", now, "owner leaves")
		}
	}
}

// differentStarts reports whether two entries are of different processes. One without a start,
// as other programs may write it, says nothing.
func differentStarts(a, b int64) bool { return a != b && a != 0 && b != 0 }

// freeRange removes the owner of a range. leasedUntil is the latest time at which a
// lease on the range may end; handover is passed on to the next owner.
func (c *Core) freeRange(s *rangeState, handover string, leasedUntil, now time.Duration, reason string) {
	c.recordChange(s, ChangeFreed, now, reason)
	s.entry = keyrange.Entry{Range: s.entry.Range}
	s.handover, s.leasedUntil, s.granted = handover, leasedUntil, false
	c.bumpVersion(s)
}

// startMove marks a range as moving, so that its owner is asked to release it. target
// is the planned next owner, if any.
func (c *Core) startMove(s *rangeState, target string, now time.Duration, reason string) {
	s.entry.Moving, s.confirmSent = true, false
	s.target = target
	c.recordChange(s, ChangeMoving, now, reason)
	s.nextCall = now
	c.bumpVersion(s)
}

// recordChange adds a change to those that TakeChanges returns.
func (c *Core) recordChange(s *rangeState, kind ChangeKind, now time.Duration, reason string) {
	c.changes = append(c.changes, Change{
		Service: s.service, Range: s.entry.Range, Kind: kind, Backend: s.entry.Backend,
		Fence: s.entry.Fence, Target: s.target, Reason: reason,
		LeaseLeft: s.leasedUntil - now, UncertainLeft: s.uncertainUntil - now,
	})
}

// TakeChanges returns the changes of owners since its last call.
func (c *Core) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// bumpVersion starts a new state version that contains the range.
func (c *Core) bumpVersion(s *rangeState) {
	c.version++
	s.version = c.version
}

// assignFree assigns owners to the ranges that have none and on which no lease is left.
func (c *Core) assignFree(service string, servers []Server, weight func(service string) *keyrange.Weight, now time.Duration) {
	var unowned []*rangeState
	for _, s := range c.ranges[service] {
		if s.entry.Backend == "" && now >= s.leasedUntil {
			unowned = append(unowned, s)
		}
	}
	if len(unowned) == 0 {
		return
	}
	planner, usable := c.newPlanner(service, servers, weight(service))
	if len(usable) == 0 {
		return
	}
	for _, s := range unowned {
		if server, ok := usable[s.target]; ok && s.target != "" {
			c.setOwner(s, server, now)
			continue
		}
		for _, move := range planner.Place([]keyrange.Range{s.entry.Range}) {
			c.setOwner(c.split(service, s, move.Range), usable[move.To], now)
		}
	}
}

// setOwner assigns a range to a backend server under a new fencing token.
func (c *Core) setOwner(s *rangeState, server Server, now time.Duration) {
	c.fence++
	s.entry.Backend, s.entry.Address, s.entry.Started = server.ID, server.Address, server.Started
	s.entry.Fence = c.fence
	s.target, s.nextCall = "", 0
	c.recordChange(s, ChangeAssigned, now, "")
	c.bumpVersion(s)
}

// newPlanner returns a planner and the servers that may get keys, by ID. A moving range
// counts for the server that it moves to.
func (c *Core) newPlanner(service string, servers []Server, weight *keyrange.Weight) (*keyrange.Planner, map[string]Server) {
	usable := make(map[string]Server)
	var list []keyrange.Server
	for _, server := range servers {
		if server.Usable && !server.Avoided {
			usable[server.ID] = server
			list = append(list, keyrange.Server{ID: server.ID, Capacity: max(server.Capacity, 0.1)})
		}
	}
	if weight == nil {
		weight = new(keyrange.Weight)
	}
	entries := make([]keyrange.Entry, 0, len(c.ranges[service]))
	for _, s := range c.ranges[service] {
		entry := s.entry
		if s.target != "" {
			entry.Backend = s.target
		}
		entries = append(entries, entry)
	}
	return keyrange.NewPlanner(entries, list, weight), usable
}

// split returns the state of exactly the range r, splitting s where needed.
func (c *Core) split(service string, s *rangeState, r keyrange.Range) *rangeState {
	if s.entry.Range == r {
		return s
	}
	ranges := c.ranges[service]
	index := slices.Index(ranges, s)
	if index < 0 {
		// An earlier split replaced s by its pieces; r lies in one of them.
		for _, piece := range ranges {
			if piece.entry.Range.Contains(r.First) && piece.entry.Range.Contains(r.Last) {
				return c.split(service, piece, r)
			}
		}
	}
	var pieces []*rangeState
	var found *rangeState
	for _, part := range s.entry.Range.Cut(r) {
		piece := *s
		piece.entry.Range = part
		pieces = append(pieces, &piece)
		if part == r {
			found = &piece
		}
	}
	c.ranges[service] = slices.Replace(ranges, index, index+1, pieces...)
	return found
}

// balance starts moves that take load from busy owners.
func (c *Core) balance(service string, servers []Server, weight func(service string) *keyrange.Weight, now time.Duration) {
	limit := keyrange.MoveLimit(len(servers), len(c.ranges[service])) - c.movingCount(service)
	if now < c.settledFrom || now < c.lastBalance[service]+balanceInterval || limit <= 0 {
		return
	}
	c.lastBalance[service] = now
	planner, usable := c.newPlanner(service, servers, weight(service))
	entries := make([]keyrange.Entry, 0, len(c.ranges[service]))
	for _, s := range c.ranges[service] {
		if s.granted && !s.inFlight {
			entries = append(entries, s.entry)
		}
	}
	for _, move := range planner.Balance(entries, limit) {
		if _, ok := usable[move.To]; !ok {
			continue
		}
		for _, s := range c.ranges[service] {
			if s.entry.Range.Contains(move.Range.First) && !s.entry.Moving {
				c.startMove(c.split(service, s, move.Range), move.To, now, "balance")
				break
			}
		}
	}
}

// merge joins the first two adjacent ranges of the same owner under a new fencing
// token, so that the number of grants to renew stays small.
func (c *Core) merge(service string, now time.Duration) {
	if now < c.settledFrom {
		return
	}
	ranges := c.ranges[service]
	for i := 1; i < len(ranges); i++ {
		left, right := ranges[i-1], ranges[i]
		if !left.stable() || !right.stable() || left.entry.Backend != right.entry.Backend || left.entry.Started != right.entry.Started {
			continue
		}
		joined := *left
		joined.entry.Range.Last = right.entry.Range.Last
		joined.leasedUntil = max(left.leasedUntil, right.leasedUntil)
		joined.uncertainUntil = max(left.uncertainUntil, right.uncertainUntil)
		joined.unansweredUntil = max(left.unansweredUntil, right.unansweredUntil)
		c.fence++
		joined.entry.Fence = c.fence
		joined.nextCall = 0
		c.bumpVersion(&joined)
		c.ranges[service] = slices.Replace(ranges, i-1, i+1, &joined)
		return
	}
}

// stable reports whether the range is granted, not moving and without a call in flight.
func (s *rangeState) stable() bool {
	return s.granted && !s.entry.Moving && !s.inFlight
}

// movingCount returns the number of ranges of a service that move to another owner for
// balance.
func (c *Core) movingCount(service string) int {
	n := 0
	for _, s := range c.ranges[service] {
		if s.target != "" {
			n++
		}
	}
	return n
}

// dueCalls returns the calls that are due now and marks them as in flight.
func (c *Core) dueCalls(service string, now time.Duration) []Call {
	var calls []Call
	for _, s := range c.ranges[service] {
		if s.entry.Backend == "" || s.inFlight || now < s.nextCall || s.version > c.accepted {
			continue
		}
		// A release ends the leases of earlier grants for good only if the owner has accepted a higher
		// token, so it is granted the range once more before.
		confirm := s.entry.Moving && !s.confirmSent
		if confirm && s.entry.Fence <= s.uncertainFence {
			c.assignNewFence(s) // and grant the range once the token is recorded
			continue
		}
		s.confirmSent = s.confirmSent || confirm
		s.inFlight = true
		call := s.call(s.entry.Moving && !confirm)
		call.Grant.Confirm = confirm
		calls = append(calls, call)
	}
	return calls
}

// call returns the grant or release of a range for its owner.
func (s *rangeState) call(release bool) Call {
	call := Call{Service: s.service, state: s,
		Target: Target{Backend: s.entry.Backend, Address: s.entry.Address, Started: s.entry.Started},
		Grant:  Grant{Range: s.entry.Range, Fence: s.entry.Fence}}
	if release {
		call.Kind = CallRelease
		return call
	}
	call.Grant.Hold = RangeLeaseDuration
	call.Grant.Handover = s.handover
	call.Grant.Renewal = s.acceptedFence == s.entry.Fence
	return call
}

// HandleResult processes the result of a call that Step returned: err as the Granter
// returned it, and the handover token of a successful release.
func (c *Core) HandleResult(call Call, handover string, err error, now time.Duration) {
	s := call.state
	s.inFlight = false
	switch {
	case errors.Is(err, ErrOtherInstance):
		// The owner's process has ended, and with it all its leases.
		c.avoidUntil[s.entry.Backend] = now + avoidDuration
		c.freeRange(s, "", 0, now, "owner restarted")
	case call.Kind == CallRelease:
		c.finishRelease(s, handover, err, now)
	default:
		s.noteGrant(call.Grant, err, now)
		c.finishGrant(s, err, now)
	}
}

// notApplied reports whether a grant that failed with err has certainly not taken
// effect and never will.
func notApplied(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrFenced) || errors.Is(err, ErrSessionLost) || errors.Is(err, ErrRejected)
}

// noteGrant notes that the lease of a grant may start as late as now. Once the owner has accepted
// a confirming grant, it rejects all grants before it.
func (s *rangeState) noteGrant(grant Grant, err error, now time.Duration) {
	if notApplied(err) {
		return
	}
	until := now + grant.Hold + holdMargin
	s.leasedUntil = max(s.leasedUntil, until)
	if err == nil && grant.Confirm {
		s.uncertainUntil, s.unansweredUntil = min(s.uncertainUntil, now), min(s.unansweredUntil, now)
		return
	}
	s.uncertainUntil, s.uncertainFence = max(s.uncertainUntil, until), grant.Fence
	if err != nil {
		s.unansweredUntil = max(s.unansweredUntil, until)
	}
}

// finishGrant updates a range after a grant call and schedules the next call.
func (c *Core) finishGrant(s *rangeState, err error, now time.Duration) {
	if err == nil {
		s.granted, s.acceptedFence, s.handover = true, s.entry.Fence, ""
	}
	switch {
	case s.entry.Moving:
		// The range began to move while the call was in flight.
		s.nextCall = now
	case err == nil:
		s.nextCall = now + RenewInterval
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrRejected):
		if s.granted {
			c.assignNewFence(s)
		}
		s.nextCall = now + callRetryInterval
		c.avoidUntil[s.entry.Backend] = now + avoidDuration
	default:
		// The process may have restarted, or seen a delayed call with a higher token.
		c.assignNewFence(s)
		if !errors.Is(err, ErrSessionLost) && !errors.Is(err, ErrFenced) {
			s.nextCall = now + callRetryInterval
		}
	}
}

// assignNewFence gives a range a fencing token that no backend server has seen.
func (c *Core) assignNewFence(s *rangeState) {
	c.fence++
	s.entry.Fence = c.fence
	s.granted = false
	c.bumpVersion(s)
}

// finishRelease frees a range after a successful release call, or schedules a retry.
func (c *Core) finishRelease(s *rangeState, handover string, err error, now time.Duration) {
	if err != nil {
		s.nextCall = now + callRetryInterval
		return
	}
	c.freeRange(s, handover, s.uncertainUntil, now, "released")
}
