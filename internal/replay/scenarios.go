package replay

import (
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"
)

// burstFactor is the rate of the burst scenario as a multiple of the rate of its
// workspace.
const burstFactor = 5

// scenarios maps the name of a scenario to the function that adds its events.
var scenarios = map[string]func(*generator){
	"none":            func(*generator) {},
	"straggler":       (*generator).straggler,
	"backend-restart": (*generator).backendRestart,
	"domain-drain":    (*generator).domainDrain,
	"log-outage":      (*generator).logOutage,
	"key-withdrawn":   (*generator).keyWithdrawn,
	"burst":           (*generator).burst,
}

// Scenarios returns the names of the fault scenarios in alphabetical order.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// offset returns the time after the given share, from 0 to 1, of the script.
func (g *generator) offset(share float64) time.Duration {
	return time.Duration(share * float64(g.options.Duration))
}

// addFault adds the begin and the end of a fault.
func (g *generator) addFault(begin, end time.Duration, fault trace.Fault) {
	fault.Phase = trace.Begin
	g.add(begin, fault)
	fault.Phase = trace.Finished
	g.add(end, fault)
}

// server returns the backend server with index i of a service.
func (g *generator) server(service string, i int) trace.Server {
	server := g.specs[service].BackendServers[i]
	return trace.Server{Service: service, Name: server.Name, Domain: server.FailureDomain}
}

// straggler slows down one backend server of a keyed and one of an unkeyed service.
func (g *generator) straggler() {
	g.addFault(g.offset(1.0/3), g.offset(2.0/3), trace.Fault{ID: "unkeyed", Kind: trace.FaultServerSlow, Server: g.server(g.unkeyed[0], 0)})
	g.addFault(g.offset(1.0/3), g.offset(2.0/3), trace.Fault{ID: "keyed", Kind: trace.FaultServerSlow, Server: g.server(g.keyed[0], 0)})
}

// backendRestart restarts a backend server of a keyed and one of an unkeyed service
// without a prior drain.
func (g *generator) backendRestart() {
	g.addFault(g.offset(1.0/3), g.offset(1.0/3), trace.Fault{ID: "keyed", Kind: trace.FaultServerRestarted, Server: g.server(g.keyed[0], 0)})
	g.addFault(g.offset(1.0/2), g.offset(1.0/2), trace.Fault{ID: "unkeyed", Kind: trace.FaultServerRestarted, Server: g.server(g.unkeyed[0], 0)})
}

// domainDrain drains the second failure domain and later withdraws the drain.
func (g *generator) domainDrain() {
	domain := g.domains[1]
	g.add(g.offset(1.0/4), trace.Leave{Phase: trace.LeaveDrain, Domain: domain})
	g.add(g.offset(3.0/4), trace.Leave{Phase: trace.LeaveWithdrawn, Domain: domain})
}

// logOutage makes the shared log unavailable.
func (g *generator) logOutage() {
	g.addFault(g.offset(1.0/3), g.offset(2.0/3), trace.Fault{ID: "log", Kind: trace.FaultLogDown})
}

// keyWithdrawn withdraws the caller key of the workspace with the lowest rate, which
// continues to use it.
func (g *generator) keyWithdrawn() {
	smallest := g.workspaces[len(g.workspaces)-1]
	g.add(g.offset(1.0/4), trace.CallerKeyWithdraw{Digest: smallest.digest})
}

// burst makes the workspace with the lowest rate exceed its rate.
func (g *generator) burst() {
	smallest := g.workspaces[len(g.workspaces)-1]
	for offset := range g.arrivals(g.offset(1.0/3), g.offset(2.0/3), burstFactor*smallest.rate) {
		g.addRandomRequest(offset, smallest)
	}
}

// drainOf returns the Drain resource for the failure domain or backend server of a
// departure.
func drainOf(leave trace.Leave) resource.Resource {
	spec := &resource.DrainSpec{FailureDomain: leave.Domain}
	name := "replay-" + leave.Domain
	if leave.Domain == "" {
		spec.BackendServer = &resource.BackendTarget{Service: leave.Server.Service, Name: leave.Server.Name}
		name = "replay-" + leave.Server.Service + "-" + leave.Server.Name
	}
	return resource.Resource{APIVersion: resource.APIVersion, Metadata: resource.Metadata{Name: name}, Spec: spec}
}
