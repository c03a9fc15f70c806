package soak

import (
	"context"
	"net"
	"os"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// heldPort is a port of loopback that nobody listens on but that stays taken, so that connections
// to it are refused. Another process on the machine would be given the port of a backend server
// that has ended, and VMs that have not learned of the end would take its answers for those of
// the backend server.
type heldPort struct{ socket int }

// listenHeld listens on a free port of loopback, which stays taken after the listener is closed
// until it is released.
func listenHeld() (net.Listener, *heldPort, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) { err = shareable(int(fd)) }); controlErr != nil {
			return controlErr
		}
		return err
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	held, err := holdPort(listener.Addr().(*net.TCPAddr))
	if err != nil {
		listener.Close() //nolint:errcheck // nothing was accepted
		return nil, nil, errors.Wrap(err, "hold a port")
	}
	return listener, held, nil
}

// shareable lets two sockets of this process have the same port.
func shareable(fd int) error {
	return os.NewSyscallError("setsockopt", unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1))
}

// holdPort binds a socket to the address of a listener, and does not listen on it.
func holdPort(address *net.TCPAddr) (*heldPort, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	if err = shareable(fd); err == nil {
		err = os.NewSyscallError("bind", unix.Bind(fd, &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}))
	}
	if err != nil {
		unix.Close(fd) //nolint:errcheck // the socket is not used
		return nil, err
	}
	return &heldPort{fd}, nil
}

func (p *heldPort) release() { unix.Close(p.socket) } //nolint:errcheck // the port is free either way
