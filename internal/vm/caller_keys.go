package vm

import (
	"context"
	"net/http"
	"sync"
	"time"

	"fireflyfield/internal/caller"
	"fireflyfield/internal/callerkey"
	"fireflyfield/internal/config"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/resource"
)

// confirmInterval is the time between two updates of the age of the caller keys.
const confirmInterval = 250 * time.Millisecond

// authenticator implements caller.Authenticator with the keyring.
type authenticator struct{ keyring *callerkey.Keyring }

// Authenticate returns the workspace of the caller key if the key may call the service.
func (a authenticator) Authenticate(token, service string) (caller.Identity, *outcome.Refusal) {
	admission, verdict := a.keyring.Admit(token, service, time.Now())
	switch verdict {
	case callerkey.Admitted:
		return caller.Identity{Workspace: admission.Workspace, Withdrawn: admission.Withdrawn}, nil
	case callerkey.ServiceNotAllowed:
		return caller.Identity{}, outcome.NotRunRefusal(http.StatusForbidden, "service-not-allowed", "the caller key may not call this service")
	case callerkey.Stale:
		refusal := outcome.NotRunRefusal(http.StatusServiceUnavailable, "stale-caller-keys", "this VM can't tell whether its caller keys are current")
		refusal.RetryAfter = callerkey.StaleAfter
		return caller.Identity{}, refusal
	default:
		return caller.Identity{}, outcome.NotRunRefusal(http.StatusUnauthorized, "unknown-caller-key", "the caller key is not valid")
	}
}

// appliedKeys is the revision of the configuration whose caller keys are in the keyring.
// known is false before the first one.
type appliedKeys struct {
	mu       sync.Mutex
	known    bool
	revision uint64
}

// updateKeys replaces the caller keys in the keyring by those of the configuration,
// unless the keyring has this revision or a later one. When it returns, the keyring has
// this revision or a later one.
func (v *VM) updateKeys(view *config.View) {
	v.appliedKeys.mu.Lock()
	defer v.appliedKeys.mu.Unlock()
	if v.appliedKeys.known && v.appliedKeys.revision >= view.Revision() {
		return
	}
	resources := append([]resource.Resource(nil), view.List(resource.KindWorkspace)...)
	v.keyring.Update(view.Revision(), append(resources, view.List(resource.KindCallerKey)...))
	v.appliedKeys.known = true
	v.appliedKeys.revision = view.Revision()
}

// confirmKeys regularly updates the keyring with the keys and the time at which the
// configuration was last confirmed to be current, until the context ends. It also makes
// the keyring withdraw keys that may not be used while stale, which ends the streams of
// their callers.
func (v *VM) confirmKeys(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			v.confirmKeysOnce()
		case <-ctx.Done():
			return
		}
	}
}

func (v *VM) confirmKeysOnce() {
	// Reads the status before the view, so that the view includes every record that
	// the confirmation covers.
	confirmed := v.follower.Status().ConfirmedAt
	v.updateKeys(v.follower.State().View())
	if !confirmed.IsZero() {
		v.keyring.Confirm(confirmed)
	}
	v.keyring.WithdrawIfStale(time.Now())
}
