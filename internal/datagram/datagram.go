// Package datagram receives the UDP messages of other VMs. Their content is left to its users.
package datagram

import (
	"context"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

// Handler processes one datagram that arrived at the socket. content is valid until it returns.
type Handler func(socket *net.UDPConn, content []byte, from netip.AddrPort)

// Listen opens a UDP socket at the local address, HOST:PORT, and passes the first maxBytes of each
// datagram to handle, one after the other, until ctx ends.
func Listen(ctx context.Context, address string, maxBytes int, handle Handler) (*net.UDPConn, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve UDP address")
	}
	socket, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, errors.Wrap(err, "listen on UDP address")
	}
	context.AfterFunc(ctx, func() { socket.Close() }) //nolint:errcheck // the VM stops
	go receive(socket, maxBytes, handle)
	return socket, nil
}

// receive passes datagrams on until the socket is closed.
func receive(socket *net.UDPConn, maxBytes int, handle Handler) {
	buffer := make([]byte, maxBytes)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the receiver of an earlier datagram was not listening
		}
		handle(socket, buffer[:n], from)
	}
}
