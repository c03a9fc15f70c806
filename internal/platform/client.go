package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

const (
	// callTimeout bounds a call, in addition to the time that a read waits for records.
	callTimeout = 2 * time.Second
	dialTimeout = 500 * time.Millisecond
	// maxResponseBytes bounds a response of the shared log in bytes.
	maxResponseBytes = 64 << 20
)

// Client is an HTTP client of the platform. It implements Log and reads the list of
// VMs. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the platform at address, HOST:PORT.
func NewClient(address string) *Client {
	const idleConnections = 64 // a long poll for each followed stream, and appends
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, records ...[]byte) ([]uint64, error) {
	body, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return nil, errors.Wrap(err, "encode append")
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	req, err := c.newRequest(ctx, http.MethodPost, streamPath(stream), body)
	if err != nil {
		return nil, err
	}
	// Without GetBody http.Transport cannot rewind the body and so never resends the
	// append.
	req.GetBody = nil
	var reply AppendReply
	status, err := c.doJSON(req, &reply)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "append to %s: status %d", stream, status)
	}
	if len(reply.Offsets) != len(records) {
		return nil, errors.Wrapf(ErrUnavailable, "append to %s: %d offsets for %d records", stream, len(reply.Offsets), len(records))
	}
	return reply.Offsets, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	ctx, stop := context.WithTimeout(ctx, wait+callTimeout)
	defer stop()
	req, err := c.newRequest(ctx, http.MethodGet, streamPath(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Batch{}, err
	}
	var reply ReadReply
	status, err := c.doJSON(req, &reply)
	switch {
	case err != nil:
		return Batch{}, err
	case status == http.StatusGone:
		return Batch{}, &OffsetTrimmedError{Stream: stream, From: from, First: reply.FirstRetained}
	case status != http.StatusOK:
		return Batch{}, errors.Wrapf(ErrUnavailable, "read %s: status %d", stream, status)
	}
	return reply.batch(), nil
}

func (r ReadReply) batch() Batch {
	batch := Batch{FirstRetained: r.FirstRetained, Next: r.Next, Records: make([]Record, 0, len(r.Records))}
	for _, record := range r.Records {
		batch.Records = append(batch.Records, Record(record))
	}
	return batch
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	req, err := c.newRequest(ctx, http.MethodGet, "/v1/vms", nil)
	if err != nil {
		return nil, err
	}
	var reply VMList
	status, err := c.doJSON(req, &reply)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "list VMs: status %d", status)
	}
	return reply.VMs, nil
}

func streamPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }

func (c *Client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	return req, nil
}

// doJSON sends the request and decodes a body with status 200 or 410 into the value. It
// returns any other status without an error.
func (c *Client) doJSON(req *http.Request, into any) (int, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.Wrap(&unavailableError{cause: err}, req.Method)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return resp.StatusCode, nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into); err != nil {
		return 0, errors.Wrap(&unavailableError{cause: err}, "decode response")
	}
	return resp.StatusCode, nil
}

// unavailableError matches ErrUnavailable and wraps the cause of the failure.
type unavailableError struct{ cause error }

// Error implements error.
func (e *unavailableError) Error() string { return ErrUnavailable.Error() + ": " + e.cause.Error() }

// Is reports whether the target is ErrUnavailable.
func (e *unavailableError) Is(target error) bool { return target == ErrUnavailable }

// Unwrap returns the cause.
func (e *unavailableError) Unwrap() error { return e.cause }
