package ownership

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"fireflyfield/internal/keyspace"
)

const (
	simulationStep   = 20 * time.Millisecond
	simulationSlices = 24
)

// fakeClock is a monotonic clock with its own rate and offset.
type fakeClock struct {
	offset time.Duration
	ppm    int64
	// stopped is how long the clock has stood still during suspensions.
	stopped time.Duration
}

func (c fakeClock) mono(now time.Duration) time.Duration {
	return c.offset + now + now*time.Duration(c.ppm)/1_000_000 - c.stopped
}

type fakeVM struct {
	name              string
	domain            string
	member            Member
	clock             fakeClock
	decider           *Decider
	table             *Table
	up                bool
	paused            bool
	suspended         bool
	inbox             []Event
	logDisconnected   bool
	disconnected      bool
	peersDisconnected bool
	stopped           bool
	restarts          int
	blockedAtVersion  map[ServerID]map[keyspace.Unit]uint64
	lastGateRequest   map[ServerID]time.Duration
	// dropsWhilePaused is set if events that arrive while the VM is paused are lost
	// rather than queued.
	dropsWhilePaused bool
	lease            RoleLease
}

// heldGrant is a grant of one unit at a backend server.
type heldGrant struct {
	token   Token
	expires time.Duration
	// stopping is set once the grant was revoked: no new request runs, and the grant
	// is given up when the last one has ended.
	stopping bool
	lastRun  time.Duration
}

type fakeServer struct {
	id           ServerID
	domain       string
	checksGrants bool
	clock        fakeClock
	instance     int
	up           bool
	paused       bool
	disconnected bool
	queue        []func()
	term         Term
	held         map[keyspace.Unit]heldGrant
}

type fakeLog struct {
	records [streamCount]map[string][]StreamRecord
	down    bool
	// loseAnswers is the probability that an append takes effect but is not answered.
	loseAnswers float64
	ids         map[RecordID]bool
}

// delivery is a function that runs at a simulated time; order breaks ties.
type delivery struct {
	dueAt time.Duration
	order int
	run   func()
}

type deliveries []delivery

func (q deliveries) Len() int { return len(q) }
func (q deliveries) Less(i, j int) bool {
	return q[i].dueAt < q[j].dueAt || q[i].dueAt == q[j].dueAt && q[i].order < q[j].order
}
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *deliveries) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation runs several state machines against fakes of the shared log and the
// backend servers in simulated time. All randomness comes from its seed.
type simulation struct {
	now       time.Duration
	random    *rand.Rand
	queue     deliveries
	nextOrder int
	lossRate  float64
	slowRate  float64
	log       fakeLog
	vms       []*fakeVM
	servers   []*fakeServer
	config    Config
	events    []ownerEvent
	// lastServedAt holds when each slice was last served. Before measuring is set, it
	// holds when the slice was last requested, served or not.
	lastServedAt map[string]time.Duration
	longestGap   time.Duration
	measuring    bool
	// signalsRefusal is set if a connection to an ended process is refused, which
	// proves that it ended; otherwise there is no answer.
	signalsRefusal  bool
	requestDuration time.Duration
	// requestEvery is the number of steps between rounds of requests.
	requestEvery int
	steps        int
	// delayGrant returns the delay of a message to a backend server; zero means the
	// usual network delay.
	delayGrant func(vm *fakeVM, a SendGrant) time.Duration
	// blocked reports whether a VM can't reach a backend server.
	blocked func(vm *fakeVM, s *fakeServer) bool
	// keys are requested through Table.Lookup, in addition to every slice.
	keys []string
}

