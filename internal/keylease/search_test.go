package keylease

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"fireflyfield/internal/keyrange"
)

var (
	searchDepth  = flag.Int("search.depth", 0, "number of events of the exhaustive search, 0 for a short one")
	searchStep   = flag.Duration("search.step", 0, "length of a time step of the exhaustive search, 0 for the usual one")
	searchFaults = flag.Int("search.faults", 3, "number of faults among the events of the exhaustive search")
)

// searchKind is the kind of an event of the search.
type searchKind uint8

const (
	// evStepTime lets time pass, and evStepAll has all VMs append, claim and send afterwards: those that
	// lost the lease first, or in evStepHolderFirst last.
	evStepTime searchKind = iota
	evStepAll
	evStepHolderFirst
	// evStepToClaim is evStepTime until a VM may claim the lease, and evStepToRecord is evStepAll until the
	// log has a new assignment; both at most maxSearchSteps times.
	evStepToClaim
	evStepToRecord
	// evRun has a VM that holds the lease, or believes so, append and send what is due. All calls
	// are answered, or those to a backend server remain in flight, or are refused.
	evRun
	evRunBalance // with a plan to balance, which is made at no other event
	evRunInFlight
	evRunRefused
	// evRunAppendLost is evRun with an append that takes effect without an answer.
	evRunAppendLost
	evClaim
	evClaimLost
	evClaimInFlight // followed by evRunInFlight
	evCutOff        // a VM off the shared log
	evRejoin
	evRestartVM // a process that knows nothing starts at the address of the VM
	evAnswer    // a call in flight
	evApply     // a call in flight, or after its caller gave up, without an answer
	evLeave     // the catalogue shows that a backend server leaves, or that it is back
	evComeBack
	evRestart // a backend server under its ID and address
	evEntry   // of the restarted backend server reaches the catalogue
	evWork    // requests run on all keys of a backend server until their leases end
)

var searchKindNames = []string{
	"evStepTime", "evStepAll", "evStepHolderFirst", "evStepToClaim", "evStepToRecord", "evRun", "evRunBalance", "evRunInFlight", "evRunRefused", "evRunAppendLost", "evClaim", "evClaimLost", "evClaimInFlight", "evCutOff",
	"evRejoin", "evRestartVM", "evAnswer", "evApply", "evLeave", "evComeBack", "evRestart", "evEntry", "evWork",
}

// searchEvent is an event of the search; index is that of a VM, a backend server or a call, and
// server the backend server whose calls remain in flight or are refused.
type searchEvent struct {
	kind          searchKind
	index, server uint8
}

func (e searchEvent) String() string {
	return fmt.Sprintf("{%s, %d, %d}", searchKindNames[e.kind], e.index, e.server)
}

// isFault reports whether an event counts as a fault.
func (e searchEvent) isFault() bool {
	switch e.kind {
	case evRunInFlight, evRunRefused, evRunAppendLost, evClaimLost, evClaimInFlight, evCutOff, evRestartVM, evLeave, evComeBack, evRestart, evWork:
		return true
	}
	return false
}

// formatEvents returns the events as the elements of a slice for replaySearch.
func formatEvents(events []searchEvent) string {
	var b strings.Builder
	for _, e := range events {
		b.WriteString(e.String() + ", ")
	}
	return strings.TrimSuffix(b.String(), ", ")
}

// searchStart is the way to a state in which each backend server has half of the keys.
var searchStart = []searchEvent{{evStepAll, 0, 0}, {evStepAll, 0, 0}, {evStepAll, 0, 0}, {evStepAll, 0, 0}}

// searchStartUneven continues to a state in which one has all keys and the other has come back.
var searchStartUneven = []searchEvent{{evLeave, 0, 0}, {evStepAll, 0, 0}, {evStepAll, 0, 0}, {evComeBack, 0, 0}}

