package front

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/forward"
	"fireflyfield/internal/membudget"
	"fireflyfield/internal/readlimit"
)

const (
	// readAheadSlack is added to the limits of a request head and body in bytes, since
	// the buffered reader reads ahead into what follows.
	readAheadSlack = 2 * readBuffer
	// maxLingerBytes bounds the input that is read and discarded after the last
	// request. A caller that sends more counts as having left.
	maxLingerBytes = 1 << 20
)

// requestError is the response to a request that cannot be read or handled.
type requestError struct {
	status int
	reason string
}

// callerRequest is a caller's request and its effect on the connection.
type callerRequest struct {
	forward.Request
	last bool // no request follows on the connection
	// reserved is the memory that the body holds, in bytes.
	reserved int64
}

// readRequest reads the next request with its body. It returns neither a request nor an
// error if the connection ends or its idle timeout expires.
func (c *connection) readRequest() (*callerRequest, *requestError) {
	limits := c.server.Limits()
	if limits.HeaderBytes == 0 {
		limits.HeaderBytes, limits.BodyBytes = defaultHeaderBytes, defaultBodyBytes
		limits.HeaderTimeout, limits.IdleTimeout = defaultHeaderTimeout, defaultIdleTimeout
	}
	c.limitedReader.Remaining = int64(limits.HeaderBytes) + readAheadSlack
	c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) //nolint:errcheck // a closed connection fails the read below
	// The new deadline may have replaced the one that is set after the last response.
	if c.isClosing() {
		c.stopReading(lingerTimeout)
	}
	for {
		_, err := c.reader.Peek(1)
		if err == nil {
			break
		}
		if !isTimeout(err) || !c.hasRequests() {
			return nil, nil
		}
		c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) //nolint:errcheck // a closed connection fails the next read
	}
	c.beginReading()
	received := c.server.Clock.Now()
	c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) //nolint:errcheck // a closed connection fails the read below
	// The new deadline may have replaced that of EndReading.
	if c.server.ending.Load() {
		c.stopReading(0)
	}
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, headError(c.causeOf(err))
	}
	if headSize(r) > limits.HeaderBytes {
		return nil, &requestError{http.StatusRequestHeaderFieldsTooLarge, "head-too-large"}
	}
	return c.readBody(r, limits.BodyBytes, received)
}

// hasRequests reports whether a request is in progress and others may follow.
func (c *connection) hasRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inProgress > 0 && !c.closing
}

// isClosing reports whether no further request may be accepted.
func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// headError returns the response to a request whose head could not be read, or nil if
// the connection ended.
func headError(err error) *requestError {
	switch {
	case errors.Is(err, readlimit.ErrExceeded):
		return &requestError{http.StatusRequestHeaderFieldsTooLarge, "head-too-large"}
	case isTimeout(err):
		return &requestError{http.StatusRequestTimeout, "head-timeout"}
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isConnectionError(err):
		return nil
	}
	return &requestError{http.StatusBadRequest, "malformed"}
}

// causeOf returns the timeout that ended the reading of a request, instead of what its parser says
// of the part that has arrived, or else err.
func (c *connection) causeOf(err error) error {
	if err != nil && isTimeout(c.limitedReader.Err) {
		return c.limitedReader.Err
	}
	return err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isConnectionError reports whether the connection failed other than by a timeout.
func isConnectionError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}

// headSize estimates the size in bytes of the request head. The constants stand for
// separators, the HTTP version and the name of the Host header.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + 32
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}

// readBody validates a request and reads its body. It returns neither a request nor an
// error if the connection ends.
func (c *connection) readBody(r *http.Request, maxBytes int64, received time.Duration) (*callerRequest, *requestError) {
	if r.Method == http.MethodConnect {
		return nil, &requestError{http.StatusMethodNotAllowed, "no-tunnel"}
	}
	target, host := r.RequestURI, r.Host
	// A target in absolute form starts with scheme and host.
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	if host == "" {
		return nil, &requestError{http.StatusBadRequest, "host-missing"}
	}
	if r.ContentLength > maxBytes {
		return nil, &requestError{http.StatusRequestEntityTooLarge, "body-too-large"}
	}
	c.limitedReader.Remaining = maxBytes + readAheadSlack
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ContentLength != 0 {
		if _, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	body, reserved, err := c.server.Memory.ReadAll(r.Body, r.ContentLength, maxBytes)
	err = c.causeOf(err)
	switch {
	case errors.Is(err, membudget.ErrExhausted):
		return nil, &requestError{http.StatusServiceUnavailable, "memory-exhausted"}
	case errors.Is(err, membudget.ErrTooLarge):
		return nil, &requestError{http.StatusRequestEntityTooLarge, "body-too-large"}
	case err != nil && isTimeout(err):
		return nil, &requestError{http.StatusRequestTimeout, "body-timeout"}
	case err != nil && (errors.Is(err, io.ErrUnexpectedEOF) || isConnectionError(err)):
		return nil, nil
	case err != nil:
		return nil, &requestError{http.StatusBadRequest, "malformed-body"}
	}
	return &callerRequest{
		Request: forward.Request{
			Method: r.Method, Target: target, Host: host, Header: r.Header, Body: body,
			HasBody:  r.ContentLength >= 0 && r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0,
			Received: received,
		},
		last: !isPersistent(r), reserved: reserved,
	}, nil
}

// encodeHead returns the head of a response in HTTP/1.1 wire format. The length of a response to
// HEAD without a body is in its headers, if it is known.
func encodeHead(a *forward.Answer, isHead, last bool) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(a.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(a.Status))
	b.WriteString("\r\n")
	for name, values := range a.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	hasLength := a.Status != http.StatusNoContent && a.Status != http.StatusNotModified
	if hasLength && (!isHead || len(a.Body) > 0) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(a.Body)))
		b.WriteString("\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
