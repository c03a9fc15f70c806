package keylease

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/keyrange"
)

// searchService is the only service of the exhaustive search.
const searchService = "keyed"

// searchSteps are the lengths of time steps. Two of the first are a little more than ClaimAfter, and
// after three of the second a VM that is cut off can still send calls. The bounds of the protocol
// fall between steps: events take no time here, so at a bound a claim and all that follows would be
// at the same instant as the last call before it.
var searchSteps = []time.Duration{870 * time.Millisecond, 990 * time.Millisecond}

// noSearchBalance is the time of the last plan to balance of a core that makes none.
const noSearchBalance = time.Duration(1 << 61)

// searchSpan is a key range with a token: a lease, a part on which requests still run, a part of the
// tokens that a backend server has seen, or a part with its last owner.
type searchSpan struct {
	r       keyrange.Range
	fence   int64
	until   time.Duration
	process int64
}

func rangesOverlap(a, b keyrange.Range) bool { return a.First <= b.Last && b.First <= a.Last }

// cutSpans returns the spans without the keys of a range.
func cutSpans(spans []searchSpan, r keyrange.Range) []searchSpan {
	var kept []searchSpan
	for _, s := range spans {
		if !rangesOverlap(s.r, r) {
			kept = append(kept, s)
			continue
		}
		inner := keyrange.Range{First: max(s.r.First, r.First), Last: min(s.r.Last, r.Last)}
		for _, part := range s.r.Cut(inner) {
			if part != inner {
				s.r = part
				kept = append(kept, s)
			}
		}
	}
	return kept
}

// coverSpans replaces what the spans say of the keys of s, and keeps them sorted.
func coverSpans(spans []searchSpan, s searchSpan) []searchSpan {
	spans = append(cutSpans(spans, s.r), s)
	slices.SortFunc(spans, func(a, b searchSpan) int { return cmp.Compare(a.r.First, b.r.First) })
	return spans
}

// searchServer is a backend server. Its process is the start time of the running process.
type searchServer struct {
	process, listed int64 // listed is the process in the catalogue
	usable          bool
	busy            bool // requests run on all its keys, until their leases end
	leases, working []searchSpan
	seen            []searchSpan
}

// searchSession is the connection of a VM to a process, over which grants were accepted.
type searchSession struct {
	id      int
	target  Target
	process int64
	fences  []int64
}

// searchVM is a VM. Its core is nil unless it holds the assignment lease, or has not noticed that
// it lost it.
type searchVM struct {
	core       *Core
	cut        bool // off the shared log
	renewedAt  time.Duration
	nextAppend time.Duration
	catalogue  [2]Server
	sessions   []searchSession
	// What its Table contains.
	current                         *keyrange.Assignment
	lastRecordAt, earlierCallsUntil time.Duration
}

// searchCall is a call that is in flight, or whose caller has given up (then open is false).
type searchCall struct {
	vm      int
	call    Call
	server  int
	process int64 // that the call is sent to
	sentAt  time.Duration
	session int
	reused  bool // the session has carried answers
	open    bool
	applied bool
	err     error
}

func (c *searchCall) timeout() time.Duration {
	if c.call.Kind == CallRelease {
		return c.sentAt + releaseTimeout
	}
	return c.sentAt + grantTimeout
}

// searchState is a state of the search: two VMs, two backend servers, the log and calls in flight.
type searchState struct {
	step       time.Duration // length of a time step
	now        time.Duration
	record     *keyrange.Assignment // the newest in the log
	vms        [2]searchVM
	servers    [2]searchServer
	calls      []searchCall
	owners     []searchSpan // process that held the keys last, with its highest token
	lastNumber int64        // of a process or session
	faults     int
	violation  string
}

func searchVMName(vm int) string { return fmt.Sprintf("vm%d", vm) }

// newSearchState returns a state in which the first VM holds the lease, and no key has an owner.
func newSearchState(step time.Duration) *searchState {
	s := &searchState{step: step, now: time.Minute, lastNumber: 2}
	for i := range s.servers {
		s.servers[i] = searchServer{process: int64(i + 1), listed: int64(i + 1), usable: true}
	}
	s.vms[0].core, s.vms[0].renewedAt = NewCore(searchVMName(0), nil, 0, s.now, Predecessor{Resigned: true}), s.now
	s.appendRecord(s.vms[0].core)
	s.readCatalogue()
	s.vms[0].core.lastBalance[searchService] = noSearchBalance
	return s
}

