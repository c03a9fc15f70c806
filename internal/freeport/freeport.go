// Package freeport finds TCP ports on loopback for processes that listen on them later.
package freeport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and portCount give the range of the ports. It lies below the range from which
	// the kernel takes the local ports of outgoing connections, so that no connection occupies
	// a port between its choice and the start of the listener, or while the listener is down.
	firstPort, portCount = 15000, 16000
	// maxTries is the number of places at which Adjacent looks.
	maxTries = 200
)

// next is the offset in the range at which the next search starts. The random start keeps
// the processes of one test run apart.
var next = struct {
	sync.Mutex
	offset int
}{offset: rand.IntN(portCount)}

// Adjacent returns the first of count adjacent ports, all free now. It returns a port to one
// process again only after it has gone through the whole range.
func Adjacent(count int) (int, error) {
	next.Lock()
	defer next.Unlock()
	for range maxTries {
		if next.offset+count > portCount {
			next.offset = 0
		}
		first := firstPort + next.offset
		next.offset += count
		if allFree(first, count) {
			return first, nil
		}
	}
	return 0, errors.New("no range of adjacent free ports found on loopback")
}

// allFree reports whether the count ports from first on are free.
func allFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		l.Close() //nolint:errcheck // the listener only probes the port
	}
	return true
}
