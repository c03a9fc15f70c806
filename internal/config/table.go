package config

import (
	"slices"
	"strings"

	"fireflyfield/internal/resource"
)

// table holds the resources of one kind.
type table struct {
	items map[string]resource.Resource
	// unique maps the unique value of a resource, if its kind has one, to its name.
	unique map[string]string
	// sizes holds the encoded size of each resource in bytes; bytes is their sum.
	sizes map[string]int
	bytes int
	// sorted holds the resources sorted by name. If shared is true, views use the same
	// slice, and it is copied before the next change.
	sorted []resource.Resource
	shared bool
}

func newTables() map[resource.Kind]*table {
	tables := make(map[resource.Kind]*table, len(resource.Kinds))
	for _, kind := range resource.Kinds {
		tables[kind] = &table{
			items:  make(map[string]resource.Resource),
			unique: make(map[string]string),
			sizes:  make(map[string]int),
		}
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

// bytes returns the encoded size of all resources in bytes.
func (s *State) bytes() int {
	total := 0
	for _, t := range s.tables {
		total += t.bytes
	}
	return total
}

// put adds or replaces the resource, whose encoded size is given in bytes.
func (t *table) put(r resource.Resource, size int) {
	t.releaseUnique(r.Metadata.Name)
	t.bytes += size - t.sizes[r.Metadata.Name]
	t.sizes[r.Metadata.Name] = size
	if value := uniqueValue(r); value != "" {
		t.unique[value] = r.Metadata.Name
	}
	t.items[r.Metadata.Name] = r
	t.copyIfShared()
	index, exists := searchByName(t.sorted, r.Metadata.Name)
	if exists {
		t.sorted[index] = r
		return
	}
	t.sorted = slices.Insert(t.sorted, index, r)
}

// releaseUnique removes the unique value of the named resource, unless an earlier
// change of the same record has given it to another resource.
func (t *table) releaseUnique(name string) {
	old, ok := t.items[name]
	if !ok {
		return
	}
	if value := uniqueValue(old); t.unique[value] == name {
		delete(t.unique, value)
	}
}

func (t *table) remove(name string) {
	t.releaseUnique(name)
	t.bytes -= t.sizes[name]
	delete(t.sizes, name)
	delete(t.items, name)
	t.copyIfShared()
	if index, exists := searchByName(t.sorted, name); exists {
		t.sorted = slices.Delete(t.sorted, index, index+1)
	}
}

// share returns the resources sorted by name. The returned slice is never changed.
func (t *table) share() []resource.Resource {
	t.shared = true
	return t.sorted
}

// copyIfShared makes sorted safe to change.
func (t *table) copyIfShared() {
	if !t.shared {
		return
	}
	t.sorted = slices.Clone(t.sorted)
	t.shared = false
}

// searchByName returns the index at which the name is or would be inserted, and
// whether it is present.
func searchByName(sorted []resource.Resource, name string) (int, bool) {
	return slices.BinarySearchFunc(sorted, name, func(r resource.Resource, name string) int {
		return strings.Compare(r.Metadata.Name, name)
	})
}

// uniqueValue returns the value that no other resource of the same kind may have, or
// an empty string if the kind has no such value.
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

// uniqueField returns the path of the field that uniqueValue reads.
func uniqueField(kind resource.Kind) string {
	if kind == resource.KindRate {
		return "spec.workspace"
	}
	return "spec.digest"
}