func newSimulation(seed uint64, domains []string, vms, servers int, checks bool) *simulation {
	sim := &simulation{
		random:          rand.New(rand.NewPCG(seed, 99)),
		lastServedAt:    make(map[string]time.Duration),
		signalsRefusal:  seed%2 == 0,
		requestDuration: 15 * time.Millisecond,

		requestEvery: 1,
	}
	sim.log.ids = make(map[RecordID]bool)
	for i := range sim.log.records {
		sim.log.records[i] = make(map[string][]StreamRecord)
	}
	service := ServiceConfig{Name: "s", Slices: simulationSlices, ChecksGrants: checks, MaxRequest: 500 * time.Millisecond}
	for _, domain := range domains {
		for i := range servers {
			name := fmt.Sprintf("%s-b%d", domain, i)
			service.Servers = append(service.Servers, ServerConfig{Name: name, Domain: domain})
			sim.servers = append(sim.servers, &fakeServer{
				id: ServerID{Service: "s", Name: name}, domain: domain, checksGrants: checks, up: true,
				clock: sim.newClock(), held: make(map[keyspace.Unit]heldGrant),
			})
		}
	}
	sim.config = Config{Services: []ServiceConfig{service}, Workspaces: []string{"w1", "w2"}}
	for _, domain := range domains {
		for i := range vms {
			vm := &fakeVM{name: fmt.Sprintf("%s-v%d", domain, i), domain: domain, clock: sim.newClock()}
			sim.vms = append(sim.vms, vm)
			sim.startVM(vm)
		}
	}
	return sim
}

func (sim *simulation) newClock() fakeClock {
	return fakeClock{offset: time.Duration(sim.random.Int64N(int64(time.Hour))), ppm: sim.random.Int64N(401) - 200}
}

func (sim *simulation) startVM(vm *fakeVM) {
	vm.restarts++
	vm.member = Member{VM: vm.name, Instance: fmt.Sprint(vm.restarts)}
	vm.decider = NewDecider(Options{
		Domain: vm.domain,
		Self:   vm.member,
		Random: rand.New(rand.NewPCG(sim.random.Uint64(), sim.random.Uint64())),
	})
	vm.table = NewTable()
	vm.up, vm.paused, vm.inbox, vm.stopped = true, false, nil, false
	vm.blockedAtVersion = make(map[ServerID]map[keyspace.Unit]uint64)
	vm.lastGateRequest = make(map[ServerID]time.Duration)
	vm.lease = RoleLease{}
	sim.deliver(vm, ConfigChanged{Config: sim.config})
}

func (sim *simulation) setConfig(change func(*Config)) {
	change(&sim.config)
	for _, vm := range sim.vms {
		sim.deliver(vm, ConfigChanged{Config: sim.config})
	}
}

// transmit schedules run after a random network delay, or drops it at the loss rate.
func (sim *simulation) transmit(run func()) {
	if sim.random.Float64() < sim.lossRate {
		return
	}
	delay := time.Millisecond + time.Duration(sim.random.Int64N(int64(2*time.Millisecond)))
	if sim.random.Float64() < sim.slowRate {
		delay = time.Duration(sim.random.Int64N(int64(3 * time.Second)))
	}
	sim.schedule(sim.now+delay, run)
}

func (sim *simulation) schedule(at time.Duration, run func()) {
	sim.nextOrder++
	heap.Push(&sim.queue, delivery{at, sim.nextOrder, run})
}

func (sim *simulation) instant(vm *fakeVM) Instant {
	return Instant{Mono: vm.clock.mono(sim.now), Wall: sim.now}
}

func (sim *simulation) deliver(vm *fakeVM, event Event) {
	if !vm.up || vm.paused && vm.dropsWhilePaused {
		return
	}
	if vm.paused {
		vm.inbox = append(vm.inbox, event)
		return
	}
	incarnation := vm.member
	for _, action := range vm.decider.Step(sim.instant(vm), event) {
		if vm.member == incarnation {
			sim.execute(vm, action)
		}
	}
	vm.table.UpdateHomes(vm.decider.Homes())
}

