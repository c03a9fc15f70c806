package config

import "fireflyfield/internal/resource"

// View is an immutable copy of the configuration. Readers must not change the
// specs that it returns.
type View struct {
	revision uint64
	tables   map[resource.Kind][]resource.Resource
}

// Entry is a resource with the type of its spec.
type Entry[T resource.Spec] struct {
	Name     string
	Revision uint64
	Spec     T
}

// The typed resources.
type (
	FailureDomain = Entry[*resource.FailureDomainSpec]
	Service       = Entry[*resource.ServiceSpec]
	Workspace     = Entry[*resource.WorkspaceSpec]
	CallerKey     = Entry[*resource.CallerKeySpec]
	Rate          = Entry[*resource.RateSpec]
	Drain         = Entry[*resource.DrainSpec]
)

// View returns the configuration after the last record. It never waits.
func (s *State) View() *View { return s.view.Load() }

// publish makes the view for readers.
func (s *State) publish() {
	v := &View{revision: s.position, tables: make(map[resource.Kind][]resource.Resource, len(s.tables))}
	for kind, t := range s.tables {
		v.tables[kind] = t.share()
	}
	s.view.Store(v)
}

// Revision is the position of the state when the view was made.
func (v *View) Revision() uint64 { return v.revision }

// Lookup returns the resource with the id.
func (v *View) Lookup(id resource.ID) (resource.Resource, bool) {
	sorted := v.tables[id.Kind]
	at, ok := search(sorted, id.Name)
	if !ok {
		return resource.Resource{}, false
	}
	return sorted[at], true
}

// List returns the resources of the kind, sorted by name. Callers must not change
// the list.
func (v *View) List(kind resource.Kind) []resource.Resource {
	return v.tables[kind]
}

// FailureDomains returns the failure domains, sorted by name.
func (v *View) FailureDomains() []FailureDomain {
	return entries[*resource.FailureDomainSpec](v, resource.KindFailureDomain)
}

// Services returns the services, sorted by name.
func (v *View) Services() []Service {
	return entries[*resource.ServiceSpec](v, resource.KindService)
}

// Service returns the service with the name.
func (v *View) Service(name string) (Service, bool) {
	return entry[*resource.ServiceSpec](v, resource.ID{Kind: resource.KindService, Name: name})
}

// Workspaces returns the workspaces, sorted by name.
func (v *View) Workspaces() []Workspace {
	return entries[*resource.WorkspaceSpec](v, resource.KindWorkspace)
}

// Workspace returns the workspace with the name.
func (v *View) Workspace(name string) (Workspace, bool) {
	return entry[*resource.WorkspaceSpec](v, resource.ID{Kind: resource.KindWorkspace, Name: name})
}

// CallerKeys returns the caller keys, sorted by name.
func (v *View) CallerKeys() []CallerKey {
	return entries[*resource.CallerKeySpec](v, resource.KindCallerKey)
}

// Rates returns the rates, sorted by name. A workspace has at most one.
func (v *View) Rates() []Rate {
	return entries[*resource.RateSpec](v, resource.KindRate)
}

// Drains returns the drains, sorted by name.
func (v *View) Drains() []Drain {
	return entries[*resource.DrainSpec](v, resource.KindDrain)
}

// DomainDrain returns the drain of the failure domain. If several name it, one
// with confirmedDown takes precedence.
func (v *View) DomainDrain(domain string) (Drain, bool) {
	var found Drain
	ok := false
	for _, drain := range v.Drains() {
		if drain.Spec.FailureDomain != domain {
			continue
		}
		if !ok || drain.Spec.ConfirmedDown {
			found = drain
			ok = true
		}
	}
	return found, ok
}

// BackendDrained reports whether a drain names the backend server itself.
func (v *View) BackendDrained(service, name string) bool {
	target := resource.BackendTarget{Service: service, Name: name}
	for _, drain := range v.Drains() {
		if drain.Spec.BackendServer != nil && *drain.Spec.BackendServer == target {
			return true
		}
	}
	return false
}

func entries[T resource.Spec](v *View, kind resource.Kind) []Entry[T] {
	list := v.List(kind)
	typed := make([]Entry[T], 0, len(list))
	for _, r := range list {
		typed = append(typed, newEntry[T](r))
	}
	return typed
}

func entry[T resource.Spec](v *View, id resource.ID) (Entry[T], bool) {
	r, ok := v.Lookup(id)
	if !ok {
		return Entry[T]{}, false
	}
	return newEntry[T](r), true
}

func newEntry[T resource.Spec](r resource.Resource) Entry[T] {
	return Entry[T]{Name: r.Metadata.Name, Revision: r.Metadata.Revision, Spec: r.Spec.(T)}
}
