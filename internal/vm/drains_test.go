package vm

import (
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/platform"
	"fireflyfield/internal/resource"
)

// drainedView returns a configuration that has the service s with the backend server s1
// in the failure domain a at revision 1, and the drain at revision 2.
func drainedView(t *testing.T, drain string) *config.View {
	t.Helper()
	state := config.NewState()
	documents := [][]string{{
		`{"apiVersion":"fireflyfield/v1","kind":"FailureDomain","metadata":{"name":"a"},"spec":{}}`,
		`{"apiVersion":"fireflyfield/v1","kind":"FailureDomain","metadata":{"name":"b"},"spec":{}}`,
		`{"apiVersion":"fireflyfield/v1","kind":"Service","metadata":{"name":"s"},"spec":{"backendServers":[{"name":"s1","address":"h:1","failureDomain":"a"}]}}`,
	}, {drain}}
	for i, record := range documents {
		var changes []config.Change
		for _, document := range record {
			decoded, faults := resource.DecodeDocument([]byte(document), 1)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			change, err := config.Put(decoded, 0)
			if err != nil {
				t.Fatal(err)
			}
			changes = append(changes, change)
		}
		result := state.Apply(uint64(i+1), config.NewRecord(uuid.New(), 0, changes...))
		if !result.Outcome.Accepted() {
			t.Fatal(result)
		}
	}
	return state.View()
}

// drainOf returns the status of the drain according to the status of the VMs.
func drainOf(view *config.View, vms ...knownVM) api.DrainStatus {
	b := &overviewBuilder{table: ownership.NewTable(), view: view, vms: vms, gates: make(map[serverID]gateStatus), units: make(map[serverID]serverUnits)}
	b.index()
	return b.drainStatus()[0]
}

// Guards against a drain that is reported as done while a VM may still send requests to
// its target.
func TestDrainIsDoneOnlyWhenNoVMCanSend(t *testing.T) {
	const plain = `{"apiVersion":"fireflyfield/v1","kind":"Drain","metadata":{"name":"d"},"spec":{"failureDomain":"a"}}`
	const confirmed = `{"apiVersion":"fireflyfield/v1","kind":"Drain","metadata":{"name":"d"},"spec":{"failureDomain":"a","confirmedDown":true}}`
	known := func(domain string, revision uint64, missing bool, gates ...gateStatus) knownVM {
		return knownVM{VM: platform.VM{Name: "vm-" + domain, FailureDomain: domain}, status: statusReply{Revision: revision, Gates: gates}, missing: missing}
	}
	idle := gateStatus{Service: "s", Server: "s1"}
	busy := gateStatus{Service: "s", Server: "s1", InFlight: 1}
	queued := gateStatus{Service: "s", Server: "s1", Queued: 1}
	cases := []struct {
		name  string
		drain string
		vms   []knownVM
		done  bool
	}{
		{"idle and applied", plain, []knownVM{known("a", 2, false, idle), known("b", 2, false)}, true},
		{"request in flight", plain, []knownVM{known("a", 2, false, busy), known("b", 2, false)}, false},
		{"request queued", plain, []knownVM{known("a", 2, false, queued), known("b", 2, false)}, false},
		{"another VM has not applied it", plain, []knownVM{known("a", 2, false, idle), known("b", 1, false)}, false},
		{"another VM is missing without having applied it", plain, []knownVM{known("a", 2, false, idle), known("b", 1, true)}, false},
		{"another VM is missing after having applied it", plain, []knownVM{known("a", 2, false, idle), known("b", 2, true)}, true},
		{"VM of the target domain is missing", plain, []knownVM{known("a", 2, true, idle), known("b", 2, false)}, false},
		{"gate of the target is not reported", plain, []knownVM{known("a", 2, false), known("b", 2, false)}, false},
		{"target has no VM", plain, []knownVM{known("b", 2, false)}, true},
		{"target is confirmed to be down", confirmed, []knownVM{known("a", 2, true), known("b", 2, false)}, true},
		{"target is confirmed to be down, another VM is missing without having applied it", confirmed, []knownVM{known("b", 1, true)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(drainOf(drainedView(t, c.drain), c.vms...).Done, c.done)
		})
	}
}
