package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"fireflyfield/internal/forward"
	"fireflyfield/internal/readlimit"
)

const (
	// pipelineDepth is the number of requests of one connection that may wait for their
	// responses.
	pipelineDepth = 16
	// writeTimeout bounds the time in which a caller must read a response.
	writeTimeout = 5 * time.Second
	// lingerTimeout is how long input is still read after the last response. Closing a
	// connection with unread bytes resets it, and the caller could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// overLimitRetryAfter is the Retry-After header, in seconds, of a rejection because of
	// the limit on connections or on memory.
	overLimitRetryAfter = "0.2"
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
	// Limits that apply until a configuration is known.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// connection is one caller's connection. One goroutine reads requests, and another
// writes the responses in the order of the requests.
type connection struct {
	server        *Server
	net           net.Conn
	limitedReader *readlimit.Reader
	reader        *bufio.Reader
	ctx           context.Context // ends when the caller has left
	cancel        context.CancelFunc

	responses chan *pendingResponse

	// overLimit is set if the connection is open beyond the limit: its first request is
	// rejected and ends it.
	overLimit bool

	mu sync.Mutex
	// inProgress is the number of requests that were read and whose response is not yet
	// being written. reading is set while a request is being read.
	inProgress int
	reading    bool
	// writing is set while a response is being written, and closeAfterWrite if the connection
	// ends after it unless a request has begun to arrive.
	writing, closeAfterWrite bool
	// closing is set once the last response is known; later requests are not answered.
	closing bool
}

// pendingResponse is a response in the order of the connection that may not be known
// yet.
type pendingResponse struct {
	answer chan *forward.Answer
	// reserved is the memory that the body of the request holds, in bytes.
	reserved int64
	isHead   bool // the request was HEAD: no body is sent
	last     bool // no further request follows on the connection
}

// newConnection returns a connection that is not yet served.
func newConnection(s *Server, accepted net.Conn) *connection {
	c := &connection{server: s, net: accepted, limitedReader: &readlimit.Reader{Source: accepted}, responses: make(chan *pendingResponse, pipelineDepth)}
	c.reader = bufio.NewReaderSize(c.limitedReader, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve handles the connection until it is closed.
func (c *connection) serve() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeResponses()
	}()
	c.readRequests()
	close(c.responses)
	<-written
	c.cancel()
	c.net.Close() //nolint:errcheck // all responses were written
}

// readRequests reads and handles requests until the connection ends.
func (c *connection) readRequests() {
	for {
		if c.isClosing() {
			c.discardUntilClose()
			return
		}
		request, requestErr := c.readRequest()
		if request == nil {
			if requestErr != nil {
				c.respondError(requestErr)
			} else {
				c.cancel()
			}
			return
		}
		p := &pendingResponse{answer: make(chan *forward.Answer, 1), isHead: request.Method == http.MethodHead, last: request.last, reserved: request.reserved}
		if !c.startRequest() {
			c.server.Memory.Release(p.reserved)
			c.discardUntilClose()
			return
		}
		if c.overLimit {
			p.last = true
			p.answer <- overLimitAnswer()
			c.responses <- p
			c.discardUntilClose()
			return
		}
		c.responses <- p
		go func() { p.answer <- c.server.Handler.Handle(c.ctx, &request.Request) }()
		if p.last {
			c.discardUntilClose()
			return
		}
	}
}

// overLimitAnswer rejects the request of a connection over the limit, which has not run. The
// caller's next connection reaches another VM.
func overLimitAnswer() *forward.Answer {
	return &forward.Answer{
		Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {overLimitRetryAfter}}, Body: []byte("connection-limit\n"),
	}
}

// beginReading notes that the first byte of a request has arrived. From here on the
// connection is not idle.
func (c *connection) beginReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
}

// endReading ends the reading of a request.
func (c *connection) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.stopReading(0)
	}
}

// startRequest counts a request that was read and returns true, unless the last response of
// the connection is known. A request behind that response counts as not read; its caller
// sends it again on another connection.
func (c *connection) startRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		return false
	}
	c.inProgress++
	return true
}

