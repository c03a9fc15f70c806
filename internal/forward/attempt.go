package forward

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/fleet"
	"fireflyfield/internal/httpheader"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/upstream"
)

const (
	// ownerWaitDivisor bounds each wait for the owner of a key: it lasts at most the
	// request's time left divided by ownerWaitDivisor.
	ownerWaitDivisor = 3
	// ownerRetryDelay is the longest delay before the second attempt after an owner
	// rejected the key: its grant may still be on the way. Each further delay may be
	// ownerRetryFactor times as long, since the owner's key range lease may have
	// expired while the shared log was unavailable. A change of the assignment ends the
	// delay. While a key has no owner, ownerRetryDelay is the polling interval.
	ownerRetryDelay  = 40 * time.Millisecond
	ownerRetryFactor = 8
	// maxOwnerAttempts is how often a request to a keyed service may be sent even if
	// its route allows fewer attempts, since owners may reject the key without running
	// the request.
	maxOwnerAttempts = 3
	// A request is hedged after hedgeLatencyFactor times its usual latency, or after
	// hedgeObjectiveFraction of its latency objective if that is shorter, but not
	// before minHedgeLatencyFactor times its usual latency.
	hedgeLatencyFactor     = 2.0
	hedgeObjectiveFraction = 0.55
	minHedgeLatencyFactor  = 1.3
	// minAttemptTime is the least time left with which another attempt is made.
	minAttemptTime = 10 * time.Millisecond
)

// runAttempts makes attempts until one yields the final answer. ctx ends when the
// caller leaves; attempts is the context of the attempts themselves.
func (f *Forwarder) runAttempts(ctx, attempts context.Context, rs *requestState) *Answer {
	name := f.chooseService(rs.route)
	rs.event.Service = name
	rs.service = rs.view.Config.Service(name)
	if rs.service == nil {
		return f.rejectWithRetryAfter(rs, http.StatusServiceUnavailable, "service-unknown")
	}
	f.budget(name).Request(time.Unix(0, int64(f.Clock.Now())))
	if rs.service.Keyed {
		if rs.call.Key == NoKey {
			return f.reject(rs, http.StatusBadRequest, "key-missing")
		}
		f.countKey(name, rs.call.Key)
	}
	for number := 1; ; number++ {
		if ctx.Err() != nil && rs.runs == 0 {
			return f.rejectWithRetryAfter(rs, http.StatusServiceUnavailable, "caller-left")
		}
		answer, retriable := f.attempt(ctx, attempts, rs)
		if answer != nil {
			return answer
		}
		if !retriable || !f.mayRetry(rs, number) {
			return f.giveUp(rs)
		}
		if answer := f.rejectUnsendable(rs); answer != nil {
			return answer
		}
		if answer := f.detour(attempts, rs); answer != nil {
			return answer
		}
	}
}

// mayRetry reports whether one more attempt may be made after number attempts, and
// takes it out of the retry budget unless no backend server has received the request.
// Otherwise it sets the reason of the event if giveUp needs one.
func (f *Forwarder) mayRetry(rs *requestState, number int) bool {
	now := f.Clock.Now()
	if rs.deadline-now < minAttemptTime {
		rs.event.Reason = "no-time"
		return false
	}
	// Sends that did not run don't count as runs. All sends together are therefore
	// limited too, to one more than the route's attempts.
	limit := rs.route.MaxAttempts + 1
	if rs.service.Keyed {
		limit = max(limit, maxOwnerAttempts)
	}
	if rs.runs >= rs.route.MaxAttempts || rs.sends >= limit || number >= limit {
		rs.event.Reason = "attempts-used"
		return false
	}
	if rs.withdrawn || !rs.reached {
		rs.withdrawn = false
		return true
	}
	if rs.outcomeUnknown && f.suspected(rs) {
		return false // giveUp states that the outcome is unknown
	}
	if !f.budget(rs.service.Name).Take(time.Unix(0, int64(now))) {
		rs.event.Reason = "retry-budget"
		return false
	}
	return true
}

