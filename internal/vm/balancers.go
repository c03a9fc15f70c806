package vm

import (
	"sync"
	"time"

	"fireflyfield/internal/balance"
	"fireflyfield/internal/config"
	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/resource"
)

// balancers selects backend servers for services that are not keyed, with one
// balance.Picker per service.
type balancers struct {
	domain  string
	table   *ownership.Table
	senders *gateSenders

	mu      sync.RWMutex
	pickers map[string]*balance.Picker
}

func newBalancers(domain string, table *ownership.Table, senders *gateSenders) *balancers {
	return &balancers{domain: domain, table: table, senders: senders, pickers: make(map[string]*balance.Picker)}
}

// update sets the backend servers and their states in the pickers according to the
// configuration.
func (b *balancers) update(view *config.View) {
	for _, service := range view.Services() {
		if service.Spec.Keyed() {
			continue
		}
		picker := b.picker(service.Name, service.Spec.Slots)
		picker.SetServers(balanceServers(service.Spec))
		for _, server := range service.Spec.BackendServers {
			picker.SetState(server.Name, configuredState(view, service.Name, server))
		}
	}
}

func balanceServers(spec *resource.ServiceSpec) []balance.Server {
	servers := make([]balance.Server, 0, len(spec.BackendServers))
	for _, server := range spec.BackendServers {
		servers = append(servers, balance.Server{Name: server.Name, FailureDomain: server.FailureDomain})
	}
	return servers
}

// configuredState returns Leaving for a backend server that is being drained, by itself
// or with its failure domain, and Warm otherwise.
func configuredState(view *config.View, service string, server resource.BackendServer) balance.State {
	if _, drained := view.DomainDrain(server.FailureDomain); drained || view.BackendDrained(service, server.Name) {
		return balance.Leaving
	}
	return balance.Warm
}

// picker returns the picker of the service and creates it if necessary.
func (b *balancers) picker(service string, slots int) *balance.Picker {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.pickers[service]; ok {
		return known
	}
	created, err := balance.New(balance.Config{FailureDomain: b.domain, Slots: slots, Random: newRandom(), Now: time.Now})
	if err != nil {
		panic(err) // can't happen: validation requires positive slots
	}
	b.pickers[service] = created
	return created
}

// route selects a backend server whose gate is known. It skips the backend servers in
// avoid and rejects the request if none is left.
func (b *balancers) route(request *dispatch.Request, avoid dispatch.Avoid) (dispatch.Route, *outcome.Refusal) {
	b.mu.RLock()
	picker, ok := b.pickers[request.Service]
	b.mu.RUnlock()
	if !ok {
		return dispatch.Route{}, dispatch.NoRoute("not-ready", "the service is not set up on this VM yet")
	}
	exclude := avoid.Servers
	for {
		choice, err := picker.Pick(balance.Options{Exclude: exclude, NoProbe: avoid.Probes})
		if err != nil {
			return dispatch.Route{}, dispatch.NoRoute("no-backend-server", "no backend server takes the request at the moment")
		}
		server := choice.Server()
		if vm, ok := b.gateVM(request.Service, server); ok {
			return dispatch.Route{Server: server.Name, Gate: b.senders.forVM(vm), Done: choice.Done}, nil
		}
		choice.Done(balance.Result{Kind: balance.Abandoned})
		exclude = append([]string{server.Name}, exclude...)
	}
}

// gateVM returns the VM that has the gate of the backend server, if it is known.
func (b *balancers) gateVM(service string, server balance.Server) (string, bool) {
	return b.table.RoleVM(server.FailureDomain, ownership.Role{Kind: ownership.RoleGate, Service: service, Name: server.Name})
}
