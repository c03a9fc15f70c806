package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/keyspace"
)

// Each test in this file runs a sequence of events in which a single rule prevents two
// backend servers from owning the same unit.

// newSettledSimulation returns a simulation of domain d that has run for settleDuration
// and has a decider.
func newSettledSimulation(t *testing.T, seed uint64, checks bool) *simulation {
	t.Helper()
	sim := newSimulation(seed, []string{"d"}, 3, 4, checks)
	sim.signalsRefusal = true
	sim.run(settleDuration)
	if sim.decider() == nil || len(sim.lastServedAt) != simulationSlices {
		t.Fatal("no decider or not all slices requested after settleDuration")
	}
	return sim
}

func checkNoOwnerOverlap(t *testing.T, sim *simulation) {
	t.Helper()
	if err := checkExclusiveOwnership(sim.events); err != nil {
		t.Error(err)
	}
}

// heldUnits counts the units held by the backend servers that are up.
func (sim *simulation) heldUnits() int {
	count := 0
	for _, s := range sim.servers {
		if s.up {
			count += len(s.held)
		}
	}
	return count
}

// Guards against a successor that does not wait for the leases granted during an
// outage of the shared log, after the proof that the previous decider ended freed it
// from its promise.
func TestSuccessorWaitsForOutageLeases(t *testing.T) {
	t.Parallel()
	sim := newSettledSimulation(t, 1, true)
	sim.logDown(3 * second)
	sim.run(sim.now + 2*second)
	sim.decider().up = false
	sim.disconnectServer(sim.servers[0], 40*second)
	sim.run(sim.now + 45*second)
	checkNoOwnerOverlap(t, sim)
	is.New(t).Equal(sim.heldUnits(), simulationSlices)
}

// Guards against a successor that grants a unit although an unreachable backend server
// may hold it by a provisional grant, which is not recorded.
func TestProvisionalGrantAtUnreachableServer(t *testing.T) {
	t.Parallel()
	sim := newSettledSimulation(t, 2, true)
	sim.logDown(4 * second)
	sim.run(sim.now + second)
	sim.restartServer(sim.servers[0])
	sim.run(sim.now + 2*second)
	sim.decider().up = false
	sim.disconnectServer(sim.servers[1], 40*second)
	sim.disconnectServer(sim.servers[2], 40*second)
	sim.run(sim.now + 45*second)
	checkNoOwnerOverlap(t, sim)
	is.New(t).Equal(sim.heldUnits(), simulationSlices)
}

// Guards against a grant of a lost decider that arrives after its successor queried the
// backend server: the server must reject it because the query had a higher term.
func TestDelayedGrantOfAnEarlierDecider(t *testing.T) {
	t.Parallel()
	sim := newSettledSimulation(t, 3, true)
	oldDecider := sim.decider()
	delayed := ""
	sim.delayGrant = func(vm *fakeVM, a SendGrant) time.Duration {
		if vm != oldDecider || len(a.Grant) == 0 || delayed != "" {
			return 0
		}
		delayed = a.Server.Name
		sim.schedule(sim.now+time.Millisecond, func() { oldDecider.up = false })
		sim.setConfig(func(c *Config) { c.DrainedServers = map[ServerID]bool{a.Server: true} })
		return 640 * time.Millisecond
	}
	sim.restartServer(sim.servers[0])
	sim.run(sim.now + 5*second)
	checkNoOwnerOverlap(t, sim)
	is.New(t).True(delayed != "")
}

// Guards against a delayed grant that arrives after the unit was revoked and granted to
// another backend server.
func TestDelayedGrantAfterRevoke(t *testing.T) {
	t.Parallel()
	sim := newSettledSimulation(t, 4, true)
	delayed := ""
	sim.delayGrant = func(_ *fakeVM, a SendGrant) time.Duration {
		if len(a.Grant) == 0 || delayed != "" {
			return 0
		}
		delayed = a.Server.Name
		sim.schedule(sim.now+270*time.Millisecond, func() {
			sim.setConfig(func(c *Config) { c.DrainedServers = map[ServerID]bool{a.Server: true} })
		})
		return 500 * time.Millisecond
	}
	sim.restartServer(sim.servers[0])
	sim.run(sim.now + 5*second)
	checkNoOwnerOverlap(t, sim)
	is.New(t).True(delayed != "")
}