// giveUp returns the answer when no further attempt is made: the last response of a
// backend server if there is one, or else a rejection that states the reason.
func (f *Forwarder) giveUp(rs *requestState) *Answer {
	reason := rs.event.Reason
	if rs.lastResponse != nil {
		rs.event.Reason = ""
		return rs.lastResponse
	}
	switch {
	case rs.outcomeUnknown && f.Clock.Now() >= rs.deadline:
		return f.reject(rs, http.StatusGatewayTimeout, "timeout")
	case rs.outcomeUnknown:
		return f.reject(rs, http.StatusBadGateway, "outcome-unknown")
	}
	return f.rejectWithRetryAfter(rs, http.StatusServiceUnavailable, reason)
}

// sendResult is the result of one send to a backend server.
type sendResult struct {
	b      *backend
	result upstream.Result
	event  AttemptEvent
	hedge  bool
}

// attempt sends the request to a backend server, and hedges it at a second one if the
// first is slow. It returns the final answer, or nil and whether another attempt may be
// made.
func (f *Forwarder) attempt(ctx, attempts context.Context, rs *requestState) (*Answer, bool) {
	b, answer := f.chooseBackend(ctx, rs)
	if answer != nil {
		if rs.outcomeUnknown || rs.lastResponse != nil {
			return f.giveUp(rs), false
		}
		return answer, false
	}
	attempts, cancel := context.WithCancel(attempts)
	defer cancel()
	results := make(chan sendResult, 2)
	f.send(attempts, rs, b, false, results)
	inFlight := 1
	var hedge <-chan time.Time
	if delay, ok := f.hedgeDelay(rs); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedge = timer.C
	}
	var lost <-chan struct{}
	if rs.route.Idempotent && f.Detours != nil && !rs.detoured {
		lost = f.Reach.Lost()
	}
	for {
		select {
		case <-lost:
			// The connections may hang until the deadline. Another VM can still serve the
			// request.
			rs.outcomeUnknown, rs.reached = true, true
			f.releaseAbandoned(rs.service, results, inFlight)
			return nil, true
		case <-hedge:
			hedge = nil
			if second := f.chooseHedge(rs); second != nil {
				f.send(attempts, rs, second, true, results)
				inFlight++
			}
		case r := <-results:
			inFlight--
			answer, retriable := f.handleResult(attempts, rs, &r)
			rs.event.Attempts = append(rs.event.Attempts, r.event)
			if answer == nil && inFlight > 0 {
				continue
			}
			f.releaseAbandoned(rs.service, results, inFlight)
			return answer, retriable
		}
	}
}

// releaseAbandoned releases the permits of inFlight sends when they end. Their results
// are no longer needed.
func (f *Forwarder) releaseAbandoned(service *fleet.Service, results <-chan sendResult, inFlight int) {
	if inFlight == 0 {
		return
	}
	go func() {
		for range inFlight {
			r := <-results
			f.Servers.endRequest(r.b, service, func(now time.Duration) {
				if response := r.result.Response; response != nil {
					parsed := f.Protocol.ParseResponse(response.Status, response.Header)
					f.Servers.applyNotices(r.b, &parsed, now-r.event.Took, now)
					response.Release()
				}
			})
		}
	}()
}

// hedgeDelay returns the delay after which a slow request is sent to a second backend
// server, and whether it may be hedged. Hedges help against backend servers that are
// slow for a fraction of a second, which load reports show too late.
func (f *Forwarder) hedgeDelay(rs *requestState) (time.Duration, bool) {
	if !rs.route.Idempotent || rs.service.Keyed || rs.runs >= rs.route.MaxAttempts || f.suspected(rs) {
		return 0, false
	}
	usualLatency := f.usualLatency(rs.route)
	delay := max(time.Duration(minHedgeLatencyFactor*float64(usualLatency)), min(time.Duration(hedgeLatencyFactor*float64(usualLatency)), time.Duration(hedgeObjectiveFraction*float64(rs.route.Objective))))
	return delay, rs.deadline-f.Clock.Now() > delay+usualLatency
}