// execute carries out an action of the VM's state machine.
func (sim *simulation) execute(vm *fakeVM, action Action) {
	switch a := action.(type) {
	case Read:
		sim.read(vm, a)
	case Append:
		sim.append(vm, a)
	case SendGrant:
		sim.sendGrant(vm, a)
	case SendHeartbeat:
		sim.sendTo(vm, a.Heartbeat.To, HeartbeatReceived(a))
	case ReplyHeartbeat:
		sim.sendTo(vm, a.To, HeartbeatReplied{a.Reply})
	case Publish:
		sim.publish(vm, a.Map)
	case SendMap:
		target := sim.vm(a.To.VM)
		sim.transmit(func() {
			if !vm.disconnected && !target.disconnected && !vm.peersDisconnected && !target.peersDisconnected {
				sim.receiveMap(target, a.Map)
			}
		})
	case ProbePeer:
		target := sim.vm(a.Member.VM)
		if sim.signalsRefusal && !vm.disconnected && !target.disconnected && (!target.up || target.member != a.Member) {
			sim.transmit(func() { sim.deliver(vm, PeerEnded(a)) })
		}
	case SetRoles:
		vm.lease = a.Lease
	case StopUnits:
		sim.stopUnits(vm, a)
	case Stopped:
		vm.stopped = true
	}
}

func (sim *simulation) sendTo(from *fakeVM, to Member, event Event) {
	target := sim.vm(to.VM)
	sender := from.member
	sim.transmit(func() {
		if from.disconnected || target.disconnected || from.peersDisconnected || target.peersDisconnected {
			return
		}
		if !target.up || target.member != to {
			if (sim.signalsRefusal || target.up) && from.member == sender {
				sim.deliver(from, PeerEnded{to})
			}
			return
		}
		sim.deliver(target, event)
	})
}

func (sim *simulation) vm(name string) *fakeVM {
	i := slices.IndexFunc(sim.vms, func(vm *fakeVM) bool { return vm.name == name })
	return sim.vms[i]
}

func (sim *simulation) publish(from *fakeVM, published DomainMap) {
	for _, vm := range sim.vms {
		sim.transmit(func() {
			if vm == from || !vm.disconnected && !from.disconnected && !vm.peersDisconnected && !from.peersDisconnected {
				sim.receiveMap(vm, published)
			}
		})
	}
}

func (sim *simulation) receiveMap(vm *fakeVM, published DomainMap) {
	if !vm.up || vm.paused {
		return
	}
	vm.table.UpdateDomain(published)
	if vm.domain == published.Domain {
		sim.deliver(vm, MapReceived{published.Term, published.Version})
	}
}

func (sim *simulation) streamName(vm *fakeVM, stream Stream) string {
	if stream == HomesStream {
		return ""
	}
	return vm.domain
}

func (sim *simulation) read(vm *fakeVM, a Read) {
	sent := sim.instant(vm)
	member := vm.member
	sim.transmit(func() {
		if sim.log.down || vm.logDisconnected || vm.disconnected {
			return
		}
		var found []StreamRecord
		for _, record := range sim.log.records[a.Stream][sim.streamName(vm, a.Stream)] {
			if record.Offset >= a.From {
				found = append(found, record)
			}
		}
		end := len(found) <= 50
		found = found[:min(len(found), 50)]
		sim.transmit(func() {
			if vm.member == member && !vm.disconnected && !vm.logDisconnected {
				sim.deliver(vm, RecordsRead{Stream: a.Stream, Records: found, ReachedEnd: end, SentAt: sent})
			}
		})
	})
}

