package ownership

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/keyspace"
)

// PreviousUnknown says that it is not known who had a partition before.
const PreviousUnknown = math.MaxUint64

// Pairs records the holder and backup of partitions of idempotency keys. Unlike
// the other roles these are recorded, because a backup that becomes the holder has
// to know that nobody else was the holder since its copy was made.
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

// PartitionState is the recorded pair with the offsets of its record and of the
// one before.
type PartitionState struct {
	Pair     Pair   `cbor:"1,keyasint"`
	Epoch    uint64 `cbor:"2,keyasint"`
	Previous uint64 `cbor:"3,keyasint"`
}

func (b *Pairs) validate() error {
	if len(b.Pairs) > IdempotencyPartitions {
		return errors.Wrapf(ErrRecord, "%d pairs, limit %d", len(b.Pairs), IdempotencyPartitions)
	}
	for _, pair := range b.Pairs {
		if pair.Partition >= IdempotencyPartitions {
			return errors.Wrapf(ErrRecord, "partition %d, limit %d", pair.Partition, IdempotencyPartitions)
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

// previousEpoch is the epoch of the pair before. Zero means that the partition never
// had a holder; a partition that came from another failure domain had one.
func (s *State) previousEpoch(pair Pair) uint64 {
	const firstHomeEpoch = 1
	former, found := s.Partitions[pair.Partition]
	switch {
	case found && former.Pair.HomeEpoch == pair.HomeEpoch:
		return former.Epoch
	case !found && pair.HomeEpoch == firstHomeEpoch:
		return 0
	default:
		return PreviousUnknown
	}
}

// PartitionAssignment is the published form of a pair.
type PartitionAssignment struct {
	Partition uint32 `cbor:"1,keyasint"`
	Holder    string `cbor:"2,keyasint"`
	Backup    string `cbor:"3,keyasint,omitempty"`
	Epoch     uint64 `cbor:"4,keyasint"`
	Previous  uint64 `cbor:"5,keyasint"`
}

// isPartitionRole reports whether the role is leased only for a recorded pair.
func isPartitionRole(role Role) bool {
	return role.Kind == RoleIdempotencyHolder || role.Kind == RoleIdempotencyBackup
}

// adoptPartitions takes the recorded pairs over at the start of a term.
func (d *Decider) adoptPartitions() {
	for partition, recorded := range d.state.Partitions {
		d.lead.pairSince[partition] = d.now.Mono
		d.lead.roles[Role{Kind: RoleIdempotencyHolder, Partition: partition}] = recorded.Pair.Holder
		if recorded.Pair.Backup != (Member{}) {
			d.lead.roles[Role{Kind: RoleIdempotencyBackup, Partition: partition}] = recorded.Pair.Backup
		}
	}
}

// copyTime is the time after which the backup of a new pair is taken to have a copy
// of the entries. A holder without a copy would answer "unknown" for 10 min.
const copyTime = 5 * time.Second

// pairSettled reports whether the pair has stood for long enough to change places.
func (d *Decider) pairSettled(partition uint32) bool {
	return d.pairRecorded(partition) && d.now.Mono-d.lead.pairSince[partition] >= copyTime
}

// pairsAccepted continues after pairs were read back.
func (d *Decider) pairsAccepted(pairs *Pairs) {
	d.lead.changed = true
	for _, pair := range pairs.Pairs {
		d.lead.pairSince[pair.Partition] = d.now.Mono
	}
}

// promoteBackups makes the backup the holder of a partition that lost its holder,
// since no other VM has the entries.
func (d *Decider) promoteBackups() {
	for role, member := range d.lead.roles {
		if role.Kind != RoleIdempotencyBackup {
			continue
		}
		holder := partner(role)
		if _, held := d.lead.roles[holder]; !held {
			d.lead.roles[holder] = member
			delete(d.lead.roles, role)
			d.lead.changed = true
		}
	}
}

// recordPairs appends the pairs that differ from the recorded ones.
func (d *Decider) recordPairs() {
	isPairs := func(r Record) bool { return r.Pairs != nil }
	if d.authority() != byLog || !d.logAnswers() || d.appending(isPairs) {
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

// partitionsConfig describes the partitions like a service with one backend server
// in each failure domain, for the choice of homes.
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