// chooseHedge picks the backend server for a hedge and takes the hedge out of the retry
// budget. It returns nil if no hedge may be sent.
func (f *Forwarder) chooseHedge(rs *requestState) *backend {
	now := f.Clock.Now()
	usualLatency := f.usualLatency(rs.route)
	if rs.deadline-now < usualLatency || !f.budget(rs.service.Name).Take(time.Unix(0, int64(now))) {
		return nil
	}
	b, reason := f.Servers.pick(f.Directory.View(), rs.service, rs.tried, usualLatency, rs.deadline-now)
	if reason != pickOK {
		f.budget(rs.service.Name).Return(time.Unix(0, int64(now)))
		return nil
	}
	return b
}

// send sends the request to b in the background and delivers the result to results. The
// caller has a permit for b.
func (f *Forwarder) send(ctx context.Context, rs *requestState, b *backend, hedge bool, results chan<- sendResult) {
	now := f.Clock.Now()
	header := f.forwardedHeader(rs)
	workspace := ""
	if rs.workspace != nil {
		workspace = rs.workspace.Name
	}
	f.Protocol.SetAttempt(header, AttemptHeaders{
		RequestID: rs.call.ID, Instance: b.process.Backend, TimeLeft: rs.deadline - now, Workspace: workspace,
	})
	r := sendResult{b: b, hedge: hedge, event: AttemptEvent{Backend: b.process.Backend, SentAfter: now - rs.request.Received, Hedge: hedge}}
	r.event.InFlight, r.event.ReportAge = f.Servers.estimate(b)
	mayHaveRun := rs.mayHaveRun()
	request := &upstream.Request{
		ID: rs.call.ID, Method: rs.request.Method, Target: rs.request.Target, Host: rs.request.Host,
		Header: header, Body: rs.request.Body, HasBody: rs.request.HasBody, Avoid: rs.conns,
		Allowed: func() bool {
			return f.Servers.mayReceive(f.Directory.View(), b) && f.quarantined(rs) == 0 && (mayHaveRun || !f.outlivesProcess(rs))
		},
	}
	f.Reach.Sent(b.process.Backend, now)
	rs.tried = append(rs.tried, b.process.Backend)
	rs.sends++
	rs.runs++
	go func() {
		r.result = b.pool.Do(ctx, request)
		r.event.Took, r.event.Reused = f.Clock.Now()-now, r.result.Reused
		results <- r
	}()
}

// handleResult updates the state of the request and of the backend server from the
// result of one send. It returns the final answer, or nil and whether another attempt
// may be made.
func (f *Forwarder) handleResult(ctx context.Context, rs *requestState, r *sendResult) (*Answer, bool) {
	b, result, event := r.b, r.result, &r.event
	rs.conns = append(rs.conns, result.Conn)
	switch result.Outcome {
	case upstream.OutcomeNotSent:
		event.Detail = "not sent: " + result.Err.Error()
		rs.runs--
		rs.event.Reason = "not-sent"
		if errors.Is(result.Err, upstream.ErrNotAllowed) {
			rs.sends--
			rs.withdrawn = true
			f.Servers.endRequest(b, rs.service, func(time.Duration) {})
			return nil, true
		}
		if ctx.Err() != nil {
			f.Servers.endRequest(b, rs.service, func(time.Duration) {})
			return nil, false
		}
		f.Reach.Failed(b.process.Backend, result.NotConnected)
		f.Servers.connectionFailed(b, rs.service, result.NotConnected, false)
		return nil, true
	case upstream.OutcomeUnknown:
		event.Detail = result.Err.Error()
		rs.outcomeUnknown, rs.reached = true, true
		if ctx.Err() == nil {
			f.Reach.Failed(b.process.Backend, false)
			f.connectionBroke(rs, b, result.Err)
		}
		switch {
		case ctx.Err() != nil:
			// Only the deadline is a failure of the backend server; the caller leaving is
			// not.
			f.Servers.endRequest(b, rs.service, func(now time.Duration) { b.recordResult(now >= rs.deadline, now) })
			return nil, false
		case result.Reused:
			// No pause: the peer may have closed the connection because it was idle.
			f.Servers.endRequest(b, rs.service, func(now time.Duration) { b.recordResult(true, now) })
		default:
			f.Servers.connectionFailed(b, rs.service, false, errors.Is(result.Err, syscall.ECONNRESET))
		}
		return nil, rs.route.Idempotent
	}
	return f.handleResponse(rs, r)
}

