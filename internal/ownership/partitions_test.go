package ownership

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a new holder that considers its copy of the idempotency keys complete
// although another VM was the holder since the copy was made.
func TestPairRecordsPreviousEpoch(t *testing.T) {
	is := is.New(t)
	state := NewState()
	vm := func(name string) Member { return Member{VM: name, Instance: "1"} }
	id := byte(0)
	apply := func(offset uint64, record Record) bool {
		id++
		record.ID[0] = id
		return state.Apply(offset, record)
	}
	pairs := func(term Term, holder, backup Member, home uint64) Record {
		return Record{Pairs: &Pairs{Term: term, Pairs: []Pair{{Partition: 5, Holder: holder, Backup: backup, HomeEpoch: home}}}}
	}
	is.True(apply(1, Record{Claim: &Claim{Member: vm("a")}}))
	term := TermAt(1)
	is.True(apply(2, pairs(term, vm("a"), vm("b"), 1)))
	is.Equal(state.Partitions[5].Previous, uint64(0))
	is.True(apply(3, pairs(term, vm("b"), vm("c"), 1)))
	is.Equal(state.Partitions[5].Previous, uint64(2))
	is.Equal(state.Partitions[5].Epoch, uint64(3))
	is.True(!apply(4, pairs(TermAt(9), vm("c"), Member{}, 1))) // of another term
	is.True(apply(5, pairs(term, vm("b"), vm("a"), 3)))        // came back from another failure domain
	is.Equal(state.Partitions[5].Previous, uint64(PreviousUnknown))
}

// Guards against assigning a partition to a holder without the entries although its
// backup is alive.
func TestBackupBecomesHolder(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, []string{"a"}, 3, 3, true)
	sim.run(4 * time.Second)
	decider := sim.deciderOf("a")
	before := maps.Clone(decider.decider.State().Partitions)
	is.Equal(len(before), IdempotencyPartitions)
	begin := decider.decider.State().NextOffset
	lost := sim.vms[slices.IndexFunc(sim.vms, func(vm *fakeVM) bool { return vm != decider })]
	lost.up = false
	sim.run(sim.now + 2*time.Second)
	firstPairs := make(map[uint32]Pair)
	for _, record := range sim.log.records[DomainStream]["a"] {
		if record.Offset < begin || record.Record.Pairs == nil {
			continue
		}
		for _, pair := range record.Record.Pairs.Pairs {
			if _, seen := firstPairs[pair.Partition]; !seen {
				firstPairs[pair.Partition] = pair
			}
		}
	}
	moved := 0
	for partition, recorded := range before {
		if recorded.Pair.Holder != lost.member {
			continue
		}
		moved++
		is.Equal(firstPairs[partition].Holder, recorded.Pair.Backup)
	}
	is.True(moved > 0)
}
