// Package front serves callers' connections: HTTP/1.1 with pipelining. Requests of
// one connection are handled concurrently and answered in their order.
package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/forward"
	"fireflyfield/internal/logfield"
)

// Handler answers requests. ctx ends when the caller has left.
type Handler interface {
	Handle(ctx context.Context, r *forward.Request) *forward.Answer
}

// Server serves callers' connections.
type Server struct {
	Handler Handler
	Clock   clock.Clock
	Log     *zap.Logger
	// Limits returns the limits in force.
	Limits func() fleet.Limits
	// MaxConnections bounds the open connections; more are closed at once.
	MaxConnections int

	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*connection]struct{}
	active   sync.WaitGroup
}

// acceptRetry is the wait after a failed accept, which mostly lacks a descriptor.
const acceptRetry = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		accepted, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.Log.Warn("accept failed", logfield.Error(err))
			time.Sleep(acceptRetry)
			continue
		}
		s.start(accepted)
	}
}

func (s *Server) start(accepted net.Conn) {
	c := newConnection(s, accepted)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*connection]struct{})
	}
	if len(s.conns) >= s.MaxConnections {
		s.mu.Unlock()
		s.Log.Warn("caller connection refused", zap.Int("open", s.MaxConnections))
		accepted.Close() //nolint:errcheck // nothing was sent on the connection
		return
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.active.Add(1)
	go func() {
		defer s.active.Done()
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Drain makes every following response close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections without a request in progress.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// OpenConnections is the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Wait blocks until all connections have ended, or ctx ends.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
