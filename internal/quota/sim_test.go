package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

var simStart = time.Unix(1_700_000_000, 0)

// event is a function to run at a simulated time; seq orders events of the same time.
type event struct {
	due time.Duration
	seq int
	run func()
}

// eventHeap orders events by time; it implements heap.Interface.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].due < e[j].due || (e[i].due == e[j].due && e[i].seq < e[j].seq)
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// counters counts the decisions of one workspace: granted, refused, wrongfully refused
// (the audit still had a token) and granted in violation of the limit. ideal is the
// audit of a single bucket that sees every request at once, idealGranted its grants.
type counters struct {
	audit                                  *Audit
	granted, refused, wrongful, violations int
	ideal                                  *Audit
	idealGranted                           int
}

// simVM is one VM with its holder and its own clock, which starts at clockOffset and
// runs at clockRate times the simulated time.
type simVM struct {
	name, domain string
	instance     uint64
	holder       *Holder
	clockOffset  time.Duration
	clockRate    float64
	pausedUntil  time.Duration
	lost         bool
	nextPoll     time.Duration
	waiting      []simWait
	partitioned  bool
}

// simWait is a request that waits for its decision.
type simWait struct {
	workspace string
	result    <-chan Decision
}

// keeperProcess is a keeper and the VM that runs it.
type keeperProcess struct {
	keeper   *Keeper
	host     *simVM
	nextPoll time.Duration
}

// simKeeper is a keeper role with its current process and the one before it. A revoked
// role isn't renewed any more, so that its lease expires.
type simKeeper struct {
	workspace, domain string
	*keeperProcess
	predecessor *keeperProcess
	term        uint64
	limit       Limit
	lastRenewed time.Duration
	revoked     bool
}

// sim runs holders and keepers on a simulated network with seeded faults. If
// fixedBuckets is set, it runs the baseline that splits the limit evenly among VMs.
type sim struct {
	rng           *rand.Rand
	now           time.Duration
	queue         eventHeap
	nextSeq       int
	domains       []string
	vms           []*simVM
	keepers       map[string]*simKeeper
	counters      map[string]*counters
	policy        Policy
	fixedBuckets  map[string]*bucket
	lossRate      float64
	duplicateRate float64
	messages      int
}

func newSim(seed uint64, policy Policy, limits map[string]Limit, perDomain []int, drift float64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), policy: policy,
		keepers: map[string]*simKeeper{}, counters: map[string]*counters{},
	}
	for i, count := range perDomain {
		domain := fmt.Sprintf("d%d", i)
		s.domains = append(s.domains, domain)
		for j := range count {
			vm := &simVM{name: fmt.Sprintf("%s-%d", domain, j), domain: domain}
			vm.clockOffset = time.Duration(s.rng.Int64N(int64(time.Hour)))
			vm.clockRate = 1 + drift*(2*s.rng.Float64()-1)
			s.vms = append(s.vms, vm)
			s.startHolder(vm)
		}
	}
	for w := range len(limits) {
		name := fmt.Sprintf("w%d", w)
		start := simStart
		s.counters[name] = &counters{audit: NewAudit(limits[name], start), ideal: NewAudit(limits[name], start)}
		for _, domain := range s.domains {
			s.keepers[name+"/"+domain] = &simKeeper{
				workspace: name, domain: domain, limit: Split(limits[name], name, domain, s.domains),
			}
			s.startKeeper(name, domain, s.vmsInDomain(domain)[0])
			s.renewOrReplace(s.keepers[name+"/"+domain])
		}
	}
	return s
}

const (
	simLeaseDuration = 700 * time.Millisecond
	simRenewInterval = 200 * time.Millisecond
)

// renewOrReplace acts as the decider for one role: it renews the lease while the host
// is reachable, and starts another keeper once the lease and a margin have expired.
func (s *sim) renewOrReplace(k *simKeeper) {
	host := k.host
	reachable := !host.lost && s.now >= host.pausedUntil && !host.partitioned
	switch {
	case reachable && !k.revoked:
		k.lastRenewed = s.now
		k.keeper.SetLease(s.clock(host).Add(simLeaseDuration))
	case s.now-k.lastRenewed > simLeaseDuration+ClockMargin:
		if next := s.healthyVM(k.domain); next != nil {
			s.startKeeper(k.workspace, k.domain, next)
		}
	}
	s.schedule(s.now+simRenewInterval, func() { s.renewOrReplace(k) })
}

// healthyVM returns a random reachable VM of the domain, or nil.
func (s *sim) healthyVM(domain string) *simVM {
	list := s.vmsInDomain(domain)
	for _, i := range s.rng.Perm(len(list)) {
		if vm := list[i]; !vm.lost && !vm.partitioned && s.now >= vm.pausedUntil {
			return vm
		}
	}
	return nil
}

