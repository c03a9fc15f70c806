package keylease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"fireflyfield/internal/keyrange"
)

// modelServer is a simulated backend server.
type modelServer struct {
	id      string
	address string
	started int64
	up      bool
	listed  bool
	usable  bool
	// listedStart is the start time in the catalogue entry. It is replaced at newEntryAt if it
	// is not that of the running process.
	listedStart int64
	newEntryAt  time.Duration
	// leases are the key range leases in force, and working the parts of released ones on which
	// requests still run, until the requests or the lease end.
	leases, working []heldLease
	// seen is the highest fencing token seen for each part of the key space.
	seen [keyrange.Parts]int64
}

// heldLease is a key range lease of a modelServer.
type heldLease struct {
	r     keyrange.Range
	fence int64
	until time.Duration
}

// model runs cores against simulated backend servers that crash, restart, lose
// responses and apply grants late. It checks that no two of them hold a key at the same
// time.
type model struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	servers []*modelServer
	// nextNumber is the last number used for a server, an address or a start time.
	nextNumber int
	restores   bool // whether the shared log is restored from older copies
	// scripted is set if the test injects all faults: no call is lost, and each record accepted.
	scripted bool
	// loseAnswers makes scripted grants fail although they take effect.
	loseAnswers bool
	// record is the newest state that the shared log has, era its era, and history the
	// states that it accepted, the newest last.
	record  *keyrange.Assignment
	era     int64
	history []acceptedRecord
	// catalogues are the contents of the catalogue over time, the newest last.
	catalogues []catalogue
	holder     *modelHolder
	// predecessors have lost the lease; they run until it expires.
	predecessors []*modelHolder
	sessions     map[sessionKey]*modelSession
	pending      []pendingCall
	events       []string
	fences       [keyrange.Parts]int64  // highest token with which a server held a part
	owners       [keyrange.Parts]string // process that held a part last
	lastChecked  []leaseSnapshot        // at the last step
}

// acceptedRecord is a state that the shared log accepted at a time.
type acceptedRecord struct {
	state *keyrange.Assignment
	at    time.Duration
}

// sessionKey identifies the session of a core with a target, and modelSession is the connection
// to a process over which grants were accepted.
type sessionKey struct {
	core   *Core
	target Target
}

type modelSession struct {
	started int64
	fences  map[int64]bool
}

// maxCopyAge is the age of the oldest copy from which the shared log is restored.
const maxCopyAge = 10 * time.Second

// catalogue is what the catalogue contains from a time on.
type catalogue struct {
	from    time.Duration
	servers []Server
}

// modelHolder is a VM that holds the assignment lease, or has held it until a while ago.
type modelHolder struct {
	core *Core
	// lag is the age of its copy of the catalogue.
	lag time.Duration
	// cutAt is when it was cut off from the shared log, so that it writes and learns nothing
	// more; 0 if it is not.
	cutAt time.Duration
	// renewedAt is when the log last accepted a record of it. It sends calls until
	// AssignmentLeaseDuration later.
	renewedAt time.Duration
	// unreachable is a server that its calls do not reach; nil for none.
	unreachable *modelServer
	// ungranted is a server that gets its grants too late; nil for none.
	ungranted *modelServer
}

// maxCatalogueLag bounds how long a change of the catalogue takes to reach a VM.
const maxCatalogueLag = 2 * time.Second

// pendingCall is a call in flight between a core and a modelServer.
type pendingCall struct {
	core       *Core
	call       Call
	arrivesAt  time.Duration // when the server receives the call
	appliesAt  time.Duration // when it takes effect
	answeredAt time.Duration // when the caller learns the result, or gives up if lost is set
	lost       bool
	applied    bool
	answered   bool // the caller has the result
	err        error
	// to is the process that receives the call, and toStarted the start of the process that the
	// call is sent to: the one at the address, or that of the session of a grant.
	to        *modelServer
	toStarted int64
	session   *modelSession
}

const modelStep = 20 * time.Millisecond

// modelSeeds is the number of models that each test runs, each with its own seed.
var modelSeeds = flag.Uint64("seeds", 20, "number of seeds of each random model; at most 2 with -short")

