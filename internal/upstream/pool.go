package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/membudget"
)

const (
	// DialTimeout bounds the time to connect to a backend server. Links take a few ms,
	// but a lost packet is sent again only after 200 ms or more.
	DialTimeout = 350 * time.Millisecond
	// acceptWait is how long a new connection must stay open to count as accepted: a proxy or
	// a full backend server resets it at once.
	acceptWait = 50 * time.Millisecond
	// maxIdleConns is the number of idle connections that are kept to one backend
	// server. Connections beyond its slots are never busy at once for long.
	maxIdleConns = 6
	// idleLimitFraction is the limit of the idle time after a kept connection failed,
	// as a fraction of the time for which that connection was idle.
	idleLimitFraction = 0.5
	// idleLimitDoubling is the time after which the limit of the idle time doubles
	// again.
	idleLimitDoubling = 10 * time.Second
	// minIdleLimit is the lower bound of the limit of the idle time.
	minIdleLimit = 20 * time.Millisecond
)

// ErrNoConnection reports that a backend server cannot be connected to.
var ErrNoConnection = errors.New("no connection")

// ErrNotAllowed reports that Request.Allowed returned false.
var ErrNotAllowed = errors.New("request is no longer allowed")

// Pool keeps the connections to one backend server. It is safe for concurrent use and
// acquires no other lock while it holds its own.
type Pool struct {
	address   string
	clock     clock.Clock
	responder Responder
	memory    *membudget.Budget
	// Source is the local IP address of connections; nil leaves the choice to the system. It is
	// set before the first use.
	Source net.IP

	mu      sync.Mutex
	idle    []*conn
	open    int
	maxOpen int // number of connections that are kept open; 0 means no limit
	dials   int
	// idleLimit bounds the idle time of connections after the peer closed some early; 0
	// means no bound. idleLimitSetAt is the monotonic time at which it was set.
	idleLimit      time.Duration
	idleLimitSetAt time.Duration
	closed         bool
}

// NewPool returns a pool for the given address without connections. The bodies of responses
// are held within the memory budget.
func NewPool(address string, c clock.Clock, responder Responder, memory *membudget.Budget) *Pool {
	return &Pool{address: address, clock: c, responder: responder, memory: memory}
}

// SetMaxOpen sets the number of open connections above which connections are closed after
// their exchange; 0 means no limit. It does not limit new connections.
func (p *Pool) SetMaxOpen(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = n
}

// Result is the result of one exchange.
type Result struct {
	Response *Response
	Outcome  Outcome
	Err      error
	// Conn is the connection on which the request was sent; 0 if there is none.
	Conn ConnID
	// Reused is set if the request was sent on a kept connection; Idle is how long that
	// connection was idle before.
	Reused bool
	Idle   time.Duration
	// NotConnected is set if no connection could be made, for whatever reason.
	NotConnected bool
}

// Do sends a request and returns its result. If ctx ends first, Do returns and closes
// the connection.
func (p *Pool) Do(ctx context.Context, r *Request) Result {
	c, err := p.take(ctx, r.Avoid)
	if err != nil {
		return Result{Outcome: OutcomeNotSent, Err: err, NotConnected: true}
	}
	if r.Allowed != nil && !r.Allowed() {
		p.put(c, c.requests > 0)
		return Result{Outcome: OutcomeNotSent, Err: ErrNotAllowed}
	}
	result := Result{Conn: c.id, Reused: c.requests > 0, Idle: p.clock.Now() - c.idleSince}
	if !result.Reused {
		result.Idle = 0
	}
	stop := c.interruptOnDone(ctx)
	response, outcome, keep, err := c.exchange(r, p.responder)
	stopped := stop()
	result.Response, result.Outcome, result.Err = response, outcome, err
	if err != nil && result.Reused && ctx.Err() == nil {
		p.lowerIdleLimit(result.Idle)
	}
	if err != nil {
		c.resetOnClose()
	}
	p.put(c, keep && stopped && err == nil)
	return result
}

