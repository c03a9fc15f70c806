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
	// maxIdempotencyKeyBytes is the maximum length of the header Idempotency-Key.
	maxIdempotencyKeyBytes = 255
	// repeatPollInterval is the time between two calls to the holder, by a repeat that
	// waits for the first request to end or by a failed call that is retried.
	repeatPollInterval = 25 * time.Millisecond
	// endReportTimeout bounds the retries of the report of an outcome, which continue
	// after the caller's deadline.
	endReportTimeout = 2 * time.Second
)

// deduplicator runs a request that is not idempotent and has an Idempotency-Key at most
// once. Repeats of the request get the stored result.
type deduplicator struct {
	dispatcher *dispatch.Dispatcher
	partitions *idempotencyPartitions
}

// Dispatch implements caller.Dispatcher. Requests that are idempotent or have no
// Idempotency-Key are dispatched without deduplication.
func (d *deduplicator) Dispatch(ctx context.Context, r *dispatch.Request) (*backend.Response, *outcome.Refusal) {
	if r.IdempotencyKey == "" || r.Idempotent() {
		return d.dispatcher.Dispatch(ctx, r)
	}
	if len(r.IdempotencyKey) > maxIdempotencyKeyBytes {
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
		return replayedResponse(reply.Result), nil
	default:
		return nil, repeatRefusal(reply)
	}
}

// begin asks the holder whether the request may run. A repeat that arrives while the
// first request is in flight waits for its end. A call that fails is retried while
// at least half of the service's timeout is left.
func (d *deduplicator) begin(ctx context.Context, r *dispatch.Request, call beginCall) (idempotencyReply, *outcome.Refusal) {
	for {
		reply, err := d.partitions.callHolder(ctx, call.Key, idempotencyCall{Begin: &call})
		retry := err != nil || reply.Outcome == idempotency.NotRun && reply.Reason == idempotency.ReasonNotHolder
		if !retry && reply.Outcome != idempotency.InProgress {
			return reply, nil
		}
		if time.Until(r.Deadline) < 2*repeatPollInterval || ctx.Err() != nil {
			return reply, undecidedRefusal(reply, err)
		}
		if retry && time.Until(r.Deadline) < r.Spec.Timeout.Std()/2 {
			return reply, undecidedRefusal(reply, err)
		}
		sleep(ctx, repeatPollInterval)
	}
}

// undecidedRefusal returns the rejection of a request for which the holder made no
// decision in time. The outcome is unknown if the first request with the key is still
// in flight. Otherwise the request counts as not run, because a lost beginCall starts
// no run by itself.
func undecidedRefusal(reply idempotencyReply, err error) *outcome.Refusal {
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

// repeatRefusal returns the rejection of a request that the holder did not let run and
// for which it has no result.
func repeatRefusal(reply idempotencyReply) *outcome.Refusal {
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

// run dispatches the first request of a key and reports the outcome to the holder.
// A response body above idempotency.MaxResultBytes is not stored; the outcome is then
// reported as unknown.
func (d *deduplicator) run(ctx context.Context, r *dispatch.Request, key idempotency.Key, runID uint64) (*backend.Response, *outcome.Refusal) {
	end := endCall{Key: key, RunID: runID}
	resp, refusal := d.dispatcher.Dispatch(ctx, r)
	if refusal != nil {
		end.NotRun = refusal.Kind == outcome.NotRun
		d.reportEnd(ctx, end)
		return nil, refusal
	}
	body, complete, err := readUpTo(resp.Body, idempotency.MaxResultBytes)
	switch {
	case err != nil:
		_ = resp.Body.Close()
		d.reportEnd(ctx, end)
		return nil, &outcome.Refusal{
			Kind: outcome.Unknown, Status: http.StatusBadGateway, Reason: "connection-lost",
			Detail: "the answer of service " + r.Service + " was cut; the request has run or may have run",
		}
	case !complete:
		d.reportEnd(ctx, end)
		resp.Body = joinedBody{Reader: io.MultiReader(bytes.NewReader(body), resp.Body), Closer: resp.Body}
		return resp, nil
	}
	_ = resp.Body.Close()
	// The trace of a repeat names the request that ran; callers don't see this header.
	resp.Header.Set(backend.HeaderRequestID, r.ID)
	end.Result = &idempotency.Result{Status: resp.Status, Headers: storedHeaders(resp.Header), Body: body}
	d.reportEnd(ctx, end)
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// joinedBody is a response body that returns the bytes read ahead before the rest.
type joinedBody struct {
	io.Reader
	io.Closer
}

// readUpTo reads the body up to one byte beyond the limit and reports whether the body
// is within the limit.
func readUpTo(body io.Reader, limit int64) ([]byte, bool, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	return data, int64(len(data)) <= limit, err
}

// reportEnd reports the outcome of a run to the holder, so that repeats get the result.
// If the first try fails, retries run in the background and don't delay the response: a
// holder that never gets the report answers repeats with "unknown" anyway.
func (d *deduplicator) reportEnd(ctx context.Context, end endCall) {
	// The outcome is reported even if the caller has disconnected.
	ctx = context.WithoutCancel(ctx)
	if d.reportOnce(ctx, end) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, endReportTimeout)
		defer cancel()
		for ctx.Err() == nil && !d.reportOnce(ctx, end) {
			sleep(ctx, repeatPollInterval)
		}
	}()
}

// reportOnce reports whether the holder has received the outcome.
func (d *deduplicator) reportOnce(ctx context.Context, end endCall) bool {
	_, err := d.partitions.callHolder(ctx, end.Key, idempotencyCall{End: &end})
	return err == nil
}

// storedHeaders returns the headers without the hop-by-hop ones, sorted by name.
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

// headerReplayed marks a response that was stored for an idempotency key.
const headerReplayed = "Idempotency-Replayed"

// replayedResponse returns the stored result as the response to a repeat.
func replayedResponse(result *idempotency.Result) *backend.Response {
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
