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

// confirmInterval is the time between two looks at how current the keys are.
const confirmInterval = 250 * time.Millisecond

// keys authenticates callers.
type keys struct{ ring *callerkey.Keyring }

// Authenticate implements caller.Authenticator.
func (k keys) Authenticate(token, service string) (caller.Identity, *outcome.Refusal) {
	admission, verdict := k.ring.Admit(token, service, time.Now())
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

// appliedKeys is the revision of the configuration whose keys the keyring has.
type appliedKeys struct {
	mu       sync.Mutex
	known    bool
	revision uint64
}

// updateKeys gives the keyring the keys of the configuration, unless it has them.
// When it returns, the keyring holds the keys of this revision or a later one.
func (v *VM) updateKeys(view *config.View) {
	v.applied.mu.Lock()
	defer v.applied.mu.Unlock()
	if v.applied.known && v.applied.revision >= view.Revision() {
		return
	}
	resources := append([]resource.Resource(nil), view.List(resource.KindWorkspace)...)
	v.keyring.Update(view.Revision(), append(resources, view.List(resource.KindCallerKey)...))
	v.applied.known = true
	v.applied.revision = view.Revision()
}

// confirmKeys tells the keyring how current the configuration is and cuts streams
// of keys that may not be used while stale.
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
	// The status is read before the view, so that the view holds every record that
	// the confirmation covers.
	confirmed := v.follower.Status().ConfirmedAt
	v.updateKeys(v.follower.State().View())
	if !confirmed.IsZero() {
		v.keyring.Confirm(confirmed)
	}
	v.keyring.WithdrawIfStale(time.Now())
}
