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

// The types of the conditions in the status of a resource.
const (
	ConditionAccepted   = "Accepted"
	ConditionInForce    = "InForce"
	ConditionDrained    = "Drained"
	ConditionWithinRate = "WithinRate"
)

// The values of the status of a condition.
const (
	ConditionTrue  = "True"
	ConditionFalse = "False"
)

// withStatus returns a copy of the resource whose status is computed from the
// overview.
func withStatus(r resource.Resource, view *config.View, overview api.Overview) resource.Resource {
	status := &resource.Status{Details: make(map[string]string)}
	status.Conditions = []resource.Condition{
		{Type: ConditionAccepted, Status: ConditionTrue, Reason: "revision " + strconv.FormatUint(r.Metadata.Revision, 10)},
		inForceCondition(r.Metadata.Revision, overview.VMs),
	}
	switch spec := r.Spec.(type) {
	case *resource.ServiceSpec:
		addBackends(status, overview.BackendServers, func(b api.BackendStatus) bool { return b.Service == r.Metadata.Name })
	case *resource.FailureDomainSpec:
		addBackends(status, overview.BackendServers, func(b api.BackendStatus) bool { return b.FailureDomain == r.Metadata.Name })
	case *resource.WorkspaceSpec:
		addRateUse(status, r.Metadata.Name, overview.Workspaces)
	case *resource.RateSpec:
		addRateUse(status, spec.Workspace, overview.Workspaces)
	case *resource.DrainSpec:
		addDrain(status, r.Metadata.Name, overview.Drains)
	}
	r.Status = status
	return r
}

// inForceCondition reports on how many VMs the revision is applied and names the VMs
// on which it is not.
func inForceCondition(revision uint64, vms []api.VMStatus) resource.Condition {
	var missing []string
	for _, vm := range vms {
		if vm.Revision < revision {
			missing = append(missing, vm.Name)
		}
	}
	condition := resource.Condition{Type: ConditionInForce, Status: ConditionTrue}
	condition.Reason = fmt.Sprintf("on %d of %d VMs", len(vms)-len(missing), len(vms))
	if len(missing) > 0 {
		condition.Status = ConditionFalse
		condition.Reason += ", missing: " + strings.Join(missing, ", ")
	}
	return condition
}

// addBackends adds the state of each backend server for which belongs returns true,
// and the sums of their slices and load.
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

// addRateUse adds the use of the workspace's rate and its refused requests by
// reason.
func addRateUse(status *resource.Status, name string, workspaces []api.WorkspaceStatus) {
	for _, workspace := range workspaces {
		if workspace.Name != name {
			continue
		}
		condition := resource.Condition{Type: ConditionWithinRate, Status: ConditionTrue, Reason: "no rate"}
		if workspace.LimitPerSecond > 0 {
			condition.Reason = fmt.Sprintf("%.1f of %.1f requests/s", workspace.UsedPerSecond, workspace.LimitPerSecond)
		}
		if workspace.LimitPerSecond > 0 && workspace.UsedPerSecond >= workspace.LimitPerSecond {
			condition.Status = ConditionFalse
		}
		status.Conditions = append(status.Conditions, condition)
		for _, refusal := range workspace.Refusals {
			status.Details["refused: "+refusal.Reason] = strconv.FormatUint(refusal.Count, 10)
		}
	}
}

// addDrain adds the progress of the named drain.
func addDrain(status *resource.Status, name string, drains []api.DrainStatus) {
	for _, drain := range drains {
		if drain.Name != name {
			continue
		}
		condition := resource.Condition{Type: ConditionDrained, Status: ConditionFalse}
		if drain.Done {
			condition.Status = ConditionTrue
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
