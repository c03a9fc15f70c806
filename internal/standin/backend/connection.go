package backend

import (
	"context"
	"net"
	"net/http"
)

type connectionEpoch struct{}

// ConnContext notes the instance that accepted a connection; set it as the
// ConnContext of the http.Server. Connections end with their process, so a request
// that was on its way to the former instance never reaches the next one.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return context.WithValue(ctx, connectionEpoch{}, s.epoch)
}

// outlived reports whether the instance that accepted the connection has ended.
func outlived(r *http.Request) bool {
	epoch, ok := r.Context().Value(connectionEpoch{}).(chan struct{})
	if !ok {
		return false
	}
	select {
	case <-epoch:
		return true
	default:
		return false
	}
}
