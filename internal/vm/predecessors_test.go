package vm

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/admission"
	"fireflyfield/internal/gate"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/resource"
)

// gatedServer is the backend server whose gate moves in these tests.
var gatedServer = gate.ServerID{Service: "rota", Name: "rota-1"}

func mapWithGate(vm string) ownership.DomainMap {
	role := ownership.Role{Kind: ownership.RoleGate, Service: gatedServer.Service, Name: gatedServer.Name}
	return ownership.DomainMap{Roles: []ownership.RoleAssignment{{Role: role, VM: vm}}}
}

// Guards against a takeover that asks the current gate, which the newest map names,
// for its state instead of the previous gate.
func TestPreviousGateIsRecorded(t *testing.T) {
	is := is.New(t)
	p := newGatePredecessors()
	p.recordChanges(mapWithGate("a"), mapWithGate("a"))
	_, ok := p.lookup(gatedServer)
	is.True(!ok)
	p.recordChanges(mapWithGate("a"), mapWithGate("b"))
	previous, ok := p.lookup(gatedServer)
	is.True(ok)
	is.Equal(previous, "a")
}

// Guards against a slot that stays reserved for an unreachable predecessor after the
// platform has removed that VM from its list.
func TestReservedSlotIsFreedWhenPredecessorIsGone(t *testing.T) {
	is := is.New(t)
	v := &VM{fleet: newFleet(), gates: gate.NewSet(nil, time.Now, nil)}
	r := newRoles(v, newClock())
	spec := &resource.ServiceSpec{Slots: 4, Connections: 4, Timeout: resource.Duration(time.Second)}
	is.NoErr(v.gates.Open(gate.Server{
		ID: gatedServer, Address: "127.0.0.1:1", Spec: spec, Takeover: &admission.Takeover{Unreachable: true},
	}, time.Now().Add(time.Minute)))
	opened, ok := v.gates.Gate(gatedServer)
	is.True(ok)
	is.Equal(opened.Snapshot().Reserved, 1)
	r.predecessors.markUnreachable(gatedServer, "a") // "a" is not on the platform's list
	r.checkPredecessors(t.Context())
	is.Equal(opened.Snapshot().Reserved, 0)
	is.Equal(len(r.predecessors.takeUnreachable()), 0)
}
