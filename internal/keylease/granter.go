// Package keylease decides which backend server may serve which key range: the VM that
// holds the assignment lease grants key range leases, and records each grant in the shared
// log before it sends it, so that a successor knows which leases may exist. It leaves the
// division of the key space to package keyrange and the calls to a Granter.
package keylease

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/keyrange"
)

// ErrFenced reports a grant whose fencing token is lower than one that the backend
// server has seen.
var ErrFenced = errors.New("grant: the backend server has seen a higher fencing token")

// ErrNotSent reports a call that did not reach the backend server.
var ErrNotSent = errors.New("call to the backend server was not sent")

// ErrSessionLost reports a renewal that was not sent because the connection of the
// grant is lost: the process behind a new connection may be a different one.
var ErrSessionLost = errors.New("renewal was not sent: the connection of the grant is lost")

// ErrOtherInstance reports that another process listens on the address.
var ErrOtherInstance = errors.New("another backend server listens on the address")

// ErrRejected reports a call that the process at the address rejected without effect.
var ErrRejected = errors.New("the backend server rejected the call")

// Target identifies the backend server process that a call is meant for.
type Target struct {
	Backend string
	Address string
	Started int64 // Unix ms of the start of the process
}

// Grant gives a key range to a backend server for a limited time. A release names the
// range and the fencing token of the grant that it ends.
type Grant struct {
	Range keyrange.Range
	Fence int64
	// Hold is how long the lease runs from the arrival of the call.
	Hold time.Duration
	// Handover is the token that the previous owner returned at the release.
	Handover string
	// Renewal marks a grant to a backend server that holds the range already. It is sent
	// only on the connection of the earlier grant: the process behind a new connection may
	// have restarted, and must then get a higher token by a grant that is no renewal.
	Renewal bool
	// Confirm marks a grant before the release of a range, after which no earlier grant may take
	// effect. It is sent on a connection of its own, so that its answer cannot be that of another.
	Confirm bool
	// SendBy is the time of the boot-time clock after which the call must not be sent, since the
	// assignment lease may have ended; 0 for no such time.
	SendBy time.Duration
}

// Granter sends grants and releases to backend servers. A call that fails with an error
// other than those of this package may still take effect later.
type Granter interface {
	// Grant returns when the backend server has answered the grant.
	Grant(ctx context.Context, target Target, grant Grant) error
	// Release returns when the requests on the range have ended, with the handover token.
	Release(ctx context.Context, target Target, grant Grant) (handover string, err error)
}
