package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/outcome"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxControlResponseBytes bounds a response of the control interface in bytes;
	// 65,536 units take about 4 MiB.
	maxControlResponseBytes = 8 << 20
	idleTimeout             = 30 * time.Second
)

// Client sends requests and control calls to one backend server. It is safe for
// concurrent use.
type Client struct {
	address string
	// data carries requests and control the calls of the control interface, so that
	// requests cannot take the connections of control calls.
	data    *http.Client
	control *http.Client
}

// NewClient returns a client of the backend server at address, HOST:PORT. It opens at
// most the given number of connections for requests, and two more for control calls.
func NewClient(address string, connections int) *Client {
	return &Client{
		address: address,
		data:    &http.Client{Transport: newTransport(connections), CheckRedirect: noRedirect},
		control: &http.Client{Transport: newTransport(2), CheckRedirect: noRedirect},
	}
}

// noRedirect makes the client return redirects as responses.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.data.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Request describes one attempt at a backend server.
type Request struct {
	ID string
	// Attempt is the number of this attempt of the request, from 1; zero sends no number.
	Attempt   uint32
	Workspace string
	Method    string
	// Target is the path with query, without the service name.
	Target   string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Idempotent allows http.Transport to resend the request by itself after a
	// connection broke.
	Idempotent bool
	// Keyed makes the attempt carry Unit and Fence.
	Keyed bool
	Unit  uint64
	Fence Fence
}

// Response is the head of a response and its body. The body must be closed; reading it
// fails with io.ErrUnexpectedEOF or another error if the response was truncated.
type Response struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	Instance string
	// Attempt is the number of the attempt that produced the response.
	Attempt uint32
	// ReplayOf identifies the earlier request whose stored response this is; empty for
	// a response to this request.
	ReplayOf string
}

// Failure is the error of an attempt without a response that can be passed on.
type Failure struct {
	Kind   outcome.Kind
	Reason string
	// ConnectFailed is set if no connection could be opened although the context of the
	// attempt had not ended.
	ConnectFailed bool
	// Instance identifies the backend server's instance that responded, if one did.
	Instance string
	// RetryAfter is the time after which a retry makes sense; zero if unknown.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Err == nil {
		return f.Reason + " (" + f.Kind.String() + ")"
	}
	return f.Reason + " (" + f.Kind.String() + "): " + f.Err.Error()
}

// Unwrap returns the cause, which may be nil.
func (f *Failure) Unwrap() error { return f.Err }

// Send makes one attempt. The context must end no later than the request's deadline;
// when it ends, the request is cancelled at the backend server. The error is always of
// type *Failure.
func (c *Client) Send(ctx context.Context, r Request) (*Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return nil, &Failure{Kind: outcome.NotRun, Reason: "bad-request", Err: err}
	}
	resp, err := c.data.Do(req)
	if err != nil {
		return nil, c.sendFailure(ctx, r, connected.Load(), err)
	}
	instance := resp.Header.Get(HeaderInstance)
	if resp.Header.Get(HeaderOutcome) == outcome.NotRun.String() {
		_ = resp.Body.Close()
		return nil, &Failure{Kind: outcome.NotRun, Reason: resp.Header.Get(HeaderReason), Instance: instance}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Instance: instance}, nil
}

// sendFailure classifies an error of the transport. The request did not run if no
// connection was opened; otherwise its outcome is unknown.
func (c *Client) sendFailure(ctx context.Context, r Request, connected bool, err error) *Failure {
	if !connected {
		return &Failure{Kind: outcome.NotRun, Reason: "connect", ConnectFailed: ctx.Err() == nil, Err: err}
	}
	if ctx.Err() != nil {
		go c.cancelDetached(r.ID)
	}
	return &Failure{Kind: outcome.Unknown, Reason: "connection-lost", Err: err}
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.address+r.Target, c.body(r))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header = r.Header.Clone()
	if !r.Idempotent {
		req.ContentLength = int64(len(r.Body))
		req.GetBody = nil
		hideIdempotencyKey(req.Header)
	}
	req.Header.Set(HeaderRequestID, r.ID)
	if r.Attempt > 0 {
		req.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(r.Attempt), 10))
	}
	req.Header.Set(HeaderWorkspace, r.Workspace)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(r.Deadline.UnixMilli(), 10))
	if r.Keyed {
		req.Header.Set(HeaderSlice, strconv.FormatUint(r.Unit, 10))
		req.Header.Set(HeaderFence, r.Fence.String())
	}
	return req, nil
}