// do applies an event.
func (s *searchState) do(e searchEvent) {
	i, server := int(e.index), int(e.server)
	if e.isFault() {
		s.faults++
	}
	switch e.kind {
	case evStepTime:
		s.pass(s.step)
	case evStepToClaim, evStepToRecord:
		s.stepUntil(e.kind)
	case evStepAll, evStepHolderFirst:
		s.pass(s.step)
		s.runAll(e.kind == evStepHolderFirst)
	case evRun:
		s.run(i, true, 0, fateAnswered)
	case evRunBalance:
		s.vms[i].core.lastBalance[searchService] = 0
		s.run(i, true, 0, fateAnswered)
	case evRunInFlight:
		s.run(i, true, server, fateInFlight)
	case evRunRefused:
		s.run(i, true, server, fateRefused)
	case evRunAppendLost:
		s.append(i, false)
		s.runIfHolder(i)
	case evClaim, evClaimLost:
		s.claim(i, e.kind == evClaim)
	case evClaimInFlight:
		s.claim(i, true)
		s.run(i, true, server, fateInFlight)
	case evCutOff:
		s.vms[i].cut = true
	case evRejoin:
		s.vms[i].cut = false
		s.readRecord(i)
	case evRestartVM:
		s.restartVM(i)
	case evAnswer:
		s.answer(i)
	case evApply:
		s.apply(i)
		s.dropCalls()
	case evLeave, evComeBack:
		s.servers[i].usable = e.kind == evComeBack
	case evRestart:
		s.restart(i)
	case evEntry:
		s.servers[i].listed = s.servers[i].process
	case evWork:
		s.servers[i].busy = true
	}
	s.readCatalogue()
}

// maxSearchSteps is the number of steps that one event may take.
const maxSearchSteps = 4

// stepUntil does evStepToClaim or evStepToRecord.
func (s *searchState) stepUntil(kind searchKind) {
	record := s.record
	for range maxSearchSteps {
		s.pass(s.step)
		if kind == evStepToRecord {
			s.runAll(false)
		}
		if kind == evStepToClaim && (s.claimable(0) || s.claimable(1)) || s.record != record || s.violation != "" {
			return
		}
	}
}

// runIfHolder has a VM that holds the lease send what is due, without an append.
func (s *searchState) runIfHolder(vm int) {
	if s.vms[vm].core != nil {
		s.run(vm, false, 0, fateAnswered)
	}
}

// runAll has all VMs append and send, the holder first or last, and claim.
func (s *searchState) runAll(holderFirst bool) {
	for _, holder := range []bool{holderFirst, !holderFirst} {
		for vm := range s.vms {
			if s.vms[vm].core != nil && (s.record.Holder == searchVMName(vm)) == holder {
				s.run(vm, true, 0, fateAnswered)
			}
		}
	}
	for vm := range s.vms {
		if s.claimable(vm) {
			s.claim(vm, true)
			s.run(vm, true, 0, fateAnswered)
		}
	}
}

// enabled returns the events that are possible in a state.
func (x *stateSearch) enabled(s *searchState) []searchEvent {
	events := []searchEvent{{evStepTime, 0, 0}, {evStepAll, 0, 0}, {evStepToRecord, 0, 0}}
	if !s.claimable(0) && !s.claimable(1) {
		events = append(events, searchEvent{evStepToClaim, 0, 0})
	}
	if s.vms[0].core != nil && s.vms[1].core != nil {
		events = append(events, searchEvent{evStepHolderFirst, 0, 0})
	}
	for i := range s.vms {
		events = append(events, s.enabledAt(uint8(i))...)
	}
	for i := range s.calls {
		if s.calls[i].open {
			events = append(events, searchEvent{evAnswer, uint8(i), 0})
		}
		if !s.calls[i].applied {
			events = append(events, searchEvent{evApply, uint8(i), 0})
		}
	}
	kept := events[:0]
	for _, e := range events {
		if !e.isFault() || s.faults < x.maxFaults && (x.faults == nil || slices.Contains(x.faults, e.kind)) {
			kept = append(kept, e)
		}
	}
	return kept
}