// clone returns a deep copy.
func (s *searchState) clone() *searchState {
	c := *s
	c.calls = slices.Clone(s.calls)
	for i := range c.vms {
		c.vms[i].sessions = slices.Clone(s.vms[i].sessions) // their fences are never changed in place
		if s.vms[i].core != nil {
			c.cloneCore(i)
		}
	}
	return &c // spans are never changed in place
}

// cloneCore replaces the core of a VM and the ranges of its calls by copies.
func (s *searchState) cloneCore(vm int) {
	core := *s.vms[vm].core
	copies := make(map[*rangeState]*rangeState, 4)
	copyOf := func(r *rangeState) *rangeState {
		if copies[r] == nil {
			c := *r
			copies[r] = &c
		}
		return copies[r]
	}
	core.ranges = make(map[string][]*rangeState, 1)
	for service, ranges := range s.vms[vm].core.ranges {
		cloned := make([]*rangeState, len(ranges))
		for i, r := range ranges {
			cloned[i] = copyOf(r)
		}
		core.ranges[service] = cloned
	}
	for i := range s.calls {
		if s.calls[i].vm == vm && s.calls[i].open {
			s.calls[i].call.state = copyOf(s.calls[i].call.state)
		}
	}
	core.lastBalance, core.avoidUntil = maps.Clone(core.lastBalance), maps.Clone(core.avoidUntil)
	core.newServices, core.changes = make(map[string]*newService), nil
	for service, n := range s.vms[vm].core.newServices {
		c := *n
		core.newServices[service] = &c
	}
	s.vms[vm].core = &core
}

// readCatalogue gives the present catalogue to the VMs that are not cut off.
func (s *searchState) readCatalogue() {
	for vm := range s.vms {
		for i := range s.servers {
			if !s.vms[vm].cut {
				s.vms[vm].catalogue[i] = Server{ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("a%d", i), Started: s.servers[i].listed, Usable: s.servers[i].usable, Capacity: 4}
			}
		}
	}
}

// lessor returns a Lessor whose Table has the contents of that of a VM.
func (s *searchState) lessor(vm int) *Lessor {
	v := &s.vms[vm]
	table := NewTable(zap.NewNop())
	table.current.Store(v.current)
	table.lastRecordAt, table.lastReadSentAt, table.earlierCallsUntil = v.lastRecordAt, s.now, v.earlierCallsUntil
	return &Lessor{LessorOptions: LessorOptions{Clock: &clock.Fake{Time: s.now}, Table: table, Instance: searchVMName(vm), Address: searchVMName(vm)}}
}

// appendRecord appends the state of a core, which all VMs that are not cut off read at once.
func (s *searchState) appendRecord(core *Core) {
	s.record = core.State()
	s.record.Address, s.record.EarlierCalls = core.instance, core.EarlierCalls(s.now)
	for vm := range s.vms {
		if !s.vms[vm].cut {
			s.readRecord(vm)
		}
	}
}

// readRecord makes a VM read the newest record.
func (s *searchState) readRecord(vm int) {
	v := &s.vms[vm]
	table := s.lessor(vm).Table
	table.noteEarlierCalls(s.record, s.now)
	v.current, v.lastRecordAt, v.earlierCallsUntil = s.record, s.now, table.earlierCallsUntil
}

// append makes a VM append its state or a heartbeat. It loses the lease if another VM has it.
func (s *searchState) append(vm int, answered bool) {
	v := &s.vms[vm]
	if s.now < v.nextAppend {
		return
	}
	if s.record.Holder != v.core.instance {
		s.lose(vm)
		return
	}
	if v.core.version > v.core.accepted {
		s.appendRecord(v.core)
	} else {
		for i := range s.vms {
			if !s.vms[i].cut {
				s.vms[i].lastRecordAt = s.now
			}
		}
	}
	if !answered {
		v.nextAppend = s.now + appendRetryInterval
		return
	}
	v.renewedAt = s.now
	v.core.SetAccepted(v.core.Version())
}

