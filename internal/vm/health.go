package vm

import (
	"context"
	"sync"
	"time"

	"fireflyfield/internal/ownership"
)

const (
	// healthInterval is the time between two health polls of a backend server that
	// does not check grants.
	healthInterval = 250 * time.Millisecond
	// failuresUntilDown is the number of consecutive polls that must fail before a
	// backend server counts as down, and successesUntilUp the number that must succeed
	// before it counts as up again.
	failuresUntilDown = 3
	successesUntilUp  = 2
)

// healthTracker derives changes of health from the results of polls. A backend server
// initially counts as up. The tracker is not safe for concurrent use.
type healthTracker struct {
	servers map[ownership.ServerID]*serverHealth
}

// serverHealth is the health of one backend server.
type serverHealth struct {
	down bool
	// contradictions is the number of consecutive results that contradict down.
	contradictions int
}

func newHealthTracker() *healthTracker {
	return &healthTracker{servers: make(map[ownership.ServerID]*serverHealth)}
}

// observe records the result of one poll. It returns the new health and true if the
// health has changed.
func (h *healthTracker) observe(id ownership.ServerID, up bool) (ownership.ServerHealth, bool) {
	server, ok := h.servers[id]
	if !ok {
		server = &serverHealth{}
		h.servers[id] = server
	}
	if up != server.down {
		server.contradictions = 0
		return ownership.ServerHealth{}, false
	}
	server.contradictions++
	if !server.down && server.contradictions < failuresUntilDown || server.down && server.contradictions < successesUntilUp {
		return ownership.ServerHealth{}, false
	}
	server.down = !server.down
	server.contradictions = 0
	return ownership.ServerHealth{Server: id, Up: up}, true
}

// watchHealth polls the backend servers that do not check grants while this VM is the
// decider, and enqueues changes for the ownership logic, until the context ends.
func (v *VM) watchHealth(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	tracker := newHealthTracker()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !v.loads.isDecider() {
			tracker = newHealthTracker() // results of an earlier term must not count
			continue
		}
		for id, up := range v.pollHealth(ctx, v.serversWithoutGrantChecks()) {
			if event, changed := tracker.observe(id, up); changed {
				v.assigner.enqueue(ctx, event)
			}
		}
	}
}

// serversWithoutGrantChecks returns the backend servers of keyed services in this
// failure domain that do not check grants.
func (v *VM) serversWithoutGrantChecks() []ownership.ServerID {
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

// pollHealth polls the backend servers in parallel and returns which of them are up.
func (v *VM) pollHealth(ctx context.Context, ids []ownership.ServerID) map[ownership.ServerID]bool {
	ctx, cancel := context.WithTimeout(ctx, healthInterval)
	defer cancel()
	var mu sync.Mutex
	var polls sync.WaitGroup
	results := make(map[ownership.ServerID]bool, len(ids))
	for _, id := range ids {
		client, ok := v.controlClients.client(id)
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
