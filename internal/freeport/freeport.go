// Package freeport finds ports on loopback for processes that listen on them later.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and portCount define the range of the ports. It lies below the kernel's default
	// range for the local ports of outgoing connections, so that no outgoing connection occupies
	// a port before its listener opens, or while a restarted process does not listen on it.
	firstPort, portCount = 15000, 16000
	// maxTries is the largest number of sequences of adjacent ports that Adjacent checks.
	maxTries = 200
)

// next is the offset in the range at which the next search starts. It is random at first, so
// that test processes that run in parallel rarely choose the same ports.
var next = struct {
	sync.Mutex
	offset int
}{offset: rand.IntN(portCount)}

// Adjacent returns the first of count adjacent ports, all of which are free at the moment.
// Within one process, it returns a port again only after it has searched the whole range.
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
	return 0, fmt.Errorf("no %d adjacent free TCP ports found on loopback in %d tries", count, maxTries)
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
