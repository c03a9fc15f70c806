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

// result is the end of one attempt up to the head of its answer.
type result struct {
	resp    *backend.Response
	failure *backend.Failure
	route   Route
	cancel  context.CancelFunc
}

// attempt sends the request and, if it may, a hedge to another backend server
// when the first answer takes long. The first answer wins; the other attempt is
// cancelled.
func (d *Dispatcher) attempt(ctx context.Context, policy *policy, p *progress, route Route) (*backend.Response, *backend.Failure) {
	start := time.Now()
	results := make(chan result, 2)
	stopFirst := d.start(ctx, p, route, results)
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
	hedge, stopHedge, hedged := d.hedge(ctx, policy, p, route, results)
	if !hedged {
		return finish(policy, <-results, start)
	}
	stops := map[string]context.CancelFunc{route.Server: stopFirst, hedge: stopHedge}
	return d.awaitFirst(policy, p, results, start, stops)
}

// hedge starts the second attempt if the budget and the routes allow it.
func (d *Dispatcher) hedge(ctx context.Context, policy *policy, p *progress, first Route, results chan<- result) (server string, stop context.CancelFunc, ok bool) {
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

// awaitFirst takes the first answer of two attempts; a failure counts only when the
// other attempt has failed as well.
func (d *Dispatcher) awaitFirst(policy *policy, p *progress, results <-chan result, start time.Time, stops map[string]context.CancelFunc) (*backend.Response, *backend.Failure) {
	first := <-results
	if first.failure != nil {
		p.unknown = p.unknown || first.failure.Kind != outcome.NotRun
		return finish(policy, <-results, start)
	}
	for server, stop := range stops {
		if server != first.route.Server {
			stop()
		}
	}
	go discardLoser(results)
	return finish(policy, first, start)
}

// discardLoser ends the losing attempt.
func discardLoser(results <-chan result) {
	loser := <-results
	if loser.failure == nil {
		_ = loser.resp.Body.Close()
	}
}

// start makes one attempt in the background.
func (d *Dispatcher) start(ctx context.Context, p *progress, route Route, results chan<- result) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	p.lastAttempt++
	number := p.lastAttempt
	go func() {
		resp, failure := send(ctx, p.request, route, number)
		results <- result{resp: resp, failure: failure, route: route, cancel: stop}
	}()
	return stop
}

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

// finish hands the answer over; closing its body ends the attempt's context.
func finish(policy *policy, r result, start time.Time) (*backend.Response, *backend.Failure) {
	if r.failure != nil {
		r.cancel()
		return nil, r.failure
	}
	policy.hedger.Observe(time.Now(), time.Since(start))
	r.resp.Body = &cancelingBody{ReadCloser: r.resp.Body, cancel: r.cancel}
	return r.resp, nil
}

// cancelingBody ends the attempt's context when the answer is closed.
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

// observedBody tells the load balancer how the answer ended.
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
