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
	// ownerWaitPart: a request waits for the owner of its key for this part of the time
	// that it has.
	ownerWaitPart = 3
	// ownerPause is the time before the second try at an owner that refused a key: its
	// grant may be under way. Each further pause is ownerPauseFactor times as long, since
	// its lease may have run out while the log was away.
	ownerPause       = 40 * time.Millisecond
	ownerPauseFactor = 8
	// ownerTries bounds the tries at owners that refuse the key.
	ownerTries = 3
	// A request is sent to a second backend server after hedgeUsual times the usual
	// latency, or hedgeObjective of its objective if that is less, but not before
	// hedgeLeast times the usual latency.
	hedgeUsual     = 2.0
	hedgeObjective = 0.55
	hedgeLeast     = 1.3
	// leastTime is the least time for which an attempt is worth while.
	leastTime = 10 * time.Millisecond
)

// run makes attempts until one gives the final answer.
func (f *Forwarder) run(ctx, attempts context.Context, fl *flight) *Answer {
	name := f.target(fl.route)
	fl.event.Service = name
	fl.service = fl.view.Config.Service(name)
	if fl.service == nil {
		return f.refuse(fl, http.StatusServiceUnavailable, "service-unknown")
	}
	f.budget(name).Request(time.Unix(0, int64(f.Clock.Now())))
	if fl.service.Keyed {
		if fl.call.Key == NoKey {
			return f.reject(fl, http.StatusBadRequest, "key-missing")
		}
		f.countKey(name, fl.call.Key)
	}
	for number := 1; ; number++ {
		if ctx.Err() != nil && fl.runs == 0 {
			return f.refuse(fl, http.StatusServiceUnavailable, "caller-left")
		}
		answer, retriable := f.attempt(ctx, attempts, fl)
		if answer != nil {
			return answer
		}
		if !retriable || !f.mayRetry(fl, number) {
			return f.giveUp(fl)
		}
	}
}

// mayRetry decides on one more attempt.
func (f *Forwarder) mayRetry(fl *flight, number int) bool {
	now := f.Clock.Now()
	if fl.deadline-now < leastTime {
		fl.event.Reason = "no-time"
		return false
	}
	// Sends that did not run leave room for one more than the limit allows to run.
	limit := fl.route.MaxAttempts + 1
	if fl.service.Keyed {
		limit = max(limit, ownerTries)
	}
	if fl.runs >= fl.route.MaxAttempts || fl.sends >= limit || number >= limit {
		fl.event.Reason = "attempts-used"
		return false
	}
	if !f.budget(fl.service.Name).Take(time.Unix(0, int64(now))) {
		fl.event.Reason = "retry-budget"
		return false
	}
	return true
}

// giveUp returns the answer after the last attempt.
func (f *Forwarder) giveUp(fl *flight) *Answer {
	reason := fl.event.Reason
	if fl.last != nil {
		fl.event.Reason = ""
		return fl.last
	}
	switch {
	case fl.unknown && f.Clock.Now() >= fl.deadline:
		return f.reject(fl, http.StatusGatewayTimeout, "timeout")
	case fl.unknown:
		return f.reject(fl, http.StatusBadGateway, "outcome-unknown")
	}
	return f.refuse(fl, http.StatusServiceUnavailable, reason)
}

// flown is the result of one send.
type flown struct {
	b      *backend
	result upstream.Result
	event  AttemptEvent
	hedge  bool
}

// attempt sends the request to a backend server, and to a second one if the first
// is slow. It returns the final answer, or whether another attempt may be made.
func (f *Forwarder) attempt(ctx, attempts context.Context, fl *flight) (*Answer, bool) {
	b, answer := f.choose(ctx, fl)
	if answer != nil {
		if fl.unknown || fl.last != nil {
			return f.giveUp(fl), false
		}
		return answer, false
	}
	attempts, cancel := context.WithCancel(attempts)
	defer cancel()
	results := make(chan flown, 2)
	f.send(attempts, fl, b, false, results)
	flying := 1
	var hedge <-chan time.Time
	if delay, ok := f.hedgeDelay(fl); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case <-hedge:
			hedge = nil
			if second := f.chooseHedge(fl); second != nil {
				f.send(attempts, fl, second, true, results)
				flying++
			}
		case r := <-results:
			flying--
			answer, retriable := f.classify(attempts, fl, &r)
			fl.event.Attempts = append(fl.event.Attempts, r.event)
			if answer == nil && flying > 0 {
				continue
			}
			f.abandon(fl.service, results, flying)
			return answer, retriable
		}
	}
}

// abandon counts the end of sends whose results are no longer needed.
func (f *Forwarder) abandon(service *fleet.Service, results <-chan flown, flying int) {
	if flying == 0 {
		return
	}
	go func() {
		for range flying {
			r := <-results
			f.Servers.ended(r.b, service, func(time.Duration) {})
		}
	}()
}

