package vm

import (
	"sync"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/balance"
	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/gate"
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/ownership"
)

// router selects the backend server of a request: for keyed services the owner of the
// key according to the ownership table, for others one that a load balancer selects.
type router struct {
	table   *ownership.Table
	senders *gateSenders
	unkeyed *balancers

	mu      sync.Mutex
	changed chan struct{}
}

var _ dispatch.Router = (*router)(nil)

func newRouter(table *ownership.Table, senders *gateSenders, unkeyed *balancers) *router {
	return &router{table: table, senders: senders, unkeyed: unkeyed, changed: make(chan struct{})}
}

// notify wakes those that wait on Changed, because routes may have changed.
func (r *router) notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed when routes may have changed.
func (r *router) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Route implements dispatch.Router; avoid applies only to services that are not keyed.
func (r *router) Route(request *dispatch.Request, avoid dispatch.Avoid) (dispatch.Route, *outcome.Refusal) {
	if request.Spec.Keyed() {
		return r.routeByKey(request)
	}
	return r.unkeyed.route(request, avoid)
}

// routeByKey returns the route to the owner of the request's key.
func (r *router) routeByKey(request *dispatch.Request) (dispatch.Route, *outcome.Refusal) {
	found := r.table.Lookup(request.Service, request.Key)
	if found.Status != ownership.Owned || found.Gate == "" {
		return dispatch.Route{}, dispatch.NoRoute("no-owner", "no backend server owns the key at the moment")
	}
	return dispatch.Route{
		Server:  found.Server,
		Keyed:   true,
		Unit:    uint64(found.Unit),
		Fence:   fenceOf(found.Token),
		KeyHash: uint64(keyspace.HashKey(request.Service, request.Key)),
		Gate:    r.senders.forVM(found.Gate),
		Done:    func(balance.Result) {},
	}, nil
}

// fenceOf converts a fencing token to the form that backend servers receive.
func fenceOf(token ownership.Token) backend.Fence {
	return backend.Fence{Term: uint64(token.Term), Counter: token.Counter}
}

// ownerLookup implements gate.Owners with the domain map of this failure domain.
type ownerLookup struct{ vm *VM }

// OwnerOf returns the owner of the key. It returns none while the domain map is older
// than the one that the role lease requires, because an older map may name a previous
// owner.
func (o ownerLookup) OwnerOf(service string, keyHash uint64) (gate.Owner, bool) {
	lease := o.vm.roles.currentLease()
	known, _ := o.vm.table.Domain(o.vm.options.FailureDomain)
	if newer(mapVersion{Term: lease.Term, Version: lease.MapVersion}, mapVersion{Term: known.Term, Version: known.Version}) {
		return gate.Owner{}, false
	}
	found := o.vm.table.LookupHash(service, keyspace.Hash(keyHash))
	owner := gate.Owner{Server: found.Server, Unit: uint64(found.Unit), Fence: fenceOf(found.Token)}
	return owner, found.Status == ownership.Owned
}
