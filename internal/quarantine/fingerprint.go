// Package quarantine finds the requests that crash backend servers, so that they are not sent
// again. It decides from what the VMs observe: the requests that were in flight at a backend
// server when it ended, and the requests that were answered. It sends nothing itself; package
// gossip carries the observations to the other VMs.
package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that are the same to a backend server, whoever repeats them.
type Fingerprint struct {
	// Exact covers the method, host, target, workspace and body.
	Exact uint64 `cbor:"1,keyasint"`
	// Path is the same without the query.
	Path uint64 `cbor:"2,keyasint"`
}

// NewFingerprint returns the fingerprint of a request. The path has no query; query is empty
// if the target has none.
func NewFingerprint(method, host, path, query, workspace string, body []byte) Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{method, host, path, workspace} {
		// A separator keeps parts from running into each other. A hash never fails.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	f := Fingerprint{Path: digest.Sum64()}
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(query)
	f.Exact = digest.Sum64()
	return f
}

// String returns both parts in hexadecimal.
func (f Fingerprint) String() string { return formatHash(f.Exact) + "/" + formatHash(f.Path) }

func formatHash(h uint64) string { return fmt.Sprintf("%016x", h) }
