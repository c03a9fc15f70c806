package freeport

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestPortsNotReused guards against a listener that fails to open because its port was
// given to another listener of the same test that is not open yet.
func TestPortsNotReused(t *testing.T) {
	is := is.New(t)
	returned := map[int]bool{}
	for range 1000 {
		first, err := Adjacent(5)
		is.NoErr(err)
		for port := first; port < first+5; port++ {
			is.True(!returned[port])
			returned[port] = true
		}
	}
}

// TestPortsOutsideEphemeralRange guards against a listener that fails to open because an
// outgoing connection has taken its port in the meantime.
func TestPortsOutsideEphemeralRange(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	is.NoErr(err)
	var low, high int
	_, err = fmt.Sscan(string(content), &low, &high)
	is.NoErr(err)
	is.True(firstPort+portCount <= low || firstPort > high)
}

// TestPortsInUseSkipped guards against a range of which one port already has a listener.
func TestPortsInUseSkipped(t *testing.T) {
	is := is.New(t)
	first, err := Adjacent(2)
	is.NoErr(err)
	is.True(allFree(first, 2))
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first+1))
	is.NoErr(err)
	defer listener.Close()
	is.True(allFree(first, 1))
	is.True(!allFree(first, 2))
}
