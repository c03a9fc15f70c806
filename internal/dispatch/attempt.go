package dispatch

import (
	"context"
	"io"
	"sync"
	"time"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/balance"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/retry"
)

// result is the result of one attempt: a response whose head has arrived, or a
// failure. cancel ends the attempt's context.
type result struct {
	resp    *backend.Response
	failure *backend.Failure
	route   Route
	cancel  context.CancelFunc
}

// attempt sends the request along the route. If the request may be hedged and the
// response takes longer than the hedging delay, it starts a second attempt, uses the
// response that arrives first, and cancels the other attempt.
func (d *Dispatcher) attempt(ctx context.Context, policy *policy, p *progress, route Route) (*backend.Response, *backend.Failure) {
	start := time.Now()
	results := make(chan result, 2)
	cancelFirst := d.start(ctx, p, route, results)
	delay, mayHedge := policy.hedger.Delay(start, retry.Request{
		Idempotent:    p.request.Idempotent(),
		BodyAvailable: true,
		OtherServer:   !route.Keyed,
		Deadline:      p.request.Deadline,
	})
	if !mayHedge {
		return finish(policy, <-results, start)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case first := <-results:
		return finish(policy, first, start)
	case <-timer.C:
	}
	hedge, cancelHedge, hedged := d.hedge(ctx, policy, p, route, results)
	if !hedged {
		return finish(policy, <-results, start)
	}
	cancels := map[string]context.CancelFunc{route.Server: cancelFirst, hedge: cancelHedge}
	return d.awaitFirst(policy, p, results, start, cancels)
}

// hedge starts the second attempt if the hedge budget allows it and there is a route
// to another backend server.
func (d *Dispatcher) hedge(ctx context.Context, policy *policy, p *progress, first Route, results chan<- result) (server string, cancel context.CancelFunc, ok bool) {
	if !policy.hedger.Take(time.Now()) {
		return "", nil, false
	}
	avoid := Avoid{Servers: append([]string{first.Server}, p.tried...), Probes: true}
	route, refusal := d.router.Route(p.request, avoid)
	if refusal != nil {
		policy.hedges.Return(time.Now())
		return "", nil, false
	}
	d.hedged(p.request.Service)
	return route.Server, d.start(ctx, p, route, results), true
}

// awaitFirst returns the first response of two attempts and cancels the other
// attempt. If the first result is a failure, it returns the second result.
func (d *Dispatcher) awaitFirst(policy *policy, p *progress, results <-chan result, start time.Time, cancels map[string]context.CancelFunc) (*backend.Response, *backend.Failure) {
	first := <-results
	if first.failure != nil {
		p.unknown = p.unknown || first.failure.Kind != outcome.NotRun
		return finish(policy, <-results, start)
	}
	for server, cancel := range cancels {
		if server != first.route.Server {
			cancel()
		}
	}
	go discardLoser(results)
	return finish(policy, first, start)
}

// discardLoser waits for the result of the cancelled attempt and closes its body.
func discardLoser(results <-chan result) {
	loser := <-results
	if loser.failure == nil {
		_ = loser.resp.Body.Close()
	}
}

// start sends one attempt in a new goroutine, which delivers its result to results. It
// returns the function that cancels the attempt.
func (d *Dispatcher) start(ctx context.Context, p *progress, route Route, results chan<- result) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	p.lastAttempt++
	number := p.lastAttempt
	go func() {
		resp, failure := send(ctx, p.request, route, number)
		results <- result{resp: resp, failure: failure, route: route, cancel: cancel}
	}()
	return cancel
}

// send makes one attempt through the gate of the route's backend server. It reports
// the result to the load balancer at the end of the response or on failure.
func send(ctx context.Context, r *Request, route Route, number uint32) (*backend.Response, *backend.Failure) {
	start := time.Now()
	resp, err := route.Gate.Send(ctx, peer.Attempt{
		Service:    r.Service,
		Server:     route.Server,
		Keyed:      route.Keyed,
		Unit:       route.Unit,
		Fence:      route.Fence,
		KeyHash:    route.KeyHash,
		RequestID:  r.ID,
		Workspace:  r.Workspace,
		DeadlineMs: r.Deadline.UnixMilli(),
		Idempotent: r.Idempotent(),
		Number:     number,
		Method:     r.Method,
		Target:     r.Target,
		Header:     r.Header,
		Body:       r.Body,
	})
	if err == nil {
		resp.Attempt = number
		resp.Body = &observedBody{body: resp.Body, route: route, start: start}
		return resp, nil
	}
	failure := err.(*backend.Failure)
	route.Done(failedResult(ctx, failure))
	return nil, failure
}

// failedResult returns what a failed attempt tells the load balancer.
func failedResult(ctx context.Context, failure *backend.Failure) balance.Result {
	switch {
	case failure.Kind == outcome.NotRun:
		return balance.Result{Kind: balance.Refused, RetryAfter: failure.RetryAfter}
	case ctx.Err() == context.Canceled:
		return balance.Result{Kind: balance.Abandoned}
	default:
		return balance.Result{Kind: balance.Failed}
	}
}

// finish returns the result of an attempt. For a response, closing its body cancels the
// attempt's context.
func finish(policy *policy, r result, start time.Time) (*backend.Response, *backend.Failure) {
	if r.failure != nil {
		r.cancel()
		return nil, r.failure
	}
	policy.hedger.Observe(time.Now(), time.Since(start))
	r.resp.Body = &cancelingBody{ReadCloser: r.resp.Body, cancel: r.cancel}
	return r.resp, nil
}

// cancelingBody cancels the attempt's context when the response body is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// observedBody reports to the load balancer how the response body ended.
type observedBody struct {
	body  io.ReadCloser
	route Route
	start time.Time
	once  sync.Once
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.report(balance.Result{Kind: balance.Answered, Latency: time.Since(b.start)})
	case err != nil:
		b.report(balance.Result{Kind: balance.Failed})
	}
	return n, err
}

// Close implements io.Closer.
func (b *observedBody) Close() error {
	err := b.body.Close()
	b.report(balance.Result{Kind: balance.Abandoned})
	return err
}

func (b *observedBody) report(r balance.Result) { b.once.Do(func() { b.route.Done(r) }) }