// Guards against a decider that goes on without authority: it is disconnected from the
// shared log and the members, but reaches one backend server that no other VM reaches.
func TestDeciderWithoutAuthorityStops(t *testing.T) {
	t.Parallel()
	sim := newSettledSimulation(t, 5, true)
	oldDecider := sim.decider()
	oldDecider.logDisconnected, oldDecider.peersDisconnected = true, true
	s := sim.servers[0]
	sim.blocked = func(vm *fakeVM, server *fakeServer) bool { return (vm == oldDecider) != (server == s) }
	sim.run(sim.now + 6*second)
	checkNoOwnerOverlap(t, sim)
	is.New(t).Equal(sim.heldUnits(), simulationSlices)
}

// Guards against a member that is admitted while leases of an outage run: it gave no
// promise and would not wait long enough after its claim.
func TestNoMemberAdmittedDuringOutageLeases(t *testing.T) {
	t.Parallel()
	sim := newSettledSimulation(t, 6, true)
	sim.logDown(3 * second)
	sim.run(sim.now + 4*second)
	oldDecider := sim.decider()
	var others []*fakeVM
	for _, vm := range sim.vms {
		if vm != oldDecider {
			others = append(others, vm)
		}
	}
	sim.startVM(others[0])
	sim.run(sim.now + 2*second)
	oldDecider.up, others[1].up = false, false
	sim.disconnectServer(sim.servers[0], 40*second)
	sim.run(sim.now + 35*second)
	checkNoOwnerOverlap(t, sim)
}

// Guards against a decider that, after the member epoch was raised, does not wait long
// enough for leases granted by the lost members.
func TestMemberEpochWaitsForOutageLeases(t *testing.T) {
	t.Parallel()
	sim := newSettledSimulation(t, 7, true)
	sim.logDown(3 * second)
	sim.run(sim.now + 2*second)
	for _, vm := range sim.vms {
		vm.up = false
	}
	sim.disconnectServer(sim.servers[0], 40*second)
	sim.run(sim.now + second)
	sim.config.MemberEpoch = 1
	for _, vm := range sim.vms {
		sim.startVM(vm)
	}
	sim.run(sim.now + 45*second)
	checkNoOwnerOverlap(t, sim)
	is.New(t).Equal(sim.heldUnits(), simulationSlices)
}

