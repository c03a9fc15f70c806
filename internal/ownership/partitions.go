package ownership

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/keyspace"
)

// PreviousUnknown is the previous epoch of a partition whose previous pair is not
// known.
const PreviousUnknown = math.MaxUint64

// Pairs records the holder and the backup of partitions of idempotency keys. Other
// roles are not recorded; these are, because a backup that becomes the holder has
// to know that no other VM was the holder since its copy was made.
type Pairs struct {
	Term  Term   `cbor:"1,keyasint"`
	Pairs []Pair `cbor:"2,keyasint"`
}

// Pair is the holder and the backup of one partition; Backup is empty if there is
// no second VM.
type Pair struct {
	Partition uint32 `cbor:"1,keyasint"`
	Holder    Member `cbor:"2,keyasint"`
	Backup    Member `cbor:"3,keyasint"`
	// HomeEpoch is the home epoch of the partition.
	HomeEpoch uint64 `cbor:"4,keyasint"`
}

// PartitionState is the recorded pair of a partition. Epoch is the offset of its
// record and Previous that of the record before, zero if there was none, or
// PreviousUnknown.
type PartitionState struct {
	Pair     Pair   `cbor:"1,keyasint"`
	Epoch    uint64 `cbor:"2,keyasint"`
	Previous uint64 `cbor:"3,keyasint"`
}