// handleResponse is handleResult for a send that received a complete response.
func (f *Forwarder) handleResponse(rs *requestState, r *sendResult) (*Answer, bool) {
	b, event, response := r.b, &r.event, r.result.Response
	rs.reached = true
	f.Reach.Responded(!r.result.Reused)
	rs.responses = append(rs.responses, response)
	parsed := f.Protocol.ParseResponse(response.Status, response.Header)
	event.Status = response.Status
	failed := response.Status >= http.StatusInternalServerError
	usualLatency := f.usualLatency(rs.route)
	f.Servers.endRequest(b, rs.service, func(now time.Duration) {
		f.Servers.applyNotices(b, &parsed, now-event.Took, now)
		if parsed.HasLoad {
			b.applyLoad(parsed.Load, now)
		}
		switch {
		case parsed.NotOwner:
		case parsed.NotRun:
			b.markFull(now)
		case failed:
			b.recordResult(true, now)
		default:
			relative := float64(event.Took) / float64(max(usualLatency, time.Millisecond))
			b.recordSuccess(relative, now)
			b.addLatency(relative, parsed.Load)
		}
	})
	if !parsed.NotOwner { // otherwise another process may have got the address
		f.observeResponse(rs, b, f.Clock.Now()-event.Took, parsed.Signed && !failed)
	}
	if parsed.NotRun {
		event.Detail = "not run"
		rs.runs--
		return f.handleNotRun(rs, parsed)
	}
	if !parsed.Signed && response.Status < http.StatusMultipleChoices {
		event.Detail = "response without signature"
		rs.outcomeUnknown = true
		return nil, rs.route.Idempotent
	}
	if promisesNotRun(response.Status) {
		event.Detail = "refusal that does not state that the request did not run"
		rs.outcomeUnknown = true
		return nil, rs.route.Idempotent
	}
	answer := passResponse(rs.request.Method, response)
	if failed && rs.route.Idempotent {
		// Another backend server may succeed.
		rs.lastResponse = answer
		return nil, true
	}
	if !failed {
		f.recordLatency(rs.route, event.Took)
	}
	rs.event.Reason = ""
	return answer, false
}

// promisesNotRun reports whether a status promises a caller that the request has not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleNotRun handles a response which states that the request did not run. If the
// backend server does not own the key, it first waits for a change of the assignment.
func (f *Forwarder) handleNotRun(rs *requestState, parsed ResponseHeaders) (*Answer, bool) {
	rs.event.Reason = "backend-refused"
	if rs.service.Keyed && parsed.NotOwner {
		rs.event.Reason = "not-owner"
		rs.tried = rs.tried[:0]
		f.waitForOwnerChange(rs, min(rs.ownerRetryDelay, (rs.deadline-f.Clock.Now())/ownerWaitDivisor))
		rs.ownerRetryDelay *= ownerRetryFactor
	}
	return nil, true
}

// passResponse returns a backend server's response as the answer to the caller. The length stays
// only where no body shows it.
func passResponse(method string, response *upstream.Response) *Answer {
	header := response.Header
	httpheader.RemoveHopByHop(header)
	if method != http.MethodHead || response.Status == http.StatusNoContent {
		header.Del("Content-Length")
	}
	return &Answer{Status: response.Status, Header: header, Body: response.Body, response: response}
}

// chooseBackend returns the backend server for the next attempt with a permit for it,
// or the rejection if none may receive the request.
func (f *Forwarder) chooseBackend(ctx context.Context, rs *requestState) (*backend, *Answer) {
	if rs.service.Keyed {
		return f.chooseOwner(ctx, rs)
	}
	b, reason := f.Servers.pick(f.Directory.View(), rs.service, rs.tried, f.usualLatency(rs.route), rs.deadline-f.Clock.Now())
	if reason != pickOK {
		return nil, f.rejectUnavailable(rs, string(reason), reason, "")
	}
	return b, nil
}

