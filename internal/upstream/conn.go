// Package upstream sends requests to one backend server over kept-alive HTTP/1.1
// connections, and says for each whether it was answered, not sent, or may have run. It
// leaves the choice of the backend server, retries and the meaning of responses to its
// users.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"fireflyfield/internal/membudget"
	"fireflyfield/internal/readlimit"
)

// Outcome is what is known of a request after an exchange.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeAnswered means that a complete response arrived.
	OutcomeAnswered Outcome = iota
	// OutcomeNotSent means that no connection could be made, or that the head of the
	// request was not written in full.
	OutcomeNotSent
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// Request is a request to a backend server with its whole body.
type Request struct {
	ID     string
	Method string
	Target string // request target as the caller sent it
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body with a length from no body.
	HasBody bool
	// Allowed is called when a connection is ready, before anything is sent. If it returns
	// false, the request is not sent and its result has ErrNotAllowed. Nil allows it.
	Allowed func() bool
	// Avoid lists the connections that carried the request before. It is not sent there again: a
	// late second response to the earlier attempt has the same ID as the one that is expected.
	Avoid []ConnID
}

// Response is a complete response of a backend server. Release must be called once when
// it is no longer needed.
type Response struct {
	Status int
	Header http.Header
	Body   []byte

	memory   *membudget.Budget
	reserved int64
}

// Release returns the memory of the body to the budget.
func (r *Response) Release() {
	r.memory.Release(r.reserved)
	r.reserved = 0
}

const (
	// readBuffer is the size of a connection's read buffer in bytes. Most responses
	// have a few kB; a larger buffer costs memory on each idle connection.
	readBuffer = 4 << 10
	// maxBodyBytes bounds the body of a response, which is held in memory.
	maxBodyBytes = 32 << 20
	// maxHeadBytes bounds the head of a response together with the informational responses
	// before it.
	maxHeadBytes = 64 << 10
	// framingFactor bounds the bytes of a body on the wire, with the framing of its chunks,
	// as a multiple of maxBodyBytes.
	framingFactor = 2
	// maxStaleResponses is the number of responses to the previous request that are
	// skipped before the response to the current one.
	maxStaleResponses = 2
	// idleMargin is subtracted from the idle timeout that a backend server states, so
	// that it does not close a connection on which a request is on its way.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the backend server
	// states no timeout.
	defaultIdleTimeout = 4 * time.Second
)

// Responder reads the response headers that this package needs.
type Responder interface {
	// ResponseID returns the ID of the request that the response belongs to, or an
	// empty string if the response states none.
	ResponseID(h http.Header) string
}

// ConnID identifies a connection among all of the process.
type ConnID uint64

// lastConnID is the ID of the newest connection.
var lastConnID atomic.Uint64

// conn is one connection to a backend server.
type conn struct {
	id          ConnID
	net         net.Conn
	memory      *membudget.Budget
	limit       *readlimit.Reader // bounds what reader reads from net
	reader      *bufio.Reader
	idleSince   time.Duration // monotonic time of the end of the last exchange
	idleTimeout time.Duration // how long it may stay idle
	requests    int           // completed exchanges
	lastID      string        // ID of the last answered request
}

// newConn returns a connection without exchanges.
func newConn(connection net.Conn, memory *membudget.Budget) *conn {
	limit := &readlimit.Reader{Source: connection}
	return &conn{id: ConnID(lastConnID.Add(1)), net: connection, memory: memory, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer)}
}

// usable reports whether an idle connection has received nothing. Bytes would belong to
// no request, and an EOF or a reset means that the peer closed the connection.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = n < 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
		return true
	})
	return err == nil && empty
}

// encodeHead returns the head of the request in HTTP/1.1 wire format.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512)
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
	return b.Bytes()
}

// exchange sends a request and reads its response. It has no timeout of its own; see
// interruptOnDone. keep reports whether the connection may carry another request.
func (c *conn) exchange(r *Request, responder Responder) (response *Response, outcome Outcome, keep bool, err error) {
	head := r.encodeHead()
	content := net.Buffers{head}
	if len(r.Body) > 0 {
		content = append(content, r.Body)
	}
	n, err := content.WriteTo(c.net)
	if err != nil {
		if n < int64(len(head)) {
			return nil, OutcomeNotSent, false, errors.Wrap(err, "request")
		}
		return nil, OutcomeUnknown, false, errors.Wrap(err, "request")
	}
	for range maxStaleResponses + 1 {
		response, keep, err = c.readResponse(r.Method)
		if err != nil {
			return nil, OutcomeUnknown, false, errors.Wrap(err, "response")
		}
		id := responder.ResponseID(response.Header)
		// A response without an ID is certain to be this request's only on a new connection. The
		// connection is closed then, since later ones could not be told apart.
		if id == r.ID || id == "" && c.requests == 0 {
			c.lastID = r.ID
			return response, OutcomeAnswered, keep && id != "", nil
		}
		response.Release()
		if id != c.lastID || !keep {
			return nil, OutcomeUnknown, false, errors.Errorf("response belongs to request %q", id)
		}
	}
	return nil, OutcomeUnknown, false, errors.New("only responses to earlier requests arrived")
}

