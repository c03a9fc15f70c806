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
	// sizes holds the encoded size of each resource in bytes; bytes is their sum.
	sizes map[string]int
	bytes int
	// sorted holds the resources by name. Views share it once shared is true; it is
	// then copied before the next change.
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

// bytes returns the encoded size of all resources.
func (s *State) bytes() int {
	total := 0
	for _, t := range s.tables {
		total += t.bytes
	}
	return total
}

func (t *table) put(r resource.Resource, size int) {
	t.release(r.Metadata.Name)
	t.bytes += size - t.sizes[r.Metadata.Name]
	t.sizes[r.Metadata.Name] = size
	if value := uniqueValue(r); value != "" {
		t.unique[value] = r.Metadata.Name
	}
	t.items[r.Metadata.Name] = r
	t.unshare()
	at, exists := search(t.sorted, r.Metadata.Name)
	if exists {
		t.sorted[at] = r
		return
	}
	t.sorted = slices.Insert(t.sorted, at, r)
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
	t.bytes -= t.sizes[name]
	delete(t.sizes, name)
	delete(t.items, name)
	t.unshare()
	if at, exists := search(t.sorted, name); exists {
		t.sorted = slices.Delete(t.sorted, at, at+1)
	}
}

// share returns the resources by name for readers.
func (t *table) share() []resource.Resource {
	t.shared = true
	return t.sorted
}

func (t *table) unshare() {
	if !t.shared {
		return
	}
	t.sorted = slices.Clone(t.sorted)
	t.shared = false
}

func search(sorted []resource.Resource, name string) (int, bool) {
	return slices.BinarySearchFunc(sorted, name, func(r resource.Resource, name string) int {
		return strings.Compare(r.Metadata.Name, name)
	})
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
