package backend

import (
	"context"
	"net"
	"net/http"
)

// instanceDoneKey is the context key of the instanceDone channel of the instance that
// accepted a connection.
type instanceDoneKey struct{}

// ConnContext stores in the connection's context which instance accepted it; set it
// as the ConnContext of the http.Server. Connections end with their process, so a
// request sent to the previous instance must never reach its successor.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return context.WithValue(ctx, instanceDoneKey{}, s.instanceDone)
}

// acceptedByEndedInstance reports whether the instance that accepted the request's
// connection has been replaced since.
func acceptedByEndedInstance(r *http.Request) bool {
	instanceDone, ok := r.Context().Value(instanceDoneKey{}).(chan struct{})
	if !ok {
		return false
	}
	select {
	case <-instanceDone:
		return true
	default:
		return false
	}
}
