package keylease

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/keyrange"
)

// Durations of the protocol.
const (
	// Hold is the lease of a backend server on its keys. A lost backend server's keys
	// wait for its end, so it is short; it must outlast the time that a successor
	// needs after the loss of the lease holder (ClaimAfter and one renewal interval).
	Hold = 3 * time.Second
	// RenewInterval is the time between renewals of a lease.
	RenewInterval = time.Second
	// Authority is how long an accepted append confirms the lease on assignments,
	// counted from the moment it was sent. With Hold it bridges 6 s without the log.
	Authority = 3 * time.Second
	// BeatInterval is the time between the appends that confirm the lease.
	BeatInterval = 800 * time.Millisecond
	// ClaimAfter is the time without a record of the holder after which another VM
	// claims the lease: two beats.
	ClaimAfter = 1700 * time.Millisecond
	// holdMargin covers a backend server's clock that runs 2% slow, and the time that
	// a call may be under way.
	holdMargin = Hold/50 + 150*time.Millisecond
	// releaseRetry is the time between release calls for one range.
	releaseRetry = 300 * time.Millisecond
	// balanceInterval is the time between plans that only balance the load.
	balanceInterval = time.Second
	// avoidFor is how long a backend server that could not be reached gets no further
	// keys; its entry in the catalogue lapses after about as long.
	avoidFor = 3 * time.Second
	// appearTime is the time without a new backend server after which the keys of a new
	// service are assigned; backend servers write to the catalogue about once a second.
	appearTime = 1200 * time.Millisecond
	// settleTime is how long no range moves for balance after the lease was taken:
	// a former holder may renew until its authority ends.
	settleTime = Authority
)

// Server is a backend server as the directory lists it.
type Server struct {
	ID      string
	Address string
	Started int64 // Unix ms of the start of its process
	// Usable servers may get keys; others keep theirs only until they are released.
	Usable bool
	// Avoided servers get no further keys for a while.
	Avoided  bool
	Capacity float64
}

// Input is what the holder of the lease knows of the fleet.
type Input struct {
	// Servers are the backend servers of each keyed service.
	Servers map[string][]Server
	// Weights are the loads of the key spaces.
	Weights map[string]*keyrange.Weight
}

// CallKind tells grants from releases.
type CallKind uint8

// Kinds of calls.
const (
	CallGrant CallKind = iota
	CallRelease
)

// Call is a call to a backend server that the core asks for. Its result is handed
// to Core.Done.
type Call struct {
	Kind    CallKind
	Service string
	Target  Target
	Grant   Grant
	unit    *unit
}

// Change is a change of a range's owner, for the log.
type Change struct {
	Service string
	Range   keyrange.Range
	Kind    ChangeKind
	// Backend is the owner: the new one of an assigned range, the last one else.
	Backend string
	Fence   int64
	// Target is the planned next owner of a moving range, if there is one.
	Target string
	Reason string
}

// ChangeKind says what happened to a range.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAssigned ChangeKind = "assigned"
	ChangeMoving   ChangeKind = "moving"
	ChangeFreed    ChangeKind = "freed"
)

// unit is one range with its runtime state.
type unit struct {
	service string
	entry   keyrange.Entry
	// version is the record in which the entry appeared; a grant needs it accepted.
	version int64
	// heldUntil is when the last lease that any backend server may have on the range
	// ends at the latest.
	heldUntil time.Duration
	// uncertain is when the last grant without an answer ends at the latest: until
	// then a release does not free the range, since that grant may still take effect.
	uncertain time.Duration
	nextCall  time.Duration
	calling   bool
	granted   bool
	handover  string
	target    string // planned next owner
	gone      bool   // replaced by a split
}

// Core decides on grants, releases and moves. It does no I/O; the caller passes
// the clock reading to each method. It is not safe for concurrent use.
type Core struct {
	instance string
	fence    int64
	units    map[string][]*unit
	version  int64 // of the newest state
	accepted int64 // of the newest state that the log accepted
	settled  time.Duration
	balanced map[string]time.Duration
	// first notes how many backend servers a new service has, and since when.
	first map[string]*firstSeen
	// avoid holds backend servers that could not be reached and until when they get
	// no further keys.
	avoid   map[string]time.Duration
	changes []Change
}

// firstSeen is the number of backend servers of a service without assignments.
type firstSeen struct {
	servers int
	at      time.Duration
}

