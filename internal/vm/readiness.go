package vm

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/ownership"
	"fireflyfield/internal/quota"
)

// quotaRecoveryTime is the time after which keepers lend tokens if all of them have
// just started. Before that, they would reject requests within the rate.
const quotaRecoveryTime = quota.BatchLifetime + quota.ClockMargin + 200*time.Millisecond

// Ready reports whether the VM is ready to serve callers.
func (v *VM) Ready() bool { return v.notReadyReason() == "" }

// notReadyReason returns why the VM is not ready, or an empty string if it is.
func (v *VM) notReadyReason() string {
	view := v.follower.State().View()
	domain := v.options.FailureDomain
	switch {
	case v.stopping.Load():
		return "the VM is stopping"
	case v.assigner.retention.recordsMissed.Load():
		return "records of a stream that this VM has not read are no longer retained"
	case v.follower.State().Position() == 0:
		return "no configuration has been read"
	case len(v.fleet.all()) == 0:
		return "the platform's list of VMs has not been read"
	}
	if _, ok := v.table.Domain(domain); !ok {
		return "no domain map of failure domain " + domain + " has been received"
	}
	for _, rate := range view.Rates() {
		role := ownership.Role{Kind: ownership.RoleKeeper, Name: rate.Spec.Workspace}
		if _, ok := v.table.RoleVM(domain, role); !ok {
			return "no keeper of workspace " + rate.Spec.Workspace + " is known"
		}
	}
	if len(view.Rates()) > 0 && time.Since(time.Unix(0, v.firstMapAt.Load())) < quotaRecoveryTime {
		return "keepers may still be waiting until tokens lent by earlier keepers have expired"
	}
	return ""
}

// readyInterval is the time between two checks of readiness in AwaitReady.
const readyInterval = 20 * time.Millisecond

// AwaitReady waits until the VM is ready to serve callers. It returns an error if the
// context ends before.
func (v *VM) AwaitReady(ctx context.Context) error {
	for !v.Ready() {
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "VM %s is not ready", v.options.Name)
		}
		sleep(ctx, readyInterval)
	}
	return nil
}
