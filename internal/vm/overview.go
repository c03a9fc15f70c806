package vm

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/platform"
	"fireflyfield/internal/resource"
)

// serverID identifies a backend server of a service.
type serverID struct{ service, name string }

// statusSource implements operator.StatusSource.
type statusSource struct{ vm *VM }

// Overview returns the overview of all VMs; see VM.Overview.
func (s statusSource) Overview() api.Overview { return s.vm.Overview() }

// Ready returns an error with the reason if the VM does not serve callers.
func (s statusSource) Ready() error {
	if reason := s.vm.notReadyReason(); reason != "" {
		return errors.New(reason)
	}
	return nil
}

// Overview returns the state of all VMs, backend servers, workspaces and drains
// according to the last status of each VM. It does not wait for other VMs.
func (v *VM) Overview() api.Overview {
	now := time.Now()
	b := &overviewBuilder{
		table: v.table,
		view:  v.follower.State().View(),
		vms:   v.statusCollector.knownVMs(now),
		gates: make(map[serverID]gateStatus),
		units: make(map[serverID]serverUnits),
	}
	b.index()
	return api.Overview{
		VM:             v.options.Name,
		FailureDomain:  v.options.FailureDomain,
		VMs:            b.vmStatus(),
		BackendServers: b.backendStatus(),
		Workspaces:     b.workspaceStatus(),
		Drains:         b.drainStatus(),
	}
}

// overviewBuilder builds an overview from the status of all VMs.
type overviewBuilder struct {
	table *ownership.Table
	view  *config.View
	vms   []knownVM
	gates map[serverID]gateStatus
	units map[serverID]serverUnits
}

// index collects the gate and the units of each backend server. If several VMs report
// the same gate, which happens during a handover, their counts are added. Units are
// those of the decider with the highest term, or of the domain map if none answers.
func (b *overviewBuilder) index() {
	terms := make(map[string]ownership.Term)
	for _, vm := range b.vms {
		if vm.missing {
			continue
		}
		for _, g := range vm.status.Gates {
			b.addGate(g)
		}
		if decider := vm.status.Decider; decider != nil && decider.Term >= terms[decider.Domain] {
			terms[decider.Domain] = decider.Term
			b.addUnits(decider)
		}
	}
	for _, domain := range b.view.FailureDomains() {
		if _, answered := terms[domain.Name]; !answered {
			b.addUnitsFromMap(domain.Name)
		}
	}
}

// addGate adds the counts of a gate to those of the same backend server. Adopted is the
// maximum instead of the sum, because both gates may count the same requests of an
// earlier gate.
func (b *overviewBuilder) addGate(g gateStatus) {
	id := serverID{g.Service, g.Server}
	known := b.gates[id]
	g.InFlight += known.InFlight
	g.Queued += known.Queued
	g.Adopted = max(g.Adopted, known.Adopted)
	b.gates[id] = g
}

// addUnits sets the units of the backend servers that the decider knows.
func (b *overviewBuilder) addUnits(decider *deciderStatus) {
	for _, units := range decider.Servers {
		b.units[serverID{units.Service, units.Server}] = units
	}
}

// addUnitsFromMap counts the units in the last map of the failure domain, whose decider
// does not answer.
func (b *overviewBuilder) addUnitsFromMap(domain string) {
	published, ok := b.table.Domain(domain)
	if !ok {
		return
	}
	for name, service := range published.Services {
		for unit, assignment := range service.Units {
			id := serverID{name, assignment.Server}
			units := b.units[id]
			if unit.IsHot() {
				units.HotKeys++
			} else {
				units.Slices++
			}
			b.units[id] = units
		}
	}
}

