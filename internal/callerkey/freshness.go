package callerkey

import (
	"time"

	"fireflyfield/internal/resource"
)

// Confirm records that the keys were current at sentAt. This is the time at which
// a request to the shared log or to a peer was sent whose answer showed that this VM
// has the latest configuration. Update must have been called with that configuration
// before. A time that is not later than that of an earlier call is ignored.
func (k *Keyring) Confirm(sentAt time.Time) {
	confirmed := int64(sentAt.Sub(k.origin))
	for {
		last := k.confirmed.Load()
		if confirmed <= last || k.confirmed.CompareAndSwap(last, confirmed) {
			return
		}
	}
}

// Stale reports whether the last confirmation of the keys is more than StaleAfter
// old.
func (k *Keyring) Stale(now time.Time) bool {
	return int64(now.Sub(k.origin))-k.confirmed.Load() > int64(StaleAfter)
}

// WithdrawIfStale does nothing while the keys are fresh. Once they are stale, it
// closes Admission.Withdrawn for the keys of workspaces that refuse stale keys, which
// ends their running requests and streams. It must be called at least once per
// StaleCheckInterval.
func (k *Keyring) WithdrawIfStale(now time.Time) {
	if !k.Stale(now) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	next := &table{byPrefix: make(map[uint64][]*key)}
	var withdrawn []*key
	for prefix, bucket := range k.table.Load().byPrefix {
		for _, old := range bucket {
			updated := *old
			if old.policy == resource.StaleKeysRefuse {
				withdrawn = append(withdrawn, old)
				updated.withdrawn = make(chan struct{}) // for admissions after the next Confirm
			}
			next.byPrefix[prefix] = append(next.byPrefix[prefix], &updated)
		}
	}
	k.table.Store(next)
	for _, old := range withdrawn {
		close(old.withdrawn)
	}
}
