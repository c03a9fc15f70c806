package ownership

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a new holder that takes its copy of the idempotency keys for
// complete although another VM was the holder since.
func TestPairsNameTheEpochBefore(t *testing.T) {
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

// Guards against a partition that gets a holder without the entries although its
// backup lives.
func TestBackupBecomesHolder(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, []string{"a"}, 3, 3, true)
	w.run(4 * time.Second)
	decider := w.deciderOf("a")
	former := maps.Clone(decider.decider.State().Partitions)
	is.Equal(len(former), IdempotencyPartitions)
	begin := decider.decider.State().NextOffset
	lost := w.vms[slices.IndexFunc(w.vms, func(vm *fakeVM) bool { return vm != decider })]
	lost.up = false
	w.run(w.now + 2*time.Second)
	first := make(map[uint32]Pair)
	for _, record := range w.log.records[DomainStream]["a"] {
		if record.Offset < begin || record.Record.Pairs == nil {
			continue
		}
		for _, pair := range record.Record.Pairs.Pairs {
			if _, seen := first[pair.Partition]; !seen {
				first[pair.Partition] = pair
			}
		}
	}
	moved := 0
	for partition, recorded := range former {
		if recorded.Pair.Holder != lost.member {
			continue
		}
		moved++
		is.Equal(first[partition].Holder, recorded.Pair.Backup)
	}
	is.True(moved > 0)
}
