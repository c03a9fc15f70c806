package replay

import (
	"context"
	"strings"

	"github.com/go-faster/errors"

	"fireflyfield/internal/dev"
	"fireflyfield/internal/resource"
	backendstandin "fireflyfield/internal/standin/backend"
	platformstandin "fireflyfield/internal/standin/platform"
	"fireflyfield/internal/trace"
)

// Severity of the injected faults.
const (
	slowFactor         = 20
	slowLogDelayMs     = 400
	truncateAfterBytes = 20 // bytes
)

// changeApplier applies the faults and configuration changes of a script to a
// deployment, one after the other.
type changeApplier struct {
	cluster   *dev.Cluster
	resources resource.Set
	writer    *trace.Writer
}

func (c *changeApplier) apply(ctx context.Context, body trace.Body) error {
	switch body := body.(type) {
	case trace.Fault:
		return c.inject(body)
	case trace.Leave:
		return c.applyLeave(ctx, body)
	case trace.CallerKeyWithdraw:
		return c.withdrawKey(ctx, body.Digest)
	default:
		return errors.Errorf("the driver can't apply an event of type %s", body.Type())
	}
}

// inject starts or ends a fault. It records the begin before the fault takes effect and
// the end after it is removed, so that all its effects lie between the two events.
func (c *changeApplier) inject(fault trace.Fault) error {
	if fault.Phase == trace.Begin {
		c.writer.Record(fault)
	}
	if err := c.setFault(fault); err != nil {
		return err
	}
	if fault.Phase == trace.Finished {
		c.writer.Record(fault)
	}
	return nil
}

// setFault sets or clears a fault of a backend server or, without a server, of the
// shared log.
func (c *changeApplier) setFault(fault trace.Fault) error {
	begins := fault.Phase == trace.Begin
	if fault.Server == (trace.Server{}) {
		c.cluster.Platform.SetFaults(logFaults(fault.Kind, begins))
		return nil
	}
	standin, ok := c.cluster.Backends[fault.Server.Name]
	if !ok {
		return errors.Errorf("backend server %s does not exist", fault.Server)
	}
	if fault.Kind != trace.FaultServerRestarted {
		standin.SetFaults(serverFaults(fault.Kind, begins))
	} else if begins {
		standin.Restart()
	}
	return nil
}

// logFaults returns the faults to set at the shared log; none once the fault ends.
func logFaults(kind trace.FaultKind, begins bool) platformstandin.Faults {
	var faults platformstandin.Faults
	if !begins {
		return faults
	}
	switch kind {
	case trace.FaultLogDown:
		faults.Down = true
	case trace.FaultLogSlow:
		faults.DelayMs = slowLogDelayMs
	case trace.FaultLogLosesAnswers:
		faults.LoseAnswers = true
	}
	return faults
}

// serverFaults returns the faults to set at a backend server; none once the fault ends.
func serverFaults(kind trace.FaultKind, begins bool) backendstandin.Faults {
	var faults backendstandin.Faults
	if !begins {
		return faults
	}
	switch kind {
	case trace.FaultServerSlow:
		faults.SlowFactor = slowFactor
	case trace.FaultServerMisreports:
		faults.MisreportLoad = true
	case trace.FaultServerTruncates:
		faults.CutAfterBytes = truncateAfterBytes
	}
	return faults
}

// applyLeave creates the Drain resource of a departure, or deletes it when the
// departure is withdrawn.
func (c *changeApplier) applyLeave(ctx context.Context, leave trace.Leave) error {
	drain := drainOf(leave)
	if leave.Phase == trace.LeaveWithdrawn {
		return c.cluster.Delete(ctx, drain.ID())
	}
	return c.cluster.Put(ctx, drain)
}

// withdrawKey deletes the CallerKey resource with the given digest.
func (c *changeApplier) withdrawKey(ctx context.Context, digest trace.Digest) error {
	for _, r := range c.resources {
		spec, ok := r.Spec.(*resource.CallerKeySpec)
		if ok && strings.EqualFold(spec.Digest, string(digest)) {
			return c.cluster.Delete(ctx, r.ID())
		}
	}
	return errors.New("withdraw caller key: no caller key of the example has the recorded digest")
}
