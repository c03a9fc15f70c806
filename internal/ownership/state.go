package ownership

import (
	"fireflyfield/internal/keyspace"
)

// maxSeenRecords is the number of record identifiers kept to drop duplicates. A
// duplicate that follows after more records than this changes nothing, because its
// term has ended or applying it twice has the same effect.
const maxSeenRecords = 4096

// Assignment is the backend server that owns a unit and the fencing token of its
// grant.
type Assignment struct {
	Server string `cbor:"1,keyasint"`
	Token  Token  `cbor:"2,keyasint"`
}

// Released records that a slice was given up at home epoch Epoch in favour of the
// failure domain To.
type Released struct {
	Epoch uint64 `cbor:"1,keyasint"`
	To    string `cbor:"2,keyasint"`
}

// ServiceState is the replayed state of one service in a domain stream.
type ServiceState struct {
	// Units holds the recorded owners.
	Units map[keyspace.Unit]Assignment `cbor:"1,keyasint"`
	// Released holds the last release of each slice.
	Released map[keyspace.Unit]Released `cbor:"2,keyasint"`
	// Hot is the set of hot keys.
	Hot map[keyspace.Unit]bool `cbor:"3,keyasint"`
}

// State is the state that results from replaying one domain stream. It is not safe
// for concurrent use.
type State struct {
	// NextOffset is the offset of the first record that was not applied yet.
	NextOffset uint64 `cbor:"1,keyasint"`
	// Term is the current term and Decider its decider.
	Term    Term   `cbor:"2,keyasint"`
	Decider Member `cbor:"3,keyasint"`
	// Members maps the VM of each member to its instance.
	Members map[string]string `cbor:"4,keyasint"`
	// Joins maps the VM of each process that asked to be admitted to its instance.
	Joins       map[string]string        `cbor:"5,keyasint"`
	MemberEpoch uint64                   `cbor:"6,keyasint"`
	Services    map[string]*ServiceState `cbor:"7,keyasint"`
	// BeganWithoutMembers is set if the current term began without members, so that its
	// decider cannot know what the lost deciders granted last.
	BeganWithoutMembers bool `cbor:"8,keyasint"`
	// FirstTerm is set if the current term is the first one.
	FirstTerm bool `cbor:"10,keyasint"`
	// Seen lists the identifiers of at most maxSeenRecords records, the oldest first.
	// seen is the set of the same identifiers.
	Seen []RecordID `cbor:"9,keyasint"`
	// Partitions holds the recorded pairs by partition of idempotency keys.
	Partitions map[uint32]PartitionState `cbor:"11,keyasint"`
	seen       map[RecordID]bool
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		NextOffset: 1,
		Members:    make(map[string]string),
		Joins:      make(map[string]string),
		Services:   make(map[string]*ServiceState),
		Partitions: make(map[uint32]PartitionState),
		seen:       make(map[RecordID]bool),
	}
}

// IsMember reports whether this process of the VM is a member.
func (s *State) IsMember(member Member) bool {
	return member.Instance != "" && s.Members[member.VM] == member.Instance
}

// Service returns the state of the service, creating it when needed.
func (s *State) Service(name string) *ServiceState {
	service, found := s.Services[name]
	if !found {
		service = newServiceState()
		s.Services[name] = service
	}
	return service
}

func newServiceState() *ServiceState {
	return &ServiceState{
		Units:    make(map[keyspace.Unit]Assignment),
		Released: make(map[keyspace.Unit]Released),
		Hot:      make(map[keyspace.Unit]bool),
	}
}

// Apply applies the record at the offset and reports whether it was accepted. The
// result depends only on the stream, so all VMs that replay it agree.
func (s *State) Apply(offset uint64, record Record) bool {
	if offset < s.NextOffset {
		return false
	}
	s.NextOffset = offset + 1
	if s.seen[record.ID] {
		return false
	}
	s.rememberID(record.ID)
	return s.apply(offset, record)
}

// Skip advances past a record at the offset that could not be decoded; every VM skips
// the same records.
func (s *State) Skip(offset uint64) { s.NextOffset = max(s.NextOffset, offset+1) }

// rememberID keeps the identifier to drop duplicates, in place of the oldest one if
// maxSeenRecords are kept.
func (s *State) rememberID(id RecordID) {
	if len(s.Seen) >= maxSeenRecords {
		delete(s.seen, s.Seen[0])
		s.Seen = append(s.Seen[:0], s.Seen[1:]...)
	}
	s.Seen = append(s.Seen, id)
	s.seen[id] = true
}