// hedgeDelay returns the time after which a slow request is sent to a second
// backend server. It answers backend servers that are slow for a fraction of a
// second, which reports show too late.
func (f *Forwarder) hedgeDelay(fl *flight) (time.Duration, bool) {
	if !fl.route.Idempotent || fl.service.Keyed || fl.runs >= fl.route.MaxAttempts {
		return 0, false
	}
	usual := f.usual(fl.route)
	delay := max(time.Duration(hedgeLeast*float64(usual)), min(time.Duration(hedgeUsual*float64(usual)), time.Duration(hedgeObjective*float64(fl.route.Objective))))
	return delay, fl.deadline-f.Clock.Now() > delay+usual
}

// chooseHedge picks the second backend server, or nil if none may be used.
func (f *Forwarder) chooseHedge(fl *flight) *backend {
	now := f.Clock.Now()
	usual := f.usual(fl.route)
	if fl.deadline-now < usual || !f.budget(fl.service.Name).Take(time.Unix(0, int64(now))) {
		return nil
	}
	b, reason := f.Servers.pick(f.Directory.View(), fl.service, fl.tried, usual, fl.deadline-now)
	if reason != pickedNone {
		f.budget(fl.service.Name).Return(time.Unix(0, int64(now)))
		return nil
	}
	return b
}

// send starts one send in the background.
func (f *Forwarder) send(ctx context.Context, fl *flight, b *backend, hedge bool, results chan<- flown) {
	now := f.Clock.Now()
	header := f.outbound(fl)
	workspace := ""
	if fl.owner != nil {
		workspace = fl.owner.Name
	}
	f.Protocol.SetAttempt(header, AttemptHeaders{
		RequestID: fl.call.ID, Instance: b.ID, TimeLeft: fl.deadline - now, Workspace: workspace,
	})
	r := flown{b: b, hedge: hedge, event: AttemptEvent{Backend: b.ID, SentAfter: now - fl.request.Received, Hedge: hedge}}
	r.event.Busy, r.event.ReportAge = f.Servers.estimate(b)
	request := &upstream.Request{
		ID: fl.call.ID, Method: fl.request.Method, Target: fl.request.Target, Host: fl.request.Host,
		Header: header, Body: fl.request.Body, HasBody: fl.request.HasBody,
	}
	fl.tried = append(fl.tried, b.ID)
	fl.sends++
	fl.runs++
	go func() {
		r.result = b.pool.Do(ctx, request)
		r.event.Took, r.event.Reused = f.Clock.Now()-now, r.result.Reused
		results <- r
	}()
}

// classify decides what a result means for the request and for the state of the
// backend server.
func (f *Forwarder) classify(ctx context.Context, fl *flight, r *flown) (*Answer, bool) {
	b, result, event := r.b, r.result, &r.event
	switch result.Fate {
	case upstream.FateNotSent:
		event.Detail = "not sent: " + result.Err.Error()
		fl.runs--
		fl.event.Reason = "not-sent"
		if ctx.Err() != nil {
			f.Servers.ended(b, fl.service, func(time.Duration) {})
			return nil, false
		}
		f.Servers.broke(b, fl.service, result.Refused, false)
		return nil, true
	case upstream.FateUnknown:
		event.Detail = result.Err.Error()
		fl.unknown = true
		switch {
		case ctx.Err() != nil:
			f.Servers.ended(b, fl.service, func(now time.Duration) { b.result(now >= fl.deadline, now) })
			return nil, false
		case result.Reused:
			f.Servers.ended(b, fl.service, func(now time.Duration) { b.result(true, now) })
		default:
			f.Servers.broke(b, fl.service, false, errors.Is(result.Err, syscall.ECONNRESET))
		}
		return nil, fl.route.Idempotent
	}
	return f.answered(fl, r)
}

// answered handles a complete response.
func (f *Forwarder) answered(fl *flight, r *flown) (*Answer, bool) {
	b, event, response := r.b, &r.event, r.result.Response
	parsed := f.Protocol.ParseAnswer(response.Status, response.Header)
	event.Result = response.Status
	failed := response.Status >= http.StatusInternalServerError
	usual := f.usual(fl.route)
	f.Servers.ended(b, fl.service, func(now time.Duration) {
		if parsed.HasLoad {
			b.report(parsed.Load, now)
		}
		switch {
		case parsed.NotOwner:
		case parsed.NotRun:
			b.shed(now)
		case failed:
			b.result(true, now)
		default:
			relative := float64(event.Took) / float64(max(usual, time.Millisecond))
			b.answered(relative, now)
			b.worked(relative, parsed.Load)
		}
	})
	if parsed.NotRun {
		event.Detail = "not run"
		fl.runs--
		return f.notRun(fl, parsed)
	}
	if !parsed.Signed && response.Status < http.StatusMultipleChoices {
		event.Detail = "response without signature"
		fl.unknown = true
		return nil, fl.route.Idempotent
	}
	answer := f.pass(response)
	if failed && fl.route.Idempotent {
		// Another backend server may succeed.
		fl.last = answer
		return nil, true
	}
	if !failed {
		f.observe(fl.route, event.Took)
	}
	fl.event.Reason = ""
	return answer, false
}

