// Package directory follows the configuration and the catalogue of backend
// servers on the shared log and gives request handlers a consistent view.
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

// OperatorChange is one decoded record of the operator's topic. A change with
// neither configuration nor failure domain is of no concern here.
type OperatorChange struct {
	Config    *fleet.Config
	Domain    string // failure domain whose evacuation starts or ends
	Evacuated bool
	Err       error
}

// BackendChange is one decoded record of the catalogue.
type BackendChange struct {
	ID      string
	Backend fleet.Backend
	Removed bool
	Err     error
}

// Sources names the topics and decodes their records.
type Sources struct {
	OperatorTopic  string
	BackendTopic   string
	DecodeOperator func(sharedlog.Record) OperatorChange
	DecodeBackend  func(sharedlog.Record) BackendChange
}

// Repeats reports whether an entry of a backend server tells nothing new. Most
// entries are heartbeats.
func (s *Sources) Repeats(before, after sharedlog.Record) bool {
	if len(before.Value) == 0 || len(after.Value) == 0 {
		return false
	}
	a, b := s.DecodeBackend(before), s.DecodeBackend(after)
	return a.Err == nil && b.Err == nil && a.Backend == b.Backend
}

// View is an immutable view of the fleet.
type View struct {
	Config    *fleet.Config
	Evacuated map[string]bool
	// Backends are the backend servers by ID, draining ones included.
	Backends map[string]Backend
}

// Backend is a listed backend server with what is known of its cold phase.
type Backend struct {
	fleet.Backend
	// ColdUntil is the reading of the clock at which the backend server is warm.
	ColdUntil time.Duration
	// ExpiresAt is the reading of the clock at which an entry that was removed around an
	// outage of the log counts as gone; 0 for a present entry.
	ExpiresAt time.Duration
	// Updated is when the last entry arrived.
	Updated time.Duration
}

// Usable reports whether the backend server may get new requests.
func (v *View) Usable(b *Backend) bool { return !b.Draining && !v.Evacuated[b.Domain] }

const (
	// returnGrace is how long after the last failed read of the log entries may be missing
	// that lapsed while it was away: the platform states about 2 s after its return. It
	// runs from the failed read and not from the removal, since a backend server that
	// leaves in that time must get no request 2.5 s later.
	returnGrace = 2200 * time.Millisecond
	// coldMargin is added to the remaining cold time, for the delay of the entry.
	coldMargin = 200 * time.Millisecond
	// evacuationCold is how long backend servers of a failure domain count as cold
	// after its evacuation ends, until fresh entries tell: two heartbeats.
	evacuationCold = 2 * time.Second
)

// Directory keeps the newest view. Its lock is a leaf.
type Directory struct {
	clock  clock.Clock
	log    *zap.Logger
	source Sources

	mu        sync.Mutex
	config    *fleet.Config
	evacuated map[string]bool
	backends  map[string]Backend
	// failedAt is when a read of the catalogue last failed; the zero value means never.
	failedAt time.Duration
	unread   map[string]bool // backend IDs whose entry could not be decoded and was logged

	view      atomic.Pointer[View]
	confirmed atomic.Int64 // clock reading at which the configuration was known to be the newest
	changed   atomic.Pointer[chan struct{}]
}

// New returns an empty directory.
func New(c clock.Clock, log *zap.Logger, source Sources) *Directory {
	d := &Directory{
		clock: c, log: log, source: source,
		evacuated: make(map[string]bool), backends: make(map[string]Backend), unread: make(map[string]bool),
	}
	d.confirmed.Store(int64(-time.Hour))
	signal := make(chan struct{})
	d.changed.Store(&signal)
	return d
}

// View returns the newest view, or nil before the first configuration and
// catalogue are known.
func (d *Directory) View() *View { return d.view.Load() }

// ConfigAge is the time since the configuration was last known to be the newest.
func (d *Directory) ConfigAge() time.Duration {
	return d.clock.Now() - time.Duration(d.confirmed.Load())
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

// applyOperator applies records of the operator's topic. With whole set, the
// records are all that the topic holds.
func (d *Directory) applyOperator(records []sharedlog.Record, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := maps.Clone(d.evacuated)
	if whole {
		clear(d.evacuated)
	}
	changed := whole
	for _, record := range records {
		changed = d.applyOperatorRecord(record) || changed
	}
	d.coolAfterEvacuation(before)
	if changed {
		d.publish()
	}
}

func (d *Directory) applyOperatorRecord(record sharedlog.Record) bool {
	change := d.source.DecodeOperator(record)
	switch {
	case change.Err != nil:
		d.log.Error("configuration record cannot be read", zap.Int64("offset", record.Offset), logfield.Error(change.Err))
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

// coolAfterEvacuation counts backend servers as cold whose failure domain was
// taken back, since the last entry may be older than their restart.
func (d *Directory) coolAfterEvacuation(before map[string]bool) {
	now := d.clock.Now()
	for id, backend := range d.backends {
		if before[backend.Domain] && !d.evacuated[backend.Domain] {
			backend.ColdUntil = max(backend.ColdUntil, now+evacuationCold)
			d.backends[id] = backend
		}
	}
}

// applyBackends applies records of the catalogue. With whole set, backend servers
// without a record are removed.
func (d *Directory) applyBackends(records []sharedlog.Record, whole bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := whole || len(records) > 0
	seen := make(map[string]bool, len(records))
	for _, record := range records {
		change := d.source.DecodeBackend(record)
		seen[change.ID] = true
		d.applyBackend(change, now)
	}
	if whole {
		for id := range d.backends {
			if !seen[id] {
				d.removeBackend(id, now)
			}
		}
	}
	changed = d.expire(now) || changed
	if changed {
		d.publish()
	}
}

// applyBackend takes one entry or its removal.
func (d *Directory) applyBackend(change BackendChange, now time.Duration) {
	if change.Removed {
		d.removeBackend(change.ID, now)
		return
	}
	if change.Err != nil {
		if !d.unread[change.ID] {
			d.unread[change.ID] = true
			d.log.Warn("entry of a backend server cannot be read", zap.String("backend", change.ID), logfield.Error(change.Err))
		}
		d.removeBackend(change.ID, now)
		return
	}
	delete(d.unread, change.ID)
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

func (d *Directory) removeBackend(id string, now time.Duration) {
	known, ok := d.backends[id]
	if !ok {
		return
	}
	// An entry may lapse because the log was away; the backend server then writes
	// again within returnGrace.
	if d.failedAt != 0 && now-d.failedAt < returnGrace && !known.Draining {
		if known.ExpiresAt == 0 {
			known.ExpiresAt = d.failedAt + returnGrace
			d.backends[id] = known
			d.log.Info("entry of a backend server lapsed around an outage of the log", zap.String("backend", id))
		}
		return
	}
	delete(d.backends, id)
	d.log.Info("backend server gone", zap.String("backend", id), zap.String("service", known.Service))
}

// expire removes lapsed entries whose grace is over.
func (d *Directory) expire(now time.Duration) bool {
	changed := false
	for id, backend := range d.backends {
		if backend.ExpiresAt != 0 && now >= backend.ExpiresAt {
			delete(d.backends, id)
			d.log.Info("backend server gone after an outage of the log", zap.String("backend", id))
			changed = true
		}
	}
	return changed
}

// readFailed notes that the catalogue could not be read at that time.
func (d *Directory) readFailed(at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at <= d.failedAt {
		return
	}
	d.failedAt = at
	for id, backend := range d.backends {
		if backend.ExpiresAt != 0 {
			backend.ExpiresAt = at + returnGrace
			d.backends[id] = backend
		}
	}
}
