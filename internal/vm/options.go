// Package vm assembles and runs one router VM in serve mode: it owns the listeners,
// the messages between VMs, the background work, and the start and stop of the
// roles that the VM leases. Decisions are left to other packages, which this one
// feeds with events and time and whose actions it carries out: ownership of keys to
// ownership, admission to gate, rates to quota, retries to dispatch, and repeated
// requests to idempotency.
//
// Locks are taken in this order: configuration state, ownership table, gates, quota,
// idempotency. No lock is held during I/O.
package vm

import (
	"net"
	"runtime"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/multierr"
	"go.uber.org/zap"

	"fireflyfield/internal/trace"
)

// Options configures a VM. Start replaces zero values of Instance, Logger, Workers,
// LoadInterval and StopTimeout by defaults.
type Options struct {
	// Name identifies the VM in the platform's list.
	Name          string
	FailureDomain string
	// Instance distinguishes processes that use the same name one after another; it
	// is generated if empty.
	Instance string

	// CallerListen, PeerListen and OperatorListen are the HOST:PORT to listen on for
	// callers, for other VMs and for operators.
	CallerListen   string
	PeerListen     string
	OperatorListen string
	// Platform is HOST:PORT of the platform's service.
	Platform string

	// PeerToken is the secret that VMs present to each other; if empty, every VM is
	// accepted.
	PeerToken string
	// OperatorToken is the secret that operators present. It is required unless
	// OperatorListen is a loopback address.
	OperatorToken string

	// StopTimeout bounds the duration of Stop.
	StopTimeout time.Duration
	// LeaveDelay is the time between becoming unready and closing the listener for
	// callers, in which the platform's balancer removes the VM.
	LeaveDelay time.Duration

	// LoadInterval is the time between two reports of demand to the decider.
	LoadInterval time.Duration

	// Workers is the number of goroutines that carry out the actions of the
	// ownership logic; zero means four per core.
	Workers int

	Logger *zap.Logger
	// Trace records events; nil disables recording. The caller closes it after Stop.
	Trace *trace.Writer
}

// Defaults and limits of options.
const (
	DefaultStopTimeout  = 30 * time.Second
	DefaultLeaveDelay   = 3 * time.Second
	DefaultLoadInterval = time.Second
	maxStopTimeout      = 10 * time.Minute
	workersPerCore      = 4
)

// Validate checks the options and returns all faults as one combined error.
func (o *Options) Validate() error {
	var errs error
	for _, field := range []struct{ name, value string }{
		{"name", o.Name}, {"failure-domain", o.FailureDomain}, {"platform", o.Platform},
	} {
		if field.value == "" {
			errs = multierr.Append(errs, errors.Errorf("-%s is missing", field.name))
		}
	}
	for _, field := range []struct{ name, value string }{
		{"caller-listen", o.CallerListen}, {"peer-listen", o.PeerListen}, {"operator-listen", o.OperatorListen},
	} {
		if _, _, err := net.SplitHostPort(field.value); err != nil {
			errs = multierr.Append(errs, errors.Errorf("-%s: %q is not HOST:PORT", field.name, field.value))
		}
	}
	if o.OperatorToken == "" && !isLoopback(o.OperatorListen) {
		errs = multierr.Append(errs, errors.Errorf("-operator-token is needed because -operator-listen %q is not a loopback address", o.OperatorListen))
	}
	if o.StopTimeout < 0 || o.StopTimeout > maxStopTimeout {
		errs = multierr.Append(errs, errors.Errorf("-stop-timeout: %s is outside 0s to %s", o.StopTimeout, maxStopTimeout))
	}
	if o.LeaveDelay < 0 || o.LeaveDelay > maxStopTimeout {
		errs = multierr.Append(errs, errors.Errorf("-leave-delay: %s is outside 0s to %s", o.LeaveDelay, maxStopTimeout))
	}
	return errs
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func (o *Options) setDefaults() {
	if o.Instance == "" {
		o.Instance = uuid.NewString()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Workers == 0 {
		o.Workers = workersPerCore * runtime.NumCPU()
	}
	if o.LoadInterval == 0 {
		o.LoadInterval = DefaultLoadInterval
	}
	if o.StopTimeout == 0 {
		o.StopTimeout = DefaultStopTimeout
	}
}
