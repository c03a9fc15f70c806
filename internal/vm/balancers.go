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

// balancers chooses backend servers of services that are not divided by key, with
// one Picker for each service.
type balancers struct {
	domain  string
	table   *ownership.Table
	senders *senders

	mu      sync.RWMutex
	pickers map[string]*balance.Picker
}

func newBalancers(domain string, table *ownership.Table, senders *senders) *balancers {
	return &balancers{domain: domain, table: table, senders: senders, pickers: make(map[string]*balance.Picker)}
}

// update brings the pickers in line with the configuration.
func (b *balancers) update(view *config.View) {
	for _, service := range view.Services() {
		if service.Spec.Keyed() {
			continue
		}
		picker := b.picker(service.Name, service.Spec.Slots)
		picker.SetServers(balanceServers(service.Spec))
		for _, server := range service.Spec.BackendServers {
			picker.SetState(server.Name, plannedState(view, service.Name, server))
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

// plannedState is Leaving for a backend server that an operator drains.
func plannedState(view *config.View, service string, server resource.BackendServer) balance.State {
	if _, drained := view.DomainDrain(server.FailureDomain); drained || view.BackendDrained(service, server.Name) {
		return balance.Leaving
	}
	return balance.Warm
}

func (b *balancers) picker(service string, slots int) *balance.Picker {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.pickers[service]; ok {
		return known
	}
	created, err := balance.New(balance.Config{FailureDomain: b.domain, Slots: slots, Random: newRandom(), Now: time.Now})
	if err != nil {
		panic(err) // validation keeps slots positive
	}
	b.pickers[service] = created
	return created
}

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
		if vm, ok := b.gateOf(request.Service, server); ok {
			return dispatch.Route{Server: server.Name, Gate: b.senders.to(vm), Done: choice.Done}, nil
		}
		choice.Done(balance.Result{Kind: balance.Abandoned})
		exclude = append([]string{server.Name}, exclude...)
	}
}

func (b *balancers) gateOf(service string, server balance.Server) (string, bool) {
	return b.table.RoleVM(server.FailureDomain, ownership.Role{Kind: ownership.RoleGate, Service: service, Name: server.Name})
}
