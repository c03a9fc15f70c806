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
	// readHeaderTimeout closes connections of callers that send their header slowly.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 32 << 10
	// maxCallerConnections bounds the callers' connections of one VM; an idle one
	// takes about 20 KiB.
	maxCallerConnections = 50_000
)

// listener is a bound socket with its HTTP server.
type listener struct {
	socket net.Listener
	server *http.Server
}

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

// serve answers requests until the server is shut down.
func (l *listener) serve(logger *zap.Logger) {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		logger.Error("listener failed", zap.String("address", l.address()), zap.Error(err))
	}
}

func (l *listener) address() string { return l.socket.Addr().String() }

func (l *listener) shutdown(ctx context.Context) error { return l.server.Shutdown(ctx) }

func callerServer(handler http.Handler) *http.Server {
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

func peerServer(handler http.Handler) *http.Server {
	server := callerServer(handler)
	// Forwarded requests carry a caller's headers and those of the system.
	server.MaxHeaderBytes = 2 * maxHeaderBytes
	const maxForwardedStreams = 10_000 // more requests than one VM sends through another at a time
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxForwardedStreams}
	return server
}

func operatorServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}