// enabledAt returns the events that are possible at a VM and at a backend server.
func (s *searchState) enabledAt(i uint8) []searchEvent {
	var events []searchEvent
	v, server := &s.vms[i], &s.servers[i]
	if v.core != nil {
		events = append(events, searchEvent{evRun, i, 0}, searchEvent{evRunInFlight, i, 0}, searchEvent{evRunInFlight, i, 1},
			searchEvent{evRunRefused, i, 0}, searchEvent{evRunRefused, i, 1})
		if s.unbalanced(v) {
			events = append(events, searchEvent{evRunBalance, i, 0})
		}
		if !v.cut {
			events = append(events, searchEvent{evRunAppendLost, i, 0}, searchEvent{evCutOff, i, 0})
		}
	}
	if !v.cut {
		events = append(events, searchEvent{evRestartVM, i, 0})
	}
	if v.cut {
		events = append(events, searchEvent{evRejoin, i, 0})
	}
	if s.claimable(int(i)) {
		events = append(events, searchEvent{evClaim, i, 0}, searchEvent{evClaimLost, i, 0}, searchEvent{evClaimInFlight, i, 0}, searchEvent{evClaimInFlight, i, 1})
	}
	if server.listed != server.process {
		events = append(events, searchEvent{evEntry, i, 0})
	}
	if server.usable {
		events = append(events, searchEvent{evLeave, i, 0})
	} else {
		events = append(events, searchEvent{evComeBack, i, 0})
	}
	if !server.busy && len(server.leases) > 0 {
		events = append(events, searchEvent{evWork, i, 0})
	}
	return append(events, searchEvent{evRestart, i, 0})
}

// unbalanced reports whether a usable backend server has no range, and a VM may balance.
func (s *searchState) unbalanced(v *searchVM) bool {
	return s.now >= v.core.settledFrom && slices.ContainsFunc(v.catalogue[:], func(server Server) bool {
		return server.Usable && !slices.ContainsFunc(v.core.ranges[searchService], func(r *rangeState) bool { return r.entry.Backend == server.ID })
	})
}

// allKeysOwned reports whether all keys have an owner.
func (s *searchState) allKeysOwned() bool {
	held := 0
	for i := range s.servers {
		for _, l := range s.servers[i].leases {
			held += l.r.Size()
		}
	}
	return held == keyrange.MaxKey+1
}

// maxSearchWithoutOwner bounds the time from the last fault until all keys have owners.
const maxSearchWithoutOwner = 12 * time.Second

// settle ends all faults and returns after how long all keys have an owner, or false if they have
// none for maxSearchWithoutOwner.
func (s *searchState) settle() (time.Duration, bool) {
	usable := s.servers[0].usable || s.servers[1].usable
	for i := range s.vms {
		if s.vms[i].cut {
			s.do(searchEvent{evRejoin, uint8(i), 0})
		}
		s.servers[i].usable = s.servers[i].usable || !usable
		s.servers[i].listed, s.servers[i].busy = s.servers[i].process, false
	}
	s.readCatalogue()
	from := s.now
	for s.now < from+maxSearchWithoutOwner {
		s.do(searchEvent{evStepAll, 0, 0})
		if s.violation != "" || s.allKeysOwned() {
			return s.now - from, true
		}
	}
	return 0, false
}

// searchNode is a state that was seen, as the event that led to it from another one.
type searchNode struct {
	parent int32
	event  searchEvent
}

// stateSearch is a breadth-first search of the states behind start.
type stateSearch struct {
	name             string
	step             time.Duration
	start            []searchEvent
	depth, maxFaults int
	faults           []searchKind // that may occur; nil for all

	nodes    []searchNode
	seen     map[[16]byte]struct{}
	settled  time.Duration // the longest time until all keys had owners
	reached  int
	levels   []int
	sampled  int
	fault    string
	faultyAt []searchEvent
}

// searchSuccessor is a state found from a node.
type searchSuccessor struct {
	state *searchState
	key   [16]byte
	node  searchNode
}

// searchFrontier is a state of the last level.
type searchFrontier struct {
	state *searchState
	node  int32
}

// searchSettleSample is the share of states that are checked for keys without an owner: one of so many.
const searchSettleSample = 16

