package peer

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/httpheader"
	"fireflyfield/internal/outcome"
)

// ForwardPath is the path prefix of forwarded requests on the peer listener. The target
// of the request follows it.
const ForwardPath = "/peer/v1/forward"

// Headers of a forwarded request and its response. Both hold CBOR encoded as base64; a
// response without a failure carries headerForward with the value 1.
const (
	headerForward = "Fireflyfield-Forward"
	headerFailure = "Fireflyfield-Forward-Failure"
)

// maxForwardBody is the size limit of the body of a forwarded request, in bytes.
const maxForwardBody = 64 << 20

// Attempt is one attempt to run a caller's request on one backend server, through the
// gate of that backend server.
type Attempt struct {
	Service string `cbor:"1,keyasint"`
	Server  string `cbor:"2,keyasint"`
	// Keyed is set if the request has a key. Unit, Fence and KeyHash are then the unit of
	// the key, the fencing token known to the VM that the caller is connected to, and the
	// hash of the key.
	Keyed   bool          `cbor:"3,keyasint,omitempty"`
	Unit    uint64        `cbor:"4,keyasint,omitempty"`
	Fence   backend.Fence `cbor:"5,keyasint,omitzero"`
	KeyHash uint64        `cbor:"6,keyasint,omitempty"`

	RequestID  string `cbor:"7,keyasint"`
	Workspace  string `cbor:"8,keyasint"`
	DeadlineMs int64  `cbor:"9,keyasint"`
	Idempotent bool   `cbor:"10,keyasint,omitempty"`
	// Number is the number of the attempt within its request, from 1, hedges included.
	Number uint32 `cbor:"11,keyasint,omitempty"`

	Method string      `cbor:"-"`
	Target string      `cbor:"-"`
	Header http.Header `cbor:"-"`
	Body   []byte      `cbor:"-"`
}

// Deadline returns the deadline of the request.
func (a Attempt) Deadline() time.Time { return time.UnixMilli(a.DeadlineMs) }

// wireFailure is the encoded form of a backend.Failure between VMs.
type wireFailure struct {
	Kind     outcome.Kind `cbor:"1,keyasint"`
	Reason   string       `cbor:"2,keyasint"`
	Instance string       `cbor:"3,keyasint,omitempty"`
	// RetryAfterMs is the time in ms after which the gate suggests a retry.
	RetryAfterMs int64 `cbor:"4,keyasint,omitempty"`
}

// Sender makes attempts at backend servers. Errors of Send must be of type
// *backend.Failure.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) (*backend.Response, error)
}

// Forwarder sends attempts over HTTP/2 to gates on other VMs. It is safe for concurrent
// use.
type Forwarder struct {
	token string
	http  *http.Client
}

// NewForwarder returns a Forwarder that sends the shared secret token of the VMs, if it is
// not empty.
func NewForwarder(token string) *Forwarder {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:          protocols,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: time.Second},
	}
	return &Forwarder{token: token, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (f *Forwarder) Close() { f.http.CloseIdleConnections() }

// Forward makes the attempt through the gate on the VM at the address. The error is of
// type *backend.Failure. It has the outcome that the gate reports; without an answer of the
// gate, the request did not run if no connection was made, and its outcome is unknown if the
// connection failed later.
func (f *Forwarder) Forward(ctx context.Context, address string, attempt Attempt) (*backend.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := f.newRequest(ctx, address, attempt)
	if err != nil {
		return nil, &backend.Failure{Kind: outcome.NotRun, Reason: "bad-request", Err: err}
	}
	resp, err := f.http.Do(req)
	if err != nil && !connected.Load() {
		return nil, &backend.Failure{Kind: outcome.NotRun, Reason: "gate-unreachable", Err: err}
	}
	if err != nil {
		return nil, &backend.Failure{Kind: outcome.Unknown, Reason: "gate-lost", Err: err}
	}
	if failure := readFailure(resp); failure != nil {
		_ = resp.Body.Close()
		return nil, failure
	}
	return &backend.Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Instance: resp.Header.Get(backend.HeaderInstance)}, nil
}

