// Package directory follows the configuration and the catalogue of backend servers on
// the shared log and gives request handlers an immutable view of both. It decides which
// backend servers are listed and how long they count as cold. The choice of one for a
// request and the encoding of the records are left to others.
package directory

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/sharedlog"
)

// OperatorChange is one decoded record of the operator's topic: a configuration, or the
// start or end of an evacuation. A change with neither is ignored.
type OperatorChange struct {
	Config    *fleet.Config
	Domain    string // failure domain whose evacuation starts or ends
	Evacuated bool
	Err       error
}

// BackendChange is one decoded record of the catalogue: a new entry of a backend server,
// or the removal of its entry.
type BackendChange struct {
	ID      string
	Backend fleet.Backend
	Removed bool
	Err     error
}

// Sources holds the names of the followed topics and the functions that decode their
// records.
type Sources struct {
	OperatorTopic  string
	BackendTopic   string
	DecodeOperator func(sharedlog.Record) OperatorChange
	DecodeBackend  func(sharedlog.Record) BackendChange
}

// Unchanged reports whether an entry of a backend server is the same as the one before.
// Most entries are, since backend servers renew their entries about once a second.
func (s *Sources) Unchanged(before, after sharedlog.Record) bool {
	if len(before.Value) == 0 || len(after.Value) == 0 {
		return false
	}
	a, b := s.DecodeBackend(before), s.DecodeBackend(after)
	return a.Err == nil && b.Err == nil && a.Backend == b.Backend
}

// View is an immutable snapshot of the configuration, the evacuated failure domains and
// the catalogue.
type View struct {
	Config    *fleet.Config
	Evacuated map[string]bool
	// Backends are the backend servers by ID, draining ones included.
	Backends map[string]Backend
}

// Backend is a listed backend server with the times that are known of its entry and its
// warm-up, in monotonic time.
type Backend struct {
	fleet.Backend
	// ColdUntil is when the backend server is warm.
	ColdUntil time.Duration
	// ExpiresAt is when the backend server is unlisted if its entry was removed during or
	// just after an outage of the shared log; 0 if the entry was not removed.
	ExpiresAt time.Duration
	// Updated is when the last entry of the backend server arrived.
	Updated time.Duration
}

// Usable reports whether the backend server may get new requests: it is not draining and
// its failure domain is not evacuated.
func (v *View) Usable(b *Backend) bool { return !b.Draining && !v.Evacuated[b.Domain] }

const (
	// outageGrace is how long after the last failed read of the catalogue a removed entry
	// stays listed, since it may have expired during the outage. The platform specifies
	// that entries return within about 2 s of the end of an outage. The time runs from the
	// failed read and not from the removal, since a backend server that leaves in that
	// time must get no request 2.5 s later.
	outageGrace = 2200 * time.Millisecond
	// coldMargin is added to the remaining cold time of an entry, for its transmission
	// delay.
	coldMargin = 200 * time.Millisecond
	// evacuationColdPeriod is how long backend servers of a failure domain count as cold
	// after its evacuation ends, until new entries arrive: two entry intervals.
	evacuationColdPeriod = 2 * time.Second
)

// Directory builds the newest view from the records of both topics. It is safe for
// concurrent use. No other lock is acquired while its lock is held.
type Directory struct {
	clock   clock.Clock
	log     *zap.Logger
	sources Sources

	mu        sync.Mutex
	config    *fleet.Config
	evacuated map[string]bool
	backends  map[string]Backend
	// failedAt is when a read of the catalogue last failed; 0 means never.
	failedAt    time.Duration
	undecodable map[string]bool // IDs of backend servers whose entry cannot be decoded, so that it is logged once

	view        atomic.Pointer[View]
	confirmedAt atomic.Int64 // last time at which the configuration was known to be the newest, in ns
	changed     atomic.Pointer[chan struct{}]
}

// New returns an empty directory, which the followers fill.
func New(c clock.Clock, log *zap.Logger, sources Sources) *Directory {
	d := &Directory{
		clock: c, log: log, sources: sources,
		evacuated: make(map[string]bool), backends: make(map[string]Backend), undecodable: make(map[string]bool),
	}
	d.confirmedAt.Store(int64(-time.Hour))
	signal := make(chan struct{})
	d.changed.Store(&signal)
	return d
}

// View returns the newest view, or nil before the first configuration is known. The
// catalogue of the first view may be empty.
func (d *Directory) View() *View { return d.view.Load() }

// ConfigAge returns the time since the configuration was last known to be the newest.
func (d *Directory) ConfigAge() time.Duration {
	return d.clock.Now() - time.Duration(d.confirmedAt.Load())
}

// Changed returns a channel that is closed at the next change of the view.
func (d *Directory) Changed() <-chan struct{} { return *d.changed.Load() }

// publish replaces the view. The caller holds the lock.
func (d *Directory) publish() {
	if d.config == nil || d.backends == nil {
		return
	}
	d.view.Store(&View{Config: d.config, Evacuated: maps.Clone(d.evacuated), Backends: maps.Clone(d.backends)})
	next := make(chan struct{})
	close(*d.changed.Swap(&next))
}

// applyOperator applies records of the operator's topic. If snapshot is set, the records
// are the newest ones of all keys, and evacuations without a record have ended.
func (d *Directory) applyOperator(records []sharedlog.Record, snapshot bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := maps.Clone(d.evacuated)
	if snapshot {
		clear(d.evacuated)
	}
	changed := snapshot
	for _, record := range records {
		changed = d.applyOperatorRecord(record) || changed
	}
	d.markColdAfterEvacuation(before)
	if changed {
		d.publish()
	}
}