func (b *Pairs) validate() error {
	if len(b.Pairs) > IdempotencyPartitions {
		return errors.Wrapf(ErrRecord, "%d partition pairs, limit %d", len(b.Pairs), IdempotencyPartitions)
	}
	for _, pair := range b.Pairs {
		if pair.Partition >= IdempotencyPartitions {
			return errors.Wrapf(ErrRecord, "partition %d, want less than %d", pair.Partition, IdempotencyPartitions)
		}
		if err := pair.Holder.validate(); err != nil {
			return err
		}
		if pair.Backup == (Member{}) {
			continue
		}
		if err := pair.Backup.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) applyPairs(offset uint64, pairs *Pairs) bool {
	if pairs.Term != s.Term {
		return false
	}
	for _, pair := range pairs.Pairs {
		s.Partitions[pair.Partition] = PartitionState{Pair: pair, Epoch: offset, Previous: s.previousEpoch(pair)}
	}
	return true
}

// previousEpoch returns the epoch of the pair that the given one replaces. Zero means
// that the partition never had a holder; a partition that came from another failure
// domain had one.
func (s *State) previousEpoch(pair Pair) uint64 {
	const firstHomeEpoch = 1
	previous, found := s.Partitions[pair.Partition]
	switch {
	case found && previous.Pair.HomeEpoch == pair.HomeEpoch:
		return previous.Epoch
	case !found && pair.HomeEpoch == firstHomeEpoch:
		return 0
	default:
		return PreviousUnknown
	}
}

// PartitionAssignment is the published form of a PartitionState; Holder and Backup
// are names of VMs.
type PartitionAssignment struct {
	Partition uint32 `cbor:"1,keyasint"`
	Holder    string `cbor:"2,keyasint"`
	Backup    string `cbor:"3,keyasint,omitempty"`
	Epoch     uint64 `cbor:"4,keyasint"`
	Previous  uint64 `cbor:"5,keyasint"`
}

// isPartitionRole reports whether the role is that of a holder or backup, which is
// leased only while the pair is recorded.
func isPartitionRole(role Role) bool {
	return role.Kind == RoleIdempotencyHolder || role.Kind == RoleIdempotencyBackup
}

// adoptPartitions takes over the recorded pairs at the start of a term.
func (d *Decider) adoptPartitions() {
	for partition, recorded := range d.state.Partitions {
		d.lead.pairRecordedAt[partition] = d.now.Mono
		d.lead.roles[Role{Kind: RoleIdempotencyHolder, Partition: partition}] = recorded.Pair.Holder
		if recorded.Pair.Backup != (Member{}) {
			d.lead.roles[Role{Kind: RoleIdempotencyBackup, Partition: partition}] = recorded.Pair.Backup
		}
	}
}

// backupCopyDuration is the time after which the backup of a new pair counts as having
// a copy of the entries. A holder without a copy would answer "unknown" for 10 min.
const backupCopyDuration = 5 * time.Second

// pairSettled reports whether the pair has been recorded for long enough that holder
// and backup may swap.
func (d *Decider) pairSettled(partition uint32) bool {
	return d.pairRecorded(partition) && d.now.Mono-d.lead.pairRecordedAt[partition] >= backupCopyDuration
}

// pairsAccepted handles pairs that were read back.
func (d *Decider) pairsAccepted(pairs *Pairs) {
	d.lead.mapChanged = true
	for _, pair := range pairs.Pairs {
		d.lead.pairRecordedAt[pair.Partition] = d.now.Mono
	}
}

// promoteBackups makes the backup the holder of each partition that lost its holder,
// because no other VM has the entries.
func (d *Decider) promoteBackups() {
	for role, member := range d.lead.roles {
		if role.Kind != RoleIdempotencyBackup {
			continue
		}
		holder := counterpart(role)
		if _, held := d.lead.roles[holder]; !held {
			d.lead.roles[holder] = member
			delete(d.lead.roles, role)
			d.lead.mapChanged = true
		}
	}
}

// recordPairs appends the pairs that differ from the recorded ones.
func (d *Decider) recordPairs() {
	isPairs := func(r Record) bool { return r.Pairs != nil }
	if d.authority() != authorityFromLog || !d.logAvailable() || d.hasPendingAppend(isPairs) {
		return
	}
	var changed []Pair
	for partition := range uint32(IdempotencyPartitions) {
		pair, wanted := d.plannedPair(partition)
		if wanted && d.state.Partitions[partition].Pair != pair {
			changed = append(changed, pair)
		}
	}
	if len(changed) > 0 {
		d.append(DomainStream, Record{Pairs: &Pairs{Term: d.lead.term, Pairs: changed}})
	}
}

// plannedPair returns the pair that the assigned roles amount to; false if the
// partition has no holder.
func (d *Decider) plannedPair(partition uint32) (Pair, bool) {
	holder, wanted := d.lead.roles[Role{Kind: RoleIdempotencyHolder, Partition: partition}]
	if !wanted {
		return Pair{}, false
	}
	return Pair{
		Partition: partition,
		Holder:    holder,
		Backup:    d.lead.roles[Role{Kind: RoleIdempotencyBackup, Partition: partition}],
		HomeEpoch: d.homes.Home(IdempotencyService, keyspace.Unit(partition)).Epoch,
	}, true
}

// pairRecorded reports whether the recorded pair is the planned one, so that its
// roles may be leased.
func (d *Decider) pairRecorded(partition uint32) bool {
	pair, wanted := d.plannedPair(partition)
	return wanted && d.state.Partitions[partition].Pair == pair
}

func (d *Decider) partitionAssignments() []PartitionAssignment {
	var assignments []PartitionAssignment
	for _, partition := range slices.Sorted(maps.Keys(d.state.Partitions)) {
		if !d.pairRecorded(partition) {
			continue
		}
		recorded := d.state.Partitions[partition]
		assignments = append(assignments, PartitionAssignment{
			Partition: partition,
			Holder:    recorded.Pair.Holder.VM,
			Backup:    recorded.Pair.Backup.VM,
			Epoch:     recorded.Epoch,
			Previous:  recorded.Previous,
		})
	}
	return assignments
}

// partitionsConfig returns the partitions in the form of a service with one backend
// server in each failure domain, for the choice of homes.
func (d *Decider) partitionsConfig() ServiceConfig {
	config := ServiceConfig{Name: IdempotencyService, Slices: IdempotencyPartitions}
	seen := make(map[string]bool)
	for _, service := range d.config.Services {
		for _, server := range service.Servers {
			if !seen[server.Domain] {
				seen[server.Domain] = true
				config.Servers = append(config.Servers, ServerConfig{Name: server.Domain, Domain: server.Domain})
			}
		}
	}
	return config
}
