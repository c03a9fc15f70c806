package vm

import (
	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/resource"
)

// drainStatus returns the progress of each drain.
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

// addTargets counts what the targets still have. It returns false while the state of
// a target is not known.
func (b *overviewBuilder) addTargets(status *api.DrainStatus, drain config.Drain) bool {
	spec := drain.Spec
	known := b.applied(drain.Revision)
	domain := spec.FailureDomain
	for _, service := range b.view.Services() {
		for _, server := range service.Spec.BackendServers {
			if !targets(spec, service.Name, server) {
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
		status.PartitionsLeft, _ = b.table.SlicesAt(ownership.IdempotencyService, spec.FailureDomain)
	}
	if spec.ConfirmedDown {
		status.SlicesLeft = b.homesLeft(spec.FailureDomain)
		domain = ""
	}
	status.Missing = b.missing(drain.Revision, domain)
	return known && len(status.Missing) == 0
}

// applied reports whether every VM that answers has the revision in force; others may
// still send new work to the target.
func (b *overviewBuilder) applied(revision uint64) bool {
	for _, vm := range b.vms {
		if !vm.missing && vm.status.Revision < revision {
			return false
		}
	}
	return true
}

func targets(spec *resource.DrainSpec, service string, server resource.BackendServer) bool {
	if spec.BackendServer != nil {
		return *spec.BackendServer == resource.BackendTarget{Service: service, Name: server.Name}
	}
	return server.FailureDomain == spec.FailureDomain
}

// homesLeft counts the slices whose home the failure domain still is.
func (b *overviewBuilder) homesLeft(domain string) int {
	left := 0
	for _, service := range b.view.Services() {
		count, _ := b.table.SlicesAt(service.Name, domain)
		left += count
	}
	return left
}

// missing names the VMs that do not answer and may have gates in the failure domain,
// or were not known to have the revision in force.
func (b *overviewBuilder) missing(revision uint64, domain string) []string {
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

// addSince takes the earliest sight of the drain's present revision by any VM.
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
