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
)

// errHeadTooLarge ends the reading of a request head that exceeds the limit.
var errHeadTooLarge = errors.New("request head is too large")

const (
	// headSlack is added to the limit of a request head for the buffered reader, which
	// reads ahead into the body.
	headSlack = 2 * readBuffer
	// lingerBytes bounds what is read and dropped after the last request.
	lingerBytes = 1 << 20
)

// fault is a request that cannot be handled.
type fault struct {
	status int
	reason string
}

// inbound is a request with what concerns its connection.
type inbound struct {
	forward.Request
	last bool // no request follows on the connection
}

// readRequest reads the next request with its body. It returns neither request nor
// fault when the connection ends or stays idle.
func (c *connection) readRequest() (*inbound, *fault) {
	limits := c.server.Limits()
	if limits.HeaderBytes == 0 {
		limits.HeaderBytes, limits.BodyBytes = defaultHeaderBytes, defaultBodyBytes
		limits.HeaderTimeout, limits.IdleTimeout = defaultHeaderTimeout, defaultIdleTimeout
	}
	c.limit.left = int64(limits.HeaderBytes) + headSlack
	if c.isClosing() {
		return nil, nil
	}
	c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) //nolint:errcheck // a closed connection fails the read below
	if c.isClosing() {
		c.stopReading(0)
	}
	for {
		_, err := c.reader.Peek(1)
		if err == nil {
			break
		}
		if !isTimeout(err) || !c.isBusy() {
			return nil, nil
		}
		c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) //nolint:errcheck // a closed connection fails the next read
	}
	received := c.server.Clock.Now()
	c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) //nolint:errcheck // a closed connection fails the read below
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, headFault(err)
	}
	if headSize(r) > limits.HeaderBytes {
		return nil, &fault{http.StatusRequestHeaderFieldsTooLarge, "head-too-large"}
	}
	return c.readBody(r, limits.BodyBytes, received)
}

// isBusy reports whether a request is in progress and others may follow.
func (c *connection) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > 0 && !c.closing
}

func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func headFault(err error) *fault {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return &fault{http.StatusRequestHeaderFieldsTooLarge, "head-too-large"}
	case isTimeout(err):
		return &fault{http.StatusRequestTimeout, "head-timeout"}
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isReset(err):
		return nil
	}
	return &fault{http.StatusBadRequest, "malformed"}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}

// headSize is the size of the request head as it is forwarded.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + 32
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}

// readBody reads the request's body and checks the request.
func (c *connection) readBody(r *http.Request, maxBytes int64, received time.Duration) (*inbound, *fault) {
	if r.Method == http.MethodConnect {
		return nil, &fault{http.StatusMethodNotAllowed, "no-tunnel"}
	}
	target, host := r.RequestURI, r.Host
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	if host == "" {
		return nil, &fault{http.StatusBadRequest, "host-missing"}
	}
	if r.ContentLength > maxBytes {
		return nil, &fault{http.StatusRequestEntityTooLarge, "body-too-large"}
	}
	c.limit.left = maxBytes + headSlack
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ContentLength != 0 {
		if _, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	switch {
	case err != nil && isTimeout(err):
		return nil, &fault{http.StatusRequestTimeout, "body-timeout"}
	case err != nil && (errors.Is(err, io.ErrUnexpectedEOF) || isReset(err)):
		return nil, nil
	case err != nil:
		return nil, &fault{http.StatusBadRequest, "malformed-body"}
	case int64(len(body)) > maxBytes:
		return nil, &fault{http.StatusRequestEntityTooLarge, "body-too-large"}
	}
	return &inbound{
		Request: forward.Request{
			Method: r.Method, Target: target, Host: host, Header: r.Header, Body: body,
			HasBody:  r.ContentLength >= 0 && r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0,
			Received: received,
		},
		last: !isPersistent(r),
	}, nil
}

// encode returns the bytes of a response.
func encode(a *forward.Answer, head, last bool) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(a.Body))
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
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(a.Body)))
		b.WriteString("\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if !head {
		b.Write(a.Body)
	}
	return b.Bytes()
}
