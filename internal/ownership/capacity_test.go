package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fireflyfield/internal/capacity/statesize"
	"fireflyfield/internal/keyspace"
)

// filledTable returns a table of one failure domain with the given number of slices of
// one service, all owned.
func filledTable(slices int) *Table {
	table := NewTable()
	homes := NewHomes()
	homes.Apply(1, Record{Init: &Init{Service: "s", Slices: uint32(slices), Domains: []string{"d"}}})
	table.UpdateHomes(homes)
	units := make(map[keyspace.Unit]Assignment, slices)
	for i := range keyspace.Unit(slices) {
		units[i] = Assignment{Server: "backend", Token: Token{Term: 1, Counter: uint64(i)}}
	}
	table.UpdateDomain(DomainMap{Domain: "d", Services: map[string]ServiceMap{"s": {Units: units}}})
	return table
}

// BenchmarkOwnershipTable measures the memory of a table by its number of slices.
func BenchmarkOwnershipTable(b *testing.B) {
	for _, units := range []int{4096, 16384, 65536} {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			statesize.Report(b, func() any { return filledTable(units) })
		})
	}
}

// benchmarkRoles is the number of roles of one member in the benchmarks. It is the
// number of backend servers, and so of gates, per VM in the example configuration.
const benchmarkRoles = 12

// BenchmarkMembers measures the memory of a decider by its number of members.
func BenchmarkMembers(b *testing.B) {
	for _, count := range []int{50, 200, 820} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			statesize.Report(b, func() any { return memberStates(count) })
		})
	}
}

func memberStates(count int) *leadership {
	lead := &leadership{members: make(map[Member]*lessee[Role]), heartbeatSentAt: make(map[Member]Instant), roles: make(map[Role]Member)}
	for i := range count {
		member := Member{VM: fmt.Sprintf("vm-%d", i), Instance: fmt.Sprintf("5d2b8a4e-7a51-4d1c-9a5b-%012d", i)}
		lead.members[member] = newLessee[Role](0)
		lead.heartbeatSentAt[member] = Instant{}
		for n := range benchmarkRoles {
			role := Role{Kind: RoleGate, Service: "entretien", Name: fmt.Sprintf("entretien-%d", i*benchmarkRoles+n)}
			lead.members[member].held[role] = Token{Term: 1}
			lead.roles[role] = member
		}
	}
	return lead
}

// BenchmarkRoute measures the lookup of one key in a table with 65,536 slices.
func BenchmarkRoute(b *testing.B) {
	table := filledTable(65536)
	b.ReportAllocs()
	for b.Loop() {
		table.Lookup("s", "some-key")
	}
}

// BenchmarkHeartbeat measures the encoding and decoding of a heartbeat with the roles
// of a member and of its reply, without the decision logic.
func BenchmarkHeartbeat(b *testing.B) {
	var roles []Role
	for i := range benchmarkRoles {
		roles = append(roles, Role{Kind: RoleGate, Service: "entretien", Name: fmt.Sprintf("entretien-%d", i)})
	}
	member := Member{VM: "vm-plateau", Instance: "5d2b8a4e-7a51-4d1c-9a5b-0d3f5f1c2b3a"}
	heartbeat := Heartbeat{Term: 1 << 20, From: member, To: member, Seq: 1 << 20, SentAt: time.Hour, Roles: roles, Echo: time.Hour, Expires: time.Hour}
	reply := HeartbeatReply{Term: 1 << 20, From: member, Seq: 1 << 20, SentAt: time.Hour, Now: time.Hour, Roles: roles}
	bytes := 0
	for b.Loop() {
		bytes = roundTrip(b, heartbeat, &Heartbeat{}) + roundTrip(b, reply, &HeartbeatReply{})
	}
	b.ReportMetric(float64(bytes), "wire-B/op")
}

func roundTrip(b *testing.B, message, into any) int {
	data, err := cbor.Marshal(message)
	if err == nil {
		err = cbor.Unmarshal(data, into)
	}
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