// seeds returns the number of models that each test runs.
func seeds() uint64 {
	if testing.Short() {
		return min(*modelSeeds, 2)
	}
	return *modelSeeds
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, random: rand.New(rand.NewPCG(seed, 1)), sessions: make(map[sessionKey]*modelSession)}
	for range 5 {
		m.addServer()
	}
	m.holder = &modelHolder{core: NewCore("vm-0", nil, 0, 0, Predecessor{Resigned: true})}
	return m
}

func (m *model) addServer() *modelServer {
	m.nextNumber++
	s := &modelServer{id: fmt.Sprintf("w%d", m.nextNumber), address: fmt.Sprintf("a%d", m.nextNumber), started: int64(m.nextNumber), up: true, listed: true, usable: true}
	s.listedStart = s.started
	m.servers = append(m.servers, s)
	return s
}

// updateCatalogue stores the present contents of the catalogue if they have changed.
func (m *model) updateCatalogue() {
	var servers []Server
	for _, s := range m.servers {
		if s.up && s.listedStart != s.started && m.now >= s.newEntryAt {
			s.listed, s.listedStart = true, s.started
		}
		if s.listed {
			servers = append(servers, Server{ID: s.id, Address: s.address, Started: s.listedStart, Usable: s.usable, Capacity: 4})
		}
	}
	if n := len(m.catalogues); n == 0 || !slices.Equal(m.catalogues[n-1].servers, servers) {
		m.catalogues = append(m.catalogues, catalogue{m.now, servers})
	}
}

// input returns the input of a VM, whose copy of the catalogue may be old.
func (m *model) input(h *modelHolder) Input {
	at := m.now - h.lag
	if h.cutAt > 0 {
		at = min(at, h.cutAt)
	}
	in := Input{Servers: map[string][]Server{"keyed": nil}}
	for _, c := range m.catalogues {
		if c.from <= at {
			in.Servers["keyed"] = c.servers
		}
	}
	in.Weight = m.weight
	return in
}

// weight returns the load of 40 busy parts, which are others every 7 s, so that ranges move.
func (m *model) weight(string) *keyrange.Weight {
	weight := new(keyrange.Weight)
	for i := range 40 {
		weight[(i+int(m.now/(7*time.Second))*400)%keyrange.Parts] = 10
	}
	return weight
}

func (m *model) serverAt(address string) *modelServer {
	for _, s := range m.servers {
		if s.up && s.address == address {
			return s
		}
	}
	return nil
}

// step advances the model by one step.
func (m *model) step() {
	m.now += modelStep
	m.injectFault()
	m.advance()
	m.check()
}

// advance does what is due at the present time.
func (m *model) advance() {
	m.updateCatalogue()
	m.deliver()
	m.expire()
	if h := m.holder; h.cutAt > 0 && m.now >= h.renewedAt+ClaimAfter {
		m.changeHolder()
	}
	for _, h := range m.predecessors {
		m.run(h)
	}
	m.run(m.holder)
}

// run steps a VM that holds the assignment lease or has not noticed that it lost it.
func (m *model) run(h *modelHolder) {
	if m.now >= h.renewedAt+AssignmentLeaseDuration {
		return
	}
	for _, call := range h.core.Step(m.now, m.input(h)) {
		if m.now > sendBy(&call, h.renewedAt, m.now) {
			h.core.HandleResult(call, "", ErrNotSent, m.now)
			continue
		}
		m.send(h, call)
	}
	if h.cutAt == 0 && (m.scripted || m.random.Float64() < 0.8) {
		h.renewedAt = m.now
		m.record = h.core.State().Clone()
		h.core.SetAccepted(h.core.Version())
		m.history = append(m.history, acceptedRecord{m.record, m.now})
	}
}

