// Package keylease grants key ranges to backend servers under leases. One VM at a
// time holds the lease on assignments; it records each grant on the shared log
// before it sends it, so that a successor knows who may hold what.
package keylease

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/keyrange"
)

// ErrFenced reports a grant whose fencing token is lower than one that the backend
// server has seen.
var ErrFenced = errors.New("grant: a higher fencing token was seen")

// ErrNotSent reports a call that did not reach the backend server.
var ErrNotSent = errors.New("call was not sent")

// ErrSessionLost reports a renewal that was not sent, because the connection of
// the grant is lost: the process behind a new connection may be another one.
var ErrSessionLost = errors.New("renewal was not sent: the connection of the grant is lost")

// ErrOtherInstance reports that another process has the address.
var ErrOtherInstance = errors.New("another backend server has the address")

// ErrRejected reports a call that the process at the address does not accept. It
// has not taken effect.
var ErrRejected = errors.New("the backend server rejects the call")

// Target is the process that a call is meant for.
type Target struct {
	Backend string
	Address string
	Started int64 // Unix ms of its start
}

// Grant gives a range of keys to a backend server for a time.
type Grant struct {
	Range keyrange.Range
	Fence int64
	// Hold is how long the lease runs from the arrival of the call.
	Hold time.Duration
	// Handover is the token that the former holder returned at the release.
	Handover string
	// Renewal grants extend an earlier grant of the same token. They are sent only on
	// the connection of an earlier grant, since a restarted process must get a higher
	// token.
	Renewal bool
}

// Granter sends grants to backend servers. A call that fails with another error
// than those of this package may take effect later.
type Granter interface {
	Grant(ctx context.Context, target Target, grant Grant) error
	// Release returns when the work on the range has ended, with the handover token.
	Release(ctx context.Context, target Target, grant Grant) (handover string, err error)
}