// Guards against requests for a hot key that are routed by an old table and run at the
// owner of its slice while the hot key has another owner, during a split and a merge.
// With odd seeds the decider is lost during the split.
func TestHotKeySplitAndMerge(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		sim := newSettledSimulation(t, seed, true)
		var hot []keyspace.Unit
		for i := range 40 {
			key := fmt.Sprint("key", i)
			sim.keys = append(sim.keys, key)
			if i < 10 {
				hot = append(hot, keyspace.HashKey("s", key).HotUnit())
			}
		}
		// One VM routes requests by the table from before the split.
		stale := &fakeVM{name: "stale", member: Member{VM: "stale"}, table: NewTable()}
		report := func(units []keyspace.Unit) {
			if vm := sim.decider(); vm != nil {
				load := make(map[keyspace.Unit]float64)
				for _, unit := range units {
					load[unit] = 20
				}
				sim.deliver(vm, LoadReported{Service: "s", Load: load, Hot: units})
			}
		}
		published, _ := sim.vms[0].table.Domain("d")
		stale.table.UpdateDomain(published)
		stale.table.UpdateHomes(sim.vms[0].decider.Homes())
		sim.vms = append(sim.vms, stale)
		if seed%2 == 1 {
			// The decider is lost after it recorded the split and before it revoked
			// the slice.
			oldDecider := sim.decider()
			sim.delayGrant = func(vm *fakeVM, a SendGrant) time.Duration {
				if len(a.Revoke) == 0 || vm != oldDecider {
					return 0
				}
				sim.schedule(sim.now, func() { vm.up = false })
				return time.Minute
			}
		}
		report(hot)
		sim.run(sim.now + 2*second)
		report(hot)
		sim.run(sim.now + 2*second)
		split := len(sim.decider().decider.State().Service("s").Hot)
		published, _ = sim.decider().table.Domain("d")
		stale.table.UpdateDomain(published)
		// An owner that the decider can't reach keeps its hot keys until the leases
		// expire.
		sim.disconnectServer(sim.servers[seed%4], second)
		report(nil)
		sim.run(sim.now + 2*second)
		merged := len(sim.decider().decider.State().Service("s").Hot)
		checkNoOwnerOverlap(t, sim)
		is := is.New(t)
		is.Equal(split, 10)
		is.Equal(merged, 0)
		is.Equal(sim.heldUnits(), simulationSlices)
	}
}

// gateOtherThan returns a backend server whose gate is not the decider, and that gate.
func (sim *simulation) gateOtherThan(decider *fakeVM) (*fakeServer, *fakeVM) {
	for _, s := range sim.servers {
		role := Role{Kind: RoleGate, Service: "s", Name: s.id.Name}
		name, _ := decider.table.RoleVM("d", role)
		if name != "" && name != decider.name {
			return s, sim.vm(name)
		}
	}
	return nil, nil
}

// isolateVM disconnects a VM from the other VMs and the shared log but not from the
// backend servers.
func (sim *simulation) isolateVM(vm *fakeVM) { vm.logDisconnected, vm.peersDisconnected = true, true }

func (sim *simulation) drainServer(s *fakeServer) {
	sim.setConfig(func(c *Config) { c.DrainedServers = map[ServerID]bool{s.id: true} })
}

// Guards against a move away from a backend server that does not check grants while the
// last requests sent by its unreachable gate may still run.
func TestMoveWaitsForRequestsOfUnreachableGate(t *testing.T) {
	t.Parallel()
	sim := newSettledSimulation(t, 8, false)
	sim.requestDuration = 400 * time.Millisecond
	s, gate := sim.gateOtherThan(sim.decider())
	sim.isolateVM(gate)
	sim.drainServer(s)
	sim.run(sim.now + 6*second)
	checkNoOwnerOverlap(t, sim)
	is.New(t).Equal(len(sim.decider().decider.lead.services["s"].servers[s.id.Name].held), 0)
}

// Guards against a gate that uses its role after a suspension during which its monotonic
// clock stood still.
func TestSuspendedGateLosesItsRole(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim := newSettledSimulation(t, seed, false)
		s, gate := sim.gateOtherThan(sim.decider())
		sim.pauseVM(gate, 2*second, true)
		sim.drainServer(s)
		sim.run(sim.now + 6*second)
		checkNoOwnerOverlap(t, sim)
	}
}

// Guards against a successor that considers an unreachable gate stopped although its
// role lease was granted during an outage and still runs.
func TestSuccessorWaitsForOutageLeaseOfGate(t *testing.T) {
	t.Parallel()
	sim := newSettledSimulation(t, 9, false)
	oldDecider := sim.decider()
	s, gate := sim.gateOtherThan(oldDecider)
	sim.logDown(3 * second)
	sim.run(sim.now + 2*second)
	oldDecider.up = false
	sim.isolateVM(gate)
	sim.drainServer(s)
	sim.run(sim.now + 45*second)
	checkNoOwnerOverlap(t, sim)
	is.New(t).Equal(len(sim.decider().decider.lead.services["s"].servers[s.id.Name].held), 0)
}
