package ownership

import (
	"cmp"
	"maps"
	"sync"
	"sync/atomic"

	"fireflyfield/internal/keyspace"
)

// DomainMap is what a decider publishes about its failure domain. It is not
// changed after it was published.
type DomainMap struct {
	Domain   string                `cbor:"1,keyasint"`
	Term     Term                  `cbor:"2,keyasint"`
	Version  uint64                `cbor:"3,keyasint"`
	Services map[string]ServiceMap `cbor:"4,keyasint"`
	Roles    []RoleAssignment      `cbor:"5,keyasint"`
	// Partitions holds the recorded pairs that the decider stands by.
	Partitions []PartitionAssignment `cbor:"6,keyasint,omitempty"`
}

// ServiceMap holds the owners of the units of one service in one failure domain.
// A unit that is missing has no owner now. Hot keys are in Units as well.
type ServiceMap struct {
	Units map[keyspace.Unit]Assignment `cbor:"1,keyasint"`
	// Hot holds every hot key of the exception table, owned or not: its key is
	// never routed by its slice.
	Hot map[keyspace.Unit]bool `cbor:"2,keyasint"`
}

// Role identifies a duty that one VM of a failure domain has.
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
	RoleGate RoleKind = iota + 1
	RoleKeeper
	RoleIdempotencyHolder
	RoleIdempotencyBackup
)

// RoleAssignment is the VM that has a role.
type RoleAssignment struct {
	Role Role   `cbor:"1,keyasint"`
	VM   string `cbor:"2,keyasint"`
}

// LookupStatus is the kind of answer that Lookup gives.
type LookupStatus uint8

// The answers of Lookup.
const (
	// UnknownService means that the service has no homes.
	UnknownService LookupStatus = iota
	// NoOwner means that no backend server owns the key at the moment.
	NoOwner
	// Owned means that the route names the owner.
	Owned
)

// Route is the answer of Lookup. Domain is set unless the status is
// UnknownService; Server, Token and Gate are set if it is Owned. Gate is empty
// while no VM is known to be the gate.
type Route struct {
	Status LookupStatus
	Unit   keyspace.Unit
	Domain string
	Server string
	Token  Token
	Gate   string
}

// Table answers which backend server owns a key. It is safe for concurrent use;
// readers take no lock.
type Table struct {
	update  sync.Mutex
	current atomic.Pointer[tableView]
}

type tableView struct {
	homesNext uint64
	homes     map[string][]SliceHome
	domains   map[string]*domainView
}

type domainView struct {
	published DomainMap
	roles     map[Role]string
}

// NewTable returns a table without homes and maps.
func NewTable() *Table {
	table := &Table{}
	table.current.Store(&tableView{domains: make(map[string]*domainView)})
	return table
}

// UpdateHomes takes the homes if they include more records than those known, and
// reports whether it did. The caller may change homes afterwards.
func (t *Table) UpdateHomes(homes *Homes) bool {
	t.update.Lock()
	defer t.update.Unlock()
	view := *t.current.Load()
	if homes.NextOffset <= view.homesNext {
		return false
	}
	view.homesNext = homes.NextOffset
	view.homes = maps.Clone(homes.Services)
	t.current.Store(&view)
	return true
}

// UpdateDomain takes the map if its (term, version) is higher than the one known
// for its failure domain, and reports whether it did.
func (t *Table) UpdateDomain(published DomainMap) bool {
	t.update.Lock()
	defer t.update.Unlock()
	view := *t.current.Load()
	if known, found := view.domains[published.Domain]; found && !known.published.before(published) {
		return false
	}
	view.domains = maps.Clone(view.domains)
	view.domains[published.Domain] = newDomainView(published)
	t.current.Store(&view)
	return true
}

func (m DomainMap) before(other DomainMap) bool {
	return cmp.Or(cmp.Compare(m.Term, other.Term), cmp.Compare(m.Version, other.Version)) < 0
}

func newDomainView(published DomainMap) *domainView {
	roles := make(map[Role]string, len(published.Roles))
	for _, holder := range published.Roles {
		roles[holder.Role] = holder.VM
	}
	return &domainView{published: published, roles: roles}
}

// Lookup returns the owner of the key of the service.
func (t *Table) Lookup(service, key string) Route {
	return t.LookupHash(service, keyspace.HashKey(service, key))
}

// LookupHash returns the owner of the key with the hash.
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
	if hot := hash.Hot(); owners.Hot[hot] {
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

// RoleVM returns the VM that has the role in the failure domain, if one is known.
func (t *Table) RoleVM(domain string, role Role) (string, bool) {
	view, found := t.current.Load().domains[domain]
	if !found {
		return "", false
	}
	vm, found := view.roles[role]
	return vm, found
}

// SliceDomain returns the home failure domain of a slice of the service; false if
// the service has no homes or the slice does not exist.
func (t *Table) SliceDomain(service string, slice keyspace.Unit) (string, bool) {
	homes := t.current.Load().homes[service]
	if uint64(slice) >= uint64(len(homes)) {
		return "", false
	}
	return homes[slice].Domain, true
}

// Domain returns the map published for the failure domain, if one is known.
func (t *Table) Domain(domain string) (DomainMap, bool) {
	view, found := t.current.Load().domains[domain]
	if !found {
		return DomainMap{}, false
	}
	return view.published, true
}