// take returns the most recently used idle connection that is usable and not to be avoided, or a
// new one.
func (p *Pool) take(ctx context.Context, avoid []ConnID) (*conn, error) {
	for {
		c := p.pop(avoid)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		p.drop(c)
	}
	p.mu.Lock()
	p.open++
	p.dials++
	p.mu.Unlock()
	connection, err := p.dial(ctx)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, errors.Wrap(ErrNoConnection, err.Error())
	}
	return newConn(connection, p.memory), nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, KeepAlive: -1}
	if p.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.Source}
	}
	return dialer.DialContext(ctx, "tcp", p.address)
}

// Probe reports whether the backend server answers a GET of the path, with any status, on a
// connection of its own before ctx ends.
func (p *Pool) Probe(ctx context.Context, path string) bool {
	connection, err := p.dial(ctx)
	if err != nil {
		return false
	}
	c := newConn(connection, p.memory)
	defer connection.Close() //nolint:errcheck // the answer has been read
	defer c.interruptOnDone(ctx)()
	response, _, _, err := c.exchange(&Request{Method: http.MethodGet, Target: path, Host: p.address}, p.responder)
	if err != nil {
		return false
	}
	response.Release()
	return true
}

// pop removes and returns the most recently used idle connection that is not to be avoided, or
// nil if there is none. It closes those that were idle for too long.
func (p *Pool) pop(avoid []ConnID) *conn {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	for i, c := range slices.Backward(p.idle) {
		if !slices.Contains(avoid, c.id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// expire closes connections that were idle for too long. The caller holds p.mu.
func (p *Pool) expire(now time.Duration) {
	limit := p.currentIdleLimit(now)
	kept := p.idle[:0]
	for _, c := range p.idle {
		idle := now - c.idleSince
		if idle >= c.idleTimeout || limit > 0 && idle >= limit {
			p.open--
			c.net.Close() //nolint:errcheck // the connection is idle
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// currentIdleLimit returns the bound of the idle time, or 0 for none. The bound doubles
// with time and is dropped after 8 doublings. The caller holds p.mu.
func (p *Pool) currentIdleLimit(now time.Duration) time.Duration {
	if p.idleLimit == 0 {
		return 0
	}
	doublings := (now - p.idleLimitSetAt) / idleLimitDoubling
	if doublings > 8 {
		p.idleLimit = 0
		return 0
	}
	return p.idleLimit << doublings
}

// lowerIdleLimit lowers the bound of the idle time after an exchange failed on a
// connection that had been idle for the given time: the peer has probably closed it for
// that reason.
func (p *Pool) lowerIdleLimit(idle time.Duration) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := max(minIdleLimit, time.Duration(float64(idle)*idleLimitFraction))
	if current := p.currentIdleLimit(now); current == 0 || limit < current {
		p.idleLimit, p.idleLimitSetAt = limit, now
	}
}

// drop closes a connection that is not among the idle ones.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	c.net.Close() //nolint:errcheck // nothing is expected on the connection
}

// put returns a connection to the pool after an exchange, or closes it.
func (p *Pool) put(c *conn, keep bool) {
	if !keep || c.reader.Buffered() > 0 {
		p.drop(c)
		return
	}
	c.requests++
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	if p.closed || len(p.idle) >= maxIdleConns || p.maxOpen > 0 && p.open > p.maxOpen {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// ExpireIdle closes connections that were idle for too long.
func (p *Pool) ExpireIdle() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
}

// Dials returns the number of connections that the pool tried to open.
func (p *Pool) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Accepts reports whether the backend server accepts a connection and keeps it open. It makes
// one, which carries no request, and takes at most DialTimeout and acceptWait.
func (p *Pool) Accepts(ctx context.Context) bool {
	connection, err := p.dial(ctx)
	if err != nil {
		return false
	}
	defer connection.Close()                               //nolint:errcheck // nothing was sent
	connection.SetReadDeadline(time.Now().Add(acceptWait)) //nolint:errcheck // a closed connection fails the read below
	_, err = connection.Read(make([]byte, 1))
	var timeout net.Error
	return err == nil || errors.As(err, &timeout) && timeout.Timeout()
}

// Close closes the idle connections. Those in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.net.Close() //nolint:errcheck // the connection is idle
		p.open--
	}
	p.idle = nil
}
