package check

import (
	"fmt"

	"fireflyfield/internal/trace"
)

// callerKeyState is the state of one caller key at the current event of the trace.
type callerKeyState struct {
	workspace string
	granted   trace.Event
	withdrawn trace.Event
	isGranted bool
	// withdrawnRevision is the configuration revision of the last withdrawal.
	withdrawnRevision uint64
	isWithdrawn       bool
}

// callerKeyChecker checks invariant 5 over the sorted events. The three saw fields
// record which parts of the invariant the trace exercises.
type callerKeyChecker struct {
	h     *history
	grace int64
	keys  map[trace.Digest]*callerKeyState
	found *findings

	sawRun, sawCredentials, sawUseAfterWithdrawal bool
}

// checkCallerKeys checks invariant 5. The use of a caller key begins with the attempt
// and, for a stream, lasts until the answer. A VM that serves with stale caller keys
// during a partition breaks the invariant: by design it then holds only with
// onStaleKeys: refuse.
func checkCallerKeys(h *history, o Options, found *findings) {
	c := &callerKeyChecker{h: h, grace: int64(o.WithdrawGrace), keys: knownKeys(h), found: found}
	for _, event := range h.sorted {
		c.apply(event)
	}
	found.require(c.sawRun, "no request with a caller key ran")
	found.require(c.sawCredentials, "no backend server recorded the credentials that it received")
	found.require(c.sawUseAfterWithdrawal, "no caller key was used after its withdrawal")
}

// knownKeys returns every caller key of the trace, so that a key is also detected at
// a backend server before the event that grants it.
func knownKeys(h *history) map[trace.Digest]*callerKeyState {
	keys := make(map[trace.Digest]*callerKeyState)
	for _, event := range h.sorted {
		switch body := event.Body.(type) {
		case trace.CallerKey:
			keys[body.Digest] = &callerKeyState{}
		case trace.Request:
			if body.CallerKey != "" {
				keys[body.CallerKey] = &callerKeyState{}
			}
		}
	}
	return keys
}

func (c *callerKeyChecker) apply(event trace.Event) {
	switch body := event.Body.(type) {
	case trace.CallerKey:
		c.grant(event, body)
	case trace.CallerKeyWithdraw:
		c.withdraw(event, body)
	case trace.Request:
		c.recordUse(event, body.Request)
	case trace.Attempt:
		c.checkUse(event, body.Request, "is sent to a backend server")
	case trace.RunStart:
		c.checkRun(event, body)
		c.checkUse(event, body.Request, "runs")
	case trace.Answer:
		c.recordUse(event, body.Request)
		if body.Outcome == trace.Ran || body.Aborted {
			c.checkUse(event, body.Request, "is answered")
		}
	}
}

// grant marks a caller key as valid. It ignores a grant that is not newer than the
// last withdrawal, which a VM that lags behind may record late.
func (c *callerKeyChecker) grant(event trace.Event, body trace.CallerKey) {
	key := c.keys[body.Digest]
	stale := body.Revision != 0 && body.Revision <= key.withdrawnRevision
	if stale || key.isGranted {
		return
	}
	key.workspace, key.granted, key.isGranted, key.isWithdrawn = body.Workspace, event, true, false
}

func (c *callerKeyChecker) withdraw(event trace.Event, body trace.CallerKeyWithdraw) {
	key, ok := c.keys[body.Digest]
	if !ok || key.isWithdrawn {
		return
	}
	key.withdrawn, key.isWithdrawn, key.isGranted = event, true, false
	key.withdrawnRevision = max(key.withdrawnRevision, body.Revision)
}

// requestAndKey returns the received event of a request and the state of its caller
// key, which is nil when the request has none.
func (c *callerKeyChecker) requestAndKey(id string) (entry[trace.Request], *callerKeyState) {
	received := c.h.requests[id].received
	if len(received) == 0 {
		return entry[trace.Request]{}, nil
	}
	return received[0], c.keys[received[0].body.CallerKey]
}

// recordUse notes that a withdrawn caller key was used, which the trace needs for the
// invariant to be exercised.
func (c *callerKeyChecker) recordUse(event trace.Event, id string) {
	_, key := c.requestAndKey(id)
	if key != nil && key.isWithdrawn && event.Time > key.withdrawn.Time {
		c.sawUseAfterWithdrawal = true
	}
}

// checkUse reports a use of a caller key later than the grace after its withdrawal.
func (c *callerKeyChecker) checkUse(event trace.Event, id, verb string) {
	received, key := c.requestAndKey(id)
	if key == nil || !key.isWithdrawn {
		return
	}
	c.found.checked++
	if event.Time > key.withdrawn.Time+c.grace {
		c.found.addViolation(fmt.Sprintf("request %s %s although its caller key was withdrawn", id, verb), key.withdrawn, received.event, event)
	}
}

// checkRun reports a run without a caller key or for a workspace other than that of
// the key, and a caller key that was passed on to the backend server.
func (c *callerKeyChecker) checkRun(event trace.Event, body trace.RunStart) {
	c.checkCredentials(event, body)
	received, key := c.requestAndKey(body.Request)
	if received.event.Body == nil {
		return
	}
	if received.body.CallerKey == "" {
		c.found.addViolation(fmt.Sprintf("request %s ran without a caller key", body.Request), received.event, event)
		return
	}
	c.sawRun = true
	c.found.checked++
	workspace := received.body.Workspace
	if key.workspace != "" {
		workspace = key.workspace
	}
	if body.Workspace != workspace {
		reason := fmt.Sprintf("request %s ran for workspace %q, but its caller key belongs to workspace %q", body.Request, body.Workspace, workspace)
		c.found.addViolation(reason, received.event, event)
	}
}

// checkCredentials reports a caller key that was passed on to a backend server.
func (c *callerKeyChecker) checkCredentials(event trace.Event, body trace.RunStart) {
	for _, digest := range body.Credentials {
		c.sawCredentials = true
		if _, known := c.keys[digest]; known {
			c.found.addViolation(fmt.Sprintf("backend server %s received a caller key in request %s", body.Server, body.Request), event)
		}
	}
}