func (sim *simulation) append(vm *fakeVM, a Append) {
	member := vm.member
	answered := false
	data, err := a.Record.Encode()
	if err != nil {
		panic(err)
	}
	sim.schedule(sim.now+time.Second, func() {
		if !answered && vm.member == member {
			sim.deliver(vm, AppendLost{a.Record.ID})
		}
	})
	sim.transmit(func() {
		if sim.log.down || vm.logDisconnected || vm.disconnected {
			return
		}
		record, err := DecodeRecord(data)
		if err != nil {
			panic(err)
		}
		name := sim.streamName(vm, a.Stream)
		records := sim.log.records[a.Stream][name]
		sim.log.records[a.Stream][name] = append(records, StreamRecord{Offset: uint64(len(records) + 1), Record: record})
		if sim.random.Float64() < sim.log.loseAnswers {
			return
		}
		sim.transmit(func() {
			if vm.member == member && !vm.disconnected && !vm.logDisconnected {
				answered = true
				sim.deliver(vm, AppendDone{a.Record.ID})
			}
		})
	})
}

func (sim *simulation) sendGrant(vm *fakeVM, a SendGrant) {
	server := sim.server(a.Server.Name)
	member := vm.member
	send := sim.transmit
	if sim.delayGrant != nil {
		if delay := sim.delayGrant(vm, a); delay > 0 {
			send = func(run func()) { sim.schedule(sim.now+delay, run) }
		}
	}
	send(func() {
		if vm.disconnected || server.disconnected || sim.blocked != nil && sim.blocked(vm, server) {
			return
		}
		if !server.up {
			if sim.signalsRefusal && vm.member == member {
				sim.deliver(vm, ServerEnded{a.Server})
			}
			return
		}
		handle := func() {
			reply := sim.handleControl(server, a)
			sim.transmit(func() {
				if vm.member == member && !vm.disconnected && !server.disconnected {
					sim.deliver(vm, reply)
				}
			})
		}
		if server.paused {
			server.queue = append(server.queue, handle)
			return
		}
		handle()
	})
}

func (sim *simulation) server(name string) *fakeServer {
	i := slices.IndexFunc(sim.servers, func(s *fakeServer) bool { return s.id.Name == name })
	return sim.servers[i]
}

// handleControl fakes the control interface of a backend server.
func (sim *simulation) handleControl(s *fakeServer, a SendGrant) GrantReplied {
	sim.expireLeases(s)
	instance := fmt.Sprint("i", s.instance)
	now := s.clock.mono(sim.now)
	reply := GrantReplied{Server: s.id, Seq: a.Seq, Instance: instance, Now: now}
	if a.Instance != "" && a.Instance != instance || a.Term < s.term {
		reply.Refused, reply.Term = true, s.term
		return reply
	}
	s.term = a.Term
	reply.Term = s.term
	if a.Instance != "" {
		sim.applyGrant(s, a, now)
	}
	for _, unit := range slices.Sorted(maps.Keys(s.held)) {
		reply.Held = append(reply.Held, HeldUnit{unit, s.held[unit].token})
	}
	return reply
}

func (sim *simulation) applyGrant(s *fakeServer, a SendGrant, now time.Duration) {
	for _, unit := range a.Revoke {
		h, held := s.held[unit]
		if !held {
			continue
		}
		h.stopping = true
		s.held[unit] = h
	}
	sim.endStopping(s)
	if a.Expires <= now {
		return
	}
	for unit, h := range s.held {
		if a.Renew {
			h.expires = max(h.expires, a.Expires)
			s.held[unit] = h
		}
	}
	for _, grant := range a.Grant {
		s.held[grant.Unit] = heldGrant{token: grant.Token, expires: a.Expires, lastRun: s.held[grant.Unit].lastRun}
		sim.recordOwnerEvent("grant", grant.Unit, s)
	}
}

// endStopping gives up the revoked units whose last request has ended.
func (sim *simulation) endStopping(s *fakeServer) {
	for unit, h := range s.held {
		if h.stopping && (h.lastRun == 0 || sim.now >= h.lastRun+sim.requestDuration) {
			delete(s.held, unit)
			sim.recordOwnerEvent("revoke", unit, s)
		}
	}
}

