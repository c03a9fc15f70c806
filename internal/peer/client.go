package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// dialTimeout is the timeout for opening a connection, including the handshake.
const dialTimeout = 300 * time.Millisecond

// Client calls other VMs over one WebSocket connection each, which it opens when needed.
// It is safe for concurrent use.
type Client struct {
	identity Identity
	token    string
	http     *http.Client
	meter    Meter

	mu    sync.Mutex
	conns map[string]*clientConn
}

// NewClient returns a client that identifies itself with the identity and, if it is not
// empty, the shared secret token.
func NewClient(identity Identity, token string) *Client {
	return &Client{identity: identity, token: token, http: &http.Client{}, meter: noMeter{}, conns: make(map[string]*clientConn)}
}

// Close closes every connection. Calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.close()
	}
}

// Drop closes the connection to an address, if there is one, so that the next call opens
// a new one. A connection may stop responding without an error.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		conn.close()
		delete(c.conns, address)
	}
}

// Call sends one message to the VM at the address and decodes its answer into
// reply. It returns the identity of the process that answered. The error is of
// type *RemoteError or *UnreachableError.
func (c *Client) Call(ctx context.Context, address string, kind MessageType, call, reply any) (Identity, error) {
	conn := c.conn(address)
	if err := conn.open(ctx); err != nil {
		return Identity{}, unreachable(address, err)
	}
	body, err := conn.call(ctx, kind, call)
	if err != nil {
		var remote *RemoteError
		if errors.As(err, &remote) {
			return conn.peer, remote
		}
		return conn.peer, unreachable(address, err)
	}
	if err := decodeMode.Unmarshal(body, reply); err != nil {
		return conn.peer, &RemoteError{Code: CodeMalformed, Detail: err.Error()}
	}
	return conn.peer, nil
}

func unreachable(address string, err error) error {
	return &UnreachableError{Address: address, Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
}

// conn returns the current connection to the address, or a new one that is not open yet.
func (c *Client) conn(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[address]
	if !ok || conn.closed() {
		conn = newClientConn(c, address)
		c.conns[address] = conn
	}
	return conn
}

// clientConn is one connection to a VM. It is not reused after it was closed.
type clientConn struct {
	client    *Client
	address   string
	done      chan struct{}
	closeOnce sync.Once
	nextID    atomic.Uint64

	// openMutex serializes calls of open, so that concurrent calls dial only once.
	openMutex sync.Mutex
	socket    atomic.Pointer[websocket.Conn]
	// peer is the identity of the other side. It is set before socket.
	peer Identity

	mu      sync.Mutex
	pending map[uint64]chan envelope
}

func newClientConn(client *Client, address string) *clientConn {
	return &clientConn{
		client:  client,
		address: address,
		done:    make(chan struct{}),
		pending: make(map[uint64]chan envelope),
	}
}

func (c *clientConn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *clientConn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		if socket := c.socket.Load(); socket != nil {
			_ = socket.CloseNow()
		}
	})
}

// open connects and exchanges identities, unless the connection is open already.
func (c *clientConn) open(ctx context.Context) error {
	c.openMutex.Lock()
	defer c.openMutex.Unlock()
	if c.closed() {
		return errors.New("connection is already closed")
	}
	if c.socket.Load() != nil {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	if err := c.dial(ctx); err != nil {
		c.close()
		return err
	}
	go c.readLoop()
	return nil
}

func (c *clientConn) dial(ctx context.Context) error {
	header := http.Header{}
	if c.client.token != "" {
		header.Set(tokenHeader, c.client.token)
	}
	socket, _, err := websocket.Dial(ctx, "ws://"+c.address+ControlPath, &websocket.DialOptions{HTTPClient: c.client.http, HTTPHeader: header})
	if err != nil {
		return errors.Wrap(err, "open the WebSocket connection")
	}
	socket.SetReadLimit(maxMessageBytes)
	if err := c.handshake(ctx, socket); err != nil {
		_ = socket.CloseNow()
		return errors.Wrap(err, "exchange identities")
	}
	c.socket.Store(socket)
	return nil
}

func (c *clientConn) handshake(ctx context.Context, socket *websocket.Conn) error {
	if err := writeCBOR(ctx, socket, c.client.identity); err != nil {
		return err
	}
	if err := readCBOR(ctx, socket, &c.peer); err != nil {
		return err
	}
	if c.peer.Version != Version {
		return errors.Errorf("protocol version %d of the VM is not supported", c.peer.Version)
	}
	return nil
}

// readLoop passes each answer to the call that waits for it, until the connection closes.
func (c *clientConn) readLoop() {
	defer c.close()
	for {
		_, data, err := c.socket.Load().Read(context.Background())
		if err != nil {
			return
		}
		message, err := decode(data)
		if err != nil {
			return
		}
		c.client.meter.MessageReceived(message.Type, len(data))
		c.mu.Lock()
		waiter := c.pending[message.ID]
		delete(c.pending, message.ID)
		c.mu.Unlock()
		if waiter != nil {
			waiter <- message
		}
	}
}

func (c *clientConn) call(ctx context.Context, kind MessageType, body any) (cbor.RawMessage, error) {
	id := c.nextID.Add(1)
	data, err := encode(kind, id, directionCall, body)
	if err != nil {
		return nil, err
	}
	waiter := make(chan envelope, 1)
	c.mu.Lock()
	c.pending[id] = waiter
	c.mu.Unlock()
	defer c.removePending(id)
	if err := c.write(ctx, data); err != nil {
		return nil, err
	}
	c.client.meter.MessageSent(kind, len(data))
	select {
	case message := <-waiter:
		return replyBody(message)
	case <-c.done:
		return nil, errors.New("connection closed before the answer")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// write sends a message. A failed or interrupted write leaves the stream in an unknown
// state, so it closes the connection.
//
// A call whose context ended before the write must not close the connection, since other
// calls use it.
func (c *clientConn) write(ctx context.Context, data []byte) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "send message")
	}
	if err := c.socket.Load().Write(ctx, websocket.MessageBinary, data); err != nil {
		c.close()
		return errors.Wrap(err, "send message")
	}
	return nil
}

func (c *clientConn) removePending(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

func replyBody(message envelope) (cbor.RawMessage, error) {
	if message.Direction == directionReply {
		return message.Body, nil
	}
	var remote RemoteError
	if err := decodeMode.Unmarshal(message.Body, &remote); err != nil {
		return nil, &RemoteError{Code: CodeMalformed, Detail: "error answer can't be decoded"}
	}
	return nil, &remote
}
