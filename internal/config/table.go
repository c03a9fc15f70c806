package config

import (
	"slices"
	"strings"

	"fireflyfield/internal/resource"
)

// table holds the resources of one kind.
type table struct {
	items map[string]resource.Resource
	// unique maps a value that only one resource may have to that resource's name.
	unique map[string]string
	// frozen is nil after a change until the next call of freeze.
	frozen *frozenTable
}

// frozenTable is an immutable copy that views share.
type frozenTable struct {
	byName map[string]resource.Resource
	sorted []resource.Resource
}

func newTables() map[resource.Kind]*table {
	tables := make(map[resource.Kind]*table, len(resource.Kinds))
	for _, kind := range resource.Kinds {
		tables[kind] = &table{items: make(map[string]resource.Resource), unique: make(map[string]string)}
	}
	return tables
}

func (s *State) find(id resource.ID) (resource.Resource, bool) {
	t, ok := s.tables[id.Kind]
	if !ok {
		return resource.Resource{}, false
	}
	r, ok := t.items[id.Name]
	return r, ok
}

func (t *table) put(r resource.Resource) {
	t.release(r.Metadata.Name)
	if value := uniqueValue(r); value != "" {
		t.unique[value] = r.Metadata.Name
	}
	t.items[r.Metadata.Name] = r
	t.frozen = nil
}

// release gives up the unique value of the resource, unless another resource has
// taken it over within the same record.
func (t *table) release(name string) {
	old, ok := t.items[name]
	if !ok {
		return
	}
	if value := uniqueValue(old); t.unique[value] == name {
		delete(t.unique, value)
	}
}

func (t *table) remove(name string) {
	t.release(name)
	delete(t.items, name)
	t.frozen = nil
}

func (t *table) freeze() *frozenTable {
	if t.frozen != nil {
		return t.frozen
	}
	frozen := &frozenTable{byName: make(map[string]resource.Resource, len(t.items))}
	frozen.sorted = make([]resource.Resource, 0, len(t.items))
	for name, r := range t.items {
		frozen.byName[name] = r
		frozen.sorted = append(frozen.sorted, r)
	}
	slices.SortFunc(frozen.sorted, func(a, b resource.Resource) int {
		return strings.Compare(a.Metadata.Name, b.Metadata.Name)
	})
	t.frozen = frozen
	return frozen
}

// uniqueValue returns the value that only one resource of the kind may have, or
// an empty string.
func uniqueValue(r resource.Resource) string {
	switch spec := r.Spec.(type) {
	case *resource.CallerKeySpec:
		return strings.ToLower(spec.Digest)
	case *resource.RateSpec:
		return spec.Workspace
	default:
		return ""
	}
}

func uniqueField(kind resource.Kind) string {
	if kind == resource.KindRate {
		return "spec.workspace"
	}
	return "spec.digest"
}
