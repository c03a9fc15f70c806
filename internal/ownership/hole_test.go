package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/keyspace"
)

// The tests in this file replay event sequences in which one rule alone keeps two
// backend servers from owning a unit.

func settledWorld(t *testing.T, seed uint64, checks bool) *world {
	t.Helper()
	w := newWorld(seed, []string{"d"}, 3, 4, checks)
	w.refuse = true
	w.run(settled)
	if w.decider() == nil || len(w.served) != worldSlices {
		t.Fatal("not settled")
	}
	return w
}

func checkWorld(t *testing.T, w *world) {
	t.Helper()
	if err := checkOwners(w.events); err != nil {
		t.Error(err)
	}
}

// owned counts the units that a working backend server holds.
func (w *world) owned() int {
	count := 0
	for _, s := range w.servers {
		if s.up {
			count += len(s.held)
		}
	}
	return count
}

// Guards against a claimant that gave a promise, was released from it by the proof
// that the decider ended, and does not wait for the leases of the outage.
func TestOutageLeasesOutliveTheDecider(t *testing.T) {
	t.Parallel()
	w := settledWorld(t, 1, true)
	w.logDown(3 * second)
	w.run(w.now + 2*second)
	w.decider().up = false
	w.cutServer(w.servers[0], 40*second)
	w.run(w.now + 45*second)
	checkWorld(t, w)
	is.New(t).Equal(w.owned(), worldSlices)
}

// Guards against a successor that grants a unit although a backend server which it
// can't ask may hold it by a provisional grant that is in no record.
func TestProvisionalGrantAtUnreachableServer(t *testing.T) {
	t.Parallel()
	w := settledWorld(t, 2, true)
	w.logDown(4 * second)
	w.run(w.now + second)
	w.restart(w.servers[0])
	w.run(w.now + 2*second)
	w.decider().up = false
	w.cutServer(w.servers[1], 40*second)
	w.cutServer(w.servers[2], 40*second)
	w.run(w.now + 45*second)
	checkWorld(t, w)
	is.New(t).Equal(w.owned(), worldSlices)
}

// Guards against a grant of a lost decider that arrives after the successor asked
// the backend server: the higher term of the query has to refuse it.
func TestDelayedGrantOfAnEarlierDecider(t *testing.T) {
	t.Parallel()
	w := settledWorld(t, 3, true)
	first := w.decider()
	delayed := ""
	w.delayGrant = func(vm *fakeVM, a SendGrant) time.Duration {
		if vm != first || len(a.Grant) == 0 || delayed != "" {
			return 0
		}
		delayed = a.Server.Name
		w.at(w.now+time.Millisecond, func() { first.up = false })
		w.setConfig(func(c *Config) { c.DrainedServers = map[ServerID]bool{a.Server: true} })
		return 640 * time.Millisecond
	}
	w.restart(w.servers[0])
	w.run(w.now + 5*second)
	checkWorld(t, w)
	is.New(t).True(delayed != "")
}

// Guards against a copy of a grant that arrives after the unit was revoked and
// given to another backend server.
func TestDelayedGrantAfterRevoke(t *testing.T) {
	t.Parallel()
	w := settledWorld(t, 4, true)
	delayed := ""
	w.delayGrant = func(_ *fakeVM, a SendGrant) time.Duration {
		if len(a.Grant) == 0 || delayed != "" {
			return 0
		}
		delayed = a.Server.Name
		w.at(w.now+270*time.Millisecond, func() {
			w.setConfig(func(c *Config) { c.DrainedServers = map[ServerID]bool{a.Server: true} })
		})
		return 500 * time.Millisecond
	}
	w.restart(w.servers[0])
	w.run(w.now + 5*second)
	checkWorld(t, w)
	is.New(t).True(delayed != "")
}

// Guards against a decider that goes on without authority: it is cut from the log
// and the members, but still reaches one backend server that nobody else reaches.
func TestDeciderWithoutAuthorityStops(t *testing.T) {
	t.Parallel()
	w := settledWorld(t, 5, true)
	first := w.decider()
	first.logCut, first.peerCut = true, true
	s := w.servers[0]
	w.blocked = func(vm *fakeVM, server *fakeServer) bool { return (vm == first) != (server == s) }
	w.run(w.now + 6*second)
	checkWorld(t, w)
	is.New(t).Equal(w.owned(), worldSlices)
}

// Guards against a member that was admitted while leases of an outage run: it gave
// no promise and would wait too short after its claim.
func TestNewMemberDoesNotKnowOutageLeases(t *testing.T) {
	t.Parallel()
	w := settledWorld(t, 6, true)
	w.logDown(3 * second)
	w.run(w.now + 4*second)
	first := w.decider()
	var others []*fakeVM
	for _, vm := range w.vms {
		if vm != first {
			others = append(others, vm)
		}
	}
	w.start(others[0])
	w.run(w.now + 2*second)
	first.up, others[1].up = false, false
	w.cutServer(w.servers[0], 40*second)
	w.run(w.now + 35*second)
	checkWorld(t, w)
}

