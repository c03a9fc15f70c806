package check

import (
	"fmt"

	"fireflyfield/internal/trace"
)

// serverLoad is the state of a backend server at one moment of the trace.
type serverLoad struct {
	state   trace.ServerState
	known   bool
	event   trace.Event
	running map[attemptKey]bool
}

// checkColdLoad is invariant 3. It counts at the backend server, so that the load
// of all VMs is summed, and takes a request that a cold server sheds as load that
// it could not handle.
func checkColdLoad(h *history, _ Options, found *findings) {
	servers := make(map[trace.Server]*serverLoad)
	load := func(server trace.Server) *serverLoad {
		if servers[server] == nil {
			servers[server] = &serverLoad{running: make(map[attemptKey]bool)}
		}
		return servers[server]
	}
	for _, event := range h.sorted {
		switch body := event.Body.(type) {
		case trace.ServerState:
			load(body.Server).change(event, body)
		case trace.RunStart:
			load(body.Server).start(event, body, found)
		case trace.RunEnd:
			delete(load(body.Server).running, attemptKey{body.Request, body.Attempt})
		case trace.RunRefused:
			load(body.Server).refuse(event, body, found)
		}
	}
	found.need(found.checked > 0, "no request reached a backend server in cold start")
}

func (l *serverLoad) change(event trace.Event, body trace.ServerState) {
	if l.known && l.state.Instance != body.Instance {
		// What the former instance ran ended with it.
		clear(l.running)
	}
	l.state, l.known, l.event = body, true, event
}

func (l *serverLoad) cold() bool { return l.known && l.state.State == trace.Cold }

func (l *serverLoad) start(event trace.Event, body trace.RunStart, found *findings) {
	l.running[attemptKey{body.Request, body.Attempt}] = true
	if !l.cold() {
		return
	}
	found.checked++
	if len(l.running) > l.state.Capacity {
		reason := fmt.Sprintf("%s is cold, bears %d and runs %d requests", body.Server, l.state.Capacity, len(l.running))
		found.violate(reason, l.event, event)
	}
}

func (l *serverLoad) refuse(event trace.Event, body trace.RunRefused, found *findings) {
	if !l.cold() {
		return
	}
	found.checked++
	if body.Reason == trace.RefusedLoadShed {
		found.violate(fmt.Sprintf("%s is cold and had to shed request %s", body.Server, body.Request), l.event, event)
	}
}
