package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"
)

// table is a text table: a heading and rows with the same number of cells.
type table struct {
	heading []string
	rows    [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func printTable(out io.Writer, t table) error {
	const padding = 2
	writer := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	for _, row := range append([][]string{t.heading}, t.rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// resourceTable lists the resources with the most failing conditions first.
func resourceTable(items []resource.Resource) table {
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b resource.Resource) int {
		return cmp.Compare(len(failingConditions(b)), len(failingConditions(a)))
	})
	t := table{heading: []string{"KIND", "NAME", "REVISION", "STATE"}}
	for _, r := range sorted {
		t.add(string(r.ID().Kind), r.Metadata.Name, strconv.FormatUint(r.Metadata.Revision, 10), stateText(r))
	}
	return t
}

// failingConditions returns the conditions whose status is not "True".
func failingConditions(r resource.Resource) []resource.Condition {
	if r.Status == nil {
		return nil
	}
	var found []resource.Condition
	for _, condition := range r.Status.Conditions {
		if condition.Status != "True" {
			found = append(found, condition)
		}
	}
	return found
}

// stateText names the failing conditions and their reasons, or "ok" if there are
// none.
func stateText(r resource.Resource) string {
	conditions := failingConditions(r)
	if len(conditions) == 0 {
		return "ok"
	}
	texts := make([]string, len(conditions))
	for i, condition := range conditions {
		texts[i] = "not " + condition.Type + " (" + condition.Reason + ")"
	}
	return strings.Join(texts, "; ")
}

// printOverviewTables prints the state of the VM that answered and one table for each
// kind of entry that the overview contains.
func printOverviewTables(out io.Writer, overview api.Overview) error {
	confirmed := "never confirmed"
	if overview.ConfirmedAgeMillis >= 0 {
		confirmed = fmt.Sprintf("confirmed %d ms ago", overview.ConfirmedAgeMillis)
	}
	fmt.Fprintf(out, "answered by %s in %s: revision %d, %s\n", overview.VM, overview.FailureDomain, overview.Revision, confirmed)
	if overview.Fault != "" {
		fmt.Fprintf(out, "configuration can't be read: %s\n", overview.Fault)
	}
	for _, t := range []table{vmTable(overview.VMs), backendTable(overview.BackendServers), workspaceTable(overview.Workspaces), drainTable(overview.Drains)} {
		if len(t.rows) == 0 {
			continue
		}
		if _, err := fmt.Fprintln(out); err != nil {
			return err
		}
		if err := printTable(out, t); err != nil {
			return err
		}
	}
	return nil
}

// vmTable lists missing VMs first, then those with the lowest revision.
func vmTable(vms []api.VMStatus) table {
	sorted := slices.Clone(vms)
	slices.SortStableFunc(sorted, func(a, b api.VMStatus) int {
		return cmp.Or(cmp.Compare(boolRank(a.State != api.VMMissing), boolRank(b.State != api.VMMissing)), cmp.Compare(a.Revision, b.Revision))
	})
	t := table{heading: []string{"VM", "DOMAIN", "STATE", "REVISION", "ANSWERED", "DECIDER"}}
	for _, vm := range sorted {
		t.add(vm.Name, vm.FailureDomain, vm.State, strconv.FormatUint(vm.Revision, 10), answeredText(vm.AgeMillis), deciderText(vm.Decider))
	}
	return t
}

// answeredText formats the age of a VM's last answer; it is negative if the VM
// never answered.
func answeredText(ageMillis int64) string {
	if ageMillis < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ageMillis)
}

func deciderText(decider bool) string {
	if decider {
		return "yes"
	}
	return ""
}

// backendTable lists the backend servers that are not warm first, then those with
// the highest load.
func backendTable(servers []api.BackendStatus) table {
	sorted := slices.Clone(servers)
	slices.SortStableFunc(sorted, func(a, b api.BackendStatus) int {
		if a.State != b.State && (a.State == "warm" || b.State == "warm") {
			return cmp.Compare(boolRank(a.State == "warm"), boolRank(b.State == "warm"))
		}
		return cmp.Compare(utilization(float64(b.InFlight), float64(b.Slots)), utilization(float64(a.InFlight), float64(a.Slots)))
	})
	t := table{heading: []string{"SERVICE", "BACKEND SERVER", "DOMAIN", "STATE", "SLICES", "LOAD"}}
	for _, s := range sorted {
		t.add(s.Service, s.Name, s.FailureDomain, s.State, strconv.Itoa(s.Slices), fmt.Sprintf("%d/%d", s.InFlight, s.Slots))
	}
	return t
}

// workspaceTable lists workspaces by the fraction of their rate that they use,
// highest first.
func workspaceTable(workspaces []api.WorkspaceStatus) table {
	sorted := slices.Clone(workspaces)
	slices.SortStableFunc(sorted, func(a, b api.WorkspaceStatus) int {
		return cmp.Compare(utilization(b.UsedPerSecond, b.LimitPerSecond), utilization(a.UsedPerSecond, a.LimitPerSecond))
	})
	t := table{heading: []string{"WORKSPACE", "USED/S", "RATE/S", "REFUSED"}}
	for _, w := range sorted {
		refused := make([]string, len(w.Refusals))
		for i, refusal := range w.Refusals {
			refused[i] = fmt.Sprintf("%s %d", refusal.Reason, refusal.Count)
		}
		t.add(w.Name, fmt.Sprintf("%.1f", w.UsedPerSecond), fmt.Sprintf("%.1f", w.LimitPerSecond), strings.Join(refused, ", "))
	}
	return t
}

// drainTable lists drains by the slices and then the requests that are left, most
// first.
func drainTable(drains []api.DrainStatus) table {
	sorted := slices.Clone(drains)
	slices.SortStableFunc(sorted, func(a, b api.DrainStatus) int {
		return cmp.Or(cmp.Compare(b.SlicesLeft, a.SlicesLeft), cmp.Compare(b.InFlight, a.InFlight))
	})
	t := table{heading: []string{"DRAIN", "SLICES LEFT", "REQUESTS LEFT", "PARTITIONS LEFT", "SINCE", "DONE", "NO ANSWER OF"}}
	for _, d := range sorted {
		since := ""
		if !d.Since.IsZero() {
			since = d.Since.UTC().Format(time.RFC3339)
		}
		t.add(d.Name, strconv.Itoa(d.SlicesLeft), strconv.Itoa(d.InFlight), strconv.Itoa(d.PartitionsLeft), since, strconv.FormatBool(d.Done), strings.Join(d.Missing, ", "))
	}
	return t
}

// boolRank orders false before true in a sort.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// utilization returns used/limit, or 0 if there is no limit.
func utilization(used, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return used / limit
}
