package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// tally counts the decisions of one workspace.
type tally struct {
	audit                              *Audit
	granted, refused, wrongful, broken int
	ideal                              *Audit
	idealGranted                       int
}

// simVM is one VM: holder, hosted keepers, own clock.
type simVM struct {
	name, domain string
	instance     uint64
	holder       *Holder
	offset       time.Duration
	drift        float64
	pausedUntil  time.Duration
	lost         bool
	timer        time.Duration
	waits        []simWait
	cut          bool
}

type simWait struct {
	workspace string
	result    <-chan Decision
}

// hosted is one keeper process.
type hosted struct {
	keeper *Keeper
	host   *simVM
	timer  time.Duration
}

// simKeeper is a keeper role with its current and its former process.
type simKeeper struct {
	workspace, domain string
	*hosted
	former  *hosted
	term    uint64
	limit   Limit
	renewed time.Duration
	revoked bool
}

// sim runs holders and keepers on a virtual network with seeded faults.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	queue   events
	order   int
	domains []string
	vms     []*simVM
	keepers map[string]*simKeeper
	tallies map[string]*tally
	policy  Policy
	fixed   map[string]*bucket
	loss    float64
	repeat  float64
	syncs   int
}

func newSim(seed uint64, policy Policy, limits map[string]Limit, perDomain []int, drift float64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), policy: policy,
		keepers: map[string]*simKeeper{}, tallies: map[string]*tally{},
	}
	for i, count := range perDomain {
		domain := fmt.Sprintf("d%d", i)
		s.domains = append(s.domains, domain)
		for j := range count {
			vm := &simVM{name: fmt.Sprintf("%s-%d", domain, j), domain: domain}
			vm.offset = time.Duration(s.rng.Int64N(int64(time.Hour)))
			vm.drift = 1 + drift*(2*s.rng.Float64()-1)
			s.vms = append(s.vms, vm)
			s.startHolder(vm)
		}
	}
	for w := range len(limits) {
		name := fmt.Sprintf("w%d", w)
		start := epoch
		s.tallies[name] = &tally{audit: NewAudit(limits[name], start), ideal: NewAudit(limits[name], start)}
		for _, domain := range s.domains {
			s.keepers[name+"/"+domain] = &simKeeper{
				workspace: name, domain: domain, limit: Split(limits[name], name, domain, s.domains),
			}
			s.startKeeper(name, domain, s.inDomain(domain)[0])
			s.renewLease(s.keepers[name+"/"+domain])
		}
	}
	return s
}

const (
	simLease = 700 * time.Millisecond
	simRenew = 200 * time.Millisecond
)

// renewLease plays the decider for one role: it renews while the host answers and
// starts another keeper after the lease and a margin.
func (s *sim) renewLease(k *simKeeper) {
	host := k.host
	reachable := !host.lost && s.now >= host.pausedUntil && !host.cut
	switch {
	case reachable && !k.revoked:
		k.renewed = s.now
		k.keeper.SetLease(s.clock(host).Add(simLease))
	case s.now-k.renewed > simLease+ClockMargin:
		if next := s.healthy(k.domain); next != nil {
			s.startKeeper(k.workspace, k.domain, next)
		}
	}
	s.at(s.now+simRenew, func() { s.renewLease(k) })
}

func (s *sim) healthy(domain string) *simVM {
	list := s.inDomain(domain)
	for _, i := range s.rng.Perm(len(list)) {
		if vm := list[i]; !vm.lost && !vm.cut && s.now >= vm.pausedUntil {
			return vm
		}
	}
	return nil
}

func (s *sim) startHolder(vm *simVM) {
	vm.instance++
	vm.holder = NewHolder(vm.name, vm.domain, vm.instance, s.policy)
	vm.waits = nil
}

func (s *sim) inDomain(domain string) []*simVM {
	var list []*simVM
	for _, vm := range s.vms {
		if vm.domain == domain {
			list = append(list, vm)
		}
	}
	return list
}

// startKeeper starts the next term on the host. The former process keeps running.
func (s *sim) startKeeper(workspace, domain string, host *simVM) {
	k := s.keepers[workspace+"/"+domain]
	k.term++
	k.former = k.hosted
	k.renewed = s.now
	k.revoked = false
	config := KeeperConfig{
		Workspace: workspace, Domain: domain, Term: k.term, Instance: k.term, Limit: k.limit,
		LeaseUntil: s.clock(host).Add(simLease), Policy: s.policy,
	}
	for _, vm := range s.inDomain(domain) {
		config.VMs = append(config.VMs, vm.name)
	}
	for _, other := range s.domains {
		if other != domain {
			config.Domains = append(config.Domains, other)
		}
	}
	started := &hosted{keeper: NewKeeper(config, s.clock(host)), host: host}
	k.hosted = started
	s.on(host, s.now, func() { s.pollKeeper(started) })
}

// clock is the VM's own reading.
func (s *sim) clock(vm *simVM) time.Time {
	return epoch.Add(vm.offset + time.Duration(float64(s.now)*vm.drift))
}

func (s *sim) at(at time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, event{at, s.order, run})
}

// on runs an event on a VM, after its pause if it is paused.
func (s *sim) on(vm *simVM, at time.Duration, run func()) {
	instance := vm.instance
	s.at(at, func() {
		if vm.lost || vm.instance != instance {
			return
		}
		if s.now < vm.pausedUntil {
			s.on(vm, vm.pausedUntil, run)
			return
		}
		run()
	})
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = max(s.now, e.at)
		e.run()
	}
	s.now = until
}