func (m *model) send(h *modelHolder, call Call) {
	to := m.serverAt(call.Target.Address)
	if to == h.unreachable {
		to = nil
	}
	p := pendingCall{core: h.core, call: call, to: to, arrivesAt: m.now, appliesAt: m.now + modelStep, answeredAt: m.now + 2*modelStep}
	if to != nil {
		p.toStarted = to.started
	}
	if call.Kind == CallGrant && !m.useSession(&p) {
		h.core.HandleResult(call, "", ErrSessionLost, m.now)
		return
	}
	if !m.scripted && m.random.Float64() < 0.1 {
		p.lost = true
		p.answeredAt = m.now + 600*time.Millisecond
		if m.random.Float64() < 0.7 {
			p.appliesAt = m.now + time.Duration(m.random.Int64N(int64(8*time.Second)))
		}
	}
	if m.loseAnswers || call.Kind == CallGrant && to != nil && to == h.ungranted {
		p.lost = true
		p.answeredAt = m.now + grantTimeout
	}
	if call.Kind == CallGrant && to != nil && to == h.ungranted {
		p.appliesAt = m.now + 2*RangeLeaseDuration
	}
	m.pending = append(m.pending, p)
}

// useSession sends a grant over the session of its target, or opens one. It returns false for a
// renewal of a grant that was not accepted on the session.
func (m *model) useSession(p *pendingCall) bool {
	key := sessionKey{p.core, p.call.Target}
	s := m.sessions[key]
	if p.call.Grant.Renewal && (s == nil || !s.fences[p.call.Grant.Fence]) {
		return false
	}
	switch {
	case p.to == nil:
	case s == nil:
		s = &modelSession{started: p.toStarted, fences: make(map[int64]bool)}
		m.sessions[key] = s
	default:
		p.toStarted = s.started
	}
	p.session = s
	return true
}

// closeSession closes the session of a grant after a failure.
func (m *model) closeSession(p *pendingCall) {
	key := sessionKey{p.core, p.call.Target}
	if m.sessions[key] == p.session {
		delete(m.sessions, key)
	}
}

func (m *model) deliver() {
	for i := range m.pending {
		p := &m.pending[i]
		if !p.applied && m.now >= p.appliesAt {
			p.applied = true
			p.err = m.apply(p)
		}
		if m.now >= p.answeredAt && !p.answered {
			err := p.err
			if p.lost {
				err = fmt.Errorf("the response is lost")
			}
			if err != nil {
				m.closeSession(p)
			} else if p.session != nil {
				p.session.fences[p.call.Grant.Fence] = true
			}
			p.core.HandleResult(p.call, "", err, m.now)
			p.answered = true
		}
	}
	m.pending = slices.DeleteFunc(m.pending, func(p pendingCall) bool { return p.applied && p.answered })
}

func (m *model) logf(format string, args ...any) {
	m.events = append(m.events, fmt.Sprintf("%8s ", m.now)+fmt.Sprintf(format, args...))
}

// lastEvents returns the last events.
func (m *model) lastEvents() string {
	return strings.Join(m.events[max(0, len(m.events)-100):], "\n")
}

// apply executes a call at its server.
func (m *model) apply(p *pendingCall) error {
	s := p.to
	if s != nil {
		m.logf("%s up=%v gets call %d %s fence %d renewal %v, lost %v, sent %s", s.id, s.up, p.call.Kind, p.call.Grant.Range, p.call.Grant.Fence, p.call.Grant.Renewal, p.lost, p.arrivesAt)
	}
	switch {
	case s == nil:
		return ErrNotSent
	case !s.up || s.started != p.toStarted:
		return fmt.Errorf("the process has ended")
	case s.id != p.call.Target.Backend:
		return ErrOtherInstance
	}
	g := p.call.Grant
	if p.call.Kind == CallRelease {
		p.delayAnswer(s.workUntil(g.Range, m.now, m.workTime()))
		s.release(g.Range)
		return nil
	}
	for part := g.Range.First / keyrange.PartSize; part <= g.Range.Last/keyrange.PartSize; part++ {
		if s.seen[part] > g.Fence {
			return ErrFenced
		}
	}
	until := p.arrivesAt + g.Hold + g.Hold/50
	if until <= m.now {
		return nil
	}
	s.release(g.Range)
	s.leases = append(s.leases, heldLease{g.Range, g.Fence, until})
	for part := g.Range.First / keyrange.PartSize; part <= g.Range.Last/keyrange.PartSize; part++ {
		s.seen[part] = max(s.seen[part], g.Fence)
	}
	return nil
}

