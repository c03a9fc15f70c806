package check

import (
	"fmt"
	"slices"

	"fireflyfield/internal/trace"
)

// checkOwnership checks invariant 1. It reports leases of one unit that overlap at two
// backend servers, runs at a server while another one holds the unit or the hot key,
// and, for services without grants, overlapping runs of one unit at two servers. A run
// that began under a lease and outlasts it is no violation, because the backend server
// checks the fencing token only when the run begins.
func checkOwnership(h *history, o Options, found *findings) {
	for _, key := range sortedKeys(h.leases) {
		checkLeases(h.leases[key], o, found)
	}
	granted := grantedServices(h)
	ungranted := make(map[unitKey][]unitRun)
	for _, r := range h.requestOrder {
		for _, start := range r.starts {
			if granted[start.body.Server.Service] {
				checkHolder(h, start, o, found)
				continue
			}
			addUnitRun(ungranted, r, start)
		}
	}
	checkUngranted(ungranted, o, found)
	found.require(found.checked > 0, "no unit moved to another backend server")
}

// checkLeases compares each lease with the earlier lease that ends last. The list is
// sorted by begin.
func checkLeases(list []*lease, o Options, found *findings) {
	tolerance := int64(o.ClockTolerance)
	var lastEnding *lease
	for _, held := range list {
		if lastEnding != nil && lastEnding.server != held.server {
			found.checked++
			if min(lastEnding.end, held.end) > held.begin+tolerance {
				reason := fmt.Sprintf("unit %016x of service %s was held by %s and %s at the same time", uint64(held.key.unit), held.key.service, lastEnding.server, held.server)
				found.addViolation(reason, lastEnding.grant, held.grant)
			}
		}
		if lastEnding == nil || held.end > lastEnding.end {
			lastEnding = held
		}
	}
}

// grantedServices returns the services with recorded grants.
func grantedServices(h *history) map[string]bool {
	services := make(map[string]bool)
	for key := range h.leases {
		services[key.service] = true
	}
	return services
}

// checkHolder reports a run at a backend server while another one holds the unit or
// the hot key of the request.
func checkHolder(h *history, start entry[trace.RunStart], o Options, found *findings) {
	service := start.body.Server.Service
	units := []trace.Unit{start.body.Unit}
	if start.body.Key != 0 && !start.body.Unit.Hot() {
		units = append(units, trace.HotKeyUnit(start.body.Key))
	}
	for _, unit := range units {
		holder := otherHolder(h.leases[unitKey{service, unit}], start, o)
		if holder != nil {
			reason := fmt.Sprintf("request %s ran at %s while %s held unit %016x", start.body.Request, start.body.Server, holder.server, uint64(unit))
			found.addViolation(reason, holder.grant, start.event)
		}
	}
}

// otherHolder returns the lease of another server that holds the unit when the run
// begins, or nil if the server of the run holds it too; checkLeases reports such
// overlapping leases.
func otherHolder(list []*lease, start entry[trace.RunStart], o Options) *lease {
	var other *lease
	for _, held := range list {
		at, tolerance := start.event.Time, int64(o.ClockTolerance)
		if held.server == start.body.Server {
			if held.begin-tolerance <= at && at < held.end+tolerance {
				return nil
			}
			continue
		}
		if held.begin+tolerance <= at && at < held.end-tolerance {
			other = held
		}
	}
	return other
}

// unitRun is one run of a unit whose service has no grants.
type unitRun struct {
	span
	start entry[trace.RunStart]
}

// addUnitRun adds a run of a request with a key. A run without a recorded end has no
// duration, because its server may have been lost.
func addUnitRun(runs map[unitKey][]unitRun, r *request, start entry[trace.RunStart]) {
	if start.body.Key == 0 {
		return
	}
	key := unitKey{start.body.Server.Service, start.body.Unit}
	end := start.event.Time
	for _, e := range r.ends {
		if e.body.Attempt == start.body.Attempt && e.body.Server == start.body.Server {
			end = e.event.Time
		}
	}
	runs[key] = append(runs[key], unitRun{span{start.event.Time, end}, start})
}

// checkUngranted reports runs of one unit that overlap at two backend servers. It
// compares each run with the earlier run that ends last.
func checkUngranted(runs map[unitKey][]unitRun, o Options, found *findings) {
	for _, key := range sortedKeys(runs) {
		list := runs[key]
		slices.SortFunc(list, func(a, b unitRun) int { return trace.Compare(a.start.event, b.start.event) })
		lastEnding := list[0]
		for _, run := range list[1:] {
			if lastEnding.start.body.Server != run.start.body.Server {
				found.checked++
				if lastEnding.end > run.begin+int64(o.ClockTolerance) {
					reason := fmt.Sprintf("requests %s and %s for one unit ran at the same time at two backend servers", lastEnding.start.body.Request, run.start.body.Request)
					found.addViolation(reason, lastEnding.start.event, run.start.event)
				}
			}
			if run.end > lastEnding.end {
				lastEnding = run
			}
		}
	}
}
