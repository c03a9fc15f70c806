// Package upstream sends requests to backend servers over kept HTTP/1.1
// connections and tells what is known of each request's fate.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Fate is what is known of a request that was handed to a connection.
type Fate uint8

// Fates of a request.
const (
	// FateAnswered: a complete response arrived.
	FateAnswered Fate = iota
	// FateNotSent: the request did not reach the backend server in full.
	FateNotSent
	// FateUnknown: the request may have run.
	FateUnknown
)

// Request is a request to a backend server.
type Request struct {
	ID     string
	Method string
	Target string // request target as the caller sent it
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body with a length from no body.
	HasBody bool
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

const (
	// readBuffer is the size of a connection's read buffer. Responses of a few kB are
	// usual; a larger buffer costs memory on each kept connection.
	readBuffer = 4 << 10
	// maxBody bounds the body of a response that is held in memory.
	maxBody = 32 << 20
	// staleResponses is the number of responses to earlier requests that are skipped
	// on a connection.
	staleResponses = 2
	// idleMargin is subtracted from the idle timeout that a backend server states.
	idleMargin = 700 * time.Millisecond
	// defaultIdle is how long a connection is kept if the backend server states nothing.
	defaultIdle = 4 * time.Second
)

// Responder reads the fields of a response that the package needs.
type Responder interface {
	// ResponseID is the ID of the request that the response belongs to; empty if it
	// names none.
	ResponseID(h http.Header) string
}

// conn is one connection to a backend server.
type conn struct {
	net     net.Conn
	reader  *bufio.Reader
	idle    time.Duration // since when the connection is idle
	idleFor time.Duration // how long it may stay idle
	used    int
	lastID  string
}

// usable reports whether nothing arrived on an idle connection. Bytes would belong
// to no request, and an end or reset means that the peer closed it.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = n < 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// encode returns the bytes of the request.
func (r *Request) encode() []byte {
	var b strings.Builder
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return []byte(b.String())
}

// exchange sends a request and reads its response. The deadline of the connection
// is set by the caller. keep reports whether the connection may serve another
// request.
func (c *conn) exchange(r *Request, responder Responder) (response *Response, fate Fate, keep bool, err error) {
	content := r.encode()
	n, err := c.net.Write(content)
	if err != nil {
		if n < len(content)-len(r.Body) {
			return nil, FateNotSent, false, errors.Wrap(err, "request")
		}
		return nil, FateUnknown, false, errors.Wrap(err, "request")
	}
	for range staleResponses + 1 {
		response, keep, err = c.read(r.Method)
		if err != nil {
			return nil, FateUnknown, false, errors.Wrap(err, "response")
		}
		id := responder.ResponseID(response.Header)
		if id == r.ID || id == "" {
			c.lastID = r.ID
			return response, FateAnswered, keep, nil
		}
		if id != c.lastID || !keep {
			return nil, FateUnknown, false, errors.Errorf("response belongs to request %q", id)
		}
	}
	return nil, FateUnknown, false, errors.New("only responses to earlier requests arrived")
}

// read reads one complete response.
func (c *conn) read(method string) (*Response, bool, error) {
	head, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && head.StatusCode < 200 {
		head, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err != nil {
		return nil, false, err
	}
	body, err := io.ReadAll(io.LimitReader(head.Body, maxBody+1))
	if err != nil {
		return nil, false, err
	}
	if len(body) > maxBody {
		return nil, false, errors.New("response body is too large")
	}
	if err := head.Body.Close(); err != nil {
		return nil, false, err
	}
	c.idleFor = idleTime(head.Header.Get("Keep-Alive"))
	framed := head.ContentLength >= 0 || len(head.TransferEncoding) > 0 || len(body) == 0
	return &Response{Status: head.StatusCode, Header: head.Header, Body: body}, framed && !head.Close, nil
}

// idleTime returns how long a connection may stay idle by a Keep-Alive header.
func idleTime(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}

// abort makes the next close reset the connection, so that bytes which a partition
// holds up are not delivered when it heals.
func (c *conn) abort() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // an error means that the connection is closed already
	}
}

// endOnDone ends the exchange when ctx ends before stop is called.
func (c *conn) endOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		c.net.SetDeadline(time.Unix(1, 0)) //nolint:errcheck // an error means that the connection is closed already
	})
}