func (sim *simulation) recordOwnerEvent(kind string, unit keyspace.Unit, s *fakeServer) {
	sim.events = append(sim.events, ownerEvent{time: sim.now, kind: kind, unit: unit, server: s.id.Name, runEndsAt: sim.now + sim.requestDuration})
}

// expireLeases gives up the units whose lease has expired.
func (sim *simulation) expireLeases(s *fakeServer) {
	if !s.paused {
		sim.endStopping(s)
	}
	now := s.clock.mono(sim.now)
	for unit, h := range s.held {
		if h.expires <= now {
			delete(s.held, unit)
			sim.recordOwnerEvent("expire", unit, s)
		}
	}
}

func (sim *simulation) killServer(s *fakeServer) {
	for unit := range s.held {
		sim.recordOwnerEvent("expire", unit, s)
	}
	s.held = make(map[keyspace.Unit]heldGrant)
	s.up = false
	s.queue = nil
}

func (sim *simulation) restartServer(s *fakeServer) {
	sim.killServer(s)
	s.up, s.paused = true, false
	s.instance++
	s.term = 0
	s.clock = sim.newClock()
}

func (sim *simulation) resumeServer(s *fakeServer) {
	s.paused = false
	queue := s.queue
	s.queue = nil
	for _, handle := range queue {
		handle()
	}
}

func (sim *simulation) resumeVM(vm *fakeVM) {
	vm.paused, vm.suspended, vm.dropsWhilePaused = false, false, false
	inbox := vm.inbox
	vm.inbox = nil
	for _, event := range inbox {
		sim.deliver(vm, event)
	}
}

// stopUnits fakes the gate's side of a StopUnits action; requests end within
// requestDuration.
func (sim *simulation) stopUnits(vm *fakeVM, a StopUnits) {
	gate := sim.vm(a.VM.VM)
	sim.transmit(func() {
		unreachable := vm.disconnected || gate.disconnected || vm.peersDisconnected || gate.peersDisconnected
		if unreachable || !gate.up || gate.paused || gate.member != a.VM {
			return
		}
		blocked := gate.blockedAtVersion[a.Server]
		if blocked == nil {
			blocked = make(map[keyspace.Unit]uint64)
			gate.blockedAtVersion[a.Server] = blocked
		}
		published, _ := gate.table.Domain(gate.domain)
		for _, unit := range a.Units {
			blocked[unit] = published.Version
		}
		sim.schedule(max(sim.now, gate.lastGateRequest[a.Server]+sim.requestDuration), func() {
			sim.transmit(func() {
				if !vm.disconnected && !gate.disconnected {
					sim.deliver(vm, UnitsStopped(a))
				}
			})
		})
	})
}

// run advances the simulation until the given time. In each step every VM gets a tick;
// in every requestEvery-th step each VM sends a request for every slice and key.
func (sim *simulation) run(until time.Duration) {
	for sim.now < until {
		end := sim.now + simulationStep
		for len(sim.queue) > 0 && sim.queue[0].dueAt <= end {
			next := heap.Pop(&sim.queue).(delivery)
			sim.now = max(sim.now, next.dueAt)
			next.run()
		}
		sim.now = end
		for _, vm := range sim.vms {
			if vm.suspended {
				vm.clock.stopped += simulationStep
			}
			if vm.up && !vm.paused && !vm.stopped {
				sim.deliver(vm, Tick{})
			}
		}
		for _, s := range sim.servers {
			sim.expireLeases(s)
		}
		sim.steps++
		if sim.steps%sim.requestEvery == 0 {
			sim.requests()
		}
	}
}

