package operator

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// pipeNetwork connects clients and servers in memory. The fake clock of synctest does
// not advance while goroutines wait for network sockets.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

type pipeListener struct {
	name  string
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{listeners: make(map[string]*pipeListener)}
}

func (n *pipeNetwork) listen(name string) *pipeListener {
	l := &pipeListener{name: name, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[name] = l
	return l
}

func (n *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[host]
	n.mu.Unlock()
	clientConn, serverConn := net.Pipe()
	select {
	case l.conns <- serverConn:
		return clientConn, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: l.name, Net: "pipe"} }
