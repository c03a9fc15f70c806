package vm

import (
	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/resource"
)

// drainStatus returns the progress of each configured drain.
func (b *overviewBuilder) drainStatus() []api.DrainStatus {
	list := []api.DrainStatus{}
	for _, drain := range b.view.Drains() {
		status := api.DrainStatus{Name: drain.Name}
		known := b.addTargets(&status, drain)
		b.addSince(&status, drain)
		status.Done = known && status.SlicesLeft == 0 && status.InFlight == 0
		list = append(list, status)
	}
	return list
}

// addTargets adds the slices, requests and partitions that are left on the targets of
// the drain. It returns false if the state of a target is not known, or if a VM may
// still send requests to it.
func (b *overviewBuilder) addTargets(status *api.DrainStatus, drain config.Drain) bool {
	spec := drain.Spec
	known := b.appliedByAll(drain.Revision)
	domain := spec.FailureDomain
	for _, service := range b.view.Services() {
		for _, server := range service.Spec.BackendServers {
			if !isTarget(spec, service.Name, server) {
				continue
			}
			domain = server.FailureDomain
			id := serverID{service.Name, server.Name}
			g, reported := b.gates[id]
			known = known && (reported || spec.ConfirmedDown || !b.hasVMs(domain))
			status.InFlight += g.InFlight + g.Queued + g.Adopted
			status.SlicesLeft += b.units[id].Slices + b.units[id].HotKeys
		}
	}
	if spec.FailureDomain != "" {
		status.SlicesLeft = max(status.SlicesLeft, b.homesLeft(spec.FailureDomain))
		status.PartitionsLeft, _ = b.table.CountSlices(ownership.IdempotencyService, spec.FailureDomain)
	}
	if spec.ConfirmedDown {
		// Nothing runs there any more: assignments in its last domain map do not count,
		// and a VM there that does not answer counts like one of another domain.
		status.SlicesLeft = b.homesLeft(spec.FailureDomain)
		domain = ""
	}
	status.Missing = b.missingVMs(drain.Revision, domain)
	return known && len(status.Missing) == 0
}

// appliedByAll reports whether the revision is in force on every VM that answers. A VM
// without it may still send new requests to the target of a drain.
func (b *overviewBuilder) appliedByAll(revision uint64) bool {
	for _, vm := range b.vms {
		if !vm.missing && vm.status.Revision < revision {
			return false
		}
	}
	return true
}

// isTarget reports whether the drain applies to the backend server.
func isTarget(spec *resource.DrainSpec, service string, server resource.BackendServer) bool {
	if spec.BackendServer != nil {
		return *spec.BackendServer == resource.BackendTarget{Service: service, Name: server.Name}
	}
	return server.FailureDomain == spec.FailureDomain
}

// homesLeft returns the number of slices, over all services, whose home is still the
// failure domain.
func (b *overviewBuilder) homesLeft(domain string) int {
	left := 0
	for _, service := range b.view.Services() {
		count, _ := b.table.CountSlices(service.Name, domain)
		left += count
	}
	return left
}

// missingVMs returns the names of the VMs that do not answer and either belong to the
// failure domain, where they may have gates, or did not have the revision in force when
// they last answered.
func (b *overviewBuilder) missingVMs(revision uint64, domain string) []string {
	var names []string
	for _, vm := range b.vms {
		if vm.missing && (vm.FailureDomain == domain || vm.status.Revision < revision) {
			names = append(names, vm.Name)
		}
	}
	return names
}

// hasVMs reports whether the platform lists a VM in the failure domain.
func (b *overviewBuilder) hasVMs(domain string) bool {
	for _, vm := range b.vms {
		if vm.FailureDomain == domain {
			return true
		}
	}
	return false
}

// addSince sets the earliest time at which any VM knew the current revision of the
// drain.
func (b *overviewBuilder) addSince(status *api.DrainStatus, drain config.Drain) {
	for _, vm := range b.vms {
		for _, seen := range vm.status.Drains {
			if seen.Name != drain.Name || seen.Revision != drain.Revision {
				continue
			}
			if status.Since.IsZero() || seen.Since.Before(status.Since) {
				status.Since = seen.Since
			}
		}
	}
}