// lose makes a VM give up the lease. It drops the results of its calls.
func (s *searchState) lose(vm int) {
	s.vms[vm].core = nil
	for i := range s.calls {
		if s.calls[i].vm == vm {
			s.calls[i].open, s.calls[i].call.state = false, nil
		}
	}
	s.dropCalls()
}

// claimable reports whether a VM may claim the assignment lease; claims have no jitter.
func (s *searchState) claimable(vm int) bool {
	v := &s.vms[vm]
	return !v.cut && v.core == nil && (s.now-v.lastRecordAt >= ClaimAfter || v.current.Holder == searchVMName(vm))
}

// claim makes a VM claim the assignment lease.
func (s *searchState) claim(vm int, answered bool) {
	v := &s.vms[vm]
	core := NewCore(searchVMName(vm), v.current, 0, s.now, s.lessor(vm).predecessor(v.current, s.now))
	core.lastBalance[searchService] = noSearchBalance
	s.appendRecord(core)
	if answered {
		v.core, v.renewedAt, v.nextAppend = core, s.now, 0
	}
}

// searchFate is what happens to the calls of a VM to a backend server.
type searchFate uint8

const (
	fateAnswered searchFate = iota
	fateInFlight
	fateRefused // the VM does not reach the backend server
)

// searchWeight is the load of the key space: none.
var searchWeight keyrange.Weight

// maxSearchRounds bounds the appends and steps of a VM at one instant.
const maxSearchRounds = 8

// run makes a VM append its state, if appends is set, and send what is due, until nothing is. The
// calls to the given backend server have the given fate, all others are answered.
func (s *searchState) run(vm int, appends bool, server int, fate searchFate) {
	v := &s.vms[vm]
	in := Input{Servers: map[string][]Server{searchService: v.catalogue[:]}, Weight: func(string) *keyrange.Weight { return &searchWeight }}
	for i := range maxSearchRounds {
		if i == 0 || v.core.version > v.core.accepted {
			if appends && !v.cut {
				s.append(vm, true)
			}
		}
		if v.core == nil || s.now >= v.renewedAt+AssignmentLeaseDuration {
			return
		}
		version := v.core.version
		calls := v.core.Step(s.now, in)
		v.core.changes, v.core.lastBalance[searchService] = nil, noSearchBalance
		for _, call := range calls {
			to := fateAnswered
			if call.Target.Address == fmt.Sprintf("a%d", server) {
				to = fate
			}
			s.send(vm, call, to)
		}
		if len(calls) == 0 && version == v.core.version {
			return
		}
	}
}

// send sends a call.
func (s *searchState) send(vm int, call Call, fate searchFate) {
	v := &s.vms[vm]
	if s.now > sendBy(&call, v.renewedAt, s.now) || fate == fateRefused {
		v.core.HandleResult(call, "", ErrNotSent, s.now)
		return
	}
	server := int(call.Target.Address[1] - '0')
	c := searchCall{vm: vm, call: call, server: server, process: s.servers[server].process, sentAt: s.now, open: true}
	if call.Kind == CallGrant && !call.Grant.Confirm && !s.useSession(&c) {
		v.core.HandleResult(call, "", ErrSessionLost, s.now)
		return
	}
	s.calls = append(s.calls, c)
	if fate == fateAnswered {
		s.answer(len(s.calls) - 1)
	}
}

// useSession sends a grant over the session of its target, or opens one. It returns false for a
// renewal of a grant that was not accepted on the session, and if the session is broken.
func (s *searchState) useSession(c *searchCall) bool {
	v := &s.vms[c.vm]
	i := slices.IndexFunc(v.sessions, func(x searchSession) bool { return x.target == c.call.Target })
	if i >= 0 && v.sessions[i].process != c.process {
		v.sessions = slices.Delete(slices.Clone(v.sessions), i, i+1)
		return false
	}
	if c.call.Grant.Renewal && (i < 0 || !slices.Contains(v.sessions[i].fences, c.call.Grant.Fence)) {
		return false
	}
	if i < 0 {
		s.lastNumber++
		v.sessions = append(v.sessions, searchSession{id: int(s.lastNumber), target: c.call.Target, process: c.process})
		i = len(v.sessions) - 1
	}
	c.session, c.reused = v.sessions[i].id, len(v.sessions[i].fences) > 0
	return true
}

