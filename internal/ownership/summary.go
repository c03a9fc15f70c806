package ownership

import (
	"cmp"
	"slices"

	"fireflyfield/internal/keyspace"
)

// ServerSummary is what a decider knows about one backend server of a keyed
// service.
type ServerSummary struct {
	Service string
	Server  string
	// Slices and HotKeys count what the backend server may hold, including what it
	// has been told to give up and has not confirmed yet.
	Slices  int
	HotKeys int
	// Lost says that the backend server does not answer.
	Lost bool
}

// Summary counts the units by backend server; it is empty at a VM that is not the
// decider. It reads every unit, so callers should space the calls.
func (d *Decider) Summary() []ServerSummary {
	if d.lead == nil {
		return nil
	}
	var list []ServerSummary
	for name, run := range d.lead.services {
		for server, holder := range run.servers {
			summary := ServerSummary{Service: name, Server: server, Lost: run.down[server] || holder.lost(d.now.Mono)}
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

// SlicesAt returns the number of slices of the service whose home is the failure
// domain; false if the service has no homes yet.
func (t *Table) SlicesAt(service, domain string) (int, bool) {
	homes := t.current.Load().homes[service]
	count := 0
	for _, home := range homes {
		if home.Domain == domain {
			count++
		}
	}
	return count, len(homes) > 0
}
