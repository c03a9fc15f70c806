package callerkey

import (
	"time"

	"fireflyfield/internal/resource"
)

// Confirm records that the log or a peer has confirmed the end of the
// configuration and that Update was called with it. The time is that at which the
// confirming request was sent.
func (k *Keyring) Confirm(sent time.Time) {
	offset := int64(sent.Sub(k.origin))
	for {
		last := k.confirmed.Load()
		if offset <= last || k.confirmed.CompareAndSwap(last, offset) {
			return
		}
	}
}

// Stale reports whether the keys have not been confirmed for StaleAfter.
func (k *Keyring) Stale(now time.Time) bool {
	return int64(now.Sub(k.origin))-k.confirmed.Load() > int64(StaleAfter)
}

// WithdrawIfStale cuts the streams of workspaces that refuse stale keys once the keys are
// stale. It is called at least once each CheckInterval.
func (k *Keyring) WithdrawIfStale(now time.Time) {
	if !k.Stale(now) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	next := &table{keys: make(map[uint64][]*key)}
	var cut []*key
	for prefix, bucket := range k.table.Load().keys {
		for _, former := range bucket {
			current := *former
			if former.policy == resource.StaleKeysRefuse {
				cut = append(cut, former)
				current.withdrawn = make(chan struct{})
			}
			next.keys[prefix] = append(next.keys[prefix], &current)
		}
	}
	k.table.Store(next)
	for _, former := range cut {
		close(former.withdrawn)
	}
}
