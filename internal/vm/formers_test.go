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

var gatedServer = gate.ServerID{Service: "rota", Name: "rota-1"}

func mapWithGate(vm string) ownership.DomainMap {
	role := ownership.Role{Kind: ownership.RoleGate, Service: gatedServer.Service, Name: gatedServer.Name}
	return ownership.DomainMap{Roles: []ownership.RoleAssignment{{Role: role, VM: vm}}}
}

// Guards against a takeover that asks the present gate, which the newest map names,
// instead of the one before.
func TestFormerGateIsRemembered(t *testing.T) {
	is := is.New(t)
	f := newFormers()
	f.note(mapWithGate("a"), mapWithGate("a"))
	_, ok := f.of(gatedServer)
	is.True(!ok)
	f.note(mapWithGate("a"), mapWithGate("b"))
	former, ok := f.of(gatedServer)
	is.True(ok)
	is.Equal(former, "a")
}

// Guards against a slot that stays reserved for a former gate which is gone.
func TestReservedSlotIsFreed(t *testing.T) {
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
	r.formers.setSilent(gatedServer, "a") // "a" is not on the platform's list
	r.checkFormers(t.Context())
	is.Equal(opened.Snapshot().Reserved, 0)
	is.Equal(len(r.formers.takeSilent()), 0)
}