func (f *Forwarder) newRequest(ctx context.Context, address string, attempt Attempt) (*http.Request, error) {
	meta, err := cbor.Marshal(attempt)
	if err != nil {
		return nil, errors.Wrap(err, "encode attempt header")
	}
	req, err := http.NewRequestWithContext(ctx, attempt.Method, "http://"+address+ForwardPath+attempt.Target, bytes.NewReader(attempt.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build forwarded request")
	}
	req.Header = attempt.Header.Clone()
	req.Header.Set(headerForward, base64.StdEncoding.EncodeToString(meta))
	if f.token != "" {
		req.Header.Set(tokenHeader, f.token)
	}
	return req, nil
}

// readFailure returns the failure that a response reports, or nil. A response without
// either header is not from a gate, and the outcome is unknown.
func readFailure(resp *http.Response) *backend.Failure {
	encoded := resp.Header.Get(headerFailure)
	if encoded == "" && resp.Header.Get(headerForward) != "" {
		return nil
	}
	var wire wireFailure
	data, err := base64.StdEncoding.DecodeString(encoded)
	if err == nil {
		err = decodeMode.Unmarshal(data, &wire)
	}
	if err != nil {
		return &backend.Failure{Kind: outcome.Unknown, Reason: "gate-answer", Err: errors.Wrapf(err, "decode failure header of response with status %d", resp.StatusCode)}
	}
	return &backend.Failure{
		Kind:       wire.Kind,
		Reason:     wire.Reason,
		Instance:   wire.Instance,
		RetryAfter: time.Duration(wire.RetryAfterMs) * time.Millisecond,
	}
}

// ForwardHandler returns a handler that runs forwarded requests with the sender. If token
// is not empty, requests must carry it.
func ForwardHandler(token string, sender Sender) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token != "" && !authorized(token, r) {
			http.Error(w, "the peer token is missing or wrong", http.StatusUnauthorized)
			return
		}
		attempt, err := readAttempt(w, r)
		if err != nil {
			writeFailure(w, &backend.Failure{Kind: outcome.NotRun, Reason: "malformed-forward"})
			return
		}
		ctx, stop := context.WithDeadline(r.Context(), attempt.Deadline())
		defer stop()
		resp, err := sender.Send(ctx, attempt)
		if err != nil {
			writeFailure(w, err.(*backend.Failure))
			return
		}
		copyResponse(w, resp)
	})
}

func readAttempt(w http.ResponseWriter, r *http.Request) (Attempt, error) {
	var attempt Attempt
	data, err := base64.StdEncoding.DecodeString(r.Header.Get(headerForward))
	if err != nil {
		return attempt, errors.Wrap(err, "decode base64 of the attempt header")
	}
	if err := decodeMode.Unmarshal(data, &attempt); err != nil {
		return attempt, errors.Wrap(err, "decode CBOR of the attempt header")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxForwardBody))
	if err != nil {
		return attempt, errors.Wrap(err, "read body of forwarded request")
	}
	r.Header.Del(headerForward)
	r.Header.Del(tokenHeader)
	attempt.Method = r.Method
	attempt.Target = r.URL.RequestURI()[len(ForwardPath):]
	attempt.Header = r.Header
	attempt.Body = body
	return attempt, nil
}

func writeFailure(w http.ResponseWriter, failure *backend.Failure) {
	data, err := cbor.Marshal(wireFailure{
		Kind:         failure.Kind,
		Reason:       failure.Reason,
		Instance:     failure.Instance,
		RetryAfterMs: failure.RetryAfter.Milliseconds(),
	})
	if err != nil {
		panic(err) // the struct holds only strings and numbers
	}
	w.Header().Set(headerFailure, base64.StdEncoding.EncodeToString(data))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// copyResponse streams the response to the other VM. If the response is truncated, it
// resets the stream, so that the other VM detects the truncation.
func copyResponse(w http.ResponseWriter, resp *backend.Response) {
	defer func() { _ = resp.Body.Close() }()
	header := w.Header()
	httpheader.RemoveHopByHop(resp.Header)
	for name, values := range resp.Header {
		header[name] = values
	}
	header.Set(headerForward, "1")
	w.WriteHeader(resp.Status)
	if err := Stream(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// streamBufferSize is the largest part of a response that is copied at once, in bytes.
const streamBufferSize = 32 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// Stream copies the body of a response and flushes after each read, so that the caller
// gets the parts of a slow response without delay.
func Stream(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	pooled := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(pooled)
	for {
		n, err := body.Read(pooled[:])
		if n > 0 {
			if _, writeErr := w.Write(pooled[:n]); writeErr != nil {
				return errors.Wrap(writeErr, "write response")
			}
			if flushErr := controller.Flush(); flushErr != nil {
				return errors.Wrap(flushErr, "flush response")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read response body")
		}
	}
}
