package ownership

import (
	"cmp"
	"maps"
	"sync"
	"sync/atomic"

	"fireflyfield/internal/keyspace"
)

// DomainMap is the assignment of units and roles that a decider publishes for its
// failure domain. It must not be changed after it was published.
type DomainMap struct {
	Domain   string                `cbor:"1,keyasint"`
	Term     Term                  `cbor:"2,keyasint"`
	Version  uint64                `cbor:"3,keyasint"`
	Services map[string]ServiceMap `cbor:"4,keyasint"`
	Roles    []RoleAssignment      `cbor:"5,keyasint"`
	// Partitions holds the recorded pairs that match the decider's current plan.
	Partitions []PartitionAssignment `cbor:"6,keyasint,omitempty"`
}

// ServiceMap holds the owners of the units, slices and hot keys, of one service in
// one failure domain. A unit that is missing from Units has no owner now.
type ServiceMap struct {
	Units map[keyspace.Unit]Assignment `cbor:"1,keyasint"`
	// Hot is the set of hot keys, owned or not: such a key is never routed by its
	// slice.
	Hot map[keyspace.Unit]bool `cbor:"2,keyasint"`
}

// Role identifies a duty that one VM of a failure domain performs at a time.
type Role struct {
	Kind RoleKind `cbor:"1,keyasint"`
	// Service and Name identify a backend server for RoleGate; Name is the
	// workspace for RoleKeeper.
	Service string `cbor:"2,keyasint,omitempty"`
	Name    string `cbor:"3,keyasint,omitempty"`
	// Partition is set for the idempotency roles.
	Partition uint32 `cbor:"4,keyasint,omitempty"`
}

// RoleKind is the kind of a role.
type RoleKind uint8

// The kinds of roles.
const (
	// RoleGate is the gate of one backend server.
	RoleGate RoleKind = iota + 1
	// RoleKeeper is the keeper of one workspace.
	RoleKeeper
	// RoleIdempotencyHolder holds the entries of one partition of idempotency keys.
	RoleIdempotencyHolder
	// RoleIdempotencyBackup keeps a copy of the entries of one partition.
	RoleIdempotencyBackup
)

// RoleAssignment assigns a role to a VM.
type RoleAssignment struct {
	Role Role   `cbor:"1,keyasint"`
	VM   string `cbor:"2,keyasint"`
}

// LookupStatus is the kind of result of Lookup.
type LookupStatus uint8

// The kinds of results of Lookup.
const (
	// UnknownService means that the service has no homes.
	UnknownService LookupStatus = iota
	// NoOwner means that no backend server owns the key at the moment.
	NoOwner
	// Owned means that the route names the backend server that owns the key.
	Owned
)

// Route is the result of Lookup. Unit and Domain are set unless Status is
// UnknownService; Server, Token and Gate are set only if it is Owned. Gate is the VM
// that is the gate of the server, and is empty while none is known.
type Route struct {
	Status LookupStatus
	Unit   keyspace.Unit
	Domain string
	Server string
	Token  Token
	Gate   string
}

// Table maps keys to the backend servers that own them, by the homes and domain maps
// that it was given. It is safe for concurrent use; readers take no lock.
type Table struct {
	updateMu sync.Mutex
	current  atomic.Pointer[tableView]
}

// tableView is one immutable snapshot of the table.
type tableView struct {
	homesNext uint64
	homes     map[string][]SliceHome
	domains   map[string]*domainView
}

type domainView struct {
	published DomainMap
	roles     map[Role]string
}

// NewTable returns a table without homes and domain maps.
func NewTable() *Table {
	table := &Table{}
	table.current.Store(&tableView{domains: make(map[string]*domainView)})
	return table
}

// UpdateHomes replaces the homes if the given ones include more records, and reports
// whether it did. The caller may apply further records to homes afterwards.
func (t *Table) UpdateHomes(homes *Homes) bool {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	view := *t.current.Load()
	if homes.NextOffset <= view.homesNext {
		return false
	}
	view.homesNext = homes.NextOffset
	view.homes = maps.Clone(homes.Services)
	t.current.Store(&view)
	return true
}

// UpdateDomain replaces the map of a failure domain if the given one has a higher
// (term, version), and reports whether it did.
func (t *Table) UpdateDomain(published DomainMap) bool {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	view := *t.current.Load()
	if known, found := view.domains[published.Domain]; found && !known.published.olderThan(published) {
		return false
	}
	view.domains = maps.Clone(view.domains)
	view.domains[published.Domain] = newDomainView(published)
	t.current.Store(&view)
	return true
}

func (m DomainMap) olderThan(other DomainMap) bool {
	return cmp.Or(cmp.Compare(m.Term, other.Term), cmp.Compare(m.Version, other.Version)) < 0
}

func newDomainView(published DomainMap) *domainView {
	roles := make(map[Role]string, len(published.Roles))
	for _, assignment := range published.Roles {
		roles[assignment.Role] = assignment.VM
	}
	return &domainView{published: published, roles: roles}
}

// Lookup returns the owner of the key of the service.
func (t *Table) Lookup(service, key string) Route {
	return t.LookupHash(service, keyspace.HashKey(service, key))
}

// LookupHash returns the owner of the key of the service with the hash.
func (t *Table) LookupHash(service string, hash keyspace.Hash) Route {
	view := t.current.Load()
	homes := view.homes[service]
	if len(homes) == 0 {
		return Route{}
	}
	slice := hash.Slice(len(homes))
	route := Route{Status: NoOwner, Unit: slice, Domain: homes[slice].Domain}
	domain, found := view.domains[route.Domain]
	if !found {
		return route
	}
	return domain.resolve(route, service, hash)
}

func (d *domainView) resolve(route Route, service string, hash keyspace.Hash) Route {
	owners := d.published.Services[service]
	if hot := hash.HotUnit(); owners.Hot[hot] {
		route.Unit = hot
	}
	owner, found := owners.Units[route.Unit]
	if !found {
		return route
	}
	route.Status = Owned
	route.Server = owner.Server
	route.Token = owner.Token
	route.Gate = d.roles[Role{Kind: RoleGate, Service: service, Name: owner.Server}]
	return route
}

// RoleVM returns the VM that has the role in the failure domain, and false if none is
// known.
func (t *Table) RoleVM(domain string, role Role) (string, bool) {
	view, found := t.current.Load().domains[domain]
	if !found {
		return "", false
	}
	vm, found := view.roles[role]
	return vm, found
}

// SliceDomain returns the failure domain that is the home of the slice, and false if
// the service has no homes or the slice does not exist.
func (t *Table) SliceDomain(service string, slice keyspace.Unit) (string, bool) {
	homes := t.current.Load().homes[service]
	if uint64(slice) >= uint64(len(homes)) {
		return "", false
	}
	return homes[slice].Domain, true
}

// Domain returns the newest known map of the failure domain, and false if none is
// known.
func (t *Table) Domain(domain string) (DomainMap, bool) {
	view, found := t.current.Load().domains[domain]
	if !found {
		return DomainMap{}, false
	}
	return view.published, true
}
