package ownership

import (
	"cmp"
	"slices"

	"fireflyfield/internal/keyspace"
)

// ServerSummary describes one backend server of a keyed service as its decider knows
// it.
type ServerSummary struct {
	Service string
	Server  string
	// Slices and HotKeys count the units that the backend server may hold, including
	// those whose revocation it has not confirmed yet.
	Slices  int
	HotKeys int
	// Lost is set if the backend server is reported down or does not answer.
	Lost bool
}

// Summary returns the backend servers with the number of units that each may hold,
// sorted by service and name. It is empty on a VM that is not the decider. It visits
// every unit, so it should not be called often.
func (d *Decider) Summary() []ServerSummary {
	if d.lead == nil {
		return nil
	}
	var list []ServerSummary
	for name, service := range d.lead.services {
		for server, holder := range service.servers {
			summary := ServerSummary{Service: name, Server: server, Lost: service.down[server] || holder.lost(d.now.Mono)}
			summary.countUnits(holder)
			list = append(list, summary)
		}
	}
	slices.SortFunc(list, func(a, b ServerSummary) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return list
}

func (s *ServerSummary) countUnits(holder *lessee[keyspace.Unit]) {
	for unit := range holder.held {
		s.count(unit)
	}
	for unit := range holder.uncertain {
		if _, held := holder.held[unit]; !held {
			s.count(unit)
		}
	}
}

func (s *ServerSummary) count(unit keyspace.Unit) {
	if unit.IsHot() {
		s.HotKeys++
	} else {
		s.Slices++
	}
}

// CountSlices returns the number of slices of the service whose home is the failure
// domain, and false if the service has no homes yet.
func (t *Table) CountSlices(service, domain string) (int, bool) {
	homes := t.current.Load().homes[service]
	count := 0
	for _, home := range homes {
		if home.Domain == domain {
			count++
		}
	}
	return count, len(homes) > 0
}
