// Package vm runs one VM of the system: it wires the listeners, the peers and the
// decision logic together.
//
// Lock order: configuration state, ownership table, gates, quota, idempotency. No
// lock is held across I/O.
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

// Options configure a VM.
type Options struct {
	// Name identifies the VM in the platform's list.
	Name          string
	FailureDomain string
	// Instance differs between two processes with the same name; it is generated if
	// empty.
	Instance string

	CallerListen   string
	PeerListen     string
	OperatorListen string
	// Platform is HOST:PORT of the platform's service.
	Platform string

	// PeerToken is the shared secret of the VMs; empty accepts every VM.
	PeerToken string
	// OperatorToken is needed unless OperatorListen is a loopback address.
	OperatorToken string

	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
	// LeaveDelay is the time between becoming unready and closing the callers'
	// listener, in which the platform's balancer notices.
	LeaveDelay time.Duration

	// LoadInterval is the time between two load reports to the decider.
	LoadInterval time.Duration

	// Workers is the number of goroutines that carry out the actions of the
	// decision logic; zero means four for each core.
	Workers int

	Logger *zap.Logger
	// Trace records events; nil for none. Whoever made it closes it after Stop.
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

// Validate reports every fault together.
func (o *Options) Validate() error {
	var faults error
	for _, field := range []struct{ name, value string }{
		{"name", o.Name}, {"failure-domain", o.FailureDomain}, {"platform", o.Platform},
	} {
		if field.value == "" {
			faults = multierr.Append(faults, errors.Errorf("-%s is missing", field.name))
		}
	}
	for _, field := range []struct{ name, value string }{
		{"caller-listen", o.CallerListen}, {"peer-listen", o.PeerListen}, {"operator-listen", o.OperatorListen},
	} {
		if _, _, err := net.SplitHostPort(field.value); err != nil {
			faults = multierr.Append(faults, errors.Errorf("-%s: %q is not HOST:PORT", field.name, field.value))
		}
	}
	if o.OperatorToken == "" && !isLoopback(o.OperatorListen) {
		faults = multierr.Append(faults, errors.Errorf("-operator-token is needed because -operator-listen %q is not a loopback address", o.OperatorListen))
	}
	if o.StopTimeout < 0 || o.StopTimeout > maxStopTimeout {
		faults = multierr.Append(faults, errors.Errorf("-stop-timeout: %s is outside 0s to %s", o.StopTimeout, maxStopTimeout))
	}
	if o.LeaveDelay < 0 || o.LeaveDelay > maxStopTimeout {
		faults = multierr.Append(faults, errors.Errorf("-leave-delay: %s is outside 0s to %s", o.LeaveDelay, maxStopTimeout))
	}
	return faults
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