// applyOperatorRecord applies one record and reports whether the view may have changed. The
// caller holds the lock.
func (d *Directory) applyOperatorRecord(record sharedlog.Record) bool {
	change := d.sources.DecodeOperator(record)
	switch {
	case change.Err != nil:
		d.log.Error("record of the operator's topic cannot be decoded", zap.Int64("offset", record.Offset), logfield.Error(change.Err))
		return false
	case change.Config != nil:
		if d.config != nil && change.Config.Version <= d.config.Version {
			return false
		}
		d.log.Info("configuration in force", zap.Int64("version", change.Config.Version),
			zap.Int64("offset", record.Offset), zap.Int("routes", len(change.Config.Routes)),
			zap.Int("workspaces", len(change.Config.Workspaces)))
		d.config = change.Config
		return true
	case change.Domain != "":
		if d.evacuated[change.Domain] != change.Evacuated {
			d.log.Info("evacuation changed", zap.String("failure_domain", change.Domain), zap.Bool("evacuated", change.Evacuated))
		}
		if change.Evacuated {
			d.evacuated[change.Domain] = true
		} else {
			delete(d.evacuated, change.Domain)
		}
		return true
	}
	return false
}

// markColdAfterEvacuation marks the backend servers of failure domains whose evacuation
// ended as cold, since their last entry may be older than their restart. before is the
// set of evacuated failure domains before the change. The caller holds the lock.
func (d *Directory) markColdAfterEvacuation(before map[string]bool) {
	now := d.clock.Now()
	for id, backend := range d.backends {
		if before[backend.Domain] && !d.evacuated[backend.Domain] {
			backend.ColdUntil = max(backend.ColdUntil, now+evacuationColdPeriod)
			d.backends[id] = backend
		}
	}
}

// applyBackends applies records of the catalogue. If snapshot is set, backend servers
// without a record are removed.
func (d *Directory) applyBackends(records []sharedlog.Record, snapshot bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := snapshot || len(records) > 0
	seen := make(map[string]bool, len(records))
	for _, record := range records {
		change := d.sources.DecodeBackend(record)
		seen[change.ID] = true
		d.applyBackend(change, now)
	}
	if snapshot {
		for id := range d.backends {
			if !seen[id] {
				d.removeBackend(id, now)
			}
		}
	}
	changed = d.removeExpired(now) || changed
	if changed {
		d.publish()
	}
}

// applyBackend applies one entry or its removal. An entry that cannot be decoded counts
// as removed. The caller holds the lock.
func (d *Directory) applyBackend(change BackendChange, now time.Duration) {
	if change.Removed {
		d.removeBackend(change.ID, now)
		return
	}
	if change.Err != nil {
		if !d.undecodable[change.ID] {
			d.undecodable[change.ID] = true
			d.log.Warn("entry of a backend server cannot be decoded", zap.String("backend", change.ID), logfield.Error(change.Err))
		}
		d.removeBackend(change.ID, now)
		return
	}
	delete(d.undecodable, change.ID)
	known, ok := d.backends[change.ID]
	next := Backend{Backend: change.Backend, Updated: now}
	if change.Backend.ColdRemaining > 0 {
		next.ColdUntil = now + change.Backend.ColdRemaining + coldMargin
	}
	d.backends[change.ID] = next
	if !ok || known.Started != next.Started || known.Draining != next.Draining || known.Address != next.Address {
		d.log.Info("backend server listed", zap.String("backend", change.ID), zap.String("service", next.Service),
			zap.String("address", next.Address), zap.Bool("draining", next.Draining),
			zap.Int64("started", next.Started), zap.Duration("cold", next.ColdRemaining))
	}
}

// removeBackend removes a backend server from the list, or sets when it expires if its
// entry was removed around an outage of the shared log. The caller holds the lock.
func (d *Directory) removeBackend(id string, now time.Duration) {
	known, ok := d.backends[id]
	if !ok {
		return
	}
	// An entry may have expired because the backend server could not renew it during an
	// outage of the shared log. It is then renewed within outageGrace. The entry of a
	// draining backend server is removed at once, since it is expected to leave.
	if d.failedAt != 0 && now-d.failedAt < outageGrace && !known.Draining {
		if known.ExpiresAt == 0 {
			known.ExpiresAt = d.failedAt + outageGrace
			d.backends[id] = known
			d.log.Info("entry of a backend server expired around an outage of the shared log", zap.String("backend", id))
		}
		return
	}
	delete(d.backends, id)
	d.log.Info("backend server gone", zap.String("backend", id), zap.String("service", known.Service))
}

// removeExpired removes backend servers whose ExpiresAt has passed, and reports whether
// there were any. The caller holds the lock.
func (d *Directory) removeExpired(now time.Duration) bool {
	changed := false
	for id, backend := range d.backends {
		if backend.ExpiresAt != 0 && now >= backend.ExpiresAt {
			delete(d.backends, id)
			d.log.Info("backend server gone after an outage of the shared log", zap.String("backend", id))
			changed = true
		}
	}
	return changed
}

// recordReadFailure stores that a read of the catalogue failed at the given time, and
// extends the expiry of removed entries accordingly.
func (d *Directory) recordReadFailure(failedAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if failedAt <= d.failedAt {
		return
	}
	d.failedAt = failedAt
	for id, backend := range d.backends {
		if backend.ExpiresAt != 0 {
			backend.ExpiresAt = failedAt + outageGrace
			d.backends[id] = backend
		}
	}
}
