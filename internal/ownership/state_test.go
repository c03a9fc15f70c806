package ownership

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"fireflyfield/internal/keyspace"
)

// replay applies records to a state at consecutive offsets.
type replay struct {
	state  *State
	offset uint64
}

func newReplay() *replay { return &replay{state: NewState()} }

func (r *replay) apply(record Record) bool {
	r.offset++
	record.ID[8], record.ID[9] = byte(r.offset), byte(r.offset>>8)
	return r.state.Apply(r.offset, record)
}

var (
	firstVM  = Member{VM: "vm-1", Instance: "a"}
	secondVM = Member{VM: "vm-2", Instance: "b"}
)

// Guards against two deciders in one term, and against claims of processes that have
// given no promise because they are not members or were restarted.
func TestClaimRequiresMembershipAndCurrentTerm(t *testing.T) {
	is := is.New(t)
	replay := newReplay()
	is.True(replay.apply(Record{Claim: &Claim{Member: firstVM}}))
	is.True(!replay.apply(Record{Claim: &Claim{Member: secondVM}}))
	is.True(!replay.apply(Record{Claim: &Claim{Member: secondVM, Previous: TermAt(1)}}))
	is.True(replay.apply(Record{Join: &Join{Member: secondVM}}))
	is.True(!replay.apply(Record{Claim: &Claim{Member: secondVM, Previous: TermAt(1)}}))
	is.True(replay.apply(Record{Admit: &Admit{Term: TermAt(1), Member: secondVM}}))
	restarted := Member{VM: secondVM.VM, Instance: "c"}
	is.True(!replay.apply(Record{Claim: &Claim{Member: restarted, Previous: TermAt(1)}}))
	is.True(replay.apply(Record{Claim: &Claim{Member: secondVM, Previous: TermAt(1)}}))
	is.True(!replay.apply(Record{Claim: &Claim{Member: firstVM, Previous: TermAt(1)}}))
	is.Equal(replay.state.Decider, secondVM)
	is.Equal(replay.state.Term, TermAt(8))
	is.True(!replay.state.BeganWithoutMembers)
}

// Guards against records of an ended term that take effect.
func TestRecordsOfAnEndedTermAreDropped(t *testing.T) {
	is := is.New(t)
	replay := newReplay()
	replay.apply(Record{Claim: &Claim{Member: firstVM}})
	old := TermAt(1)
	is.True(replay.apply(Record{Claim: &Claim{Member: firstVM, Previous: old}}))
	units := []keyspace.Unit{1}
	is.True(!replay.apply(Record{Assign: &Assign{Term: old, Service: "s", Server: "b", Units: units}}))
	is.True(!replay.apply(Record{Release: &Release{Term: old, Service: "s", To: "d", Epoch: 1, Slices: units}}))
	is.True(!replay.apply(Record{Remove: &Remove{Term: old, Member: secondVM}}))
	is.True(!replay.apply(Record{Handoff: &Handoff{Term: old, To: firstVM}}))
	is.True(!replay.apply(Record{Hot: &HotKeyChange{Term: old, Service: "s"}}))
	is.Equal(len(replay.state.Services), 0)
}

// Guards against a record that is applied twice because its append was repeated.
func TestRepeatedRecordIsDropped(t *testing.T) {
	is := is.New(t)
	state := NewState()
	join := Record{ID: RecordID{1}, Join: &Join{Member: firstVM}}
	is.True(state.Apply(1, join))
	is.True(state.Apply(2, Record{ID: RecordID{2}, Claim: &Claim{Member: firstVM}}))
	is.True(state.Apply(3, Record{ID: RecordID{3}, MemberEpoch: &MemberEpoch{Epoch: 1}}))
	is.True(!state.Apply(4, join))
	is.True(!state.Apply(4, Record{ID: RecordID{4}, MemberEpoch: &MemberEpoch{Epoch: 2}}))
	is.Equal(len(state.Joins), 0)
	is.Equal(state.NextOffset, uint64(5))
}

// Guards against a raised member epoch after which no VM can become the decider.
func TestMemberEpochEmptiesMembers(t *testing.T) {
	is := is.New(t)
	replay := newReplay()
	replay.apply(Record{Claim: &Claim{Member: firstVM}})
	is.True(replay.apply(Record{MemberEpoch: &MemberEpoch{Epoch: 1}}))
	is.True(!replay.apply(Record{MemberEpoch: &MemberEpoch{Epoch: 1}}))
	is.True(replay.apply(Record{Claim: &Claim{Member: secondVM, Previous: TermAt(1)}}))
	is.True(replay.state.BeganWithoutMembers)
}

