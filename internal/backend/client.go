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
	// maxControlBytes bounds an answer of the control interface; 65,536 units take
	// about 4 MiB.
	maxControlBytes = 8 << 20
	idleTimeout     = 30 * time.Second
)

// Client speaks to one backend server. It is safe for concurrent use.
type Client struct {
	address string
	data    *http.Client
	control *http.Client
}

// NewClient returns a client for HOST:PORT that opens at most connections
// connections for requests and two more for control.
func NewClient(address string, connections int) *Client {
	return &Client{
		address: address,
		data:    &http.Client{Transport: newTransport(connections), CheckRedirect: noRedirect},
		control: &http.Client{Transport: newTransport(2), CheckRedirect: noRedirect},
	}
}

// noRedirect passes redirects on to the caller.
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

// Request is one attempt at a backend server.
type Request struct {
	ID string
	// Attempt numbers the attempts of one request from 1; zero sends no number.
	Attempt   uint32
	Workspace string
	Method    string
	// Target is the path with query, without the service name.
	Target     string
	Header     http.Header
	Body       []byte
	Deadline   time.Time
	Idempotent bool
	// Fence and Unit are sent when Keyed is set.
	Keyed bool
	Unit  uint64
	Fence Fence
}

// Response is the head of an answer. The body must be closed; it returns
// io.ErrUnexpectedEOF or another error when the answer was cut.
type Response struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	Instance string
	// Attempt is the number of the attempt that brought the answer.
	Attempt uint32
	// ReplayOf is the request whose stored answer this is; empty for an answer of
	// this request.
	ReplayOf string
}

// Failure is an attempt that brought no answer to pass on.
type Failure struct {
	Kind   outcome.Kind
	Reason string
	// Refused is set when no connection could be opened.
	Refused bool
	// Instance is the instance that answered, if one did.
	Instance string
	// RetryAfter is the time after which a later try makes sense; zero for none.
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

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Send makes one attempt. The context must end no later than the deadline; its
// end cancels the request at the backend server. On failure the error is of type
// *Failure.
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

func (c *Client) sendFailure(ctx context.Context, r Request, connected bool, err error) *Failure {
	if !connected {
		return &Failure{Kind: outcome.NotRun, Reason: "connect", Refused: ctx.Err() == nil, Err: err}
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

// body hides the concrete reader of a non-idempotent request. http.Transport
// sends a request again on a new connection if it knows how to rewind the body,
// also when the first connection broke after the request was written.
func (c *Client) body(r Request) io.Reader {
	if r.Idempotent {
		return bytes.NewReader(r.Body)
	}
	return struct{ io.Reader }{bytes.NewReader(r.Body)}
}

// hideIdempotencyKey keeps http.Transport from treating the request as one that
// it may send again: it looks the header up in canonical form only.
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

// Grants asks, grants, renews or revokes. A 409 is returned as *StaleError.
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

// StaleError says that the message named another instance or an older term than
// the backend server knows.
type StaleError struct{ Reply GrantReply }

// Error implements error.
func (e *StaleError) Error() string {
	return "grant refused: instance is " + e.Reply.Instance + ", term is " + strconv.FormatUint(e.Reply.Term, 10)
}

// Load reads the load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	_, err := c.call(ctx, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// Drain asks the backend server to take no new work.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodPost, PathDrain, nil, nil)
	return err
}

// Cancel ends a running request.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	_, err := c.call(ctx, http.MethodDelete, PathRequests+url.PathEscape(requestID), nil, nil)
	return err
}

// cancelDetached cancels after the request's own context has ended.
func (c *Client) cancelDetached(requestID string) {
	ctx, stop := context.WithTimeout(context.Background(), dialTimeout)
	defer stop()
	_ = c.Cancel(ctx, requestID) // closing the connection cancels as well
}

// call accepts 2xx and 409 and decodes the body into reply.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) (int, error) {
	encoded, err := encodeBody(body)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, encoded)
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	resp, err := c.control.Do(req)
	if err != nil {
		return 0, errors.Wrapf(err, "%s %s", method, path)
	}
	defer finishBody(resp.Body)
	if resp.StatusCode/100 != 2 && resp.StatusCode != http.StatusConflict {
		return resp.StatusCode, errors.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	if reply == nil || resp.StatusCode == http.StatusNoContent {
		return resp.StatusCode, nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(reply); err != nil {
		return 0, errors.Wrapf(err, "decode answer of %s", path)
	}
	return resp.StatusCode, nil
}

// encodeBody returns the JSON form, or no body for nil.
func encodeBody(body any) (io.Reader, error) {
	if body == nil {
		return http.NoBody, nil
	}
	encoded, err := json.Marshal(body)
	return bytes.NewReader(encoded), err
}

// finishBody reads what follows the JSON value. At the end of the body the
// connection is free at once; after a Close before it, only a little later, so that
// the next call may open another one.
func finishBody(body io.ReadCloser) {
	const maxRest = 4 << 10
	_, _ = io.CopyN(io.Discard, body, maxRest) // a longer rest costs the connection
	_ = body.Close()
}
