package config

import "fireflyfield/internal/resource"

// View is an immutable copy of the configuration at one revision. Readers must not
// change the specs that it returns.
type View struct {
	revision uint64
	tables   map[resource.Kind][]resource.Resource
}

// TypedResource is a resource whose spec has its concrete type.
type TypedResource[T resource.Spec] struct {
	Name     string
	Revision uint64
	Spec     T
}

// The typed resources of each kind.
type (
	FailureDomain = TypedResource[*resource.FailureDomainSpec]
	Service       = TypedResource[*resource.ServiceSpec]
	Workspace     = TypedResource[*resource.WorkspaceSpec]
	CallerKey     = TypedResource[*resource.CallerKeySpec]
	Rate          = TypedResource[*resource.RateSpec]
	Drain         = TypedResource[*resource.DrainSpec]
)

// View returns the configuration after the last replayed record. It never blocks.
func (s *State) View() *View { return s.view.Load() }

// publishView makes the current state available to readers. The caller holds the lock.
func (s *State) publishView() {
	v := &View{revision: s.position, tables: make(map[resource.Kind][]resource.Resource, len(s.tables))}
	for kind, t := range s.tables {
		v.tables[kind] = t.share()
	}
	s.view.Store(v)
}

// Revision returns the position of the state when the view was created.
func (v *View) Revision() uint64 { return v.revision }

// Lookup returns the resource with the identifier.
func (v *View) Lookup(id resource.ID) (resource.Resource, bool) {
	sorted := v.tables[id.Kind]
	index, ok := searchByName(sorted, id.Name)
	if !ok {
		return resource.Resource{}, false
	}
	return sorted[index], true
}

// List returns the resources of the kind, sorted by name. Callers must not change
// the list.
func (v *View) List(kind resource.Kind) []resource.Resource {
	return v.tables[kind]
}

// FailureDomains returns the failure domains, sorted by name.
func (v *View) FailureDomains() []FailureDomain {
	return listTyped[*resource.FailureDomainSpec](v, resource.KindFailureDomain)
}

// Services returns the services, sorted by name.
func (v *View) Services() []Service {
	return listTyped[*resource.ServiceSpec](v, resource.KindService)
}

// Service returns the service with the name.
func (v *View) Service(name string) (Service, bool) {
	return lookupTyped[*resource.ServiceSpec](v, resource.ID{Kind: resource.KindService, Name: name})
}

// Workspaces returns the workspaces, sorted by name.
func (v *View) Workspaces() []Workspace {
	return listTyped[*resource.WorkspaceSpec](v, resource.KindWorkspace)
}

// Workspace returns the workspace with the name.
func (v *View) Workspace(name string) (Workspace, bool) {
	return lookupTyped[*resource.WorkspaceSpec](v, resource.ID{Kind: resource.KindWorkspace, Name: name})
}

// CallerKeys returns the caller keys, sorted by name.
func (v *View) CallerKeys() []CallerKey {
	return listTyped[*resource.CallerKeySpec](v, resource.KindCallerKey)
}

// Rates returns the rates, sorted by name. Each workspace has at most one.
func (v *View) Rates() []Rate {
	return listTyped[*resource.RateSpec](v, resource.KindRate)
}

// Drains returns the drains, sorted by name.
func (v *View) Drains() []Drain {
	return listTyped[*resource.DrainSpec](v, resource.KindDrain)
}

// DomainDrain returns the drain that names the failure domain. If several do, one
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

// BackendDrained reports whether a drain names the backend server itself. It ignores
// drains of the failure domain of the server.
func (v *View) BackendDrained(service, name string) bool {
	target := resource.BackendTarget{Service: service, Name: name}
	for _, drain := range v.Drains() {
		if drain.Spec.BackendServer != nil && *drain.Spec.BackendServer == target {
			return true
		}
	}
	return false
}

func listTyped[T resource.Spec](v *View, kind resource.Kind) []TypedResource[T] {
	list := v.List(kind)
	typed := make([]TypedResource[T], 0, len(list))
	for _, r := range list {
		typed = append(typed, newTypedResource[T](r))
	}
	return typed
}

func lookupTyped[T resource.Spec](v *View, id resource.ID) (TypedResource[T], bool) {
	r, ok := v.Lookup(id)
	if !ok {
		return TypedResource[T]{}, false
	}
	return newTypedResource[T](r), true
}

func newTypedResource[T resource.Spec](r resource.Resource) TypedResource[T] {
	return TypedResource[T]{Name: r.Metadata.Name, Revision: r.Metadata.Revision, Spec: r.Spec.(T)}
}
