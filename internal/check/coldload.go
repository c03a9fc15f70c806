package check

import (
	"fmt"

	"fireflyfield/internal/trace"
)

// serverLoad is the state of a backend server and its running attempts at the current
// event of the trace.
type serverLoad struct {
	state trace.ServerState
	// known is false until the server has recorded a state.
	known bool
	// event is the event of state.
	event   trace.Event
	running map[attemptKey]bool
}

// checkColdLoad checks invariant 3. It counts running requests at the backend server,
// which adds up the load from all VMs. A request that a cold server sheds counts as
// load above its capacity.
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
			load(body.Server).setState(event, body)
		case trace.RunStart:
			load(body.Server).startRun(event, body, found)
		case trace.RunEnd:
			delete(load(body.Server).running, attemptKey{body.Request, body.Attempt})
		case trace.RunRefused:
			load(body.Server).refuseRun(event, body, found)
		}
	}
	found.require(found.checked > 0, "no request reached a backend server in cold start")
}

func (l *serverLoad) setState(event trace.Event, body trace.ServerState) {
	if l.known && l.state.Instance != body.Instance {
		// The runs of the previous instance ended with it.
		clear(l.running)
	}
	l.state, l.known, l.event = body, true, event
}

func (l *serverLoad) cold() bool { return l.known && l.state.State == trace.Cold }

func (l *serverLoad) startRun(event trace.Event, body trace.RunStart, found *findings) {
	l.running[attemptKey{body.Request, body.Attempt}] = true
	if !l.cold() {
		return
	}
	found.checked++
	if len(l.running) > l.state.Capacity {
		reason := fmt.Sprintf("cold backend server %s has capacity for %d requests and runs %d", body.Server, l.state.Capacity, len(l.running))
		found.addViolation(reason, l.event, event)
	}
}

func (l *serverLoad) refuseRun(event trace.Event, body trace.RunRefused, found *findings) {
	if !l.cold() {
		return
	}
	found.checked++
	if body.Reason == trace.RefusedLoadShed {
		found.addViolation(fmt.Sprintf("cold backend server %s shed request %s", body.Server, body.Request), l.event, event)
	}
}