// NewCore returns the core of an instance that has just taken the lease. With
// resigned set, the former holder had stopped its calls before.
func NewCore(instance string, recorded *keyrange.Assignment, now time.Duration, resigned bool) *Core {
	c := &Core{
		instance: instance, units: make(map[string][]*unit), balanced: make(map[string]time.Duration),
		first:   make(map[string]*firstSeen),
		avoid:   make(map[string]time.Duration),
		settled: now + settleTime,
	}
	heldUntil := now + Authority + Hold + holdMargin
	if resigned {
		heldUntil = now + Hold + holdMargin
		c.settled = now
	}
	if recorded == nil {
		return c
	}
	c.fence = recorded.Fence
	for service, entries := range recorded.Services {
		for _, entry := range entries {
			c.units[service] = append(c.units[service], &unit{service: service, entry: entry, heldUntil: heldUntil, uncertain: c.settled})
		}
	}
	return c
}

// State returns the state to record.
func (c *Core) State() *keyrange.Assignment {
	a := &keyrange.Assignment{Holder: c.instance, Fence: c.fence, Services: make(map[string][]keyrange.Entry)}
	for service, units := range c.units {
		entries := make([]keyrange.Entry, len(units))
		for i, u := range units {
			entries[i] = u.entry
		}
		a.Services[service] = entries
	}
	return a
}

// Version identifies the newest state; it grows with each change.
func (c *Core) Version() int64 { return c.version }

// Accepted reports that the log accepted the state of a version.
func (c *Core) Accepted(version int64) { c.accepted = max(c.accepted, version) }

// Calling reports whether a call is under way.
func (c *Core) Calling() bool {
	for _, units := range c.units {
		for _, u := range units {
			if u.calling {
				return true
			}
		}
	}
	return false
}

// Uncertain reports whether a grant without an answer may still take effect.
func (c *Core) Uncertain(now time.Duration) bool {
	for _, units := range c.units {
		for _, u := range units {
			if now < u.uncertain {
				return true
			}
		}
	}
	return false
}

// Step brings the assignments in line with the input and returns the calls that
// are due.
func (c *Core) Step(now time.Duration, in Input) []Call {
	var calls []Call
	for service, servers := range in.Servers {
		if !c.cover(service, servers, now) {
			continue
		}
		servers = c.reachable(servers, now)
		known := make(map[string]Server, len(servers))
		occupied := make(map[string]int64, len(servers)) // newest start of a process by address
		for _, server := range servers {
			known[server.ID] = server
			occupied[server.Address] = max(occupied[server.Address], server.Started)
		}
		c.free(service, known, occupied, now)
		c.assign(service, servers, in.Weights[service], now)
		c.balance(service, servers, in.Weights[service], now)
		c.merge(service, now)
		calls = append(calls, c.due(service, known, now)...)
	}
	return calls
}

