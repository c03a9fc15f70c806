package replay

import (
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"
)

// burstFactor is how far the burst scenario exceeds the rate of its workspace.
const burstFactor = 5

// scenarios maps the name of a scenario to what adds its faults.
var scenarios = map[string]func(*generator){
	"none":            func(*generator) {},
	"straggler":       (*generator).straggler,
	"backend-restart": (*generator).backendRestart,
	"domain-drain":    (*generator).domainDrain,
	"log-outage":      (*generator).logOutage,
	"key-withdrawn":   (*generator).keyWithdrawn,
	"burst":           (*generator).burst,
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// at returns the time after the given share of the script.
func (g *generator) at(share float64) time.Duration {
	return time.Duration(share * float64(g.options.Duration))
}

func (g *generator) fault(begin, end time.Duration, fault trace.Fault) {
	fault.Phase = trace.Begin
	g.add(begin, fault)
	fault.Phase = trace.Finished
	g.add(end, fault)
}

func (g *generator) server(service string, i int) trace.Server {
	server := g.specs[service].BackendServers[i]
	return trace.Server{Service: service, Name: server.Name, Domain: server.FailureDomain}
}

// straggler slows one backend server of each kind of service down.
func (g *generator) straggler() {
	g.fault(g.at(1.0/3), g.at(2.0/3), trace.Fault{ID: "unkeyed", Kind: trace.FaultServerSlow, Server: g.server(g.unkeyed[0], 0)})
	g.fault(g.at(1.0/3), g.at(2.0/3), trace.Fault{ID: "keyed", Kind: trace.FaultServerSlow, Server: g.server(g.keyed[0], 0)})
}

// backendRestart restarts a backend server of each kind of service without
// warning.
func (g *generator) backendRestart() {
	g.fault(g.at(1.0/3), g.at(1.0/3), trace.Fault{ID: "keyed", Kind: trace.FaultServerRestarted, Server: g.server(g.keyed[0], 0)})
	g.fault(g.at(1.0/2), g.at(1.0/2), trace.Fault{ID: "unkeyed", Kind: trace.FaultServerRestarted, Server: g.server(g.unkeyed[0], 0)})
}

// domainDrain takes the second failure domain out of service and back.
func (g *generator) domainDrain() {
	domain := g.domains[1]
	g.add(g.at(1.0/4), trace.Leave{Phase: trace.LeaveDrain, Domain: domain})
	g.add(g.at(3.0/4), trace.Leave{Phase: trace.LeaveWithdrawn, Domain: domain})
}

func (g *generator) logOutage() {
	g.fault(g.at(1.0/3), g.at(2.0/3), trace.Fault{ID: "log", Kind: trace.FaultLogDown})
}

// keyWithdrawn withdraws the caller key of the smallest workspace, which goes on
// using it.
func (g *generator) keyWithdrawn() {
	smallest := g.workspaces[len(g.workspaces)-1]
	g.add(g.at(1.0/4), trace.CallerKeyWithdraw{Digest: smallest.digest})
}

// burst lets the smallest workspace exceed its rate.
func (g *generator) burst() {
	smallest := g.workspaces[len(g.workspaces)-1]
	for at := range g.arrivals(g.at(1.0/3), g.at(2.0/3), burstFactor*smallest.rate) {
		g.request(at, smallest)
	}
}

// drainOf returns the resource that drains the target of a departure.
func drainOf(leave trace.Leave) resource.Resource {
	spec := &resource.DrainSpec{FailureDomain: leave.Domain}
	name := "replay-" + leave.Domain
	if leave.Domain == "" {
		spec.BackendServer = &resource.BackendTarget{Service: leave.Server.Service, Name: leave.Server.Name}
		name = "replay-" + leave.Server.Service + "-" + leave.Server.Name
	}
	return resource.Resource{APIVersion: resource.APIVersion, Metadata: resource.Metadata{Name: name}, Spec: spec}
}
