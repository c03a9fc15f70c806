package check

import (
	"fmt"
	"slices"

	"fireflyfield/internal/trace"
)

// checkOwnership is invariant 1. It finds leases of one unit that overlap at two
// backend servers, runs at a server while another one holds the unit or the hot
// key, and, for services without grants, overlapping runs of one unit at two
// servers. A run that began under a lease and outlasts it is no offence: the
// backend server checks the token when it begins.
func checkOwnership(h *history, o Options, found *findings) {
	for _, key := range sortedKeys(h.holders) {
		checkLeases(h.holders[key], o, found)
	}
	granted := grantedServices(h)
	ungranted := make(map[unitKey][]unitRun)
	for _, r := range h.order {
		for _, start := range r.starts {
			if granted[start.body.Server.Service] {
				checkHolder(h, start, o, found)
				continue
			}
			addUnitRun(ungranted, r, start)
		}
	}
	checkUngranted(ungranted, o, found)
	found.need(found.checked > 0, "no unit changed its backend server")
}

// checkLeases compares each lease with the one before that ends last.
func checkLeases(list []*holding, o Options, found *findings) {
	tolerance := int64(o.ClockTolerance)
	var longest *holding
	for _, held := range list {
		if longest != nil && longest.server != held.server {
			found.checked++
			if min(longest.end, held.end) > held.begin+tolerance {
				reason := fmt.Sprintf("unit %016x of %s is held by %s and %s at the same time", uint64(held.key.unit), held.key.service, longest.server, held.server)
				found.violate(reason, longest.grant, held.grant)
			}
		}
		if longest == nil || held.end > longest.end {
			longest = held
		}
	}
}

func grantedServices(h *history) map[string]bool {
	services := make(map[string]bool)
	for key := range h.holders {
		services[key.service] = true
	}
	return services
}

func checkHolder(h *history, start entry[trace.RunStart], o Options, found *findings) {
	service := start.body.Server.Service
	units := []trace.Unit{start.body.Unit}
	if start.body.Key != 0 && !start.body.Unit.Hot() {
		units = append(units, trace.HotKeyUnit(start.body.Key))
	}
	for _, unit := range units {
		holder := otherHolder(h.holders[unitKey{service, unit}], start, o)
		if holder != nil {
			reason := fmt.Sprintf("request %s runs at %s while %s holds unit %016x", start.body.Request, start.body.Server, holder.server, uint64(unit))
			found.violate(reason, holder.grant, start.event)
		}
	}
}

// otherHolder returns the server that holds the unit at the begin of the run
// unless the server of the run does. Leases that overlap are found elsewhere.
func otherHolder(list []*holding, start entry[trace.RunStart], o Options) *holding {
	var other *holding
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

// checkUngranted compares each run with the one before that ends last. A run
// without an end counts as a moment, because its server may have been lost.
func checkUngranted(runs map[unitKey][]unitRun, o Options, found *findings) {
	for _, key := range sortedKeys(runs) {
		list := runs[key]
		slices.SortFunc(list, func(a, b unitRun) int { return trace.Compare(a.start.event, b.start.event) })
		longest := list[0]
		for _, run := range list[1:] {
			if longest.start.body.Server != run.start.body.Server {
				found.checked++
				if longest.end > run.begin+int64(o.ClockTolerance) {
					reason := fmt.Sprintf("requests %s and %s run at the same time at two backend servers of one unit", longest.start.body.Request, run.start.body.Request)
					found.violate(reason, longest.start.event, run.start.event)
				}
			}
			if run.end > longest.end {
				longest = run
			}
		}
	}
}