// rejectUnavailable rejects a request for which no backend server is available. During
// pauses and within limits the caller is told to return when the first backend server takes
// a request again: of the whole service, or the one with the given ID, which is the only one
// that may serve the request.
func (f *Forwarder) rejectUnavailable(rs *requestState, name string, reason pickReason, id string) *Answer {
	answer := f.rejectWithRetryAfter(rs, http.StatusServiceUnavailable, name)
	if reason.hasDelay() {
		answer.Header.Set("Retry-After", formatSeconds(f.Servers.shortestDelay(rs.service.Name, id)+f.retryAfter()))
	}
	return answer
}

// chooseOwner returns the owner of the request's key with a permit for it. While the
// key has no usable owner, its range is moving, or its owner is cold and may not yet get
// another request, it waits for a part of the request's time left.
func (f *Forwarder) chooseOwner(ctx context.Context, rs *requestState) (*backend, *Answer) {
	started := f.Clock.Now()
	until := started + (rs.deadline-started)/ownerWaitDivisor
	for {
		if answer := f.rejectAtStop(rs); answer != nil {
			return nil, answer
		}
		tableChanged, viewChanged := f.Table.Changed(), f.Directory.Changed()
		reason := pickNoServer
		entry := f.Table.Find(rs.service.Name, rs.call.Key)
		if entry != nil {
			rs.event.Owner, rs.event.OwnerFence, rs.event.OwnerMoving = entry.Backend, entry.Fence, entry.Moving
		}
		if entry != nil && entry.Backend != "" && !entry.Moving {
			var b *backend
			if b, reason = f.acquirePermit(ctx, rs, entry, until); b != nil {
				rs.event.OwnerWait += f.Clock.Now() - started
				return b, nil
			}
		}
		now := f.Clock.Now()
		delay, served := f.ownerDelay(reason, rs.event.Owner, until-now)
		if !served || now >= until || ctx.Err() != nil {
			rs.event.OwnerWait += now - started
			return nil, f.rejectUnavailable(rs, "owner-"+string(reason), reason, rs.event.Owner)
		}
		wait(ctx, min(until-now, delay), tableChanged, viewChanged)
	}
}

// ownerDelay returns how long a request waits before it asks again for a permit for the owner of
// its key, and false if it would not get one within the time that is left.
func (f *Forwarder) ownerDelay(reason pickReason, owner string, left time.Duration) (time.Duration, bool) {
	switch reason {
	case pickAllFull, pickTooLate, pickPaused:
		return 0, false
	case pickLimited:
		next := f.Servers.limitWaitOf(owner)
		return min(next, ownerRetryDelay), next <= left
	}
	return ownerRetryDelay, true
}

// acquirePermit takes a permit for the owner of the request's key. If none is free now
// but one will be in time, it waits for it at most until the given monotonic time.
func (f *Forwarder) acquirePermit(ctx context.Context, rs *requestState, entry *keyrange.Entry, until time.Duration) (*backend, pickReason) {
	w := &waiter{priority: rs.priority(), deadline: rs.deadline, ready: make(chan struct{})}
	timeLeft := rs.deadline - f.Clock.Now()
	b, reason := f.Servers.acquireOrQueue(f.Directory.View(), entry.Backend, rs.service, w, f.usualLatency(rs.route), timeLeft)
	if reason != pickQueued {
		return b, reason
	}
	wait(ctx, until-f.Clock.Now(), w.ready, nil)
	current := f.Table.Find(rs.service.Name, rs.call.Key)
	moved := current == nil || current.Backend != b.process.Backend || current.Moving
	if reason = f.Servers.endWait(f.Directory.View(), b, rs.service, w, moved); reason != pickOK {
		return nil, reason
	}
	return b, pickOK
}

// priority returns the priority of the request's workspace, or of its route if the
// workspace has none.
func (rs *requestState) priority() int {
	if rs.workspace != nil && rs.workspace.Priority != nil {
		return *rs.workspace.Priority
	}
	return rs.route.Priority
}

// waitForOwnerChange waits for a change of the assignment, for at most d.
func (f *Forwarder) waitForOwnerChange(rs *requestState, d time.Duration) {
	started := f.Clock.Now()
	wait(context.Background(), d, f.Table.Changed(), nil)
	rs.event.OwnerWait += f.Clock.Now() - started
}

// wait returns when ctx ends, d has passed, or one of the channels is closed.
func wait(ctx context.Context, d time.Duration, a, b <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a:
	case <-b:
	}
}