// run searches level by level, so that the first violation has the shortest order of events. The
// result does not depend on the number of processors.
func (x *stateSearch) run() {
	s := newSearchState(x.step)
	for _, e := range x.start {
		s.do(e)
	}
	s.faults = 0
	x.seen = map[[16]byte]struct{}{searchKey(s, nil): {}}
	x.nodes = []searchNode{{parent: -1}}
	level := []searchFrontier{{s, 0}}
	for x.reached < x.depth && len(level) > 0 && x.fault == "" {
		level = x.next(level)
		x.reached++
		x.levels = append(x.levels, len(level))
	}
}

// searchChunk is the number of states that are expanded together.
const searchChunk = 2048

// next returns the new states behind those of a level.
func (x *stateSearch) next(level []searchFrontier) []searchFrontier {
	var out []searchFrontier
	for len(level) > 0 && x.fault == "" {
		n := min(searchChunk, len(level))
		for _, found := range x.expandAll(level[:n]) {
			for _, f := range found {
				if x.fault == "" {
					out = x.add(out, f)
				}
			}
		}
		clear(level[:n])
		level = level[n:]
	}
	return out
}

// expandAll expands states in parallel.
func (x *stateSearch) expandAll(states []searchFrontier) [][]searchSuccessor {
	found := make([][]searchSuccessor, len(states))
	var workers sync.WaitGroup
	count := runtime.GOMAXPROCS(0)
	for w := range count {
		workers.Go(func() {
			var buffer []byte
			for i := w; i < len(states); i += count {
				found[i] = x.expand(states[i], &buffer)
			}
		})
	}
	workers.Wait()
	return found
}

// expand returns the successors of a state that were not seen at earlier states.
func (x *stateSearch) expand(f searchFrontier, buffer *[]byte) []searchSuccessor {
	var found []searchSuccessor
	for _, e := range x.enabled(f.state) {
		s := f.state.clone()
		s.do(e)
		key := searchKey(s, buffer)
		if _, seen := x.seen[key]; !seen || s.violation != "" {
			found = append(found, searchSuccessor{s, key, searchNode{f.node, e}})
		}
	}
	return found
}

// add adds a searchSuccessor to the states, unless it was seen.
func (x *stateSearch) add(out []searchFrontier, f searchSuccessor) []searchFrontier {
	if f.state.violation != "" {
		x.fail(f.state.violation, f.node)
		return out
	}
	if _, seen := x.seen[f.key]; seen {
		return out
	}
	x.seen[f.key] = struct{}{}
	x.nodes = append(x.nodes, f.node)
	if len(x.nodes)%searchSettleSample == 0 {
		x.sampled++
		s := f.state.clone()
		after, ok := s.settle()
		switch {
		case s.violation != "":
			x.fail("without further faults: "+s.violation, f.node)
		case !ok:
			x.fail(fmt.Sprintf("keys have no owner for %s without further faults", maxSearchWithoutOwner), f.node)
		}
		x.settled = max(x.settled, after)
	}
	return append(out, searchFrontier{f.state, int32(len(x.nodes) - 1)})
}

// fail notes a violation and the events that lead to it.
func (x *stateSearch) fail(violation string, node searchNode) {
	x.fault = violation
	var events []searchEvent
	for ; node.parent >= 0; node = x.nodes[node.parent] {
		events = append([]searchEvent{node.event}, events...)
	}
	x.faultyAt = append(x.start[len(searchStart):len(x.start):len(x.start)], events...)
}

func searchKey(s *searchState, buffer *[]byte) [16]byte {
	if buffer == nil {
		buffer = new([]byte)
	}
	*buffer = s.key(*buffer)
	sum := sha256.Sum256(*buffer)
	return [16]byte(sum[:16])
}

// replaySearch runs events, with steps of the given length, from the state in which each backend server has half of the keys, and
// fails the test at a violation. Keys must have owners after the last one.
func replaySearch(t *testing.T, step time.Duration, events []searchEvent) {
	t.Helper()
	s := newSearchState(step)
	for _, e := range searchStart {
		s.do(e)
	}
	for i, e := range events {
		s.do(e)
		if s.violation != "" {
			t.Fatalf("after event %d %s, at %s: %s", i, e, s.now-time.Minute, s.violation)
		}
	}
	if _, ok := s.settle(); !ok || s.violation != "" {
		t.Fatalf("without further faults: all keys have owners %t, violation %q", ok, s.violation)
	}
}

