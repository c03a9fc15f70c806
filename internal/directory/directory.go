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

// Unreadable reports whether an entry of a backend server cannot be decoded.
func (s *Sources) Unreadable(r sharedlog.Record) bool { return s.DecodeBackend(r).Err != nil }

// View is an immutable snapshot of the configuration, the evacuated failure domains and
// the catalogue.
type View struct {
	// Number grows with each view of a directory.
	Number    int64
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
	// minOutage is the time without a confirmation of the catalogue from which on entries may
	// have expired because backend servers could not renew them. They expire after some 2.6 s
	// without a renewal, of which up to 0.9 s may lie before the outage.
	minOutage = 1200 * time.Millisecond
	// coldMargin is added to the remaining cold time of an entry, for its transmission
	// delay.
	coldMargin = 200 * time.Millisecond
	// rewriteGrace is how long after the log was restored from an older copy an evacuation
	// stays in force that the copy lacks: the operator writes again what was lost.
	rewriteGrace = 10 * time.Second
	// departedRetention is how long a removed backend server is remembered, so that an older
	// copy of the log does not list it again. Copies are some seconds old.
	departedRetention = time.Minute
	// versionLag is how long the configuration may be older than the one that the lease
	// holder has in force. Records reach all VMs within 2 s.
	versionLag = 1500 * time.Millisecond
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
	// retainedUntil is the time until which an evacuation that a restored copy of the log
	// lacks stays in force, by failure domain.
	retainedUntil map[string]time.Duration
	// late are the starts of the last entries that were ignored because they seemed to be of an
	// earlier process, by backend server ID.
	late map[string]int64
	// departed are the times at which backend servers were removed.
	departed map[fleet.ProcessID]time.Duration
	// catalogueConfirmedAt is a time at which the known catalogue was the newest one.
	catalogueConfirmedAt time.Duration
	// failedAt is when a read of the catalogue last failed in an outage, or the log was
	// restored; 0 means never.
	failedAt time.Duration
	// requiredVersion is the newest version of the configuration that the lease holder is
	// known to have in force, and behindSince the time since which this VM's configuration
	// is older; 0 if it is not.
	requiredVersion int64
	behindSince     time.Duration
	configsApplied  int             // number of configurations that were in force here
	views           int64           // number of views that were published
	undecodable     map[string]bool // IDs of backend servers whose entry cannot be decoded, so that it is logged once

	// outdatedFrom is the time in ns from which on the configuration counts as outdated; 0 if
	// it does not. Requests read it without the lock.
	outdatedFrom atomic.Int64
	view         atomic.Pointer[View]
	confirmedAt  atomic.Int64 // last time at which the configuration was known to be the newest, in ns
	changed      atomic.Pointer[chan struct{}]
}

// New returns an empty directory, which the followers fill.
func New(c clock.Clock, log *zap.Logger, sources Sources) *Directory {
	d := &Directory{
		clock: c, log: log, sources: sources,
		evacuated: make(map[string]bool), backends: make(map[string]Backend), undecodable: make(map[string]bool),
		retainedUntil: make(map[string]time.Duration), departed: make(map[fleet.ProcessID]time.Duration), late: make(map[string]int64),
	}
	d.confirmedAt.Store(int64(-time.Hour))
	signal := make(chan struct{})
	d.changed.Store(&signal)
	return d
}

// View returns the newest view, or nil before the first configuration is known. The
// catalogue of the first view may be empty.
func (d *Directory) View() *View { return d.view.Load() }

// ConfigAge returns the time since the configuration was last known to be the newest. A
// configuration that is older than the one of the lease holder was never the newest since.
func (d *Directory) ConfigAge() time.Duration {
	now := d.clock.Now()
	if from := d.outdatedFrom.Load(); from != 0 && now >= time.Duration(from) {
		return outdatedAge
	}
	return now - time.Duration(d.confirmedAt.Load())
}

// outdatedAge is the age of a configuration that is known to be outdated.
const outdatedAge = time.Hour

