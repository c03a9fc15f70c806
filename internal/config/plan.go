package config

import (
	"encoding/json"

	"fireflyfield/internal/resource"
)

// limits is the largest number of resources of each kind.
var limits = map[resource.Kind]int{
	resource.KindFailureDomain: 64,
	resource.KindService:       256,
	resource.KindWorkspace:     4096,
	resource.KindCallerKey:     32768,
	resource.KindRate:          4096,
	resource.KindDrain:         4096,
}

// MaxResources returns the largest number of resources of the kind.
func MaxResources(kind resource.Kind) int { return limits[kind] }

// MaxTotalBytes bounds the documents of all resources together, so that a snapshot
// stays below its own limit.
const MaxTotalBytes = 32 << 20

// overlay is the state as it would be after the changes of one record. A nil
// entry is a deleted resource.
type overlay struct {
	state   *State
	changes map[resource.ID]*resource.Resource
	sizes   map[resource.ID]int
	order   []resource.ID
}

func (o *overlay) find(id resource.ID) (resource.Resource, bool) {
	if r, ok := o.changes[id]; ok {
		if r == nil {
			return resource.Resource{}, false
		}
		return *r, true
	}
	return o.state.find(id)
}

// all returns the resources of the kinds after the changes.
func (o *overlay) all(kinds ...resource.Kind) []resource.Resource {
	var found []resource.Resource
	for _, kind := range kinds {
		for _, r := range o.state.tables[kind].sorted {
			if _, changed := o.changes[r.ID()]; !changed {
				found = append(found, r)
			}
		}
	}
	for _, id := range o.order {
		if r := o.changes[id]; r != nil {
			found = append(found, *r)
		}
	}
	return found
}

// plan checks a record against the state.
func (s *State) plan(offset uint64, record Record) (*overlay, *Refusal) {
	if record.Seen >= offset || offset-record.Seen > IdentifierWindow {
		return nil, refuse(ReasonExpired, resource.ID{}, "written against revision %d and appended at %d; read the resources and apply again", record.Seen, offset)
	}
	o := &overlay{state: s, changes: make(map[resource.ID]*resource.Resource), sizes: make(map[resource.ID]int)}
	for _, change := range record.Changes {
		if refusal := o.add(change, offset); refusal != nil {
			return nil, refusal
		}
	}
	if refusal := o.checkReferences(); refusal != nil {
		return nil, refusal
	}
	if refusal := o.checkUnique(); refusal != nil {
		return nil, refusal
	}
	if refusal := o.checkLimits(); refusal != nil {
		return nil, refusal
	}
	return o, o.checkBytes()
}

// add takes one change into the overlay.
func (o *overlay) add(change Change, offset uint64) *Refusal {
	id := change.ID()
	if _, known := limits[id.Kind]; !known {
		return refuse(ReasonInvalid, id, "unknown kind")
	}
	if _, twice := o.changes[id]; twice {
		return refuse(ReasonInvalid, id, "changed twice in one record")
	}
	current, exists := o.state.find(id)
	if current.Metadata.Revision != change.Base {
		return conflict(change, current.Metadata.Revision)
	}
	o.order = append(o.order, id)
	if change.Op == OpDelete {
		if !exists {
			return conflict(change, 0)
		}
		o.changes[id] = nil
		return nil
	}
	next, refusal := decodeChange(change)
	if refusal != nil {
		return refusal
	}
	if exists {
		if refusal := checkImmutable(current, next); refusal != nil {
			return refusal
		}
	}
	size, err := encodedSize(next)
	if err != nil {
		return refuse(ReasonInvalid, id, "the document can't be encoded")
	}
	next.Metadata.Revision = offset
	o.changes[id] = &next
	o.sizes[id] = size
	return nil
}

// encodedSize returns the size of the resource without revision and status. It
// does not depend on how the author encoded the document, so that it is the same
// after a snapshot.
func encodedSize(r resource.Resource) (int, error) {
	change, err := Put(r, 0)
	return len(change.Document), err
}

func decodeChange(change Change) (resource.Resource, *Refusal) {
	var r resource.Resource
	if err := json.Unmarshal(change.Document, &r); err != nil {
		return r, refuse(ReasonInvalid, change.ID(), "the document is no JSON form of the kind")
	}
	if r.ID() != change.ID() {
		return r, refuse(ReasonInvalid, change.ID(), "the document is %s", r.ID())
	}
	if faults := resource.Validate(r); len(faults) > 0 {
		return r, refuse(ReasonInvalid, change.ID(), "%v", faults[0])
	}
	r.Status = nil
	return r, nil
}