// TestSearch guards against two backend servers with a key, a key that is given on while its
// last owner is at work, tokens that fall, and keys without an owner, after any order of a few events.
func TestSearch(t *testing.T) {
	uneven := append(searchStart[:len(searchStart):len(searchStart)], searchStartUneven...)
	takeover := []searchKind{evCutOff, evLeave, evClaimInFlight, evRunInFlight}
	twoTakeovers := []searchKind{evCutOff, evLeave, evClaimInFlight, evRestartVM}
	merged := []searchKind{evLeave, evComeBack, evRunInFlight, evRunRefused}
	short, long := searchSteps[0], searchSteps[1]
	for _, x := range []stateSearch{
		{name: "any order", step: short, start: searchStart, depth: 3, maxFaults: 3},
		{name: "few faults", step: long, start: searchStart, depth: 4, maxFaults: 2},
		{name: "takeover", step: long, start: searchStart, depth: 4, maxFaults: 3, faults: takeover},
		{name: "two takeovers", step: long, start: searchStart, depth: 3, maxFaults: 4, faults: twoTakeovers},
		{name: "merge", step: short, start: searchStart, depth: 3, maxFaults: 4, faults: merged},
		{name: "balance", step: short, start: uneven, depth: 3, maxFaults: 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			x.applyFlags()
			x.runTest(t)
		})
	}
}

// applyFlags sets what the flags of the test state.
func (x *stateSearch) applyFlags() {
	if *searchDepth > 0 {
		x.depth, x.maxFaults = *searchDepth, *searchFaults
	}
	if *searchStep > 0 {
		x.step = *searchStep
	}
}

// runTest runs the search and fails the test at a violation.
func (x *stateSearch) runTest(t *testing.T) {
	from := time.Now()
	x.run()
	t.Logf("%d states, depth %d, up to %d faults, levels %v, %d sampled for owners (longest wait %s), %s",
		len(x.nodes), x.reached, x.maxFaults, x.levels, x.sampled, x.settled, time.Since(from).Round(100*time.Millisecond))
	if x.fault != "" {
		t.Fatalf("%s\nreplaySearch(t, %d*time.Millisecond, []searchEvent{%s})", x.fault, x.step.Milliseconds(), formatEvents(x.faultyAt))
	}
}

