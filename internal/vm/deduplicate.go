package vm

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/httpheader"
	"fireflyfield/internal/idempotency"
	"fireflyfield/internal/outcome"
)

const (
	// maxIdempotencyKey bounds the value of the header Idempotency-Key in bytes.
	maxIdempotencyKey = 255
	// repeatInterval is the time between looks at the first request of a key.
	repeatInterval = 25 * time.Millisecond
	// endTimeout bounds the report of a run after the caller's own time has ended.
	endTimeout = 2 * time.Second
)

// deduplicator lets a request that is not idempotent and carries an
// Idempotency-Key run at most once.
type deduplicator struct {
	inner      *dispatch.Dispatcher
	partitions *partitions
}

// Dispatch implements caller.Dispatcher.
func (d *deduplicator) Dispatch(ctx context.Context, r *dispatch.Request) (*backend.Response, *outcome.Refusal) {
	if r.IdempotencyKey == "" || r.Idempotent() {
		return d.inner.Dispatch(ctx, r)
	}
	if len(r.IdempotencyKey) > maxIdempotencyKey {
		return nil, outcome.NotRunRefusal(http.StatusBadRequest, "idempotency-key-too-long", "the header Idempotency-Key exceeds 255 bytes")
	}
	key := idempotency.Key{Workspace: r.Workspace, Value: r.IdempotencyKey}
	begin := beginCall{
		Key:         key,
		Fingerprint: idempotency.NewFingerprint(r.Method, "/"+r.Service+r.Target, r.Body),
		DeadlineMs:  r.Deadline.UnixMilli(),
	}
	reply, refusal := d.begin(ctx, r, begin)
	if refusal != nil {
		return nil, refusal
	}
	switch reply.Outcome {
	case idempotency.Run:
		return d.run(ctx, r, key, reply.RunID)
	case idempotency.Done:
		return stored(reply.Result), nil
	default:
		return nil, refuseRepeat(reply)
	}
}

// begin asks the holder. A repeat that comes during the first request waits for
// the end of it.
func (d *deduplicator) begin(ctx context.Context, r *dispatch.Request, call beginCall) (idempotencyReply, *outcome.Refusal) {
	for {
		reply, err := d.partitions.ask(ctx, call.Key, idempotencyCall{Begin: &call})
		retry := err != nil || reply.Outcome == idempotency.NotRun && reply.Reason == idempotency.ReasonNotHolder
		if !retry && reply.Outcome != idempotency.InProgress {
			return reply, nil
		}
		if time.Until(r.Deadline) < 2*repeatInterval || ctx.Err() != nil {
			return reply, unanswered(reply, err)
		}
		if retry && time.Until(r.Deadline) < r.Spec.Timeout.Std()/2 {
			return reply, unanswered(reply, err)
		}
		sleep(ctx, repeatInterval)
	}
}

// unanswered is the refusal of a request whose holder gave no decision in time. An
// attempt to begin that was lost on the way starts no run by itself.
func unanswered(reply idempotencyReply, err error) *outcome.Refusal {
	if err == nil && reply.Outcome == idempotency.InProgress {
		return &outcome.Refusal{
			Kind: outcome.Unknown, Status: http.StatusConflict, Reason: "in-progress",
			Detail: "the first request with this Idempotency-Key has not ended", RetryAfter: time.Second,
		}
	}
	refusal := outcome.NotRunRefusal(http.StatusServiceUnavailable, "no-idempotency-holder", "the memory of idempotency keys can't be reached")
	refusal.RetryAfter = time.Second
	return refusal
}

