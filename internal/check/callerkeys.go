package check

import (
	"fmt"

	"fireflyfield/internal/trace"
)

// keyHistory is what happened to one caller key.
type keyHistory struct {
	workspace string
	granted   trace.Event
	withdrawn trace.Event
	isGranted bool
	// endRevision is that of the last withdrawal.
	endRevision uint64
	isWithdrawn bool
}

// keyWatch checks invariant 5 over the sorted events.
type keyWatch struct {
	h     *history
	grace int64
	keys  map[trace.Digest]*keyHistory
	found *findings

	compared, credentials, afterWithdrawal bool
}

// checkCallerKeys is invariant 5. Requests count from the attempt, streams until
// their answer. A VM that serves with stale caller keys during a partition breaks
// the invariant: the design states that it then holds only with onStaleKeys:
// refuse.
func checkCallerKeys(h *history, o Options, found *findings) {
	w := &keyWatch{h: h, grace: int64(o.WithdrawGrace), keys: knownKeys(h), found: found}
	for _, event := range h.sorted {
		w.apply(event)
	}
	found.need(w.compared, "no run of a request with a caller key")
	found.need(w.credentials, "no backend server recorded the credentials that it saw")
	found.need(w.afterWithdrawal, "no use of a caller key after its withdrawal")
}

// knownKeys returns every caller key of the trace, so that one that a backend
// server sees before its grant is recorded is found too.
func knownKeys(h *history) map[trace.Digest]*keyHistory {
	keys := make(map[trace.Digest]*keyHistory)
	for _, event := range h.sorted {
		switch body := event.Body.(type) {
		case trace.CallerKey:
			keys[body.Digest] = &keyHistory{}
		case trace.Request:
			if body.CallerKey != "" {
				keys[body.CallerKey] = &keyHistory{}
			}
		}
	}
	return keys
}

func (w *keyWatch) apply(event trace.Event) {
	switch body := event.Body.(type) {
	case trace.CallerKey:
		w.grant(event, body)
	case trace.CallerKeyWithdraw:
		w.withdraw(event, body)
	case trace.Request:
		w.noteUse(event, body.Request)
	case trace.Attempt:
		w.checkUse(event, body.Request, "is sent")
	case trace.RunStart:
		w.checkRun(event, body)
		w.checkUse(event, body.Request, "runs")
	case trace.Answer:
		w.noteUse(event, body.Request)
		if body.Outcome == trace.Ran || body.Aborted {
			w.checkUse(event, body.Request, "is still answered")
		}
	}
}

func (w *keyWatch) grant(event trace.Event, body trace.CallerKey) {
	key := w.keys[body.Digest]
	stale := body.Revision != 0 && body.Revision <= key.endRevision
	if stale || key.isGranted {
		return
	}
	key.workspace, key.granted, key.isGranted, key.isWithdrawn = body.Workspace, event, true, false
}

func (w *keyWatch) withdraw(event trace.Event, body trace.CallerKeyWithdraw) {
	key, ok := w.keys[body.Digest]
	if !ok || key.isWithdrawn {
		return
	}
	key.withdrawn, key.isWithdrawn, key.isGranted = event, true, false
	key.endRevision = max(key.endRevision, body.Revision)
}

// keyOf returns the request as received and its caller key.
func (w *keyWatch) keyOf(id string) (entry[trace.Request], *keyHistory) {
	received := w.h.requests[id].received
	if len(received) == 0 {
		return entry[trace.Request]{}, nil
	}
	return received[0], w.keys[received[0].body.CallerKey]
}

func (w *keyWatch) noteUse(event trace.Event, id string) {
	_, key := w.keyOf(id)
	if key != nil && key.isWithdrawn && event.Time > key.withdrawn.Time {
		w.afterWithdrawal = true
	}
}

func (w *keyWatch) checkUse(event trace.Event, id, verb string) {
	received, key := w.keyOf(id)
	if key == nil || !key.isWithdrawn {
		return
	}
	w.found.checked++
	if event.Time > key.withdrawn.Time+w.grace {
		w.found.violate(fmt.Sprintf("request %s %s although its caller key was withdrawn", id, verb), key.withdrawn, received.event, event)
	}
}

func (w *keyWatch) checkRun(event trace.Event, body trace.RunStart) {
	w.checkCredentials(event, body)
	received, key := w.keyOf(body.Request)
	if received.event.Body == nil {
		return
	}
	if received.body.CallerKey == "" {
		w.found.violate(fmt.Sprintf("request %s runs without a caller key", body.Request), received.event, event)
		return
	}
	w.compared = true
	w.found.checked++
	workspace := received.body.Workspace
	if key.workspace != "" {
		workspace = key.workspace
	}
	if body.Workspace != workspace {
		reason := fmt.Sprintf("request %s runs for workspace %q, but its caller key belongs to %q", body.Request, body.Workspace, workspace)
		w.found.violate(reason, received.event, event)
	}
}

func (w *keyWatch) checkCredentials(event trace.Event, body trace.RunStart) {
	for _, digest := range body.Credentials {
		w.credentials = true
		if _, known := w.keys[digest]; known {
			w.found.violate(fmt.Sprintf("%s sees a caller key in request %s", body.Server, body.Request), event)
		}
	}
}