// TestSearchedOrders guards against the violations that the search found with one rule taken out, in
// their shortest orders.
func TestSearchedOrders(t *testing.T) {
	for name, order := range map[string]struct {
		step   time.Duration
		events []searchEvent
	}{
		// The range was given on before the last lease by a call of the last holder had ended.
		"late renewal by the last holder after an unconfirmed release": {990 * time.Millisecond, []searchEvent{
			{evStepToClaim, 0, 0}, {evCutOff, 0, 0}, {evLeave, 0, 0}, {evClaimInFlight, 1, 0}, {evStepHolderFirst, 0, 0}, {evStepToRecord, 0, 0},
		}},
		// A release was taken for final although a grant had no answer.
		"grant applied after a release": {870 * time.Millisecond, []searchEvent{
			{evStepToClaim, 0, 0}, {evLeave, 0, 0}, {evClaimInFlight, 1, 0}, {evStepAll, 0, 0}, {evApply, 0, 0},
		}},
		// A grant without an answer did not extend the lease.
		"renewal applied late": {870 * time.Millisecond, []searchEvent{
			{evStepTime, 0, 0}, {evRunInFlight, 0, 0}, {evStepToClaim, 0, 0}, {evRunRefused, 0, 0}, {evApply, 0, 0},
		}},
		// A grant was sent before the log had it.
		"owner that is not recorded": {870 * time.Millisecond, []searchEvent{
			{evStepToClaim, 0, 0}, {evRunRefused, 0, 0}, {evCutOff, 0, 0}, {evStepToRecord, 0, 0},
		}},
		// A searchSuccessor granted ranges with the recorded tokens.
		"recorded token for another process": {870 * time.Millisecond, []searchEvent{
			{evStepToClaim, 0, 0}, {evRestart, 0, 0}, {evClaimInFlight, 1, 1},
		}},
		// An entry of the catalogue freed a range.
		"entry of a restarted owner that holds a lease": {990 * time.Millisecond, []searchEvent{
			{evRestart, 0, 0}, {evStepAll, 0, 0}, {evEntry, 0, 0}, {evRunRefused, 0, 0},
		}},
		// The joined range had the end of the left lease only.
		"longer lease of the right part of joined ranges": {870 * time.Millisecond, []searchEvent{
			{evLeave, 1, 0}, {evRunInFlight, 0, 0}, {evComeBack, 1, 0}, {evAnswer, 0, 0}, {evStepToClaim, 0, 0}, {evStepTime, 0, 0}, {evRunRefused, 0, 0},
		}},
		// A claim did not state what was known of earlier holders.
		"renewal by a holder before a restarted one": {990 * time.Millisecond, []searchEvent{
			{evStepToClaim, 0, 0}, {evCutOff, 0, 0}, {evLeave, 0, 0}, {evClaim, 1, 0}, {evRestartVM, 1, 0}, {evClaimInFlight, 1, 0}, {evStepHolderFirst, 0, 0}, {evStepToRecord, 0, 0},
		}},
		// A confirmation that was not sent made the release final.
		"release after a confirmation that was not sent": {990 * time.Millisecond, []searchEvent{
			{evStepToClaim, 0, 0}, {evCutOff, 0, 0}, {evLeave, 0, 0}, {evClaim, 1, 0}, {evRunRefused, 1, 0}, {evStepHolderFirst, 0, 0},
		}},
		// The last holder sent a new grant when another VM could have claimed the lease. Written by
		// hand, since it has more events than the search reaches.
		"grant by the last holder to a process that started since": {990 * time.Millisecond, []searchEvent{
			{evStepTime, 0, 0}, {evRunInFlight, 0, 0}, {evStepTime, 0, 0}, {evRunRefused, 0, 0}, {evCutOff, 0, 0}, {evLeave, 0, 0},
			{evStepToClaim, 0, 0}, {evClaim, 1, 0}, {evRun, 1, 0}, {evRestart, 0, 0}, {evRun, 0, 0},
		}},
		// A searchSuccessor took every last holder for one that resigned.
		"lease of a holder that did not resign": {870 * time.Millisecond, []searchEvent{
			{evCutOff, 0, 0}, {evLeave, 0, 0}, {evStepToRecord, 0, 0}, {evStepAll, 0, 0},
		}},
		// Renewals were sent to processes that did not have the range.
		"renewal for a restarted owner": {870 * time.Millisecond, []searchEvent{{evStepTime, 0, 0}, {evRestart, 0, 0}}},
	} {
		t.Run(name, func(t *testing.T) { replaySearch(t, order.step, order.events) })
	}
}

// TestConfirmationAfterRestart guards against a process that gets a range with the token with which
// an earlier one at its address held it: a grant was answered after the range began to move, and the
// grant that confirms the range before its release repeated the token.
func TestConfirmationAfterRestart(t *testing.T) {
	replaySearch(t, 990*time.Millisecond, []searchEvent{
		{evStepToClaim, 0, 0}, {evClaimInFlight, 1, 0}, {evLeave, 0, 0}, {evRun, 1, 0}, {evAnswer, 0, 0}, {evRestart, 0, 0}, {evStepAll, 0, 0},
	})
}

// TestSearchKnowsAllFields guards against a search that takes different states for the same, or
// shares one between two, because a field was added that its key and its copies do not have.
func TestSearchKnowsAllFields(t *testing.T) {
	for _, known := range []struct {
		value  any
		fields int
	}{{Core{}, 13}, {rangeState{}, 14}, {Call{}, 5}, {Grant{}, 7}, {keyrange.Entry{}, 6}} {
		if n := reflect.TypeOf(known.value).NumField(); n != known.fields {
			t.Errorf("%T has %d fields, the search knows %d", known.value, n, known.fields)
		}
	}
}