// workTime returns how long requests run on a range that is released now.
func (m *model) workTime() time.Duration {
	if m.scripted || m.random.IntN(5) > 0 {
		return 0
	}
	return time.Duration(m.random.Int64N(int64(4 * time.Second)))
}

// workUntil notes that requests run on the held part of a range for some time, and returns
// when the last request on the range ends.
func (s *modelServer) workUntil(r keyrange.Range, now, workTime time.Duration) time.Duration {
	until := now
	if workTime > 0 {
		for _, h := range s.leases {
			if h.r.Last >= r.First && h.r.First <= r.Last {
				held := keyrange.Range{First: max(r.First, h.r.First), Last: min(r.Last, h.r.Last)}
				s.working = append(s.working, heldLease{held, h.fence, min(now+workTime, h.until)})
			}
		}
	}
	for _, w := range s.working {
		if w.r.Last >= r.First && w.r.First <= r.Last {
			until = max(until, w.until)
		}
	}
	return until
}

// delayAnswer delays the answer to a release until the given time. The caller gives up after
// releaseTimeout.
func (p *pendingCall) delayAnswer(until time.Duration) {
	if p.lost {
		return
	}
	if timeout := p.arrivesAt + releaseTimeout; until > timeout {
		until, p.lost = timeout, true
	}
	p.answeredAt = max(p.answeredAt, until)
}

// release removes a range from the server's leases.
func (s *modelServer) release(r keyrange.Range) {
	var kept []heldLease
	for _, h := range s.leases {
		if h.r.Last < r.First || h.r.First > r.Last {
			kept = append(kept, h)
			continue
		}
		if h.r.First < r.First {
			kept = append(kept, heldLease{keyrange.Range{First: h.r.First, Last: r.First - 1}, h.fence, h.until})
		}
		if h.r.Last > r.Last {
			kept = append(kept, heldLease{keyrange.Range{First: r.Last + 1, Last: h.r.Last}, h.fence, h.until})
		}
	}
	s.leases = kept
}

func (m *model) expire() {
	for _, s := range m.servers {
		ended := func(h heldLease) bool { return m.now >= h.until }
		s.leases, s.working = slices.DeleteFunc(s.leases, ended), slices.DeleteFunc(s.working, ended)
	}
}

// injectFault brings about a fault of a server, or changes the lease holder.
func (m *model) injectFault() {
	if m.scripted {
		return
	}
	s := m.servers[m.random.IntN(len(m.servers))]
	fault := m.random.IntN(400)
	if fault < 9 {
		m.logf("fault %d at %s/%d", fault, s.id, s.started)
	}
	switch fault {
	case 6:
		m.cutHolder()
	case 7:
		if m.restores {
			m.restoreLog()
		}
	default:
		m.faultServer(s, fault)
	}
}

// faultServer crashes, restarts, drains, unlists or adds a server, by the number of the fault.
func (m *model) faultServer(s *modelServer, fault int) {
	switch fault {
	case 0: // crash; the catalogue entry expires later
		s.end()
	case 1: // restart under the same ID; the new entry may come late
		if other := m.serverAt(s.address); other == nil || other == s {
			m.restart(s, time.Duration(m.random.Int64N(int64(4*time.Second))))
		}
	case 2: // the catalogue entry expires, the server may still run
		s.listed = false
	case 3:
		s.listed = s.up && s.listedStart == s.started
	case 4:
		s.usable = !s.usable
	case 5:
		if len(m.servers) < 9 {
			free := m.serverAt(s.address) == nil
			added := m.addServer()
			if free { // reuse the address of the ended process
				added.address = s.address
				s.listed = false
			}
		}
	case 8: // an entry of the process before arrives late
		if s.up && s.listed && s.listedStart == s.started && s.started > int64(len(m.servers)) {
			s.listedStart, s.newEntryAt = s.started-1, m.now+time.Second
		}
	}
}