// transmit delivers an envelope with latency, loss and repetition.
func (s *sim) transmit(from *simVM, e Envelope) {
	s.syncs++
	var workspace string
	switch {
	case e.Sync != nil:
		workspace = e.Sync.Workspace
	case e.Reply != nil:
		workspace = e.Reply.Workspace
	default:
		workspace = e.Ask.Workspace
	}
	var to *hosted
	target := s.find(e.ToVM)
	if target == nil {
		to = s.route(workspace+"/"+e.ToDomain, e)
		target = to.host
	}
	copies := 1
	if s.rng.Float64() < s.repeat {
		copies++
	}
	for range copies {
		if from.cut != target.cut && from != target || s.rng.Float64() < s.loss {
			continue
		}
		latency := 250 * time.Microsecond
		if from.domain != target.domain {
			latency = 1500 * time.Microsecond
		}
		latency += time.Duration(s.rng.Int64N(int64(latency)))
		s.on(target, s.now+latency, func() { s.deliver(target, to, e) })
	}
}

// route picks the keeper process; one sync in five goes to the former one, as from
// a VM whose domain map is old.
func (s *sim) route(role string, e Envelope) *hosted {
	k := s.keepers[role]
	if k.former != nil && e.Sync != nil && s.rng.IntN(5) == 0 {
		return k.former
	}
	return k.hosted
}

func (s *sim) find(name string) *simVM {
	for _, vm := range s.vms {
		if vm.name == name {
			return vm
		}
	}
	return nil
}

func (s *sim) deliver(target *simVM, k *hosted, e Envelope) {
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

func (s *sim) pollKeeper(k *hosted) {
	now := s.clock(k.host)
	s.sendAll(k.host, k.keeper.Poll(now))
	wake := k.keeper.NextPoll(now)
	if wake.IsZero() {
		return
	}
	at := s.now + max(wake.Sub(now), 100*time.Microsecond)
	if k.timer > s.now && k.timer <= at {
		return
	}
	k.timer = at
	s.on(k.host, at, func() {
		if k.timer == at {
			s.pollKeeper(k)
		}
	})
}

func (s *sim) pollHolder(vm *simVM) {
	now := s.clock(vm)
	out, wake := vm.holder.Poll(now)
	s.sendAll(vm, out)
	s.drainWaits(vm)
	if wake.IsZero() {
		return
	}
	at := s.now + max(wake.Sub(now), 100*time.Microsecond)
	if vm.timer > s.now && vm.timer <= at {
		return
	}
	vm.timer = at
	s.on(vm, at, func() {
		if vm.timer == at {
			s.pollHolder(vm)
		}
	})
}

func (s *sim) drainWaits(vm *simVM) {
	kept := vm.waits[:0]
	for _, wait := range vm.waits {
		select {
		case d := <-wait.result:
			s.count(wait.workspace, d)
		default:
			kept = append(kept, wait)
		}
	}
	vm.waits = kept
}

func (s *sim) count(workspace string, d Decision) {
	t := s.tallies[workspace]
	now := epoch.Add(s.now)
	if d.Outcome == Granted {
		t.granted++
		if !t.audit.Spend(now) {
			t.broken++
		}
		return
	}
	t.refused++
	if t.audit.Level(now) >= 1 {
		t.wrongful++
	}
}

// take is one request on the VM.
func (s *sim) take(vm *simVM, workspace string) {
	t := s.tallies[workspace]
	if t.ideal.Level(epoch.Add(s.now)) >= 1 {
		t.ideal.Spend(epoch.Add(s.now))
		t.idealGranted++
	}
	if s.fixed != nil {
		s.count(workspace, s.takeFixed(vm, workspace))
		return
	}
	d := vm.holder.Take(workspace, s.clock(vm))
	if d.Outcome == Waiting {
		vm.waits = append(vm.waits, simWait{workspace, d.Wait})
	} else {
		s.count(workspace, d)
	}
	select {
	case <-vm.holder.Wake():
		s.pollHolder(vm)
	default:
	}
}

// takeFixed is the baseline that gives each VM an equal part for good.
func (s *sim) takeFixed(vm *simVM, workspace string) Decision {
	key := workspace + "/" + vm.name
	b := s.fixed[key]
	if b == nil {
		total := s.tallies[workspace].audit.limit
		names := make([]string, len(s.vms))
		for i := range s.vms {
			names[i] = s.vms[i].name
		}
		part := Split(total, workspace, vm.name, names)
		b = &bucket{limit: part, level: float64(part.Burst), last: epoch}
		s.fixed[key] = b
	}
	b.accrue(epoch.Add(s.now))
	if b.whole() < 1 {
		return Decision{}
	}
	b.level--
	return Decision{Outcome: Granted}
}

// traffic sends Poisson arrivals of the workspace to the VMs.
func (s *sim) traffic(workspace string, rate float64, vms []*simVM, from, until time.Duration) {
	for _, vm := range vms {
		s.arrival(vm, workspace, rate/float64(len(vms)), from, until)
	}
}

func (s *sim) arrival(vm *simVM, workspace string, rate float64, after, until time.Duration) {
	next := after + time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second))
	if next >= until {
		return
	}
	s.at(next, func() {
		if !vm.lost && s.now >= vm.pausedUntil {
			s.take(vm, workspace)
		}
		s.arrival(vm, workspace, rate, next, until)
	})
}
