// Package front accepts callers' HTTP/1.1 connections, with pipelining, and decides how
// long each stays open. It handles the requests of a connection concurrently, writes
// the responses in the order of the requests, and leaves the answers to a Handler.
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
	"fireflyfield/internal/membudget"
)

// Handler answers requests.
type Handler interface {
	// Handle returns the answer to one request. ctx ends when the caller has left.
	Handle(ctx context.Context, r *forward.Request) *forward.Answer
}

// Server serves callers' connections. Its exported fields are set before Serve.
type Server struct {
	Handler Handler
	Clock   clock.Clock
	Log     *zap.Logger
	// Limits returns the limits of the configuration in force, or zero limits if there
	// is none.
	Limits func() fleet.Limits
	// MaxConnections bounds the open connections. The first request of a further one is
	// rejected; beyond extraConnections further ones, they are closed when accepted.
	MaxConnections int
	// Memory bounds the request bodies that are held at the same time. Nil means no bound.
	Memory *membudget.Budget

	draining atomic.Bool
	ending   atomic.Bool
	mu       sync.Mutex
	conns    map[*connection]struct{}
	active   sync.WaitGroup
}

// acceptRetryDelay is the delay after a failed accept. The usual cause is a lack of
// file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// extraConnections is the number of connections over the limit whose first request is
// rejected, so that the caller gets an answer.
const extraConnections = 32

// waitInterval is the time between two checks whether all connections have ended.
const waitInterval = 20 * time.Millisecond

// Serve accepts connections until the listener is closed. Its error is always nil.
func (s *Server) Serve(listener net.Listener) error {
	for {
		accepted, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.Log.Warn("accepting a caller connection failed", logfield.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConnection(accepted)
	}
}

// startConnection serves an accepted connection, or rejects its request or closes it if
// MaxConnections are open.
func (s *Server) startConnection(accepted net.Conn) {
	c := newConnection(s, accepted)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*connection]struct{})
	}
	open := len(s.conns)
	if open >= s.MaxConnections+extraConnections {
		s.mu.Unlock()
		s.Log.Warn("caller connection closed: connection limit reached", zap.Int("open", open))
		accepted.Close() //nolint:errcheck // nothing was sent on the connection
		return
	}
	c.overLimit = open >= s.MaxConnections
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

// Drain makes the server close each connection after the response that leaves no request
// in progress on it. An idle connection stays open for the answer to its next request, or
// until CloseIdle.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request has begun to arrive.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// EndReading rejects the requests that are still arriving, so that their callers know that they
// have not run.
func (s *Server) EndReading() {
	s.ending.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.endReading()
	}
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Wait blocks until no connection is open or ctx ends. Connections may still be accepted
// meanwhile.
func (s *Server) Wait(ctx context.Context) {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for s.OpenConnections() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