// end ends the process of a server.
func (s *modelServer) end() { s.up, s.leases, s.working = false, nil, nil }

// restart ends the process of a server, if it runs, and starts another one under the same ID
// and address. The catalogue gets its entry after a delay.
func (m *model) restart(s *modelServer, entryAfter time.Duration) {
	s.end()
	m.nextNumber++
	s.up, s.seen, s.started = true, [keyrange.Parts]int64{}, int64(m.nextNumber)
	s.newEntryAt = m.now + entryAfter
}

// cutHolder cuts the lease holder off from the shared log. Another VM takes over when the
// holder has been silent for ClaimAfter.
func (m *model) cutHolder() {
	if m.holder.cutAt == 0 && m.record != nil {
		m.logf("the lease holder is cut off from the log")
		m.holder.cutAt = m.now
	}
}

// restoreLog takes the shared log back to an older copy. Then either the lease holder
// records its state again, or a VM that knows nothing newer than the copy takes over.
func (m *model) restoreLog() {
	oldest := m.now - time.Duration(m.random.Int64N(int64(maxCopyAge)))
	m.history = slices.DeleteFunc(m.history, func(r acceptedRecord) bool { return r.at > oldest })
	if len(m.history) == 0 {
		return
	}
	m.record = m.history[len(m.history)-1].state
	m.era++
	m.logf("the log is restored to %s", m.history[len(m.history)-1].at)
	if m.holder.cutAt == 0 && m.random.IntN(2) == 0 {
		m.holder.core.Restored(m.era)
		return
	}
	m.changeHolder()
}

// changeHolder gives the assignment lease to another VM; the old one runs until its own
// lease expires.
func (m *model) changeHolder() {
	m.logf("the lease holder changes")
	if m.record == nil {
		return
	}
	if m.holder.cutAt == 0 {
		m.holder.cutAt = m.now
	}
	m.replaceHolder(Predecessor{CallsUntil: m.holder.renewedAt + AssignmentLeaseDuration + grantTimeout})
}

// replaceHolder gives the assignment lease to a VM that knows p of the present holder.
func (m *model) replaceHolder(p Predecessor) {
	m.predecessors = append(m.predecessors, m.holder)
	p.CallsUntil = max(p.CallsUntil, m.now+m.holder.core.EarlierCalls(m.now)) // as its record states
	core := NewCore("vm", m.record.Clone(), m.era, m.now, p)
	m.record = core.State().Clone()
	m.history = append(m.history, acceptedRecord{m.record, m.now})
	m.holder = &modelHolder{
		core: core, renewedAt: m.now,
		lag: time.Duration(m.random.Int64N(int64(maxCatalogueLag))),
	}
}

// leaseSnapshot is a key range lease at the time of a check.
type leaseSnapshot struct {
	server  string
	started int64
	r       keyrange.Range
	fence   int64
}

// check fails the test if two servers hold a key, or if a key moves to another process
// without a higher fencing token.
func (m *model) check() {
	// Leases that are the same as at the last step have been checked already.
	var leases []leaseSnapshot
	for _, s := range m.servers {
		for _, h := range s.leases {
			if s.up {
				leases = append(leases, leaseSnapshot{server: s.id, started: s.started, r: h.r, fence: h.fence})
			}
		}
	}
	if slices.Equal(leases, m.lastChecked) {
		return
	}
	m.lastChecked = leases
	var holder [keyrange.Parts]string
	for _, s := range m.servers {
		if !s.up {
			continue
		}
		process := fmt.Sprint(s.id, "/", s.started)
		for _, h := range s.leases {
			for part := h.r.First / keyrange.PartSize; part <= h.r.Last/keyrange.PartSize; part++ {
				if holder[part] != "" {
					m.t.Fatalf("at %s part %d is held by %s and %s\n%s", m.now, part, holder[part], s.id, m.lastEvents())
				}
				if worker := m.workerOn(part, s); worker != "" {
					m.t.Fatalf("at %s part %d is held by %s while %s still works on it\n%s", m.now, part, s.id, worker, m.lastEvents())
				}
				holder[part] = s.id
				if m.owners[part] != process && m.owners[part] != "" && h.fence <= m.fences[part] {
					m.t.Fatalf("at %s part %d went to %s with token %d, although %s held it with token %d\n%s", m.now, part, process, h.fence, m.owners[part], m.fences[part], m.lastEvents())
				}
				m.owners[part], m.fences[part] = process, max(m.fences[part], h.fence)
			}
		}
	}
}