// requests sends a request for every slice and for each of sim.keys through every VM,
// and measures the longest time for which a slice was not served.
func (sim *simulation) requests() {
	for slice := range keyspace.Unit(simulationSlices) {
		key := fmt.Sprint("slice", slice)
		served := false
		for _, vm := range sim.vms {
			if vm.up && !vm.paused && !vm.stopped && sim.request(vm, slice) {
				served = true
			}
		}
		last, seen := sim.lastServedAt[key]
		if served || !seen || !sim.measuring {
			if seen && sim.measuring {
				sim.longestGap = max(sim.longestGap, sim.now-last-simulationStep)
			}
			sim.lastServedAt[key] = sim.now
		}
	}
	for _, key := range sim.keys {
		for _, vm := range sim.vms {
			sim.requestKey(vm, key)
		}
	}
	if sim.measuring {
		for _, last := range sim.lastServedAt {
			sim.longestGap = max(sim.longestGap, sim.now-last)
		}
	}
}

// request sends a request for the slice to the owner in the VM's table and reports
// whether it ran.
func (sim *simulation) request(vm *fakeVM, slice keyspace.Unit) bool {
	homeName, found := vm.table.SliceDomain("s", slice)
	if !found {
		return false
	}
	published, _ := vm.table.Domain(homeName)
	owner, found := published.Services["s"].Units[slice]
	if !found {
		return false
	}
	s := sim.server(owner.Server)
	if !s.up || s.paused || s.disconnected || vm.disconnected {
		return false
	}
	if !s.checksGrants {
		return sim.requestThroughGate(vm, s, slice)
	}
	held, ok := s.held[slice]
	if !ok || held.stopping || held.token != owner.Token {
		return false
	}
	held.lastRun = sim.now
	s.held[slice] = held
	sim.recordOwnerEvent("run", slice, s)
	return true
}

// requestKey sends a request for the key as a router does. It records the run under an
// identifier of the key, so that runs of one key are compared whether it was sent
// under its slice or as a hot key.
func (sim *simulation) requestKey(vm *fakeVM, key string) {
	route := vm.table.Lookup("s", key)
	if route.Status != Owned {
		return
	}
	s := sim.server(route.Server)
	held, ok := s.held[route.Unit]
	if !s.up || s.paused || !ok || held.stopping || held.token != route.Token {
		return
	}
	held.lastRun = sim.now
	s.held[route.Unit] = held
	hash := keyspace.Unit(keyspace.HashKey("s", key))
	sim.events = append(sim.events, ownerEvent{time: sim.now, kind: "gate-run", unit: hash, server: s.id.Name, runEndsAt: sim.now + sim.requestDuration})
}

// requestThroughGate sends a request through the gate, which checks its own table and
// role lease, and reports whether it ran.
func (sim *simulation) requestThroughGate(vm *fakeVM, s *fakeServer, slice keyspace.Unit) bool {
	role := Role{Kind: RoleGate, Service: "s", Name: s.id.Name}
	name, _ := vm.table.RoleVM(vm.domain, role)
	if name == "" {
		return false
	}
	gate := sim.vm(name)
	if !gate.up || gate.paused || gate.disconnected || !gate.lease.Valid(sim.instant(gate)) || !slices.Contains(gate.lease.Roles, role) {
		return false
	}
	published, _ := gate.table.Domain(gate.domain)
	if published.olderThan(DomainMap{Term: gate.lease.Term, Version: gate.lease.MapVersion}) {
		return false
	}
	if version, blocked := gate.blockedAtVersion[s.id][slice]; blocked && published.Version <= version {
		return false
	}
	owner := published.Services["s"].Units[slice]
	if owner.Server != s.id.Name {
		return false
	}
	gate.lastGateRequest[s.id] = sim.now
	sim.events = append(sim.events, ownerEvent{time: sim.now, kind: "gate-run", unit: slice, server: s.id.Name, runEndsAt: sim.now + sim.requestDuration})
	return true
}

// deciderOf returns the VM of the failure domain that is the decider with authority,
// if there is one.
func (sim *simulation) deciderOf(domain string) *fakeVM {
	for _, vm := range sim.vms {
		if vm.domain == domain && vm.up && vm.decider.IsDecider() && vm.decider.authority() != noAuthority {
			return vm
		}
	}
	return nil
}
