// Package soak runs VMs as separate processes against stand-ins, injects faults
// from outside them by a seed, and checks what callers and backend servers see.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with the bytes that pass it.
type Mode uint8

// Modes of a proxy.
const (
	// Pass hands bytes on.
	Pass Mode = iota
	// Delay hands them on late.
	Delay
	// HoldBoth holds them back in both directions.
	HoldBoth
	// HoldAnswers holds back what comes from the target.
	HoldAnswers
	// Refuse closes new connections at once.
	Refuse
	modeCount
)

// Proxy passes connections on to a target on loopback.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	mode        Mode
	delay       time.Duration
	conns       map[net.Conn]struct{}
	modeChanged *sync.Cond
}

// NewProxy listens on loopback.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	p.modeChanged = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode.
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
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0) //nolint:errcheck // the connection ends either way
		}
		c.Close() //nolint:errcheck // the connection ends either way
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close() //nolint:errcheck // nothing more is accepted either way
	p.SetMode(Pass, 0)
	p.Reset()
}

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
			c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the connection ends either way
			c.Close()                     //nolint:errcheck // the connection ends either way
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the connection ends either way
		c.Close()                     //nolint:errcheck // the connection ends either way
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

// copy hands bytes on as the mode says. back tells the direction from the target.
func (p *Proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.waitWhileHeld(back)
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err == io.EOF {
			to.(*net.TCPConn).CloseWrite() //nolint:errcheck // the connection may be gone
			return
		}
		if err != nil {
			to.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the connection ends either way
			to.Close()                     //nolint:errcheck // the connection ends either way
			from.Close()                   //nolint:errcheck // the connection ends either way
			return
		}
	}
}

// waitWhileHeld waits while the mode holds bytes back.
func (p *Proxy) waitWhileHeld(back bool) {
	p.mu.Lock()
	for p.mode == HoldBoth || p.mode == HoldAnswers && back {
		p.modeChanged.Wait()
	}
	delay := time.Duration(0)
	if p.mode == Delay {
		delay = p.delay
	}
	p.mu.Unlock()
	time.Sleep(delay)
}