// startHolder starts a holder process with a new instance on the VM.
func (s *sim) startHolder(vm *simVM) {
	vm.instance++
	vm.holder = NewHolder(vm.name, vm.domain, vm.instance, s.policy)
	vm.waiting = nil
}

func (s *sim) vmsInDomain(domain string) []*simVM {
	var list []*simVM
	for _, vm := range s.vms {
		if vm.domain == domain {
			list = append(list, vm)
		}
	}
	return list
}

// startKeeper starts the keeper of the next term on the host. The previous process
// keeps running.
func (s *sim) startKeeper(workspace, domain string, host *simVM) {
	k := s.keepers[workspace+"/"+domain]
	k.term++
	k.predecessor = k.keeperProcess
	k.lastRenewed = s.now
	k.revoked = false
	config := KeeperConfig{
		Workspace: workspace, Domain: domain, Term: k.term, Instance: k.term, Limit: k.limit,
		LeaseUntil: s.clock(host).Add(simLeaseDuration), Policy: s.policy,
	}
	for _, vm := range s.vmsInDomain(domain) {
		config.VMs = append(config.VMs, vm.name)
	}
	for _, other := range s.domains {
		if other != domain {
			config.Domains = append(config.Domains, other)
		}
	}
	started := &keeperProcess{keeper: NewKeeper(config, s.clock(host)), host: host}
	k.keeperProcess = started
	s.scheduleOn(host, s.now, func() { s.pollKeeper(started) })
}

// clock returns the time on the VM's own clock.
func (s *sim) clock(vm *simVM) time.Time {
	return simStart.Add(vm.clockOffset + time.Duration(float64(s.now)*vm.clockRate))
}

// schedule runs a function at a simulated time.
func (s *sim) schedule(due time.Duration, run func()) {
	s.nextSeq++
	heap.Push(&s.queue, event{due, s.nextSeq, run})
}

// scheduleOn runs a function on a VM at a simulated time, or after the VM's pause if it
// is paused then. It doesn't run if the VM is lost or its process has restarted.
func (s *sim) scheduleOn(vm *simVM, due time.Duration, run func()) {
	instance := vm.instance
	s.schedule(due, func() {
		if vm.lost || vm.instance != instance {
			return
		}
		if s.now < vm.pausedUntil {
			s.scheduleOn(vm, vm.pausedUntil, run)
			return
		}
		run()
	})
}

// run runs the scheduled functions up to a simulated time.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].due <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = max(s.now, e.due)
		e.run()
	}
	s.now = until
}

// transmit sends an envelope through the network, with latency, loss and duplication.
func (s *sim) transmit(from *simVM, e Envelope) {
	s.messages++
	var workspace string
	switch {
	case e.Sync != nil:
		workspace = e.Sync.Workspace
	case e.Reply != nil:
		workspace = e.Reply.Workspace
	default:
		workspace = e.Ask.Workspace
	}
	var to *keeperProcess
	target := s.findVM(e.ToVM)
	if target == nil {
		to = s.route(workspace+"/"+e.ToDomain, e)
		target = to.host
	}
	copies := 1
	if s.rng.Float64() < s.duplicateRate {
		copies++
	}
	for range copies {
		if from.partitioned != target.partitioned && from != target || s.rng.Float64() < s.lossRate {
			continue
		}
		latency := 250 * time.Microsecond
		if from.domain != target.domain {
			latency = 1500 * time.Microsecond
		}
		latency += time.Duration(s.rng.Int64N(int64(latency)))
		s.scheduleOn(target, s.now+latency, func() { s.deliver(target, to, e) })
	}
}

// route chooses the keeper process that receives the envelope. One sync in five goes
// to the previous process, as from a VM with an outdated domain map.
func (s *sim) route(role string, e Envelope) *keeperProcess {
	k := s.keepers[role]
	if k.predecessor != nil && e.Sync != nil && s.rng.IntN(5) == 0 {
		return k.predecessor
	}
	return k.keeperProcess
}

func (s *sim) findVM(name string) *simVM {
	for _, vm := range s.vms {
		if vm.name == name {
			return vm
		}
	}
	return nil
}

// deliver hands an envelope to the holder of the VM or to a keeper process on it.
func (s *sim) deliver(target *simVM, k *keeperProcess, e Envelope) {
	now := s.clock(target)
	if e.ToVM != "" {
		if e.Reply != nil {
			target.holder.HandleReply(*e.Reply, now)
		} else {
			target.holder.HandleAsk(*e.Ask, now)
		}
		s.pollHolder(target)
		return
	}
	var out []Envelope
	switch {
	case e.Sync != nil:
		out = k.keeper.HandleSync(*e.Sync, now)
	case e.Reply != nil:
		out = k.keeper.HandleReply(*e.Reply, now)
	default:
		out = k.keeper.HandleAsk(*e.Ask, now)
	}
	s.sendAll(target, out)
	s.pollKeeper(k)
}