// vmStatus returns the status of the VMs, sorted by name.
func (b *overviewBuilder) vmStatus() []api.VMStatus {
	list := make([]api.VMStatus, 0, len(b.vms))
	for _, vm := range b.vms {
		status := api.VMStatus{
			Name:          vm.Name,
			FailureDomain: vm.FailureDomain,
			State:         vmState(vm),
			Revision:      vm.status.Revision,
			AgeMillis:     -1,
			Decider:       vm.status.Decider != nil && !vm.missing,
		}
		if vm.age >= 0 {
			status.AgeMillis = vm.age.Milliseconds()
		}
		for _, g := range vm.status.Gates {
			status.Gates = append(status.Gates, gateOverview(g))
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b api.VMStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// vmState returns the state of the VM in terms of the operator API.
func vmState(vm knownVM) string {
	switch {
	case vm.missing:
		return api.VMMissing
	case vm.State == platform.VMLeaving || vm.status.State == stateStopping:
		return api.VMLeaving
	case vm.status.State == stateStarting:
		return api.VMStarting
	default:
		return api.VMLive
	}
}

func gateOverview(g gateStatus) api.GateStatus {
	return api.GateStatus{
		Service: g.Service, BackendServer: g.Server, State: warmState(g.Warm),
		Slots: g.Slots, Limit: g.Limit, InFlight: g.InFlight, Queued: g.Queued,
	}
}

// warmState returns the name of the state of a gate.
func warmState(warm bool) string {
	if warm {
		return "warm"
	}
	return "cold"
}

// backendStatus returns the status of all configured backend servers.
func (b *overviewBuilder) backendStatus() []api.BackendStatus {
	list := []api.BackendStatus{}
	for _, service := range b.view.Services() {
		for _, server := range service.Spec.BackendServers {
			id := serverID{service.Name, server.Name}
			units := b.units[id]
			list = append(list, api.BackendStatus{
				Service:       service.Name,
				Name:          server.Name,
				FailureDomain: server.FailureDomain,
				State:         b.backendState(id, server),
				Slices:        units.Slices + units.HotKeys,
				InFlight:      b.gates[id].InFlight,
				Slots:         service.Spec.Slots,
			})
		}
	}
	return list
}

// backendState returns lost, draining or unknown, in this order of precedence, or
// whether the gate is warm or cold.
func (b *overviewBuilder) backendState(id serverID, server resource.BackendServer) string {
	_, domainDrained := b.view.DomainDrain(server.FailureDomain)
	g, reported := b.gates[id]
	switch {
	case b.units[id].Lost:
		return "lost"
	case domainDrained || b.view.BackendDrained(id.service, id.name):
		return "draining"
	case !reported:
		return "unknown"
	default:
		return warmState(g.Warm)
	}
}

// workspaceStatus adds up the usage of each workspace over the VMs. The rejections of a
// missing VM stay included, since those requests were made; its request rate does not.
func (b *overviewBuilder) workspaceStatus() []api.WorkspaceStatus {
	byName := make(map[string]*api.WorkspaceStatus)
	list := make([]api.WorkspaceStatus, len(b.view.Workspaces()))
	refusals := make(map[string]map[string]uint64)
	for i, workspace := range b.view.Workspaces() {
		list[i].Name = workspace.Name
		byName[workspace.Name] = &list[i]
		refusals[workspace.Name] = make(map[string]uint64)
	}
	for _, rate := range b.view.Rates() {
		if status, ok := byName[rate.Spec.Workspace]; ok {
			status.LimitPerSecond = rate.Spec.RequestsPerSecond
		}
	}
	for _, vm := range b.vms {
		for _, used := range vm.status.Workspaces {
			status, ok := byName[used.Name]
			if !ok {
				continue
			}
			if !vm.missing {
				status.UsedPerSecond += used.PerSecond
			}
			for reason, count := range used.Refusals {
				refusals[used.Name][reason] += count
			}
		}
	}
	for name, status := range byName {
		for _, reason := range slices.Sorted(maps.Keys(refusals[name])) {
			status.Refusals = append(status.Refusals, api.RefusalCount{Reason: reason, Count: refusals[name][reason]})
		}
	}
	return list
}