// Guards against a delayed or repeated home record that moves a slice back.
func TestOutdatedHomeRecordIsDropped(t *testing.T) {
	is := is.New(t)
	homes := NewHomes()
	is.True(homes.Apply(1, Record{Init: &Init{Service: "s", Slices: 4, Domains: []string{"a", "b"}}}))
	is.True(!homes.Apply(2, Record{Init: &Init{Service: "s", Slices: 4, Domains: []string{"c"}}}))
	move := Record{Home: &Home{Service: "s", To: "c", Epoch: 1, Slices: []keyspace.Unit{0, 9}}}
	is.True(homes.Apply(3, move))
	back := Record{Home: &Home{Service: "s", To: "a", Epoch: 2, Slices: []keyspace.Unit{0}}}
	is.True(homes.Apply(4, back))
	is.True(!homes.Apply(5, move))
	is.Equal(homes.Home("s", 0), SliceHome{Domain: "a", Epoch: 3})
	is.Equal(homes.Home("s", 1), SliceHome{Domain: "b", Epoch: 1})
	is.Equal(homes.Home("s", 9), SliceHome{})
}

// Guards against a table that accepts an older map, or that routes a hot key without an
// owner to the owner of its slice.
func TestTableLookupAndUpdate(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.Equal(table.Lookup("s", "k").Status, UnknownService)
	homes := NewHomes()
	homes.Apply(1, Record{Init: &Init{Service: "s", Slices: 1, Domains: []string{"d"}}})
	is.True(table.UpdateHomes(homes))
	is.True(!table.UpdateHomes(homes))
	is.Equal(table.Lookup("s", "k"), Route{Status: NoOwner, Domain: "d"})
	owner := Assignment{Server: "b", Token: Token{Term: TermAt(1), Counter: 2}}
	gate := Role{Kind: RoleGate, Service: "s", Name: "b"}
	published := DomainMap{
		Domain: "d", Term: TermAt(2), Version: 5,
		Services: map[string]ServiceMap{"s": {Units: map[keyspace.Unit]Assignment{0: owner}}},
		Roles:    []RoleAssignment{{Role: gate, VM: "vm-1"}},
	}
	is.True(table.UpdateDomain(published))
	want := Route{Status: Owned, Domain: "d", Server: "b", Token: owner.Token, Gate: "vm-1"}
	is.Equal(table.Lookup("s", "k"), want)
	is.True(!table.UpdateDomain(DomainMap{Domain: "d", Term: TermAt(1), Version: 9}))
	is.True(!table.UpdateDomain(published))
	is.Equal(table.Lookup("s", "k"), want)
	hot := keyspace.HashKey("s", "k").HotUnit()
	published.Version++
	published.Services = map[string]ServiceMap{"s": {
		Units: published.Services["s"].Units,
		Hot:   map[keyspace.Unit]bool{hot: true},
	}}
	is.True(table.UpdateDomain(published))
	is.Equal(table.Lookup("s", "k"), Route{Status: NoOwner, Unit: hot, Domain: "d"})
}

// Guards against data races between readers and updates; run with -race.
func TestTableConcurrentUse(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	homes := NewHomes()
	homes.Apply(1, Record{Init: &Init{Service: "s", Slices: 8, Domains: []string{"d"}}})
	table.UpdateHomes(homes)
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for version := range 200 {
				table.UpdateDomain(DomainMap{Domain: "d", Term: TermAt(uint64(worker)), Version: uint64(version)})
				table.Lookup("s", "k")
			}
		})
	}
	group.Go(func() {
		for epoch := range 200 {
			move := &Home{Service: "s", To: "d", Epoch: uint64(epoch + 1), Slices: []keyspace.Unit{1}}
			homes.Apply(homes.NextOffset, Record{Home: move})
			table.UpdateHomes(homes)
		}
	})
	group.Wait()
	published, found := table.Domain("d")
	is.True(found)
	is.Equal(published.Term, TermAt(3))
}

// BenchmarkLookup measures one lookup in a table with 65,536 slices.
func BenchmarkLookup(b *testing.B) {
	table := NewTable()
	homes := NewHomes()
	homes.Apply(1, Record{Init: &Init{Service: "s", Slices: 65536, Domains: []string{"d"}}})
	table.UpdateHomes(homes)
	units := make(map[keyspace.Unit]Assignment)
	for i := range keyspace.Unit(65536) {
		units[i] = Assignment{Server: "b"}
	}
	table.UpdateDomain(DomainMap{Domain: "d", Services: map[string]ServiceMap{"s": {Units: units}}})
	for b.Loop() {
		table.Lookup("s", "some-key")
	}
}
