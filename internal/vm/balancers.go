package vm

import (
	"time"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/config"
	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/resource"
)

// balancers chooses backend servers of services that are not divided by key.
type balancers struct {
	domain  string
	table   *ownership.Table
	senders *senders
	view    func() *config.View
}

func (b *balancers) route(request *dispatch.Request, tried []string) (dispatch.Route, *outcome.Refusal) {
	for _, server := range request.Spec.BackendServers {
		if contains(tried, server.Name) {
			continue
		}
		if vm, ok := b.gateOf(request.Service, server); ok {
			return dispatch.Route{Server: server.Name, Gate: b.senders.to(vm)}, nil
		}
	}
	return dispatch.Route{}, dispatch.NoRoute("no-backend-server", "no backend server takes the request at the moment")
}

func (b *balancers) gateOf(service string, server resource.BackendServer) (string, bool) {
	return b.table.RoleVM(server.FailureDomain, ownership.Role{Kind: ownership.RoleGate, Service: service, Name: server.Name})
}

func (b *balancers) observe(string, string, time.Duration, *backend.Failure) {}

func contains(list []string, item string) bool {
	for _, entry := range list {
		if entry == item {
			return true
		}
	}
	return false
}
