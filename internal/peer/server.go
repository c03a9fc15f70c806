package peer

import (
	"context"
	"crypto/subtle"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// ControlPath is the path of the WebSocket on the peer listener.
const ControlPath = "/peer/v1/control"

// tokenHeader carries the shared secret of the VMs.
const tokenHeader = "Fireflyfield-Peer-Token"

// maxConcurrentCalls is the number of calls that one connection may have in progress.
const maxConcurrentCalls = 256

// callHandler decodes and runs calls of one message type, with a size limit of the body.
type callHandler struct {
	maxBytes int
	serve    func(ctx context.Context, from Identity, body cbor.RawMessage) (any, error)
}

// Server answers control messages of other VMs with the handlers that Handle registers.
// It is safe for concurrent use.
type Server struct {
	identity Identity
	token    string
	logger   *zap.Logger
	meter    Meter

	mu       sync.RWMutex
	handlers map[MessageType]callHandler
	conns    map[*websocket.Conn]struct{}
	closed   bool
}

// NewServer returns a server without handlers that identifies itself with the identity.
// If token is empty, it accepts every VM.
func NewServer(identity Identity, token string, logger *zap.Logger) *Server {
	return &Server{
		identity: identity,
		token:    token,
		logger:   logger,
		meter:    noMeter{},
		handlers: make(map[MessageType]callHandler),
		conns:    make(map[*websocket.Conn]struct{}),
	}
}

// Handle registers the handler of one message type. limit is the largest size of the
// body in bytes. An error other than a *RemoteError is returned as CodeFailed.
func Handle[Call, Reply any](s *Server, kind MessageType, limit int, serve func(context.Context, Identity, Call) (Reply, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = callHandler{maxBytes: limit, serve: func(ctx context.Context, from Identity, body cbor.RawMessage) (any, error) {
		var call Call
		if err := decodeMode.Unmarshal(body, &call); err != nil {
			return nil, &RemoteError{Code: CodeMalformed, Detail: err.Error()}
		}
		return serve(ctx, from, call)
	}}
}

// authorized reports whether the request carries the shared secret. It compares in
// constant time.
func authorized(token string, r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(r.Header.Get(tokenHeader))) == 1
}

// ServeHTTP upgrades the connection to a WebSocket and answers calls until it closes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.token != "" && !authorized(s.token, r) {
		http.Error(w, "the peer token is missing or wrong", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has sent the error response
	}
	defer func() { _ = conn.CloseNow() }()
	if !s.track(conn) {
		return
	}
	defer s.untrack(conn)
	conn.SetReadLimit(maxMessageBytes)
	from, ok := s.handshake(r.Context(), conn)
	if !ok {
		return
	}
	s.serveConn(r.Context(), conn, from)
}

// track adds an open connection for Close to close, or returns false after Close.
func (s *Server) track(conn *websocket.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes every connection. http.Server.Shutdown leaves upgraded connections open,
// so that a stopped VM would otherwise still answer.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, conn := range conns {
		_ = conn.CloseNow()
	}
}

// handshake exchanges identities; the calling side sends first. It returns false if the
// connection failed or the protocol versions differ.
func (s *Server) handshake(ctx context.Context, conn *websocket.Conn) (Identity, bool) {
	var from Identity
	if err := readCBOR(ctx, conn, &from); err != nil {
		return Identity{}, false
	}
	if err := writeCBOR(ctx, conn, s.identity); err != nil {
		return Identity{}, false
	}
	if from.Version != Version {
		_ = conn.Close(websocket.StatusPolicyViolation, "unsupported protocol version")
		s.logger.Warn("rejected a VM with another protocol version", zap.String("vm", from.VM), zap.Int("version", from.Version))
		return Identity{}, false
	}
	return from, true
}

// serveConn reads calls and answers up to maxConcurrentCalls of them concurrently, until
// the connection closes.
func (s *Server) serveConn(ctx context.Context, conn *websocket.Conn, from Identity) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	slots := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer stop() // runs before calls.Wait, so that calls in progress are cancelled
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		message, err := decode(data)
		if err != nil || message.Direction != directionCall {
			s.sendError(ctx, conn, message, &RemoteError{Code: CodeMalformed, Detail: "not a call"})
			continue
		}
		s.meter.MessageReceived(message.Type, len(data))
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		calls.Go(func() {
			defer func() { <-slots }()
			s.answer(ctx, conn, from, message)
		})
	}
}

// answer runs the handler of one call and sends its reply or error.
func (s *Server) answer(ctx context.Context, conn *websocket.Conn, from Identity, message envelope) {
	s.mu.RLock()
	handler, ok := s.handlers[message.Type]
	s.mu.RUnlock()
	if !ok {
		s.sendError(ctx, conn, message, &RemoteError{Code: CodeUnknownType, Detail: "unknown message type"})
		return
	}
	if len(message.Body) > handler.maxBytes {
		s.sendError(ctx, conn, message, &RemoteError{Code: CodeTooLarge, Detail: "message exceeds the limit of its type"})
		return
	}
	reply, err := handler.serve(ctx, from, message.Body)
	if err != nil {
		s.sendError(ctx, conn, message, err)
		return
	}
	s.send(ctx, conn, message, directionReply, reply)
}

// sendError answers a call with an error. An error other than a *RemoteError gets
// CodeFailed.
func (s *Server) sendError(ctx context.Context, conn *websocket.Conn, call envelope, err error) {
	remote, ok := err.(*RemoteError)
	if !ok {
		remote = &RemoteError{Code: CodeFailed, Detail: err.Error()}
	}
	s.send(ctx, conn, call, directionError, remote)
}

// send answers a call with a reply or an error.
func (s *Server) send(ctx context.Context, conn *websocket.Conn, call envelope, dir direction, body any) {
	data, err := encode(call.Type, call.ID, dir, body)
	if err != nil {
		s.logger.Error("answer to a VM cannot be encoded", zap.Error(err))
		return
	}
	s.meter.MessageSent(call.Type, len(data))
	_ = conn.Write(ctx, websocket.MessageBinary, data) // a failed connection ends the read loop
}

func readCBOR(ctx context.Context, conn *websocket.Conn, into any) error {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	return decodeMode.Unmarshal(data, into)
}

func writeCBOR(ctx context.Context, conn *websocket.Conn, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, data)
}
