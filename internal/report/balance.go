package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/check"
	"fireflyfield/internal/trace"
)

// Balance holds the imbalance of the load of one service, the moves of its units and the
// time in which units were unavailable. Hot keys do not count as units here.
type Balance struct {
	Service string       `json:"service"`
	Servers []ServerLoad `json:"servers"`
	// Imbalance is the highest busy time of a backend server divided by the mean; 1
	// means that the load is even.
	Imbalance float64 `json:"imbalance"`
	// Moves counts how often a unit changed to another backend server.
	Moves        int     `json:"moves"`
	MovesPerHour float64 `json:"moves_per_hour"`
	// Unavailable is the time between successive holders, summed over all units.
	Unavailable time.Duration `json:"unavailable_ns"`
	// LongestGap is the longest time that one unit had no holder.
	LongestGap time.Duration `json:"longest_gap_ns"`
	// Units is the number of units that were held at least once.
	Units int `json:"units"`
}

// ServerLoad is the number of requests that one backend server ran, and the sum of
// their run times.
type ServerLoad struct {
	Server string        `json:"server"`
	Runs   int           `json:"runs"`
	Busy   time.Duration `json:"busy_ns"`
}

// balanceOf returns the balance of each service. Events must be ordered by time and not
// empty.
func balanceOf(events []trace.Event) []Balance {
	services := make(map[string]*Balance)
	addLoad(services, events)
	addChurn(services, events)
	length := time.Duration(events[len(events)-1].Time - events[0].Time)
	var list []Balance
	for _, name := range slices.Sorted(maps.Keys(services)) {
		b := services[name]
		b.Imbalance = imbalance(b.Servers)
		if length > 0 {
			b.MovesPerHour = float64(b.Moves) / length.Hours()
		}
		list = append(list, *b)
	}
	return list
}

// serviceBalance returns the entry of a service, creating it if necessary.
func serviceBalance(services map[string]*Balance, name string) *Balance {
	if services[name] == nil {
		services[name] = &Balance{Service: name}
	}
	return services[name]
}

// addLoad sums the run times of each backend server that reported a state or ran a
// request. Idle backend servers are included so that they count in the mean.
func addLoad(services map[string]*Balance, events []trace.Event) {
	type run struct {
		request string
		attempt uint32
	}
	loads := make(map[trace.Server]*ServerLoad)
	started := make(map[run]int64)
	load := func(server trace.Server) *ServerLoad {
		if loads[server] == nil {
			loads[server] = &ServerLoad{Server: server.Name}
		}
		return loads[server]
	}
	for _, event := range events {
		switch body := event.Body.(type) {
		case trace.ServerState:
			load(body.Server)
		case trace.RunStart:
			load(body.Server).Runs++
			started[run{body.Request, body.Attempt}] = event.Time
		case trace.RunEnd:
			if begin, ok := started[run{body.Request, body.Attempt}]; ok {
				load(body.Server).Busy += time.Duration(event.Time - begin)
			}
		}
	}
	for server, l := range loads {
		b := serviceBalance(services, server.Service)
		b.Servers = append(b.Servers, *l)
	}
	for _, b := range services {
		slices.SortFunc(b.Servers, func(x, y ServerLoad) int { return cmp.Compare(x.Server, y.Server) })
	}
}

// imbalance returns the highest busy time divided by the mean, or zero without load.
func imbalance(servers []ServerLoad) float64 {
	var sum, highest time.Duration
	for _, s := range servers {
		sum += s.Busy
		highest = max(highest, s.Busy)
	}
	if sum == 0 {
		return 0
	}
	return float64(highest) * float64(len(servers)) / float64(sum)
}

// addChurn counts moves and gaps between successive holders of slices. Hot keys are
// left out: they are created and removed in normal operation, and their slice covers
// them.
func addChurn(services map[string]*Balance, events []trace.Event) {
	var previous *check.Lease
	for _, lease := range check.Leases(events) {
		if lease.Unit.Hot() {
			continue
		}
		b := serviceBalance(services, lease.Server.Service)
		if previous == nil || previous.Unit != lease.Unit || previous.Server.Service != lease.Server.Service {
			b.Units++
			previous = &lease
			continue
		}
		b.addMove(*previous, lease)
		previous = &lease
	}
}

// addMove counts a move if the next lease of a unit is at another backend server, and
// the gap between the two leases if there is one.
func (b *Balance) addMove(previous, lease check.Lease) {
	if previous.Server != lease.Server {
		b.Moves++
	}
	gap := time.Duration(lease.Begin - previous.End)
	if gap <= 0 {
		return
	}
	b.Unavailable += gap
	b.LongestGap = max(b.LongestGap, gap)
}