// reachable returns the servers with those that could not be reached lately marked
// as unusable, unless that leaves none.
func (c *Core) reachable(servers []Server, now time.Duration) []Server {
	out := slices.Clone(servers)
	usable := 0
	for i := range out {
		if now < c.avoid[out[i].ID] {
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

// cover adds the key space of a new service as one range without an owner, once no
// more backend servers appear: the first ones would get all keys.
func (c *Core) cover(service string, servers []Server, now time.Duration) bool {
	if len(c.units[service]) > 0 {
		return true
	}
	first := c.first[service]
	if first == nil || first.servers != len(servers) {
		c.first[service] = &firstSeen{servers: len(servers), at: now}
		return false
	}
	if len(servers) == 0 || now < first.at+appearTime {
		return false
	}
	c.units[service] = []*unit{{service: service, entry: keyrange.Entry{Range: keyrange.Range{First: 0, Last: keyrange.MaxKey}}}}
	c.version++
	return true
}

// free takes ranges from owners that are gone, restarted or leaving.
func (c *Core) free(service string, known map[string]Server, occupied map[string]int64, now time.Duration) {
	for _, u := range c.units[service] {
		if u.entry.Backend == "" {
			continue
		}
		server, listed := known[u.entry.Backend]
		switch {
		case listed && server.Started != u.entry.Started:
			// The process that held the keys has ended.
			c.release(u, "", 0, "owner restarted")
		case !listed && occupied[u.entry.Address] > u.entry.Started:
			// A later process has the address, so the owner's has ended.
			c.release(u, "", 0, "address in use by a later process")
		case u.entry.Moving && now >= u.heldUntil && !u.calling:
			c.release(u, "", 0, "lease ended")
		case !u.granted && now < c.avoid[u.entry.Backend] && now >= u.heldUntil && !u.calling:
			c.release(u, "", 0, "owner unreachable, lease ended")
		case !listed && !u.entry.Moving:
			c.startMove(u, "", now, "owner gone")
		case !server.Usable && !u.entry.Moving:
			c.startMove(u, "", now, "owner leaves")
		}
	}
}

// release makes a range free; heldUntil is when the last lease on it ends.
func (c *Core) release(u *unit, handover string, heldUntil time.Duration, reason string) {
	c.note(u, ChangeFreed, reason)
	u.entry = keyrange.Entry{Range: u.entry.Range}
	u.handover, u.heldUntil, u.granted = handover, heldUntil, false
	c.changed(u)
}

func (c *Core) startMove(u *unit, target string, now time.Duration, reason string) {
	u.entry.Moving = true
	u.target = target
	c.note(u, ChangeMoving, reason)
	u.nextCall = now
	c.changed(u)
}

// note adds a change for the log.
func (c *Core) note(u *unit, kind ChangeKind, reason string) {
	c.changes = append(c.changes, Change{
		Service: u.service, Range: u.entry.Range, Kind: kind, Backend: u.entry.Backend,
		Fence: u.entry.Fence, Target: u.target, Reason: reason,
	})
}

// TakeChanges returns the changes of owners since the last call.
func (c *Core) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

func (c *Core) changed(u *unit) {
	c.version++
	u.version = c.version
}

// assign gives free ranges an owner.
func (c *Core) assign(service string, servers []Server, weight *keyrange.Weight, now time.Duration) {
	var orphans []*unit
	for _, u := range c.units[service] {
		if u.entry.Backend == "" && now >= u.heldUntil {
			orphans = append(orphans, u)
		}
	}
	if len(orphans) == 0 {
		return
	}
	planner, usable := c.planner(service, servers, weight)
	if len(usable) == 0 {
		return
	}
	for _, u := range orphans {
		if server, ok := usable[u.target]; ok && u.target != "" {
			c.own(u, server)
			continue
		}
		for _, move := range planner.Place([]keyrange.Range{u.entry.Range}) {
			c.own(c.carve(service, u, move.Range), usable[move.To])
		}
	}
}

func (c *Core) own(u *unit, server Server) {
	c.fence++
	u.entry.Backend, u.entry.Address, u.entry.Started = server.ID, server.Address, server.Started
	u.entry.Fence, u.entry.Moving = c.fence, false
	u.granted, u.target, u.nextCall = false, "", 0
	c.note(u, ChangeAssigned, "")
	c.changed(u)
}

// planner returns a planner in which ranges that move count for their targets.
func (c *Core) planner(service string, servers []Server, weight *keyrange.Weight) (*keyrange.Planner, map[string]Server) {
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
	entries := make([]keyrange.Entry, 0, len(c.units[service]))
	for _, u := range c.units[service] {
		entry := u.entry
		if u.target != "" {
			entry.Backend = u.target
		}
		entries = append(entries, entry)
	}
	return keyrange.NewPlanner(entries, list, weight), usable
}

// carve returns the unit of exactly the range r, splitting u where needed.
func (c *Core) carve(service string, u *unit, r keyrange.Range) *unit {
	if u.entry.Range == r {
		return u
	}
	units := c.units[service]
	at := slices.Index(units, u)
	if at < 0 {
		// u was replaced by its pieces; r lies in one of them.
		for _, piece := range units {
			if piece.entry.Range.Contains(r.First) && piece.entry.Range.Contains(r.Last) {
				return c.carve(service, piece, r)
			}
		}
	}
	var pieces []*unit
	var found *unit
	for _, part := range u.entry.Range.Cut(r) {
		piece := *u
		piece.entry.Range = part
		piece.calling = false
		pieces = append(pieces, &piece)
		c.changed(&piece)
		if part == r {
			found = &piece
		}
	}
	u.gone = true
	c.units[service] = slices.Replace(units, at, at+1, pieces...)
	return found
}

// balance starts moves that relieve busy owners.
func (c *Core) balance(service string, servers []Server, weight *keyrange.Weight, now time.Duration) {
	limit := keyrange.MoveLimit(len(servers), len(c.units[service])) - c.moving(service)
	if now < c.settled || now < c.balanced[service]+balanceInterval || limit <= 0 {
		return
	}
	c.balanced[service] = now
	planner, usable := c.planner(service, servers, weight)
	entries := make([]keyrange.Entry, 0, len(c.units[service]))
	for _, u := range c.units[service] {
		if u.granted && !u.calling {
			entries = append(entries, u.entry)
		}
	}
	for _, move := range planner.Balance(entries, limit) {
		if _, ok := usable[move.To]; !ok {
			continue
		}
		for _, u := range c.units[service] {
			if u.entry.Range.Contains(move.Range.First) && !u.entry.Moving {
				c.startMove(c.carve(service, u, move.Range), move.To, now, "balance")
				break
			}
		}
	}
}

// merge joins two adjacent ranges of one owner under a new fencing token, so that
// the number of grants to renew stays small.
func (c *Core) merge(service string, now time.Duration) {
	if now < c.settled {
		return
	}
	units := c.units[service]
	for i := 1; i < len(units); i++ {
		left, right := units[i-1], units[i]
		if !left.quiet() || !right.quiet() || left.entry.Backend != right.entry.Backend || left.entry.Started != right.entry.Started {
			continue
		}
		joined := *left
		joined.entry.Range.Last = right.entry.Range.Last
		joined.heldUntil = max(left.heldUntil, right.heldUntil)
		joined.uncertain = max(left.uncertain, right.uncertain)
		c.fence++
		joined.entry.Fence = c.fence
		joined.nextCall = 0
		left.gone, right.gone = true, true
		c.changed(&joined)
		c.units[service] = slices.Replace(units, i-1, i+1, &joined)
		return
	}
}

// quiet reports whether the range is granted and nothing is under way.
func (u *unit) quiet() bool {
	return u.entry.Backend != "" && u.granted && !u.entry.Moving && !u.calling
}

// moving is the number of ranges on their way to another owner for balance.
func (c *Core) moving(service string) int {
	n := 0
	for _, u := range c.units[service] {
		if u.target != "" {
			n++
		}
	}
	return n
}

// due returns the calls whose time has come.
func (c *Core) due(service string, known map[string]Server, now time.Duration) []Call {
	var calls []Call
	for _, u := range c.units[service] {
		if u.entry.Backend == "" || u.calling || now < u.nextCall || u.version > c.accepted {
			continue
		}
		call := Call{Service: service, unit: u,
			Target: Target{Backend: u.entry.Backend, Address: u.entry.Address, Started: u.entry.Started},
			Grant:  Grant{Range: u.entry.Range, Fence: u.entry.Fence}}
		if u.entry.Moving {
			call.Kind = CallRelease
		} else {
			call.Grant.Hold = Hold
			call.Grant.Handover = u.handover
			call.Grant.Renewal = u.granted
		}
		u.calling = true
		calls = append(calls, call)
	}
	return calls
}

// Done takes the result of a call.
func (c *Core) Done(call Call, handover string, err error, now time.Duration) {
	u := call.unit
	u.calling = false
	if call.Kind == CallGrant && !certainlyNot(err) {
		c.extend(call, err, now)
	}
	if u.gone || u.entry.Fence != call.Grant.Fence || u.entry.Backend != call.Target.Backend {
		return
	}
	if errors.Is(err, ErrOtherInstance) {
		// The owner's process has ended, and with it every lease that it had.
		c.avoid[u.entry.Backend] = now + avoidFor
		c.release(u, "", 0, "owner restarted")
		return
	}
	if call.Kind == CallRelease {
		c.released(u, handover, err, now)
		return
	}
	c.grantDone(u, err, now)
}

// certainlyNot reports whether a grant that failed so has not taken effect and
// will not.
func certainlyNot(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrFenced) || errors.Is(err, ErrSessionLost) ||
		errors.Is(err, ErrOtherInstance) || errors.Is(err, ErrRejected)
}

// extend notes that the lease of a grant may run from now on, also for the pieces
// of a range that was split meanwhile.
func (c *Core) extend(call Call, err error, now time.Duration) {
	until := now + call.Grant.Hold + holdMargin
	for _, u := range c.units[call.Service] {
		if u.entry.Range.First > call.Grant.Range.Last || u.entry.Range.Last < call.Grant.Range.First {
			continue
		}
		u.heldUntil = max(u.heldUntil, until)
		if err != nil {
			u.uncertain = max(u.uncertain, until)
		}
	}
}

func (c *Core) grantDone(u *unit, err error, now time.Duration) {
	switch {
	case u.entry.Moving:
		// The range began to move while the call was under way.
		u.nextCall = now
	case err == nil:
		u.granted, u.handover = true, ""
		u.nextCall = now + RenewInterval
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrRejected):
		if u.granted {
			c.renumber(u)
		}
		u.nextCall = now + releaseRetry
		c.avoid[u.entry.Backend] = now + avoidFor
	default:
		// The process may have restarted, or seen a late call with a higher token.
		c.renumber(u)
		if !errors.Is(err, ErrSessionLost) && !errors.Is(err, ErrFenced) {
			u.nextCall = now + releaseRetry
		}
	}
}

// renumber gives a range a fencing token that no backend server has seen.
func (c *Core) renumber(u *unit) {
	c.fence++
	u.entry.Fence = c.fence
	u.granted = false
	c.changed(u)
}

func (c *Core) released(u *unit, handover string, err error, now time.Duration) {
	if !u.entry.Moving {
		return
	}
	if err != nil {
		u.nextCall = now + releaseRetry
		return
	}
	c.release(u, handover, u.uncertain, "released")
}
