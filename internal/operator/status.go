package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"
)

// The types of conditions.
const (
	ConditionAccepted = "Accepted"
	ConditionInForce  = "InForce"
	ConditionDrained  = "Drained"
	ConditionInRate   = "WithinRate"
)

// The values of a condition.
const (
	True  = "True"
	False = "False"
)

// withStatus returns a copy of the resource with what the VMs report about it.
func withStatus(r resource.Resource, view *config.View, overview api.Overview) resource.Resource {
	status := &resource.Status{Details: make(map[string]string)}
	status.Conditions = []resource.Condition{
		{Type: ConditionAccepted, Status: True, Reason: "revision " + strconv.FormatUint(r.Metadata.Revision, 10)},
		inForce(r.Metadata.Revision, overview.VMs),
	}
	switch spec := r.Spec.(type) {
	case *resource.ServiceSpec:
		addBackends(status, overview.BackendServers, func(b api.BackendStatus) bool { return b.Service == r.Metadata.Name })
	case *resource.FailureDomainSpec:
		addBackends(status, overview.BackendServers, func(b api.BackendStatus) bool { return b.FailureDomain == r.Metadata.Name })
	case *resource.WorkspaceSpec:
		addUse(status, r.Metadata.Name, overview.Workspaces)
	case *resource.RateSpec:
		addUse(status, spec.Workspace, overview.Workspaces)
	case *resource.DrainSpec:
		addDrain(status, r.Metadata.Name, overview.Drains)
	}
	r.Status = status
	return r
}

// inForce tells on how many VMs the revision was applied and which are missing.
func inForce(revision uint64, vms []api.VMStatus) resource.Condition {
	var missing []string
	for _, vm := range vms {
		if vm.Revision < revision {
			missing = append(missing, vm.Name)
		}
	}
	condition := resource.Condition{Type: ConditionInForce, Status: True}
	condition.Reason = fmt.Sprintf("on %d of %d VMs", len(vms)-len(missing), len(vms))
	if len(missing) > 0 {
		condition.Status = False
		condition.Reason += ", missing: " + strings.Join(missing, ", ")
	}
	return condition
}

// addBackends sums slices and load and lists each backend server.
func addBackends(status *resource.Status, servers []api.BackendStatus, belongs func(api.BackendStatus) bool) {
	total := api.BackendStatus{}
	for _, server := range servers {
		if !belongs(server) {
			continue
		}
		total.Slices += server.Slices
		total.InFlight += server.InFlight
		total.Slots += server.Slots
		text := fmt.Sprintf("%s, %d slices, %d of %d slots", server.State, server.Slices, server.InFlight, server.Slots)
		status.Details[server.Service+"/"+server.Name] = text
	}
	status.Details["slices"] = strconv.Itoa(total.Slices)
	status.Details["load"] = fmt.Sprintf("%d of %d slots", total.InFlight, total.Slots)
}

func addUse(status *resource.Status, name string, workspaces []api.WorkspaceStatus) {
	for _, workspace := range workspaces {
		if workspace.Name != name {
			continue
		}
		condition := resource.Condition{Type: ConditionInRate, Status: True, Reason: "no rate"}
		if workspace.LimitPerSecond > 0 {
			condition.Reason = fmt.Sprintf("%.1f of %.1f requests/s", workspace.UsedPerSecond, workspace.LimitPerSecond)
		}
		if workspace.LimitPerSecond > 0 && workspace.UsedPerSecond >= workspace.LimitPerSecond {
			condition.Status = False
		}
		status.Conditions = append(status.Conditions, condition)
		for _, refusal := range workspace.Refusals {
			status.Details["refused: "+refusal.Reason] = strconv.FormatUint(refusal.Count, 10)
		}
	}
}

func addDrain(status *resource.Status, name string, drains []api.DrainStatus) {
	for _, drain := range drains {
		if drain.Name != name {
			continue
		}
		condition := resource.Condition{Type: ConditionDrained, Status: False}
		if drain.Done {
			condition.Status = True
		}
		condition.Reason = fmt.Sprintf("%d slices and %d requests left", drain.SlicesLeft, drain.InFlight)
		if drain.PartitionsLeft > 0 {
			status.Details["partitions left"] = strconv.Itoa(drain.PartitionsLeft)
		}
		if len(drain.Missing) > 0 {
			condition.Reason += ", no answer of " + strings.Join(drain.Missing, ", ")
		}
		if !drain.Since.IsZero() {
			status.Details["since"] = drain.Since.UTC().Format(time.RFC3339)
		}
		status.Conditions = append(status.Conditions, condition)
	}
}