// RequireVersion states the version of the configuration that the lease holder has in
// force. A VM that started after the log was restored from an older copy reads an older
// configuration, in which withdrawn caller keys may be valid.
func (d *Directory) RequireVersion(version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requiredVersion = max(d.requiredVersion, version)
	d.updateBehind()
}

// updateBehind sets when the configuration counts as outdated: once it has been behind that
// of the lease holder for longer than records take to arrive. The first configuration of a
// process may come from an old copy of the log, so it gets no such time. The caller holds
// the lock.
func (d *Directory) updateBehind() {
	if d.config == nil || d.config.Version >= d.requiredVersion {
		d.behindSince = 0
		d.outdatedFrom.Store(0)
		return
	}
	if d.behindSince == 0 {
		d.behindSince = d.clock.Now()
	}
	from := d.behindSince
	if d.configsApplied > 1 {
		from += versionLag
	}
	d.outdatedFrom.Store(int64(from))
}

// Changed returns a channel that is closed at the next change of the view.
func (d *Directory) Changed() <-chan struct{} { return *d.changed.Load() }

// publish replaces the view. The caller holds the lock.
func (d *Directory) publish() {
	if d.config == nil || d.backends == nil {
		return
	}
	d.views++
	d.view.Store(&View{Number: d.views, Config: d.config, Evacuated: maps.Clone(d.evacuated), Backends: maps.Clone(d.backends)})
	next := make(chan struct{})
	close(*d.changed.Swap(&next))
}

// applyOperator applies records of the operator's topic. In a snapshot, evacuations
// without a record have ended, unless the log was restored from an older copy.
func (d *Directory) applyOperator(records []sharedlog.Record, info BatchInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	before := maps.Clone(d.evacuated)
	switch {
	case info.Restored:
		for domain := range d.evacuated {
			d.retainedUntil[domain] = now + rewriteGrace
		}
	case info.Snapshot:
		clear(d.evacuated)
		clear(d.retainedUntil)
	}
	changed := d.endRetained(now) || info.Snapshot
	for _, record := range records {
		changed = d.applyOperatorRecord(record) || changed
	}
	d.updateBehind()
	d.markColdAfterEvacuation(before)
	if changed {
		d.publish()
	}
}

// endRetained ends the evacuations that the operator has not written again since the log
// was restored, and reports whether there were any. The caller holds the lock.
func (d *Directory) endRetained(now time.Duration) bool {
	changed := false
	for domain, until := range d.retainedUntil {
		if now >= until {
			d.log.Info("evacuation ended: the restored log does not have it", zap.String("failure_domain", domain))
			delete(d.retainedUntil, domain)
			delete(d.evacuated, domain)
			changed = true
		}
	}
	return changed
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
		d.configsApplied++
		return true
	case change.Domain != "":
		delete(d.retainedUntil, change.Domain)
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

// applyBackends applies records of the catalogue. If it is a snapshot, backend servers
// without a record are removed. Entries that a restored log lacks count as expired in an
// outage: the backend servers write them again.
func (d *Directory) applyBackends(records []sharedlog.Record, info BatchInfo) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropUnsharedFailure(info)
	if info.Restored {
		d.failedAt = now
	}
	changed := info.Snapshot || len(records) > 0
	seen := make(map[string]bool, len(records))
	for _, record := range records {
		change := d.sources.DecodeBackend(record)
		seen[change.ID] = true
		if info.Restored && d.supersedes(&change) {
			continue
		}
		d.applyBackend(change, now, info.Restored)
	}
	if info.Snapshot {
		for id := range d.backends {
			if !seen[id] {
				d.removeBackend(id, now)
			}
		}
		maps.DeleteFunc(d.undecodable, func(id string, _ bool) bool { return !seen[id] })
	}
	d.catalogueConfirmedAt = max(d.catalogueConfirmedAt, info.ConfirmedAt)
	changed = d.removeExpired(now) || changed
	if changed {
		d.publish()
	}
}

