package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/clock"
)

const (
	// DialTimeout bounds the time to connect to a backend server. Links take a few ms;
	// a lost packet is sent again after 200 ms and more.
	DialTimeout = 350 * time.Millisecond
	// maxIdle is the number of idle connections that are kept to one backend server:
	// more than its slots are never busy at once for long.
	maxIdle = 6
	// raceFraction: after a reset on a kept connection, connections are kept for this
	// part of the idle time at which it happened.
	raceFraction = 0.5
	// idleRecovery is the time in which the limit of the idle time doubles again.
	idleRecovery = 10 * time.Second
	// minIdle is the least idle time at which a connection is used again.
	minIdle = 20 * time.Millisecond
)

// ErrNoConnection reports that a backend server cannot be connected to.
var ErrNoConnection = errors.New("no connection")

// Pool keeps the connections to one backend server. It is safe for concurrent
// use; its lock is a leaf.
type Pool struct {
	address   string
	clock     clock.Clock
	responder Responder

	mu    sync.Mutex
	idle  []*conn
	open  int
	limit int // most connections that are kept open; 0 means no limit
	dials int
	// idleLimit bounds the idle time after connections were dropped by the peer;
	// 0 means no bound. limitAt is when it was set.
	idleLimit time.Duration
	limitAt   time.Duration
	closed    bool
}

// NewPool returns a pool without connections.
func NewPool(address string, c clock.Clock, responder Responder) *Pool {
	return &Pool{address: address, clock: c, responder: responder}
}

// SetLimit sets the number of connections that are kept open.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
}

// Result is the outcome of one exchange.
type Result struct {
	Response *Response
	Fate     Fate
	Err      error
	// Reused tells that the request went out on a kept connection, idle for Idle.
	Reused bool
	Idle   time.Duration
	// Refused tells that no connection could be made.
	Refused bool
}

// Do sends a request and returns its result. It ends when ctx does, and closes the
// connection then.
func (p *Pool) Do(ctx context.Context, r *Request) Result {
	c, err := p.take(ctx)
	if err != nil {
		return Result{Fate: FateNotSent, Err: err, Refused: true}
	}
	result := Result{Reused: c.used > 0, Idle: p.clock.Now() - c.idle}
	if !result.Reused {
		result.Idle = 0
	}
	stop := c.endOnDone(ctx)
	response, fate, keep, err := c.exchange(r, p.responder)
	stopped := stop()
	result.Response, result.Fate, result.Err = response, fate, err
	if err != nil && result.Reused && ctx.Err() == nil {
		p.limitIdle(result.Idle)
	}
	if err != nil {
		c.abort()
	}
	p.put(c, keep && stopped && err == nil)
	return result
}

// take returns an idle connection, the one used last first, or a new one.
func (p *Pool) take(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		p.drop(c)
	}
	dialer := net.Dialer{Timeout: DialTimeout, KeepAlive: -1}
	p.mu.Lock()
	p.open++
	p.dials++
	p.mu.Unlock()
	connection, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, errors.Wrap(ErrNoConnection, err.Error())
	}
	return &conn{net: connection, reader: bufio.NewReaderSize(connection, readBuffer)}, nil
}

// pop takes the idle connection that was used last, and drops those that were idle
// for too long.
func (p *Pool) pop() *conn {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// expire closes connections that were idle for too long. The caller holds the lock.
func (p *Pool) expire(now time.Duration) {
	limit := p.currentLimit(now)
	kept := p.idle[:0]
	for _, c := range p.idle {
		idle := now - c.idle
		if idle >= c.idleFor || limit > 0 && idle >= limit {
			p.open--
			c.net.Close() //nolint:errcheck // the connection is idle
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// currentLimit is the bound of the idle time, which doubles with time until it no
// longer matters. The caller holds the lock.
func (p *Pool) currentLimit(now time.Duration) time.Duration {
	if p.idleLimit == 0 {
		return 0
	}
	doublings := (now - p.limitAt) / idleRecovery
	if doublings > 8 {
		p.idleLimit = 0
		return 0
	}
	return p.idleLimit << doublings
}

// limitIdle notes that the peer dropped a connection that was idle for that long.
func (p *Pool) limitIdle(idle time.Duration) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := max(minIdle, time.Duration(float64(idle)*raceFraction))
	if current := p.currentLimit(now); current == 0 || limit < current {
		p.idleLimit, p.limitAt = limit, now
	}
}

func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	c.net.Close() //nolint:errcheck // nothing is expected on the connection
}

// put returns a connection after an exchange.
func (p *Pool) put(c *conn, keep bool) {
	if !keep || c.reader.Buffered() > 0 {
		p.drop(c)
		return
	}
	c.used++
	c.idle = p.clock.Now()
	p.mu.Lock()
	if p.closed || len(p.idle) >= maxIdle || p.limit > 0 && p.open > p.limit {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// Expire closes connections that were idle for too long.
func (p *Pool) Expire() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
}

// Dials is the number of connections that were opened.
func (p *Pool) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes the idle connections; those in use close after their exchange.
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