// discardUntilClose reads on after the last request, to detect that the caller leaves.
func (c *connection) discardUntilClose() {
	c.net.SetReadDeadline(time.Time{}) //nolint:errcheck // a closed connection ends the read below
	// If the last response has been written already, nothing else ends the read.
	if c.isClosing() {
		c.stopReading(lingerTimeout)
	}
	c.limitedReader.Remaining = maxLingerBytes
	if _, err := io.Copy(io.Discard, c.reader); err == nil || !isTimeout(err) {
		c.cancel()
	}
}

// respondError responds to a request that could not be read and ends the connection.
func (c *connection) respondError(e *requestError) {
	if !c.startRequest() {
		return
	}
	if e.status == http.StatusRequestTimeout && c.server.ending.Load() {
		e = &requestError{http.StatusServiceUnavailable, "vm-stops"}
	}
	p := &pendingResponse{answer: make(chan *forward.Answer, 1), last: true}
	header := http.Header{}
	if e.status == http.StatusServiceUnavailable {
		header.Set("Retry-After", overLimitRetryAfter)
	}
	p.answer <- &forward.Answer{Status: e.status, Header: header, Body: []byte(e.reason + "\n")}
	c.responses <- p
	c.discardUntilClose()
}

// writeResponses writes the responses in the order of the requests.
func (c *connection) writeResponses() {
	closed := false
	for p := range c.responses {
		answer := <-p.answer
		c.server.Memory.Release(p.reserved)
		if closed {
			answer.Done()
			continue
		}
		last := c.finishRequest(p)
		c.net.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // a closed connection fails the write below
		err := c.writeAnswer(answer, p.isHead, last)
		c.endWrite()
		answer.Done()
		if err != nil {
			closed = true
			c.cancel()
			c.stopReading(0)
			continue
		}
		if last {
			closed = true
			c.closeWrite()
			c.stopReading(lingerTimeout)
		}
	}
}

// writeAnswer writes one answer. The body is not copied, since many large ones may be written
// at once.
func (c *connection) writeAnswer(answer *forward.Answer, isHead, last bool) error {
	content := net.Buffers{encodeHead(answer, isHead, last)}
	if !isHead && len(answer.Body) > 0 {
		content = append(content, answer.Body)
	}
	_, err := content.WriteTo(c.net)
	return err
}

// finishRequest ends a request, whose response is written next, and reports whether that is the
// last one of the connection. While the server drains, that is the response after which no further
// request has begun to arrive.
func (c *connection) finishRequest(p *pendingResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress--
	c.writing = true
	if p.last || c.server.draining.Load() && c.inProgress == 0 && !c.reading {
		c.closing = true
	}
	return c.closing
}

// closeWrite closes the sending side of the connection.
func (c *connection) closeWrite() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		tcp.CloseWrite() //nolint:errcheck // the connection is closed next
	}
}

// stopReading makes reads fail after d.
func (c *connection) stopReading(d time.Duration) {
	c.net.SetReadDeadline(time.Now().Add(d)) //nolint:errcheck // a closed connection ends the reader by itself
}

// endWrite notes that a response has been written.
func (c *connection) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if c.closeAfterWrite {
		c.closeLocked()
	}
}

// closeIfIdle closes the connection at once if no byte of a request has been read and no
// response is outstanding. A request that crosses the close was not read, so its caller
// sends it again. Closing only the sending side would leave time to read a request that can
// no longer be answered.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked is closeIfIdle with the lock held. A connection whose last response is known ends by
// itself; until then its caller may still read that response.
func (c *connection) closeLocked() {
	switch {
	case c.closing || c.inProgress > 0 || c.reading:
	case c.writing:
		c.closeAfterWrite = true
	default:
		c.closing = true
		c.net.Close() //nolint:errcheck // nothing is outstanding on the connection
	}
}

// isPersistent reports whether the caller may send another request on the connection.
func isPersistent(r *http.Request) bool {
	return !r.Close && r.ProtoAtLeast(1, 1) && !strings.EqualFold(r.Header.Get("Connection"), "close")
}