// supersedes reports whether this VM knows something newer of a backend server than an
// entry in an older copy of the log: that its process is draining or has left, or a later
// process. The caller holds the lock.
func (d *Directory) supersedes(change *BackendChange) bool {
	if change.Removed || change.Err != nil {
		return false
	}
	started := change.Backend.Started
	if _, gone := d.departed[change.Backend.Process()]; gone {
		return true
	}
	known, ok := d.backends[change.ID]
	return ok && (known.Started > started || known.Started == started && known.Draining && !change.Backend.Draining)
}

// noteDeparted remembers that a process of a backend server was removed. The caller holds
// the lock.
func (d *Directory) noteDeparted(known *Backend, now time.Duration) {
	maps.DeleteFunc(d.departed, func(_ fleet.ProcessID, removedAt time.Duration) bool { return now-removedAt > departedRetention })
	d.departed[known.Process()] = now
}

// applyBackend applies one entry or its removal. An entry that cannot be decoded counts
// as removed. restored is set for an entry in an older copy of the log, which may lack the
// newest cold start. The caller holds the lock.
func (d *Directory) applyBackend(change BackendChange, now time.Duration, restored bool) {
	if change.Removed {
		delete(d.undecodable, change.ID)
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
	delete(d.departed, change.Backend.Process())
	known, ok := d.backends[change.ID]
	if ok && !restored && d.isLate(&known, &change) {
		return
	}
	next := Backend{Backend: change.Backend, Updated: now}
	if change.Backend.ColdRemaining > 0 {
		next.ColdUntil = now + change.Backend.ColdRemaining + coldMargin
	}
	if restored && known.Started == next.Started {
		next.ColdUntil = max(next.ColdUntil, known.ColdUntil)
	}
	d.backends[change.ID] = next
	if !ok || known.Started != next.Started || known.Draining != next.Draining || known.Address != next.Address {
		d.log.Info("backend server listed", zap.String("backend", change.ID), zap.String("service", next.Service),
			zap.String("address", next.Address), zap.Bool("draining", next.Draining),
			zap.Int64("started", next.Started), zap.Duration("cold", next.ColdRemaining))
	}
}

// isLate reports whether an entry seems to be one of an earlier process than the known one, which
// arrived late. A second one with the same start is not late: the clock of the backend server was
// set back before it started again. The caller holds the lock.
func (d *Directory) isLate(known *Backend, change *BackendChange) bool {
	started := change.Backend.Started
	if before, again := d.late[change.ID]; started >= known.Started || again && before == started {
		delete(d.late, change.ID)
		return false
	}
	d.late[change.ID] = started
	d.log.Info("late entry of an earlier process ignored", zap.String("backend", change.ID),
		zap.Int64("started", started), zap.Int64("known", known.Started))
	return true
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
	delete(d.late, id)
	d.noteDeparted(&known, now)
	d.log.Info("backend server gone", zap.String("backend", id), zap.String("service", known.Service))
}

// removeExpired removes backend servers whose ExpiresAt has passed, and reports whether
// there were any. The caller holds the lock.
func (d *Directory) removeExpired(now time.Duration) bool {
	changed := false
	for id, backend := range d.backends {
		if backend.ExpiresAt != 0 && now >= backend.ExpiresAt {
			delete(d.backends, id)
			delete(d.late, id)
			d.noteDeparted(&backend, now)
			d.log.Info("backend server gone after an outage of the shared log", zap.String("backend", id))
			changed = true
		}
	}
	return changed
}

// dropUnsharedFailure drops a failure since the last confirmation that the source of this
// confirming batch has not seen: a relay may fail to read the log while others, the backend
// servers among them, reach it. The caller holds the lock.
func (d *Directory) dropUnsharedFailure(info BatchInfo) {
	if info.ConfirmedAt > d.catalogueConfirmedAt && d.failedAt > d.catalogueConfirmedAt && info.FailedAt <= d.catalogueConfirmedAt {
		d.failedAt = 0
	}
}

// recordReadFailure stores that a read of the catalogue failed at the given time, and
// extends the expiry of removed entries accordingly. A failure soon after a confirmation is
// no outage in which entries could have expired: a backend server whose entry is removed
// then has left.
func (d *Directory) recordReadFailure(failedAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if failedAt <= d.failedAt || failedAt < d.catalogueConfirmedAt+minOutage {
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