// checkImmutable refuses changes that would move every key of a service, or that
// take back an operator's attestation.
func checkImmutable(current, next resource.Resource) *Refusal {
	switch spec := next.Spec.(type) {
	case *resource.ServiceSpec:
		old := current.Spec.(*resource.ServiceSpec)
		if old.Keyed() != spec.Keyed() {
			return refuse(ReasonImmutable, next.ID(), "spec.key: can't be added or removed")
		}
		if old.Slices != spec.Slices {
			return refuse(ReasonImmutable, next.ID(), "spec.slices: can't change from %d to %d", old.Slices, spec.Slices)
		}
	case *resource.FailureDomainSpec:
		old := current.Spec.(*resource.FailureDomainSpec)
		if spec.MemberEpoch < old.MemberEpoch {
			return refuse(ReasonImmutable, next.ID(), "spec.memberEpoch: can't fall from %d to %d", old.MemberEpoch, spec.MemberEpoch)
		}
	}
	return nil
}

// checkReferences resolves the references of the changed resources and of those
// that refer to them.
func (o *overlay) checkReferences() *Refusal {
	for _, id := range o.order {
		if r := o.changes[id]; r != nil {
			if faults := resource.CheckReferences(*r, o.find); len(faults) > 0 {
				return refuse(ReasonReference, id, "%v", faults[0])
			}
		}
	}
	for _, id := range o.order {
		if refusal := o.checkReferrers(id); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (o *overlay) checkReferrers(id resource.ID) *Refusal {
	kinds := referringKinds(id.Kind)
	if _, existed := o.state.find(id); !existed || len(kinds) == 0 {
		return nil
	}
	if o.changes[id] != nil && id.Kind != resource.KindService {
		return nil
	}
	for _, referrer := range resource.Referrers(id, o.all(kinds...)) {
		r, _ := o.find(referrer)
		if faults := resource.CheckReferences(r, o.find); len(faults) > 0 {
			return refuse(ReasonInUse, id, "%s refers to it: %v", referrer, faults[0])
		}
	}
	return nil
}

// referringKinds returns the kinds whose resources may refer to the kind.
func referringKinds(kind resource.Kind) []resource.Kind {
	switch kind {
	case resource.KindFailureDomain:
		return []resource.Kind{resource.KindService, resource.KindDrain}
	case resource.KindService:
		return []resource.Kind{resource.KindWorkspace, resource.KindCallerKey, resource.KindDrain}
	case resource.KindWorkspace:
		return []resource.Kind{resource.KindCallerKey, resource.KindRate}
	default:
		return nil
	}
}

// checkUnique refuses two caller keys with one digest, because a token must name
// one workspace, and two rates of one workspace.
func (o *overlay) checkUnique() *Refusal {
	claimed := make(map[resource.ID]resource.ID)
	for _, id := range o.order {
		if o.changes[id] == nil {
			continue
		}
		value := uniqueValue(*o.changes[id])
		if value == "" {
			continue
		}
		key := resource.ID{Kind: id.Kind, Name: value}
		other, taken := claimed[key]
		if !taken {
			other, taken = o.unchangedOwner(key)
		}
		if taken {
			return refuse(ReasonDuplicate, id, "%s has the same %s", other, uniqueField(id.Kind))
		}
		claimed[key] = id
	}
	return nil
}

// unchangedOwner returns the resource outside the record that has the unique
// value key.Name.
func (o *overlay) unchangedOwner(key resource.ID) (resource.ID, bool) {
	name, ok := o.state.tables[key.Kind].unique[key.Name]
	owner := resource.ID{Kind: key.Kind, Name: name}
	if !ok {
		return owner, false
	}
	_, changed := o.changes[owner]
	return owner, !changed
}

func (o *overlay) checkLimits() *Refusal {
	growth := make(map[resource.Kind]int)
	for _, id := range o.order {
		_, existed := o.state.find(id)
		switch {
		case !existed:
			growth[id.Kind]++
		case o.changes[id] == nil:
			growth[id.Kind]--
		}
	}
	for _, id := range o.order {
		total := len(o.state.tables[id.Kind].items) + growth[id.Kind]
		if total > limits[id.Kind] && growth[id.Kind] > 0 {
			return refuse(ReasonLimit, id, "there would be %d resources of the kind, the limit is %d", total, limits[id.Kind])
		}
	}
	return nil
}

// checkBytes refuses a record that makes the state grow past MaxTotalBytes.
func (o *overlay) checkBytes() *Refusal {
	growth := 0
	for _, id := range o.order {
		growth += o.sizes[id] - o.state.tables[id.Kind].sizes[id.Name]
	}
	total := o.state.bytes() + growth
	if growth > 0 && total > o.state.maxBytes {
		return refuse(ReasonLimit, o.order[0], "all documents together would have %d bytes, the limit is %d", total, o.state.maxBytes)
	}
	return nil
}

// commit takes the planned changes into the state.
func (s *State) commit(offset uint64, o *overlay) {
	for _, id := range o.order {
		r := o.changes[id]
		if r == nil {
			s.tables[id.Kind].remove(id.Name)
			s.history.add(Event{Revision: offset, Op: OpDelete, ID: id})
			continue
		}
		s.tables[id.Kind].put(*r, o.sizes[id])
		s.history.add(Event{Revision: offset, Op: OpPut, ID: id, Resource: *r, size: o.sizes[id]})
	}
}
