package router

import (
	"time"

	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/keylease"
)

const (
	// limitRetention is how long a limit counts after the last report that names it. VMs report
	// about once a second.
	limitRetention = 2500 * time.Millisecond
	// limitedLoadFraction is the part of its limit that the keys of a backend server may load it
	// with: the load of keys varies.
	limitedLoadFraction = 0.8
)

// ownerLimits are the limits of owners of keys that VMs report, by process.
type ownerLimits map[fleet.ProcessID]ownerLimit

// ownerLimit is a limit in requests per second, and when it was last reported.
type ownerLimit struct {
	rate       float64
	reportedAt time.Duration
}

// observe adds the limits of one report, which are those of the listed processes.
func (l ownerLimits) observe(limits map[string]float64, view *directory.View, now time.Duration) {
	for id, rate := range limits {
		if backend, listed := view.Backends[id]; listed {
			l[backend.Process()] = ownerLimit{rate: rate, reportedAt: now}
		}
	}
}

// dropStale removes the limits that are no longer reported.
func (l ownerLimits) dropStale(now time.Duration) {
	for process, limit := range l {
		if now-limit.reportedAt > limitRetention {
			delete(l, process)
		}
	}
}

// reduceCapacities lowers the capacities of the backend servers of one service that name a
// limit, so that the keys of each get at most limitedLoadFraction of it. load is the load of
// the service in requests per second. It answers the load pattern of an owner in need, whose
// callers would be rejected for as long as the limit holds while other servers have room.
func (l ownerLimits) reduceCapacities(servers []keylease.Server, load float64) {
	if load <= 0 {
		return
	}
	total, free, limitedShare := 0.0, 0.0, 0.0
	for _, server := range servers {
		if server.Usable {
			total += server.Capacity
		}
	}
	shares := make(map[int]float64)
	for i, server := range servers {
		if !server.Usable {
			continue
		}
		limit, limited := l[fleet.ProcessID{Backend: server.ID, Started: server.Started}]
		share := limitedLoadFraction * limit.rate / load
		if !limited || share >= server.Capacity/total {
			free += server.Capacity
			continue
		}
		shares[i] = share
		limitedShare += share
	}
	if free == 0 || limitedShare >= 1 {
		return // no server has room for the keys
	}
	for i, share := range shares {
		servers[i].Capacity = free * share / (1 - limitedShare)
	}
}