// Guards against a first decider after a raised member epoch that waits too short
// for leases of the lost deciders.
func TestMemberEpochWaitsForOutageLeases(t *testing.T) {
	t.Parallel()
	w := settledWorld(t, 7, true)
	w.logDown(3 * second)
	w.run(w.now + 2*second)
	for _, vm := range w.vms {
		vm.up = false
	}
	w.cutServer(w.servers[0], 40*second)
	w.run(w.now + second)
	w.config.MemberEpoch = 1
	for _, vm := range w.vms {
		w.start(vm)
	}
	w.run(w.now + 45*second)
	checkWorld(t, w)
	is.New(t).Equal(w.owned(), worldSlices)
}

// Guards against requests for a hot key that were routed by an old table and run at
// the slice's owner while the hot key has another one; split and merge, with loss
// of the decider in between.
func TestHotKeySplitAndMerge(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := settledWorld(t, seed, true)
		var hot []keyspace.Unit
		for i := range 40 {
			key := fmt.Sprint("key", i)
			w.keys = append(w.keys, key)
			if i < 10 {
				hot = append(hot, keyspace.HashKey("s", key).Hot())
			}
		}
		// One router has the table from before the split.
		stale := &fakeVM{name: "stale", member: Member{VM: "stale"}, table: NewTable()}
		report := func(units []keyspace.Unit) {
			if vm := w.decider(); vm != nil {
				load := make(map[keyspace.Unit]float64)
				for _, unit := range units {
					load[unit] = 20
				}
				w.deliver(vm, LoadReported{Service: "s", Load: load, Hot: units})
			}
		}
		published, _ := w.vms[0].table.Domain("d")
		stale.table.UpdateDomain(published)
		stale.table.UpdateHomes(w.vms[0].decider.Homes())
		w.vms = append(w.vms, stale)
		if seed%2 == 1 {
			// The decider is lost after the record of the split, before the slice
			// is stopped.
			first := w.decider()
			w.delayGrant = func(vm *fakeVM, a SendGrant) time.Duration {
				if len(a.Revoke) == 0 || vm != first {
					return 0
				}
				w.at(w.now, func() { vm.up = false })
				return time.Minute
			}
		}
		report(hot)
		w.run(w.now + 2*second)
		report(hot)
		w.run(w.now + 2*second)
		split := len(w.decider().decider.State().Service("s").Hot)
		published, _ = w.decider().table.Domain("d")
		stale.table.UpdateDomain(published)
		// An owner that the decider can't stop keeps its hot keys until they lapse.
		w.cutServer(w.servers[seed%4], second)
		report(nil)
		w.run(w.now + 2*second)
		merged := len(w.decider().decider.State().Service("s").Hot)
		checkWorld(t, w)
		is := is.New(t)
		is.Equal(split, 10)
		is.Equal(merged, 0)
		is.Equal(w.owned(), worldSlices)
	}
}

// gateBesides returns a backend server whose gate is not the decider, and the gate.
func (w *world) gateBesides(decider *fakeVM) (*fakeServer, *fakeVM) {
	for _, s := range w.servers {
		role := Role{Kind: RoleGate, Service: "s", Name: s.id.Name}
		name, _ := decider.table.RoleVM("d", role)
		if name != "" && name != decider.name {
			return s, w.vm(name)
		}
	}
	return nil, nil
}

// isolate cuts a VM from the others and the log but not from backend servers.
func (w *world) isolate(vm *fakeVM) { vm.logCut, vm.peerCut = true, true }

func (w *world) drain(s *fakeServer) {
	w.setConfig(func(c *Config) { c.DrainedServers = map[ServerID]bool{s.id: true} })
}

// Guards against a move away from a backend server that does not check grants while
// requests which its unreachable gate sent last may still run.
func TestUnreachableGateEndsItsRequests(t *testing.T) {
	t.Parallel()
	w := settledWorld(t, 8, false)
	w.runFor = 400 * time.Millisecond
	s, gate := w.gateBesides(w.decider())
	w.isolate(gate)
	w.drain(s)
	w.run(w.now + 6*second)
	checkWorld(t, w)
	is.New(t).Equal(len(w.decider().decider.lead.services["s"].servers[s.id.Name].held), 0)
}

// Guards against a gate that uses its role after a suspend that stopped its
// monotonic clock.
func TestSuspendedGateLosesItsRole(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := settledWorld(t, seed, false)
		s, gate := w.gateBesides(w.decider())
		w.freezeVM(gate, 2*second, true)
		w.drain(s)
		w.run(w.now + 6*second)
		checkWorld(t, w)
	}
}

// Guards against a successor that takes an unreachable gate for stopped although
// its role lease is one of an outage.
func TestOutageLeaseOfUnreachableGate(t *testing.T) {
	t.Parallel()
	w := settledWorld(t, 9, false)
	first := w.decider()
	s, gate := w.gateBesides(first)
	w.logDown(3 * second)
	w.run(w.now + 2*second)
	first.up = false
	w.isolate(gate)
	w.drain(s)
	w.run(w.now + 45*second)
	checkWorld(t, w)
	is.New(t).Equal(len(w.decider().decider.lead.services["s"].servers[s.id.Name].held), 0)
}
