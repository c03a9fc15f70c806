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

// Strength of the injected faults.
const (
	slowFactor    = 20
	slowLogMs     = 400
	truncateAfter = 20 // bytes
)

// changer brings the faults and changes of a script about, one after the other.
type changer struct {
	cluster   *dev.Cluster
	resources resource.Set
	writer    *trace.Writer
}

func (c *changer) apply(ctx context.Context, body trace.Body) error {
	switch body := body.(type) {
	case trace.Fault:
		return c.inject(body)
	case trace.Leave:
		return c.leave(ctx, body)
	case trace.CallerKeyWithdraw:
		return c.withdraw(ctx, body.Digest)
	default:
		return errors.Errorf("a driver can't bring about %s", body.Type())
	}
}

// inject records the begin of a fault before it takes effect and its end after,
// so that its effects lie between the events.
func (c *changer) inject(fault trace.Fault) error {
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

func (c *changer) setFault(fault trace.Fault) error {
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

func logFaults(kind trace.FaultKind, begins bool) platformstandin.Faults {
	var faults platformstandin.Faults
	if !begins {
		return faults
	}
	switch kind {
	case trace.FaultLogDown:
		faults.Down = true
	case trace.FaultLogSlow:
		faults.DelayMs = slowLogMs
	case trace.FaultLogLosesAnswers:
		faults.LoseAnswers = true
	}
	return faults
}

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
		faults.CutAfterBytes = truncateAfter
	}
	return faults
}

func (c *changer) leave(ctx context.Context, leave trace.Leave) error {
	drain := drainOf(leave)
	if leave.Phase == trace.LeaveWithdrawn {
		return c.cluster.Delete(ctx, drain.ID())
	}
	return c.cluster.Put(ctx, drain)
}

func (c *changer) withdraw(ctx context.Context, digest trace.Digest) error {
	for _, r := range c.resources {
		spec, ok := r.Spec.(*resource.CallerKeySpec)
		if ok && strings.EqualFold(spec.Digest, string(digest)) {
			return c.cluster.Delete(ctx, r.ID())
		}
	}
	return errors.New("no caller key of the example has the digest of the withdrawal")
}
