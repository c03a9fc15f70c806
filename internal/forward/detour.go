package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/membudget"
	"fireflyfield/internal/upstream"
)

const (
	// maxHelpers is the number of other VMs that a VM sends requests to, so that each connection
	// is used often enough to stay open. helperRefresh is the time between two looks at which VMs
	// may have a path.
	maxHelpers    = 12
	helperRefresh = 100 * time.Millisecond
	// maxDetours is the number of other VMs to which one request is sent.
	maxDetours = 3
	// headerDeclined marks the answer of a VM that cannot serve a request of another VM.
	headerDeclined = "Fireflyfield-Detour-Declined"
	// helperPause is how long a VM that could not be reached or has declined gets no request if
	// there are others.
	helperPause = time.Second
	// reasonNoPath is the reason with which a VM declines a request of another VM,
	// and with which a request is rejected that no other VM can serve.
	reasonNoPath = "no-path"
)

// Detours sends requests to other VMs while this one has no path to the backend servers. It is
// safe for concurrent use. Its load pattern: all callers of a VM, or of most VMs of a failure
// domain, at once, on top of the usual load of the VMs that are left.
type Detours struct {
	clock     clock.Clock
	responder upstream.Responder
	memory    *membudget.Budget
	// helpers returns the HOST:PORT addresses of the VMs that may have a path.
	helpers func() []string

	mu          sync.Mutex
	random      *rand.Rand
	chosen      []*helper // those that get requests
	refreshedAt time.Duration
}

// helper is what this VM knows of another VM that sends requests on. Detours.mu guards its fields.
type helper struct {
	address     string
	pool        *upstream.Pool
	inFlight    int
	pausedUntil time.Duration
}

// NewDetours returns the detours over the VMs whose addresses helpers returns, without this one
// and without those known to have no path. The bodies of responses are held within memory.
func NewDetours(c clock.Clock, responder upstream.Responder, memory *membudget.Budget, random *rand.Rand, helpers func() []string) *Detours {
	return &Detours{clock: c, responder: responder, memory: memory, helpers: helpers, random: random}
}

// take chooses the one of two random VMs that has fewer requests of this VM in flight, so that the
// load spreads over all of them. VMs in tried are left out, and paused ones unless there is no
// other. It returns nil if there is none. release must be called after the request.
func (d *Detours) take(tried []*helper) *helper {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now)
	var candidates, paused []*helper
	for _, h := range d.chosen {
		switch {
		case slices.Contains(tried, h):
		case now < h.pausedUntil:
			paused = append(paused, h)
		default:
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		candidates = paused
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen := candidates[d.random.IntN(len(candidates))]
	if other := candidates[d.random.IntN(len(candidates))]; other.inFlight < chosen.inFlight {
		chosen = other
	}
	chosen.inFlight++
	return chosen
}

// refresh drops the VMs that are no longer listed and chooses others up to maxHelpers. The caller
// holds d.mu.
func (d *Detours) refresh(now time.Duration) {
	if d.refreshedAt != 0 && now-d.refreshedAt < helperRefresh {
		return
	}
	d.refreshedAt = now
	addresses := slices.Clone(d.helpers())
	d.chosen = slices.DeleteFunc(d.chosen, func(h *helper) bool {
		listed := slices.Contains(addresses, h.address)
		if !listed {
			h.pool.Close()
		}
		return !listed
	})
	d.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses {
		known := slices.ContainsFunc(d.chosen, func(h *helper) bool { return h.address == address })
		if !known && len(d.chosen) < maxHelpers {
			d.chosen = append(d.chosen, &helper{address: address, pool: upstream.NewPool(address, d.clock, d.responder, d.memory)})
		}
	}
}

// release ends a request of take. failed is set if the VM did not serve it.
func (d *Detours) release(h *helper, failed bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	h.inFlight--
	if failed {
		h.pausedUntil = now + helperPause
	}
}

// ExpireIdle closes connections that have been idle for too long.
func (d *Detours) ExpireIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.chosen {
		h.pool.ExpireIdle()
	}
}

// detour lets another VM serve the request if this one has no path to the backend servers, and
// rejects the request if none can. It returns nil if this VM has a path. attempts is the context of
// the attempts.
func (f *Forwarder) detour(attempts context.Context, rs *requestState) *Answer {
	if f.Detours == nil || rs.detoured || !f.Reach.Cut() {
		return nil
	}
	var tried []*helper
	for len(tried) < maxDetours && rs.deadline-f.Clock.Now() >= minAttemptTime {
		h := f.Detours.take(tried)
		if h == nil {
			break
		}
		tried = append(tried, h)
		answer, again := f.sendDetour(attempts, rs, h)
		if answer != nil {
			return answer
		}
		if !again {
			break
		}
	}
	rs.event.Reason = reasonNoPath
	return f.giveUp(rs)
}

// sendDetour sends the request to another VM. It returns the final answer, or nil and whether
// another VM may get the request.
func (f *Forwarder) sendDetour(ctx context.Context, rs *requestState, h *helper) (*Answer, bool) {
	now := f.Clock.Now()
	header := rs.endToEndHeader()
	f.Protocol.SetTimeLeft(header, rs.deadline-now)
	result := h.pool.Do(ctx, &upstream.Request{
		ID: rs.call.ID, Method: rs.request.Method, Target: rs.request.Target, Host: rs.request.Host,
		Header: header, Body: rs.request.Body, HasBody: rs.request.HasBody,
	})
	event := AttemptEvent{Backend: h.address, SentAfter: now - rs.request.Received, Took: f.Clock.Now() - now, Reused: result.Reused, Detour: true}
	defer func() { rs.event.Attempts = append(rs.event.Attempts, event) }()
	switch result.Outcome {
	case upstream.OutcomeNotSent:
		event.Detail = "not sent: " + result.Err.Error()
		f.Detours.release(h, ctx.Err() == nil)
		return nil, ctx.Err() == nil
	case upstream.OutcomeUnknown:
		event.Detail = result.Err.Error()
		f.Detours.release(h, ctx.Err() == nil)
		rs.outcomeUnknown = true
		if ctx.Err() == nil && rs.route.Idempotent {
			return nil, true
		}
		return f.giveUp(rs), false
	}
	event.Status = result.Response.Status
	if result.Response.Header.Get(headerDeclined) != "" {
		event.Detail = "declined"
		result.Response.Release()
		f.Detours.release(h, true)
		return nil, true
	}
	f.Detours.release(h, false)
	rs.responses = append(rs.responses, result.Response)
	rs.event.Reason = ""
	return passResponse(rs.request.Method, result.Response), false
}

// PeerHandler answers the requests that other VMs send while they have no path to the backend
// servers. These VMs have admitted them within the rates of their workspaces.
type PeerHandler struct{ *Forwarder }

// Handle implements front.Handler.
func (h PeerHandler) Handle(ctx context.Context, r *Request) *Answer {
	return h.handleRequest(ctx, r, true)
}

// declineDetour rejects a request of another VM if this one has no path either.
func (f *Forwarder) declineDetour(rs *requestState) *Answer {
	if !rs.detoured || !f.Reach.Cut() {
		return nil
	}
	return f.decline(rs, reasonNoPath)
}

// decline rejects a request that this VM can't serve now. If it is of another VM, that one may
// send it to a third.
func (f *Forwarder) decline(rs *requestState, reason string) *Answer {
	answer := f.rejectWithRetryAfter(rs, http.StatusServiceUnavailable, reason)
	if rs.detoured {
		answer.Header.Set(headerDeclined, "1")
	}
	return answer
}