// apply executes a call at its backend server, if it has not been yet.
func (s *searchState) apply(i int) {
	c := &s.calls[i]
	if c.applied {
		return
	}
	c.applied = true
	switch {
	case s.servers[c.server].process != c.process:
		c.err = errUnanswered
	case c.call.Kind == CallRelease:
		s.servers[c.server].release(c.call.Grant.Range)
	default:
		s.applyGrant(c)
		s.check()
	}
}

// release ends the leases on a range. Requests that run go on until the leases would have ended.
func (server *searchServer) release(r keyrange.Range) {
	for _, l := range server.leases {
		if server.busy && rangesOverlap(l.r, r) {
			l.r = keyrange.Range{First: max(l.r.First, r.First), Last: min(l.r.Last, r.Last)}
			server.working = coverSpans(server.working, l)
		}
	}
	server.leases = cutSpans(server.leases, r)
}

// applyGrant executes a grant at its backend server.
func (s *searchState) applyGrant(c *searchCall) {
	server, g := &s.servers[c.server], c.call.Grant
	if slices.ContainsFunc(server.seen, func(x searchSpan) bool { return rangesOverlap(x.r, g.Range) && x.fence > g.Fence }) {
		c.err = ErrFenced
		if c.reused {
			c.err = errUnanswered // the refusal may be that of an earlier call
		}
		return
	}
	until := min(s.now, c.timeout()) + g.Hold + g.Hold/50
	if until <= s.now {
		return
	}
	server.leases = coverSpans(server.leases, searchSpan{r: g.Range, fence: g.Fence, until: until})
	server.seen = coverSpans(server.seen, searchSpan{r: g.Range, fence: g.Fence})
}

// answer executes a call and gives its caller the result. A release is answered when the requests
// on the range have ended.
func (s *searchState) answer(i int) {
	s.apply(i)
	c := s.calls[i]
	if c.call.Kind == CallRelease && slices.ContainsFunc(s.servers[c.server].working, func(x searchSpan) bool { return rangesOverlap(x.r, c.call.Grant.Range) }) {
		return
	}
	s.finish(i, c.err)
}

// finish gives the caller of a call its result.
func (s *searchState) finish(i int, err error) {
	c := s.calls[i]
	s.calls[i].open, s.calls[i].call.state = false, nil
	s.noteSession(&c, err)
	s.vms[c.vm].core.HandleResult(c.call, "", err, s.now)
	if s.calls[i].applied {
		s.calls = slices.Delete(s.calls, i, i+1)
	}
}

// noteSession notes the result of a call on its session.
func (s *searchState) noteSession(c *searchCall, err error) {
	v := &s.vms[c.vm]
	i := slices.IndexFunc(v.sessions, func(x searchSession) bool { return x.id == c.session })
	switch {
	case i < 0 || c.session == 0:
	case err != nil:
		v.sessions = slices.Delete(slices.Clone(v.sessions), i, i+1)
	case !slices.Contains(v.sessions[i].fences, c.call.Grant.Fence):
		v.sessions[i].fences = append(slices.Clone(v.sessions[i].fences), c.call.Grant.Fence)
	}
}

