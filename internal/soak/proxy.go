// Package soak runs VMs as separate processes against stand-ins of the shared log and the
// backend servers, injects random faults from outside the processes, and checks what
// callers and backend servers observe. The seed determines which faults are drawn, but
// not the timing and the interleaving of the processes.
package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"fireflyfield/platform/platformtest"
)

// Mode says how a proxy treats connections and the bytes on them.
type Mode uint8

// The modes of a proxy.
const (
	// Pass forwards bytes at once.
	Pass Mode = iota
	// Delay forwards bytes after a delay.
	Delay
	// HoldBoth holds bytes back in both directions.
	HoldBoth
	// HoldAnswers holds back bytes from the target and forwards the others.
	HoldAnswers
	// Refuse resets new connections at once; open ones are not affected.
	Refuse
	modeCount // number of modes
)

// Proxy forwards connections from a port on loopback to a target, and can delay, hold
// back, refuse or reset them.
type Proxy struct {
	listener net.Listener
	port     *heldPort
	target   string

	mu          sync.Mutex
	mode        Mode
	delay       time.Duration
	conns       map[net.Conn]struct{}
	modeChanged *sync.Cond // uses mu
}

// tcpConn is a TCP connection, with or without a partition around it.
type tcpConn interface {
	net.Conn
	CloseWrite() error
	SetLinger(sec int) error
}

// reset resets a connection.
func reset(c net.Conn) {
	c.(tcpConn).SetLinger(0) //nolint:errcheck // the connection is closed either way
	c.Close()                //nolint:errcheck // the connection is closed either way
}

// NewProxy starts a proxy in mode Pass that listens on a free port of loopback. target is
// HOST:PORT.
func NewProxy(target string) (*Proxy, error) {
	return NewPartitionedProxy(target, platformtest.NewPartition())
}

// NewPartitionedProxy is like NewProxy for a proxy whose connections a partition cuts.
func NewPartitionedProxy(target string, partition *platformtest.Partition) (*Proxy, error) {
	listener, port, err := listenHeld()
	if err != nil {
		return nil, err
	}
	listener = partition.Listen(listener)
	p := &Proxy{listener: listener, port: port, target: target, conns: make(map[net.Conn]struct{})}
	p.modeChanged = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address returns HOST:PORT at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode, also for open connections. delay is used by mode Delay only.
func (p *Proxy) SetMode(mode Mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
	p.modeChanged.Broadcast()
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Free closes the proxy and gives its port back.
func (p *Proxy) Free() {
	p.Close()
	p.port.release()
}

// Close stops listening and resets all open connections. The port stays taken.
func (p *Proxy) Close() {
	p.listener.Close() //nolint:errcheck // the proxy accepts no more connections either way
	p.SetMode(Pass, 0) // ends the waits of copies that hold bytes back
	p.Reset()
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.mode == Refuse
		p.mu.Unlock()
		if refuse {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

// serve forwards one connection in both directions until both have ended.
func (p *Proxy) serve(c net.Conn) {
	t, err := dialFrom(c, p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(t, c, false) })
	wait.Go(func() { p.copy(c, t, true) })
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// dialFrom connects to the target from the IP address of the peer of c, by which backend servers
// tell VMs apart.
func dialFrom(c net.Conn, target string) (net.Conn, error) {
	var dialer net.Dialer
	if peer, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		dialer.LocalAddr = &net.TCPAddr{IP: peer.IP}
	}
	return dialer.Dial("tcp4", target)
}

// copy forwards bytes as the mode says, and forwards the end or the failure of the
// connection too. fromTarget is true in the direction from the target.
func (p *Proxy) copy(to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.waitWhileHeld(fromTarget)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == io.EOF {
			to.(tcpConn).CloseWrite() //nolint:errcheck // the connection may be gone
			return
		}
		if err != nil {
			reset(to)
			from.Close() //nolint:errcheck // the connection is closed either way
			return
		}
	}
}

// waitWhileHeld blocks while the mode holds back bytes of this direction, and then for
// the delay of mode Delay.
func (p *Proxy) waitWhileHeld(fromTarget bool) {
	p.mu.Lock()
	for p.mode == HoldBoth || p.mode == HoldAnswers && fromTarget {
		p.modeChanged.Wait()
	}
	delay := time.Duration(0)
	if p.mode == Delay {
		delay = p.delay
	}
	p.mu.Unlock()
	time.Sleep(delay)
}
