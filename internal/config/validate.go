package config

import (
	"encoding/json"

	"fireflyfield/internal/resource"
)

// maxResources is the maximum number of resources of each kind.
var maxResources = map[resource.Kind]int{
	resource.KindFailureDomain: 64,
	resource.KindService:       256,
	resource.KindWorkspace:     4096,
	resource.KindCallerKey:     32768,
	resource.KindRate:          4096,
	resource.KindDrain:         4096,
}

// MaxResources returns the maximum number of resources of the kind.
func MaxResources(kind resource.Kind) int { return maxResources[kind] }

// MaxTotalBytes bounds the encoded size of all resources together, so that a
// snapshot of them stays below snapshot.MaxBytes.
const MaxTotalBytes = 32 << 20

// overlay is the state as it would be after the changes of one record.
type overlay struct {
	state *State
	// changes holds the changed resources; nil stands for a deleted one.
	changes map[resource.ID]*resource.Resource
	// sizes holds the encoded sizes of the changed resources in bytes.
	sizes map[resource.ID]int
	// order lists the changed resources in the order of the record.
	order []resource.ID
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

// list returns the resources of the kinds as they would be after the changes.
func (o *overlay) list(kinds ...resource.Kind) []resource.Resource {
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

// validate checks a record against the state. It returns the changes to commit, or
// the first fault as a refusal.
func (s *State) validate(offset uint64, record Record) (*overlay, *Refusal) {
	if record.SeenRevision >= offset || offset-record.SeenRevision > DedupWindow {
		return nil, refuse(ReasonExpired, resource.ID{}, "written against revision %d and appended at %d; read the resources and apply again", record.SeenRevision, offset)
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
	if refusal := o.checkCounts(); refusal != nil {
		return nil, refusal
	}
	return o, o.checkTotalBytes()
}

// add checks one change by itself and adds it to the overlay.
func (o *overlay) add(change Change, offset uint64) *Refusal {
	id := change.ID()
	if _, known := maxResources[id.Kind]; !known {
		return refuse(ReasonInvalid, id, "unknown kind")
	}
	if _, duplicate := o.changes[id]; duplicate {
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

// encodedSize returns the size in bytes of the resource without revision and status.
// It does not depend on how the submitter encoded the document, so that a VM that
// restored a snapshot computes the same size.
func encodedSize(r resource.Resource) (int, error) {
	change, err := Put(r, 0)
	return len(change.Document), err
}

// decodeChange returns the resource in the document of the change.
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

// checkImmutable refuses to add or remove the key of a service and to change its number
// of slices, because the slices of its keys would change. It also refuses to lower the
// member epoch of a failure domain, because that would withdraw an operator's
// attestation that earlier members have stopped for good.
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

// checkReferences checks that the references of the changed resources, and of the
// resources that refer to them, can be resolved.
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

// checkReferrers refuses a change of the resource that leaves another resource with a
// reference that can't be resolved. Apart from a deletion, only a change of a service
// can do that, by removing a backend server.
func (o *overlay) checkReferrers(id resource.ID) *Refusal {
	kinds := referringKinds(id.Kind)
	if _, existed := o.state.find(id); !existed || len(kinds) == 0 {
		return nil
	}
	if o.changes[id] != nil && id.Kind != resource.KindService {
		return nil
	}
	for _, referrer := range resource.Referrers(id, o.list(kinds...)) {
		r, _ := o.find(referrer)
		if faults := resource.CheckReferences(r, o.find); len(faults) > 0 {
			return refuse(ReasonInUse, id, "%s refers to it: %v", referrer, faults[0])
		}
	}
	return nil
}

// referringKinds returns the kinds whose resources may refer to resources of the
// kind.
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

// checkUnique refuses two caller keys with the same digest, because a caller key must
// identify one workspace, and two rates of the same workspace.
func (o *overlay) checkUnique() *Refusal {
	// claimed maps a kind and a unique value, which takes the place of the name, to the
	// changed resource that has the value.
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

// unchangedOwner returns the resource of the kind key.Kind that has the unique value
// key.Name. It returns false if there is none or if the record changes it.
func (o *overlay) unchangedOwner(key resource.ID) (resource.ID, bool) {
	name, ok := o.state.tables[key.Kind].unique[key.Name]
	owner := resource.ID{Kind: key.Kind, Name: name}
	if !ok {
		return owner, false
	}
	_, changed := o.changes[owner]
	return owner, !changed
}

// checkCounts refuses a record that adds resources of a kind beyond its maximum.
func (o *overlay) checkCounts() *Refusal {
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
		if total > maxResources[id.Kind] && growth[id.Kind] > 0 {
			return refuse(ReasonLimit, id, "there would be %d resources of the kind, the limit is %d", total, maxResources[id.Kind])
		}
	}
	return nil
}

// checkTotalBytes refuses a record that makes the state grow past MaxTotalBytes. A
// record that does not add bytes is accepted even above the limit.
func (o *overlay) checkTotalBytes() *Refusal {
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

// commit applies the validated changes to the state and adds them to the history.
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
