package vm

import (
	"context"
	"sync"
	"time"

	"fireflyfield/internal/ownership"
)

const (
	// healthInterval is the time between two polls of one backend server that does
	// not check grants.
	healthInterval = 250 * time.Millisecond
	// failuresUntilDown polls in a row have to fail before a backend server counts
	// as down, and successesUntilUp have to succeed before it counts as up again.
	failuresUntilDown = 3
	successesUntilUp  = 2
)

// healthTracker turns poll results into changes. A backend server counts as up at
// first. It is not safe for concurrent use.
type healthTracker struct {
	servers map[ownership.ServerID]*serverHealth
}

type serverHealth struct {
	down bool
	// against counts the results in a row that contradict the state.
	against int
}

func newHealthTracker() *healthTracker {
	return &healthTracker{servers: make(map[ownership.ServerID]*serverHealth)}
}

// observe takes one poll result and reports whether the state changed.
func (h *healthTracker) observe(id ownership.ServerID, up bool) (ownership.ServerHealth, bool) {
	server, ok := h.servers[id]
	if !ok {
		server = &serverHealth{}
		h.servers[id] = server
	}
	if up != server.down {
		server.against = 0
		return ownership.ServerHealth{}, false
	}
	server.against++
	if !server.down && server.against < failuresUntilDown || server.down && server.against < successesUntilUp {
		return ownership.ServerHealth{}, false
	}
	server.down = !server.down
	server.against = 0
	return ownership.ServerHealth{Server: id, Up: up}, true
}

// watchServers polls the health of backend servers that do not check grants while
// this VM is the decider, until the context ends.
func (v *VM) watchServers(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	tracker := newHealthTracker()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !v.loads.leading() {
			tracker = newHealthTracker() // a new term begins without knowledge
			continue
		}
		for id, up := range v.pollHealth(ctx, v.uncheckedServers()) {
			if event, changed := tracker.observe(id, up); changed {
				v.assigner.enqueue(ctx, event)
			}
		}
	}
}

// uncheckedServers lists the backend servers of this failure domain that own keys
// but do not check grants.
func (v *VM) uncheckedServers() []ownership.ServerID {
	var ids []ownership.ServerID
	for _, service := range v.follower.State().View().Services() {
		if !service.Spec.Keyed() || service.Spec.ChecksGrants {
			continue
		}
		for _, server := range service.Spec.BackendServers {
			if server.FailureDomain == v.options.FailureDomain {
				ids = append(ids, ownership.ServerID{Service: service.Name, Name: server.Name})
			}
		}
	}
	return ids
}

// pollHealth asks the backend servers at the same time.
func (v *VM) pollHealth(ctx context.Context, ids []ownership.ServerID) map[ownership.ServerID]bool {
	ctx, cancel := context.WithTimeout(ctx, healthInterval)
	defer cancel()
	var mu sync.Mutex
	var polls sync.WaitGroup
	results := make(map[ownership.ServerID]bool, len(ids))
	for _, id := range ids {
		client, ok := v.control.client(id)
		if !ok {
			continue
		}
		polls.Go(func() {
			err := client.Health(ctx)
			mu.Lock()
			defer mu.Unlock()
			results[id] = err == nil
		})
	}
	polls.Wait()
	return results
}
