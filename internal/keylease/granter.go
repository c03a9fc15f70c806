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

// Grant gives a range of keys to a backend server for a time.
type Grant struct {
	Range keyrange.Range
	Fence int64
	// Hold is how long the lease runs from the arrival of the call.
	Hold time.Duration
	// Handover is the token that the former holder returned at the release.
	Handover string
}

// Granter sends grants to backend servers. A call that fails with another error
// than ErrFenced and ErrNotSent may take effect later.
type Granter interface {
	Grant(ctx context.Context, address string, grant Grant) error
	// Release returns when the work on the range has ended, with the handover token.
	Release(ctx context.Context, address string, grant Grant) (handover string, err error)
}