// pass lets time pass. Callers give up calls that have no answer within their timeout.
func (s *searchState) pass(d time.Duration) {
	end := s.now + d
	for {
		first := -1
		for i := range s.calls {
			c := &s.calls[i]
			if c.open && c.timeout() <= end && (first < 0 || c.timeout() < s.calls[first].timeout()) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		s.now = max(s.now, s.calls[first].timeout())
		s.finish(first, errUnanswered)
	}
	s.now = end
	for i := range s.servers {
		server := &s.servers[i]
		server.leases, server.working = unexpiredSpans(server.leases, end), unexpiredSpans(server.working, end)
		server.busy = server.busy && len(server.leases)+len(server.working) > 0
	}
	s.dropCalls()
}

// unexpiredSpans returns the spans that end later than now.
func unexpiredSpans(spans []searchSpan, now time.Duration) []searchSpan {
	var kept []searchSpan
	for _, x := range spans {
		if now < x.until {
			kept = append(kept, x)
		}
	}
	return kept
}

// dropCalls forgets the calls that nobody waits for and that can have no further effect.
func (s *searchState) dropCalls() {
	s.calls = slices.DeleteFunc(s.calls, func(c searchCall) bool {
		return !c.open && (c.applied || s.servers[c.server].process != c.process || s.now >= c.timeout()+RangeLeaseDuration+RangeLeaseDuration/50)
	})
}

// restart ends the process of a server and starts another under its ID and address.
func (s *searchState) restart(i int) {
	s.lastNumber++
	server := &s.servers[i]
	server.process, server.busy, server.leases, server.working, server.seen = s.lastNumber, false, nil, nil, nil
	s.dropCalls()
}

// restartVM ends the process of a VM and starts another at its address, which reads the log. Calls
// that are in flight may still take effect.
func (s *searchState) restartVM(vm int) {
	v := &s.vms[vm]
	v.current, v.earlierCallsUntil, v.nextAppend, v.sessions = nil, 0, 0, nil
	s.readRecord(vm)
	s.lose(vm)
}

// check notes a violation of the rules: two backend servers with a lease on a key, a lease on a key
// on which another one is at work, or a key with another owner whose token is not higher.
func (s *searchState) check() {
	for i := range s.servers {
		other := &s.servers[1-i]
		for _, l := range s.servers[i].leases {
			for _, o := range slices.Concat(other.leases, other.working) {
				if rangesOverlap(l.r, o.r) {
					s.fail("keys %s are held by w%d with token %d while w%d has keys %s with token %d", l.r, i, l.fence, 1-i, o.r, o.fence)
				}
			}
			for _, o := range s.owners {
				if rangesOverlap(l.r, o.r) && o.process != s.servers[i].process && l.fence <= o.fence {
					s.fail("keys %s go to w%d with token %d, another process had token %d", l.r, i, l.fence, o.fence)
				}
			}
			s.owners = coverSpans(s.owners, searchSpan{r: l.r, fence: l.fence, process: s.servers[i].process})
		}
	}
}

// fail notes a violation, unless there is one already.
func (s *searchState) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// searchStateKey encodes what decides on the future of a state: times relative to now, those in the past
// as one value, and tokens and processes by their rank.
type searchStateKey struct {
	s      *searchState
	b      []byte
	tokens []int64
	starts []int64
}

// key returns the canonical encoding of the state.
func (s *searchState) key(buffer []byte) []byte {
	k := &searchStateKey{s: s, b: buffer[:0], tokens: []int64{0}, starts: []int64{0}}
	k.encode() // collects tokens and processes
	slices.Sort(k.tokens)
	slices.Sort(k.starts)
	k.tokens, k.starts = slices.Compact(k.tokens), slices.Compact(k.starts)
	k.b = k.b[:0]
	k.encode()
	return k.b
}

func (k *searchStateKey) int(v int64) { k.b = binary.AppendVarint(k.b, v) }

func (k *searchStateKey) bool(v bool) {
	if v {
		k.b = append(k.b, 1)
		return
	}
	k.b = append(k.b, 0)
}

func (k *searchStateKey) rng(r keyrange.Range) { k.int(int64(r.First)); k.int(int64(r.Last)) }

// rank encodes the rank of a value among all, or adds it to them while they are collected.
func (k *searchStateKey) rank(all *[]int64, v int64) {
	i, found := slices.BinarySearch(*all, v)
	if !found {
		*all = slices.Insert(*all, i, v)
	}
	k.int(int64(i))
}

func (k *searchStateKey) token(v int64) { k.rank(&k.tokens, v) }
func (k *searchStateKey) start(v int64) { k.rank(&k.starts, v) }

// time encodes a time, of which all times before now-past are alike.
func (k *searchStateKey) time(t, past time.Duration) {
	k.int(int64(max(t-k.s.now, -past-1)))
}

func (k *searchStateKey) encode() {
	s := k.s
	k.int(int64(s.faults))
	k.assignment(s.record)
	for i := range s.vms {
		k.vm(i)
	}
	for i := range s.servers {
		server := &s.servers[i]
		k.start(server.process)
		k.start(server.listed)
		k.bool(server.usable)
		k.bool(server.busy)
		k.spans(server.leases)
		k.spans(server.working)
		k.spans(server.seen)
	}
	k.spans(s.owners)
	k.calls()
}

func (k *searchStateKey) spans(spans []searchSpan) {
	k.int(int64(len(spans)))
	for _, x := range spans {
		k.rng(x.r)
		k.token(x.fence)
		k.start(x.process)
		k.time(x.until, 0)
	}
}

func (k *searchStateKey) assignment(a *keyrange.Assignment) {
	k.bool(a != nil)
	if a == nil {
		return
	}
	k.b = append(k.b, a.Holder...)
	k.token(a.Fence)
	k.int(int64(len(a.Services[searchService])))
	for _, e := range a.Services[searchService] {
		k.entry(e)
	}
}

func (k *searchStateKey) entry(e keyrange.Entry) {
	k.rng(e.Range)
	k.b = append(append(k.b, e.Backend...), 0)
	k.start(e.Started)
	k.token(e.Fence)
	k.bool(e.Moving)
}

func (k *searchStateKey) vm(i int) {
	v := &k.s.vms[i]
	k.bool(v.cut)
	if v.cut {
		for _, server := range v.catalogue {
			k.start(server.Started)
			k.bool(server.Usable)
		}
		k.b = append(append(k.b, v.current.Holder...), 0)
	}
	k.time(v.lastRecordAt, AssignmentLeaseDuration+grantTimeout+RangeLeaseDuration+holdMargin)
	k.time(v.earlierCallsUntil, RangeLeaseDuration+holdMargin)
	k.bool(v.core != nil)
	if v.core != nil {
		k.time(v.renewedAt, AssignmentLeaseDuration)
		k.time(v.nextAppend, 0)
		k.core(v.core)
	}
	k.int(int64(len(v.sessions)))
	for _, session := range v.sessions {
		k.b = append(k.b, session.target.Backend...)
		k.start(session.target.Started)
		k.start(session.process)
		for _, fence := range session.fences {
			if v.core != nil && slices.ContainsFunc(v.core.ranges[searchService], func(r *rangeState) bool { return r.entry.Fence == fence }) {
				k.token(fence)
			}
		}
	}
}

func (k *searchStateKey) core(c *Core) {
	k.token(c.fence)
	k.bool(c.version > c.accepted)
	k.time(c.earlierCallsUntil, 0)
	k.time(c.settledFrom, 0)
	for _, id := range []string{"w0", "w1"} {
		k.time(c.avoidUntil[id], 0)
	}
	k.int(int64(len(c.ranges[searchService])))
	for _, r := range c.ranges[searchService] {
		k.entry(r.entry)
		k.bool(r.version > c.accepted)
		k.time(r.leasedUntil, 0)
		k.time(r.uncertainUntil, 0)
		k.time(r.unansweredUntil, 0)
		k.token(r.uncertainFence)
		k.bool(r.entry.Moving && r.confirmSent)
		if r.entry.Backend != "" {
			k.time(r.nextCall, 0)
		}
		k.bool(r.inFlight)
		k.bool(r.granted)
		k.bool(r.granted && r.acceptedFence == r.entry.Fence)
		k.b = append(append(k.b, r.target...), 0)
	}
}

// calls encodes the calls, whose order does not matter.
func (k *searchStateKey) calls() {
	head := k.b
	parts := make([]string, len(k.s.calls))
	for i := range k.s.calls {
		k.b = nil
		k.call(&k.s.calls[i])
		parts[i] = string(k.b)
	}
	slices.Sort(parts)
	k.b = head
	for _, part := range parts {
		k.int(int64(len(part)))
		k.b = append(k.b, part...)
	}
}

func (k *searchStateKey) call(c *searchCall) {
	v := &k.s.vms[c.vm]
	k.b = append(k.b, byte(c.vm), byte(c.server), byte(c.call.Kind))
	k.start(c.process)
	k.time(c.sentAt, time.Hour)
	k.bool(c.open)
	k.bool(c.applied)
	k.bool(c.reused)
	k.bool(errors.Is(c.err, ErrFenced))
	k.bool(c.err != nil)
	k.rng(c.call.Grant.Range)
	k.token(c.call.Grant.Fence)
	k.bool(c.call.Grant.Confirm)
	k.start(c.call.Target.Started)
	if c.open {
		k.int(int64(slices.Index(v.core.ranges[searchService], c.call.state)))
		k.int(int64(slices.IndexFunc(v.sessions, func(x searchSession) bool { return x.id == c.session })))
	}
}