// workerOn returns the ID of a server other than s that still works on requests for a part that
// it has released; empty if there is none.
func (m *model) workerOn(part int, s *modelServer) string {
	for _, other := range m.servers {
		for _, w := range other.working {
			if other != s && w.r.First/keyrange.PartSize <= part && part <= w.r.Last/keyrange.PartSize {
				return other.id
			}
		}
	}
	return ""
}

// TestExclusiveOwnership guards against two backend servers that hold a key at the same
// time, or one that gets a key on which another still works, under lost and delayed calls,
// slow requests, crashes, restarts, old copies of the catalogue and changes of the lease holder.
func TestExclusiveOwnership(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			m := newModel(t, seed)
			for m.now < 60*time.Second {
				m.step()
			}
		})
	}
}

// TestExclusiveOwnershipAfterRestore guards against two backend servers that hold a key at
// the same time, and against fencing tokens that fall, when the shared log is restored from
// a copy that lacks the newest grants, at any instant of a handover.
func TestExclusiveOwnershipAfterRestore(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			m := newModel(t, seed)
			for m.now < 60*time.Second {
				m.restores = m.now > 5*time.Second
				m.step()
				if m.restores && m.random.IntN(100) == 0 {
					m.restoreLog()
				}
			}
		})
	}
}

// TestAllKeysGetOwners guards against keys that stay without an owner although usable
// backend servers exist.
func TestAllKeysGetOwners(t *testing.T) {
	m := newModel(t, 7)
	for m.now < 30*time.Second {
		m.step()
	}
	for _, s := range m.servers {
		s.up, s.listed, s.usable = true, true, true
	}
	for end := m.now + 15*time.Second; m.now < end; {
		m.now += modelStep
		m.advance()
	}
	if held := m.heldKeys(); held < (keyrange.MaxKey+1)*9/10 {
		t.Fatalf("%d of %d keys have an owner 15 s after the last fault", held, keyrange.MaxKey+1)
	}
}

// heldKeys returns the number of keys that servers hold.
func (m *model) heldKeys() int {
	held := 0
	for _, s := range m.servers {
		for _, h := range s.leases {
			held += h.r.Size()
		}
	}
	return held
}

// TestExclusiveOwnershipInTakeovers guards against the same, and against a process that gets a lower
// token than the one before it, if the lease holder changes several times within a second: a holder is
// cut off from the log and goes on, and the processes of its successor end and start again.
func TestExclusiveOwnershipInTakeovers(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			m := newModel(t, seed)
			for m.now < 60*time.Second {
				before := m.holder
				m.step()
				if m.random.IntN(200) == 0 {
					m.cutHolder()
				}
				if m.holder != before {
					m.restartHolder()
				}
			}
		})
	}
}

// restartHolder restarts the process of the lease holder up to four times, at intervals below 300 ms.
// Each takes the lease at once, with a copy of the catalogue and paths of its own.
func (m *model) restartHolder() {
	for range m.random.IntN(5) {
		for range m.random.IntN(15) {
			m.step()
		}
		m.logf("the process of the lease holder starts again")
		m.holder.cutAt, m.holder.renewedAt = m.now, m.now-AssignmentLeaseDuration // it sends nothing more
		m.replaceHolder(Predecessor{CallsUntil: m.now + grantTimeout})
		s := m.servers[m.random.IntN(len(m.servers))]
		switch m.random.IntN(4) {
		case 0:
			m.holder.unreachable = s
		case 1:
			m.holder.ungranted = s
		case 2:
			m.faultServer(s, 1)
		}
		if m.random.IntN(2) == 0 {
			m.servers[m.random.IntN(len(m.servers))].usable = false
		}
	}
}