func refuseRepeat(reply idempotencyReply) *outcome.Refusal {
	switch {
	case reply.Outcome == idempotency.Mismatch:
		return outcome.NotRunRefusal(http.StatusUnprocessableEntity, "idempotency-key-reused", "the Idempotency-Key was used with another request")
	case reply.Outcome == idempotency.Unknown:
		return &outcome.Refusal{
			Kind: outcome.Unknown, Status: http.StatusConflict, Reason: "result-unknown",
			Detail: "a request with this Idempotency-Key may have run and its answer is not known",
		}
	case reply.Reason == idempotency.ReasonTooManyKeys:
		refusal := outcome.NotRunRefusal(http.StatusTooManyRequests, "too-many-idempotency-keys", "the workspace has used too many idempotency keys within 10 minutes")
		refusal.RetryAfter = time.Minute
		return refusal
	default:
		refusal := outcome.NotRunRefusal(http.StatusServiceUnavailable, "idempotency-holder-moved", "the memory of idempotency keys is moving")
		refusal.RetryAfter = time.Second
		return refusal
	}
}

// run dispatches the first request of a key and reports its end to the holder.
func (d *deduplicator) run(ctx context.Context, r *dispatch.Request, key idempotency.Key, runID uint64) (*backend.Response, *outcome.Refusal) {
	end := endCall{Key: key, RunID: runID}
	resp, refusal := d.inner.Dispatch(ctx, r)
	if refusal != nil {
		end.NotRun = refusal.Kind == outcome.NotRun
		d.report(ctx, end)
		return nil, refusal
	}
	body, whole, err := readUpTo(resp.Body, idempotency.MaxResultBytes)
	switch {
	case err != nil:
		_ = resp.Body.Close()
		d.report(ctx, end)
		return nil, &outcome.Refusal{
			Kind: outcome.Unknown, Status: http.StatusBadGateway, Reason: "connection-lost",
			Detail: "the answer of service " + r.Service + " was cut; the request has run or may have run",
		}
	case !whole:
		d.report(ctx, end)
		resp.Body = joinedBody{Reader: io.MultiReader(bytes.NewReader(body), resp.Body), Closer: resp.Body}
		return resp, nil
	}
	_ = resp.Body.Close()
	// Repeats name the request that ran in their trace; callers do not see it.
	resp.Header.Set(backend.HeaderRequestID, r.ID)
	end.Result = &idempotency.Result{Status: resp.Status, Headers: storedHeaders(resp.Header), Body: body}
	d.report(ctx, end)
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// joinedBody reads what was read ahead before the rest.
type joinedBody struct {
	io.Reader
	io.Closer
}

// readUpTo reads at most limit bytes and reports whether that was the whole body.
func readUpTo(body io.Reader, limit int64) ([]byte, bool, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	return data, int64(len(data)) <= limit, err
}

// report tells the holder how the run ended, so that repeats get the answer. If
// the holder does not answer, further tries do not hold up the caller: a holder
// that is lost answers repeats with "unknown" anyway.
func (d *deduplicator) report(ctx context.Context, end endCall) {
	// The caller may have hung up.
	ctx = context.WithoutCancel(ctx)
	if d.reportOnce(ctx, end) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, endTimeout)
		defer cancel()
		for ctx.Err() == nil && !d.reportOnce(ctx, end) {
			sleep(ctx, repeatInterval)
		}
	}()
}

func (d *deduplicator) reportOnce(ctx context.Context, end endCall) bool {
	_, err := d.partitions.ask(ctx, end.Key, idempotencyCall{End: &end})
	return err == nil
}

// storedHeaders lists the headers in name order.
func storedHeaders(header http.Header) []idempotency.Header {
	header = header.Clone()
	httpheader.RemoveHopByHop(header)
	var list []idempotency.Header
	for name, values := range header {
		for _, value := range values {
			list = append(list, idempotency.Header{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(list, func(a, b idempotency.Header) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		default:
			return 0
		}
	})
	return list
}

// headerReplayed marks an answer that was stored for an idempotency key.
const headerReplayed = "Idempotency-Replayed"

func stored(result *idempotency.Result) *backend.Response {
	header := make(http.Header, len(result.Headers)+1)
	for _, h := range result.Headers {
		header.Add(h.Name, h.Value)
	}
	header.Set(headerReplayed, "true")
	return &backend.Response{
		Status:   result.Status,
		Header:   header,
		Body:     io.NopCloser(bytes.NewReader(result.Body)),
		ReplayOf: header.Get(backend.HeaderRequestID),
	}
}