func (s *State) apply(offset uint64, record Record) bool {
	switch {
	case record.Claim != nil:
		return s.applyClaim(offset, record.Claim)
	case record.Join != nil:
		return s.applyJoin(record.Join)
	case record.Admit != nil:
		return s.applyAdmit(record.Admit)
	case record.Remove != nil:
		return s.applyRemove(record.Remove)
	case record.MemberEpoch != nil:
		return s.applyMemberEpoch(record.MemberEpoch)
	case record.Assign != nil:
		return s.applyAssign(record.Assign)
	case record.Release != nil:
		return s.applyRelease(record.Release)
	case record.Handoff != nil:
		return s.applyHandoff(offset, record.Handoff)
	case record.Hot != nil:
		return s.applyHot(record.Hot)
	case record.Pairs != nil:
		return s.applyPairs(offset, record.Pairs)
	}
	return false
}

func (s *State) applyClaim(offset uint64, claim *Claim) bool {
	if claim.Previous != s.Term {
		return false
	}
	withoutMembers := len(s.Members) == 0
	if !withoutMembers && !s.IsMember(claim.Member) {
		return false
	}
	s.BeganWithoutMembers = withoutMembers
	s.FirstTerm = s.Term == 0
	s.beginTerm(offset, claim.Member)
	return true
}

// beginTerm starts the term of the record at the offset with the given decider.
func (s *State) beginTerm(offset uint64, decider Member) {
	s.Term = TermAt(offset)
	s.Decider = decider
	s.Members[decider.VM] = decider.Instance
	delete(s.Joins, decider.VM)
}

func (s *State) applyJoin(join *Join) bool {
	if s.IsMember(join.Member) {
		return false
	}
	s.Joins[join.Member.VM] = join.Member.Instance
	return true
}

func (s *State) applyAdmit(admit *Admit) bool {
	if admit.Term != s.Term || s.Joins[admit.Member.VM] != admit.Member.Instance {
		return false
	}
	delete(s.Joins, admit.Member.VM)
	s.Members[admit.Member.VM] = admit.Member.Instance
	return true
}

func (s *State) applyRemove(remove *Remove) bool {
	if remove.Term != s.Term || !s.IsMember(remove.Member) || remove.Member == s.Decider {
		return false
	}
	delete(s.Members, remove.Member.VM)
	return true
}

func (s *State) applyMemberEpoch(change *MemberEpoch) bool {
	if change.Epoch <= s.MemberEpoch {
		return false
	}
	s.MemberEpoch = change.Epoch
	clear(s.Members)
	return true
}

func (s *State) applyAssign(assign *Assign) bool {
	if assign.Term != s.Term {
		return false
	}
	service := s.Service(assign.Service)
	token := Token{Term: assign.Term, Counter: assign.Counter}
	for _, unit := range assign.Units {
		if unit.IsHot() && !service.Hot[unit] {
			continue
		}
		if service.Units[unit].Token.Compare(token) < 0 {
			service.Units[unit] = Assignment{Server: assign.Server, Token: token}
		}
	}
	return true
}

func (s *State) applyRelease(release *Release) bool {
	if release.Term != s.Term {
		return false
	}
	service := s.Service(release.Service)
	for _, slice := range release.Slices {
		if service.Released[slice].Epoch < release.Epoch {
			service.Released[slice] = Released{Epoch: release.Epoch, To: release.To}
			delete(service.Units, slice)
		}
	}
	return true
}

func (s *State) applyHandoff(offset uint64, handoff *Handoff) bool {
	if handoff.Term != s.Term || !s.IsMember(handoff.To) {
		return false
	}
	s.BeganWithoutMembers = false
	s.FirstTerm = false
	s.beginTerm(offset, handoff.To)
	return true
}

func (s *State) applyHot(hot *HotKeyChange) bool {
	if hot.Term != s.Term {
		return false
	}
	service := s.Service(hot.Service)
	for _, unit := range hot.Merge {
		delete(service.Hot, unit)
		delete(service.Units, unit)
	}
	for _, unit := range hot.Split {
		if len(service.Hot) < keyspace.MaxHotKeys {
			service.Hot[unit] = true
		}
	}
	return true
}