// notRun handles a response that states that the request did not run.
func (f *Forwarder) notRun(fl *flight, parsed AnswerHeaders) (*Answer, bool) {
	fl.event.Reason = "backend-refused"
	if fl.service.Keyed && parsed.NotOwner {
		fl.event.Reason = "not-owner"
		fl.tried = fl.tried[:0]
		f.awaitOwners(fl, min(fl.ownerPause, (fl.deadline-f.Clock.Now())/ownerWaitPart))
		fl.ownerPause *= ownerPauseFactor
	}
	return nil, true
}

// pass returns the answer that hands on a backend server's response.
func (f *Forwarder) pass(response *upstream.Response) *Answer {
	header := response.Header
	httpheader.RemoveHopByHop(header)
	header.Del("Content-Length")
	return &Answer{Status: response.Status, Header: header, Body: response.Body}
}

// choose picks the backend server of the next attempt, or returns the answer to a
// request that none may get.
func (f *Forwarder) choose(ctx context.Context, fl *flight) (*backend, *Answer) {
	if fl.service.Keyed {
		return f.chooseOwner(ctx, fl)
	}
	b, reason := f.Servers.pick(f.Directory.View(), fl.service, fl.tried, f.usual(fl.route), fl.deadline-f.Clock.Now())
	if reason != pickedNone {
		return nil, f.refuse(fl, http.StatusServiceUnavailable, string(reason))
	}
	return b, nil
}

// chooseOwner returns the owner of the request's key. While the key has none, it
// waits for a part of the request's time.
func (f *Forwarder) chooseOwner(ctx context.Context, fl *flight) (*backend, *Answer) {
	started := f.Clock.Now()
	until := started + (fl.deadline-started)/ownerWaitPart
	for {
		tableChanged, viewChanged := f.Table.Changed(), f.Directory.Changed()
		reason := pickNoServer
		entry := f.Table.Find(fl.service.Name, fl.call.Key)
		if entry != nil {
			fl.event.Owner, fl.event.OwnerFence, fl.event.OwnerMoving = entry.Backend, entry.Fence, entry.Moving
		}
		if entry != nil && entry.Backend != "" && !entry.Moving {
			var b *backend
			if b, reason = f.place(ctx, fl, entry, until); b != nil {
				fl.event.OwnerWait += f.Clock.Now() - started
				return b, nil
			}
		}
		now := f.Clock.Now()
		if now >= until || ctx.Err() != nil || reason == pickAllFull || reason == pickTooLate {
			fl.event.OwnerWait += now - started
			return nil, f.refuse(fl, http.StatusServiceUnavailable, "owner-"+string(reason))
		}
		wait(ctx, min(until-now, ownerPause), tableChanged, viewChanged)
	}
}

// place takes a place at the owner of the request's key, and waits for one if the
// owner has room.
func (f *Forwarder) place(ctx context.Context, fl *flight, entry *keyrange.Entry, until time.Duration) (*backend, pickReason) {
	w := &waiter{priority: fl.priority(), deadline: fl.deadline, ready: make(chan struct{})}
	left := fl.deadline - f.Clock.Now()
	b, reason := f.Servers.owner(f.Directory.View(), entry.Backend, fl.service, w, f.usual(fl.route), left)
	if reason != pickQueued {
		return b, reason
	}
	wait(ctx, until-f.Clock.Now(), w.ready, nil)
	placed := f.Servers.holds(w)
	now := f.Table.Find(fl.service.Name, fl.call.Key)
	moved := now == nil || now.Backend != b.ID || now.Moving
	if placed && !moved {
		return b, pickedNone
	}
	f.Servers.leave(b, fl.service, w)
	if moved {
		return nil, pickNoServer
	}
	return nil, pickAllFull
}

// priority is the rank of the request: that of its workspace, or else of its route.
func (fl *flight) priority() int {
	if fl.owner != nil && fl.owner.Priority != nil {
		return *fl.owner.Priority
	}
	return fl.route.Priority
}

// awaitOwners waits for a change of the owners, for at most d.
func (f *Forwarder) awaitOwners(fl *flight, d time.Duration) {
	started := f.Clock.Now()
	wait(context.Background(), d, f.Table.Changed(), nil)
	fl.event.OwnerWait += f.Clock.Now() - started
}

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
