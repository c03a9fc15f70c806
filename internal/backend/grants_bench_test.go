package backend_test

import (
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"fireflyfield/internal/backend"
	standin "fireflyfield/internal/standin/backend"
)

// BenchmarkRenewal measures one grant request that renews all leases of a backend
// server, over loopback. The time that the stand-in takes is included.
func BenchmarkRenewal(b *testing.B) {
	server := standin.New(standin.Options{Service: "s", Name: "s1", Slots: 4})
	var wire atomic.Int64
	listener := httptest.NewUnstartedServer(server)
	listener.Listener = countedListener{listener.Listener, &wire}
	listener.Start()
	defer listener.Close()
	client := backend.NewClient(listener.Listener.Addr().String(), 1)
	defer client.Close()
	request := backend.GrantRequest{Service: "s", Instance: server.Instance(), Term: 1, ExpiresAtMs: 1 << 40, Renew: true}
	for b.Loop() {
		if _, err := client.Grants(b.Context(), request); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-B/op")
}

// countedListener counts the bytes of every connection in both directions.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