// body returns a reader of the request's body. For a non-idempotent request it hides the
// type of the reader, so that http.NewRequest doesn't set GetBody: if http.Transport can
// get the body again, it may resend a request on a new connection even when the first
// connection broke after the request was written.
func (c *Client) body(r Request) io.Reader {
	if r.Idempotent {
		return bytes.NewReader(r.Body)
	}
	return struct{ io.Reader }{bytes.NewReader(r.Body)}
}

// hideIdempotencyKey moves the idempotency key to a header name in lower case.
// http.Transport resends requests that have the header, but looks it up in canonical
// form only.
func hideIdempotencyKey(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		values := header.Values(name)
		if len(values) == 0 {
			continue
		}
		header.Del(name)
		header["idempotency-key"] = values
	}
}

// Grants sends a grant request, which queries, grants, renews or revokes key range
// leases. Status 409 is returned as *StaleError.
func (c *Client) Grants(ctx context.Context, req GrantRequest) (GrantReply, error) {
	var reply GrantReply
	status, err := c.call(ctx, http.MethodPost, PathGrants, req, &reply)
	if err != nil {
		return GrantReply{}, err
	}
	if status == http.StatusConflict {
		return GrantReply{}, &StaleError{Reply: reply}
	}
	return reply, nil
}

// StaleError means that the grant request named an instance other than the current one,
// or a term older than the latest that the backend server knows.
type StaleError struct{ Reply GrantReply }

// Error implements error.
func (e *StaleError) Error() string {
	return "grant request rejected: current instance is " + e.Reply.Instance + ", current term is " + strconv.FormatUint(e.Reply.Term, 10)
}

// Load returns the load report of the backend server.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	_, err := c.call(ctx, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// Drain asks the backend server to accept no further requests.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodPost, PathDrain, nil, nil)
	return err
}

// Cancel cancels a running request.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	_, err := c.call(ctx, http.MethodDelete, PathRequests+url.PathEscape(requestID), nil, nil)
	return err
}

// cancelDetached cancels a request whose own context has ended, with a context of its
// own.
func (c *Client) cancelDetached(requestID string) {
	ctx, stop := context.WithTimeout(context.Background(), dialTimeout)
	defer stop()
	_ = c.Cancel(ctx, requestID) // closing the connection cancels the request too
}

// call makes one control call and decodes the body of a response with status 2xx or 409
// into reply, unless reply is nil. Any other status is an error.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) (int, error) {
	encoded, err := encodeBody(body)
	if err != nil {
		return 0, errors.Wrap(err, "encode body of control call")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, encoded)
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	resp, err := c.control.Do(req)
	if err != nil {
		return 0, errors.Wrapf(err, "%s %s", method, path)
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode/100 != 2 && resp.StatusCode != http.StatusConflict {
		return resp.StatusCode, errors.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	if reply == nil || resp.StatusCode == http.StatusNoContent {
		return resp.StatusCode, nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxControlResponseBytes)).Decode(reply); err != nil {
		return 0, errors.Wrapf(err, "decode response of %s", path)
	}
	return resp.StatusCode, nil
}

// encodeBody returns the JSON form of the body, or http.NoBody for nil.
func encodeBody(body any) (io.Reader, error) {
	if body == nil {
		return http.NoBody, nil
	}
	encoded, err := json.Marshal(body)
	return bytes.NewReader(encoded), err
}

// drainAndClose reads what follows the JSON value and closes the body. A connection is
// reusable at once if its body was read to the end, but only a little later if the body
// was closed before, so that the next call may open another connection.
func drainAndClose(body io.ReadCloser) {
	const maxRest = 4 << 10
	_, _ = io.CopyN(io.Discard, body, maxRest) // closing a longer body closes the connection
	_ = body.Close()
}
