package vm

import (
	"context"
	"time"

	"fireflyfield/internal/config"
	"fireflyfield/internal/gate"
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/ownership"
)

// assignStatically derives owners and gates from the configuration and the list
// of VMs alone.
func (v *VM) assignStatically(ctx context.Context) {
	version := uint64(0)
	for {
		listChanged := v.fleet.changes()
		configChanged := v.follower.State().Changed()
		version++
		v.assignOnce(version)
		select {
		case <-listChanged:
		case <-configChanged:
		case <-ctx.Done():
			return
		}
	}
}

func (v *VM) assignOnce(version uint64) {
	view := v.follower.State().View()
	homes := ownership.NewHomes()
	homes.Next = version + 1
	for _, domain := range view.FailureDomains() {
		vms := v.fleet.inDomain(domain.Name)
		if len(vms) == 0 {
			continue
		}
		published := ownership.DomainMap{Domain: domain.Name, Term: 1, Version: version, Services: make(map[string]ownership.ServiceMap)}
		for _, service := range view.Services() {
			for i, server := range service.Spec.BackendServers {
				if server.FailureDomain != domain.Name {
					continue
				}
				vm := vms[i%len(vms)].Name
				published.Roles = append(published.Roles, ownership.RoleAssignment{Role: ownership.Role{Kind: ownership.RoleGate, Service: service.Name, Name: server.Name}, VM: vm})
				if vm == v.options.Name {
					_ = v.gates.Open(gate.Server{ID: gate.ServerID{Service: service.Name, Name: server.Name}, Address: server.Address, Spec: service.Spec}, time.Now().Add(time.Hour))
				}
			}
			assignUnits(published.Services, homes, service, domain.Name)
		}
		v.table.UpdateDomain(published)
	}
	v.table.UpdateHomes(homes)
	v.router.notify()
}

func assignUnits(services map[string]ownership.ServiceMap, homes *ownership.Homes, service config.Service, domain string) {
	if !service.Spec.Keyed() {
		return
	}
	servers := service.Spec.BackendServers
	units := make(map[keyspace.Unit]ownership.Assignment)
	all := make([]ownership.SliceHome, service.Spec.Slices)
	for i := range all {
		server := servers[i%len(servers)]
		all[i] = ownership.SliceHome{Domain: server.FailureDomain, Epoch: 1}
		if server.FailureDomain == domain {
			units[keyspace.Unit(i)] = ownership.Assignment{Server: server.Name, Token: ownership.Token{Term: 1, Counter: 1}}
		}
	}
	services[service.Name] = ownership.ServiceMap{Units: units}
	homes.Services[service.Name] = all
}
