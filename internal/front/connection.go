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
)

const (
	// pipelineDepth is the number of requests of one connection in progress.
	pipelineDepth = 16
	// writeTimeout bounds the time that a caller may take to read a response.
	writeTimeout = 5 * time.Second
	// lingerTimeout is how long a closed connection is read on, so that the last
	// response is not lost to a reset by bytes that were not read.
	lingerTimeout = 500 * time.Millisecond
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
	// Limits that hold before a configuration is known.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// connection is one caller's connection. A reader takes requests in; a writer
// sends the answers in the order of the requests.
type connection struct {
	server *Server
	net    net.Conn
	limit  *headLimit
	reader *bufio.Reader
	ctx    context.Context // ends when the caller has left
	leave  context.CancelFunc

	answers chan *pending

	mu sync.Mutex
	// open is the number of requests that were read and not answered in full.
	open int
	// closing is set once no further request may be taken in.
	closing bool
}

// pending is the place of one answer in the order of the connection.
type pending struct {
	answer chan *forward.Answer
	head   bool // the request was HEAD
	last   bool // the caller wants no further response
}

// headLimit bounds the bytes that are read for one request head.
type headLimit struct {
	from io.Reader
	left int64
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.from.Read(p)
	l.left -= int64(n)
	return n, err
}

func newConnection(s *Server, accepted net.Conn) *connection {
	c := &connection{server: s, net: accepted, limit: &headLimit{from: accepted}, answers: make(chan *pending, pipelineDepth)}
	c.reader = bufio.NewReaderSize(c.limit, readBuffer)
	c.ctx, c.leave = context.WithCancel(context.Background())
	return c
}

func (c *connection) serve() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAll()
	}()
	c.readAll()
	close(c.answers)
	<-written
	c.leave()
	c.net.Close() //nolint:errcheck // all answers were written
}

// readAll takes requests in until the connection ends.
func (c *connection) readAll() {
	for {
		request, fault := c.readRequest()
		if request == nil {
			if fault != nil {
				c.answerFault(fault)
			} else {
				c.leave()
			}
			return
		}
		p := &pending{answer: make(chan *forward.Answer, 1), head: request.Method == http.MethodHead, last: request.last}
		if !c.admit() {
			return
		}
		c.answers <- p
		go func() { p.answer <- c.server.Handler.Handle(c.ctx, &request.Request) }()
		if p.last {
			c.awaitEnd()
			return
		}
	}
}

// admit counts a request unless the connection is closing. A request that is read
// behind a response that closes the connection is dropped; its caller sends it again.
func (c *connection) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.open++
	return true
}

// awaitEnd reads on after the last request, to notice when the caller leaves.
func (c *connection) awaitEnd() {
	c.net.SetReadDeadline(time.Time{}) //nolint:errcheck // a closed connection ends the read below
	c.limit.left = lingerBytes
	if _, err := io.Copy(io.Discard, c.reader); err == nil || !isTimeout(err) {
		c.leave()
	}
}

func (c *connection) answerFault(f *fault) {
	if !c.admit() {
		return
	}
	p := &pending{answer: make(chan *forward.Answer, 1), last: true}
	p.answer <- &forward.Answer{Status: f.status, Header: http.Header{}, Body: []byte(f.reason + "\n")}
	c.answers <- p
	c.awaitEnd()
}

// writeAll sends the answers in order.
func (c *connection) writeAll() {
	ended := false
	for p := range c.answers {
		answer := <-p.answer
		if ended {
			continue
		}
		last := c.finish(p)
		c.net.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // a closed connection fails the write below
		if _, err := c.net.Write(encode(answer, p.head, last)); err != nil {
			ended = true
			c.leave()
			c.stopReading(0)
			continue
		}
		if last {
			ended = true
			c.closeWrite()
			c.stopReading(lingerTimeout)
		}
	}
}

// finish decides whether the response is the last of the connection. While the
// server drains, the response behind which no request was read is the last.
func (c *connection) finish(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if p.last || c.server.draining.Load() && c.open == 0 {
		c.closing = true
	}
	return p.last || c.closing && c.open == 0
}

func (c *connection) closeWrite() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		tcp.CloseWrite() //nolint:errcheck // the connection is closed next
	}
}

// stopReading ends the reader after d.
func (c *connection) stopReading(d time.Duration) {
	c.net.SetReadDeadline(time.Now().Add(d)) //nolint:errcheck // a closed connection ends the reader by itself
}

// closeIfIdle closes the connection if no request is in progress.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	idle := c.open == 0
	if idle {
		c.closing = true
	}
	c.mu.Unlock()
	if idle {
		c.closeWrite()
		c.stopReading(lingerTimeout)
	}
}

// isPersistent reports whether the caller may send another request.
func isPersistent(r *http.Request) bool {
	return !r.Close && r.ProtoAtLeast(1, 1) && !strings.EqualFold(r.Header.Get("Connection"), "close")
}