func (s *sim) sendAll(from *simVM, out []Envelope) {
	for _, e := range out {
		s.transmit(from, e)
	}
}

// pollKeeper polls a keeper and schedules its next poll.
func (s *sim) pollKeeper(k *keeperProcess) {
	now := s.clock(k.host)
	s.sendAll(k.host, k.keeper.Poll(now))
	wake := k.keeper.NextPoll(now)
	if wake.IsZero() {
		return
	}
	at := s.now + max(wake.Sub(now), 100*time.Microsecond)
	if k.nextPoll > s.now && k.nextPoll <= at {
		return
	}
	k.nextPoll = at
	s.scheduleOn(k.host, at, func() {
		if k.nextPoll == at {
			s.pollKeeper(k)
		}
	})
}

// pollHolder polls the VM's holder and schedules its next poll.
func (s *sim) pollHolder(vm *simVM) {
	now := s.clock(vm)
	out, wake := vm.holder.Poll(now)
	s.sendAll(vm, out)
	s.collectDecisions(vm)
	if wake.IsZero() {
		return
	}
	at := s.now + max(wake.Sub(now), 100*time.Microsecond)
	if vm.nextPoll > s.now && vm.nextPoll <= at {
		return
	}
	vm.nextPoll = at
	s.scheduleOn(vm, at, func() {
		if vm.nextPoll == at {
			s.pollHolder(vm)
		}
	})
}

// collectDecisions counts the decisions that have reached the VM's waiting requests.
func (s *sim) collectDecisions(vm *simVM) {
	kept := vm.waiting[:0]
	for _, wait := range vm.waiting {
		select {
		case d := <-wait.result:
			s.countDecision(wait.workspace, d)
		default:
			kept = append(kept, wait)
		}
	}
	vm.waiting = kept
}

// countDecision counts a decision and checks it against the workspace's audit.
func (s *sim) countDecision(workspace string, d Decision) {
	t := s.counters[workspace]
	now := simStart.Add(s.now)
	if d.Outcome == Granted {
		t.granted++
		if !t.audit.Spend(now) {
			t.violations++
		}
		return
	}
	t.refused++
	if t.audit.Level(now) >= 1 {
		t.wrongful++
	}
}

// request makes one request of the workspace on the VM.
func (s *sim) request(vm *simVM, workspace string) {
	t := s.counters[workspace]
	if t.ideal.Level(simStart.Add(s.now)) >= 1 {
		t.ideal.Spend(simStart.Add(s.now))
		t.idealGranted++
	}
	if s.fixedBuckets != nil {
		s.countDecision(workspace, s.requestFixedSplit(vm, workspace))
		return
	}
	d := vm.holder.Take(workspace, s.clock(vm))
	if d.Outcome == Waiting {
		vm.waiting = append(vm.waiting, simWait{workspace, d.Wait})
	} else {
		s.countDecision(workspace, d)
	}
	select {
	case <-vm.holder.Wake():
		s.pollHolder(vm)
	default:
	}
}

// requestFixedSplit decides a request under the baseline that gives each VM a fixed,
// equal part of the limit.
func (s *sim) requestFixedSplit(vm *simVM, workspace string) Decision {
	key := workspace + "/" + vm.name
	b := s.fixedBuckets[key]
	if b == nil {
		total := s.counters[workspace].audit.limit
		names := make([]string, len(s.vms))
		for i := range s.vms {
			names[i] = s.vms[i].name
		}
		part := Split(total, workspace, vm.name, names)
		b = &bucket{limit: part, level: float64(part.Burst), lastAccrual: simStart}
		s.fixedBuckets[key] = b
	}
	b.accrue(simStart.Add(s.now))
	if b.wholeTokens() < 1 {
		return Decision{}
	}
	b.level--
	return Decision{Outcome: Granted}
}

// addTraffic schedules Poisson arrivals of requests, in requests per second, divided
// evenly among the VMs.
func (s *sim) addTraffic(workspace string, rate float64, vms []*simVM, from, until time.Duration) {
	for _, vm := range vms {
		s.scheduleArrival(vm, workspace, rate/float64(len(vms)), from, until)
	}
}

// scheduleArrival schedules the first request after the given time; each request
// schedules the next.
func (s *sim) scheduleArrival(vm *simVM, workspace string, rate float64, after, until time.Duration) {
	next := after + time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second))
	if next >= until {
		return
	}
	s.schedule(next, func() {
		if !vm.lost && s.now >= vm.pausedUntil {
			s.request(vm, workspace)
		}
		s.scheduleArrival(vm, workspace, rate, next, until)
	})
}