// readResponse reads one complete response, and reports whether the connection may
// carry another request.
func (c *conn) readResponse(method string) (*Response, bool, error) {
	c.limit.Remaining = maxHeadBytes
	head, err := c.readHead(method)
	if err != nil {
		return nil, false, err
	}
	c.limit.Remaining = framingFactor * maxBodyBytes
	length := head.ContentLength
	if method == http.MethodHead {
		length = 0
	}
	body, reserved, err := c.memory.ReadAll(head.Body, length, maxBodyBytes)
	if err != nil {
		return nil, false, err
	}
	response := &Response{Status: head.StatusCode, Header: head.Header, Body: body, memory: c.memory, reserved: reserved}
	c.limit.Remaining = maxHeadBytes
	if err := head.Body.Close(); err != nil {
		response.Release()
		return nil, false, err
	}
	c.idleTimeout = parseIdleTimeout(head.Header.Get("Keep-Alive"))
	framed := head.ContentLength >= 0 || len(head.TransferEncoding) > 0 || len(body) == 0
	return response, framed && !head.Close, nil
}

// statusLine matches the start of a response.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}\b`)

// readHead reads the head of the final response, and skips those of informational ones.
func (c *conn) readHead(method string) (*http.Response, error) {
	for {
		version10, err := c.readVersion10()
		if err != nil {
			return nil, err
		}
		head, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if version10 && (len(head.TransferEncoding) > 0 || head.StatusCode < http.StatusOK) {
			return nil, errors.New("response of HTTP/1.0 with a transfer coding or an informational status")
		}
		head.Close = head.Close || version10
		if err := c.checkHead(head); err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
	}
}

// readVersion10 reports whether the next head is of HTTP/1.0. If so, it makes the reader show the
// head as one of HTTP/1.1: of an older one, http.ReadResponse drops the transfer coding and takes
// the framing of the chunks for the body. The connection must not be kept then.
func (c *conn) readVersion10() (bool, error) {
	const old, current = "HTTP/1.0", "HTTP/1.1"
	version, err := c.reader.Peek(len(old))
	if err != nil || string(version) != old {
		return false, err
	}
	if _, err := c.reader.Discard(len(old)); err != nil {
		return false, err
	}
	c.reader = bufio.NewReaderSize(io.MultiReader(strings.NewReader(current), c.reader), readBuffer)
	return true, nil
}

// checkHead rejects what http.ReadResponse accepts: a status that no response has, a name with a
// space, which hides the header (a length, for example) from its readers, and a head that begins
// with a part of another one. On a new connection a status line in a value can only be part of
// that value.
func (c *conn) checkHead(head *http.Response) error {
	if head.StatusCode < 100 || head.StatusCode > 599 {
		return errors.Errorf("invalid status %d", head.StatusCode)
	}
	if statusLine.MatchString(head.Status) {
		return errors.Errorf("second status line in the reason %q", head.Status)
	}
	for name, values := range head.Header {
		if strings.Contains(name, " ") {
			return errors.Errorf("invalid header name %q", name)
		}
		if c.requests > 0 && slices.ContainsFunc(values, statusLine.MatchString) {
			return errors.Errorf("second status line in the header %s", name)
		}
	}
	return nil
}

// parseIdleTimeout returns how long a connection may stay idle: the timeout of a
// Keep-Alive header less idleMargin, or defaultIdleTimeout if the header states none.
func parseIdleTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

// resetOnClose makes the next close reset the connection. Otherwise bytes that a
// network partition holds up would be delivered when it heals.
func (c *conn) resetOnClose() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // an error means that the connection is closed already
	}
}

// interruptOnDone interrupts the exchange if ctx ends before stop is called.
func (c *conn) interruptOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		c.net.SetDeadline(time.Unix(1, 0)) //nolint:errcheck // an error means that the connection is closed already
	})
}
