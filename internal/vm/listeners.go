package vm

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"
)

const (
	// readHeaderTimeout limits how long a client can hold a connection by sending its
	// header slowly.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 32 << 10
	// maxCallerConnections bounds the connections of callers to one VM. An idle
	// connection takes about 20 KiB of memory.
	maxCallerConnections = 50_000
)

// listener is a bound socket with its HTTP server.
type listener struct {
	socket net.Listener
	server *http.Server
}

// listen opens a TCP listener that accepts at most limit connections at a time; 0
// means no limit.
func listen(address string, limit int, server *http.Server) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	if limit > 0 {
		socket = netutil.LimitListener(socket, limit)
	}
	return &listener{socket: socket, server: server}, nil
}

// serve accepts connections until the server is shut down.
func (l *listener) serve(logger *zap.Logger) {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		logger.Error("listener failed", zap.String("address", l.address()), zap.Error(err))
	}
}

func (l *listener) address() string { return l.socket.Addr().String() }

func (l *listener) shutdown(ctx context.Context) error { return l.server.Shutdown(ctx) }

// newCallerHTTPServer returns the HTTP/1.1 and cleartext HTTP/2 server for callers.
// Errors of connections are not logged.
func newCallerHTTPServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
	}
}

// newPeerHTTPServer returns the HTTP server for other VMs.
func newPeerHTTPServer(handler http.Handler) *http.Server {
	server := newCallerHTTPServer(handler)
	// Forwarded requests carry the headers of the caller and those between VMs.
	server.MaxHeaderBytes = 2 * maxHeaderBytes
	const maxForwardedStreams = 10_000 // above the number of requests that one VM forwards to another at a time
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxForwardedStreams}
	return server
}

// newOperatorHTTPServer returns the HTTP server for operators.
func newOperatorHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}
