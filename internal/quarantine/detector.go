package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/fleet"
)

const (
	// Retention is how long a crash and an answer count. A quarantined request is let through
	// again when too few crashes are left, and may then end minCrashes more backend servers.
	Retention = 10 * time.Minute
	// maxEvents bounds the crashes that are kept; the oldest ones are dropped.
	maxEvents = 256
	// maxRequestsPerEvent bounds the requests that are kept for one crash.
	maxRequestsPerEvent = 256
	// breakRetention is how long a broken connection is remembered until the backend server
	// is known to have ended. Connecting to it takes at most 350 ms.
	breakRetention = 2 * time.Second
	// judgeInterval is the least time between two judgements. In the loss of a failure domain
	// hundreds of reports arrive within a second, and a judgement may take a millisecond.
	judgeInterval = 50 * time.Millisecond
)

// Crash is the end of a process of a backend server with requests of one VM in flight.
type Crash struct {
	Process  fleet.ProcessID
	Requests []Fingerprint
	// At is the monotonic time at which the connections broke.
	At time.Duration
}

// Verdict is a quarantined request.
type Verdict struct {
	Exact uint64 `cbor:"1,keyasint,omitempty"` // hash with the query, or 0
	Path  uint64 `cbor:"2,keyasint,omitempty"` // hash without the query, for all queries, or 0
	// RemainingMs is how long the quarantine lasts, in ms.
	RemainingMs int64 `cbor:"3,keyasint"`
}

// Publisher tells the other VMs what this one observes. Its methods must not block.
type Publisher interface {
	// Crashed tells of a crash with requests of this VM in flight.
	Crashed(Crash)
	// Answered tells that a request which was in flight at a crash has been answered since.
	Answered(Fingerprint)
	// Alive tells that a process which was reported as ended has answered since.
	Alive(fleet.ProcessID)
}

// broken are the requests whose connections to one process broke without an answer.
type broken struct {
	requests []Fingerprint
	at       time.Duration // when the first one broke
}

// Detector decides which requests are quarantined, from the crashes and answers that all VMs
// observe. It is safe for concurrent use, and acquires no other lock while it holds its own.
type Detector struct {
	log       *zap.Logger
	publisher Publisher

	// active is set while there is any crash, so that most requests need no fingerprint.
	active atomic.Bool

	mu sync.Mutex
	// breaks holds the requests whose connections broke at processes that are not known to
	// have ended: one that lives may break a connection too, for many reasons.
	breaks map[fleet.ProcessID]*broken
	events map[fleet.ProcessID]*crashEvent
	alive  map[fleet.ProcessID]time.Duration // when a process was last known to live after its reported end
	// answeredExact and answeredPath are when requests were last answered, by hash. They hold
	// only requests that were in flight at a crash.
	answeredExact, answeredPath map[uint64]time.Duration
	// openExact and openPath are the requests that have not been answered since a crash.
	openExact, openPath map[uint64]struct{}
	exact, path         map[uint64]suspicion // by hash
	recordedUntil       map[Verdict]time.Duration
	crashes             int64 // with requests of this VM in flight
	judgedAt            time.Duration
	changed             bool // since the last judgement
}

// noPublisher is the Publisher of a VM without others.
type noPublisher struct{}

func (noPublisher) Crashed(Crash)         {}
func (noPublisher) Answered(Fingerprint)  {}
func (noPublisher) Alive(fleet.ProcessID) {}

// NewDetector returns a detector that knows of no crash. A nil publisher tells nobody.
func NewDetector(log *zap.Logger, publisher Publisher) *Detector {
	if publisher == nil {
		publisher = noPublisher{}
	}
	return &Detector{
		log: log, publisher: publisher, breaks: make(map[fleet.ProcessID]*broken), events: make(map[fleet.ProcessID]*crashEvent),
		alive: make(map[fleet.ProcessID]time.Duration), answeredExact: make(map[uint64]time.Duration), answeredPath: make(map[uint64]time.Duration),
		recordedUntil: make(map[Verdict]time.Duration), openExact: make(map[uint64]struct{}), openPath: make(map[uint64]struct{}),
	}
}

// Active reports whether any crash is known. If not, only Broke and Ended need to be called.
func (d *Detector) Active() bool { return d.active.Load() }

// Broke records that the connection of a request to a process broke without an answer. It
// reports whether the caller must find out if the process has ended, and call Ended or Lives.
func (d *Detector) Broke(process fleet.ProcessID, request Fingerprint, now time.Duration) (check bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.breaks, func(_ fleet.ProcessID, b *broken) bool { return now-b.at > breakRetention })
	b := d.breaks[process]
	if b == nil {
		b = &broken{at: now}
		d.breaks[process] = b
		check = true
	}
	b.requests = addRequests(b.requests, []Fingerprint{request})
	return check
}

// Lives records that a process accepts connections, so that the broken ones were no crash.
func (d *Detector) Lives(process fleet.ProcessID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.breaks, process)
}

// Ended records that a process accepts no connections. It returns the crash, or nil if no
// connection to the process has broken shortly before, as when it was stopped.
func (d *Detector) Ended(process fleet.ProcessID, now time.Duration) *Crash {
	d.mu.Lock()
	b := d.breaks[process]
	if b == nil {
		d.mu.Unlock()
		return nil
	}
	delete(d.breaks, process)
	d.crashes++
	crash := Crash{Process: process, Requests: b.requests, At: b.at}
	d.addCrash(crash, now)
	d.mu.Unlock()
	d.publisher.Crashed(crash)
	return &crash
}

// ApplyCrash records a crash that another VM has observed.
func (d *Detector) ApplyCrash(crash Crash, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addCrash(crash, now)
}

// addCrash adds a crash to what is known of the end of its process. The caller holds d.mu.
func (d *Detector) addCrash(crash Crash, now time.Duration) {
	if at, ok := d.alive[crash.Process]; ok && at >= crash.At {
		return
	}
	e := d.events[crash.Process]
	if e == nil {
		e = &crashEvent{process: crash.Process, at: crash.At}
		d.events[crash.Process] = e
	}
	e.at = min(e.at, crash.At)
	e.requests = addRequests(e.requests, crash.Requests)
	for _, f := range crash.Requests {
		d.openExact[f.Exact], d.openPath[f.Path] = struct{}{}, struct{}{}
	}
	d.change(now)
}

// addRequests adds the requests that are not yet in the list, up to maxRequestsPerEvent.
func addRequests(list, added []Fingerprint) []Fingerprint {
	for _, request := range added {
		if !slices.Contains(list, request) && len(list) < maxRequestsPerEvent {
			list = append(list, request)
		}
	}
	return list
}

// Answered records that a backend server ran a request to its end and answered it.
func (d *Detector) Answered(request Fingerprint, now time.Duration) {
	d.mu.Lock()
	news := d.addAnswer(request, now, now)
	d.mu.Unlock()
	if news {
		d.publisher.Answered(request)
	}
}

// ApplyAnswer records an answer that another VM got at the given time.
func (d *Detector) ApplyAnswer(request Fingerprint, at, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addAnswer(request, at, now)
}

// addAnswer records an answer, and reports whether a crash counted against the request or its
// path before. The caller holds d.mu.
func (d *Detector) addAnswer(request Fingerprint, at, now time.Duration) bool {
	_, exact := d.openExact[request.Exact]
	_, path := d.openPath[request.Path]
	if !exact && !path {
		return false
	}
	d.answeredExact[request.Exact] = max(d.answeredExact[request.Exact], at)
	d.answeredPath[request.Path] = max(d.answeredPath[request.Path], at)
	delete(d.openExact, request.Exact)
	delete(d.openPath, request.Path)
	d.change(now)
	return true
}

// Responded records that a process answered a request that was sent at the given time, so that
// it had not ended before.
func (d *Detector) Responded(process fleet.ProcessID, sentAt, now time.Duration) {
	d.mu.Lock()
	e := d.events[process]
	news := e != nil && sentAt > e.at
	if news {
		d.addAlive(process, sentAt, now)
	}
	d.mu.Unlock()
	if news {
		d.publisher.Alive(process)
	}
}

// ApplyAlive records that another VM got an answer of a process to a request that it had sent at
// the given time. The notice of the crash may arrive later.
func (d *Detector) ApplyAlive(process fleet.ProcessID, sentAt, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addAlive(process, sentAt, now)
}

// addAlive records that a process was alive, and drops its crash if it was alive later. The caller
// holds d.mu.
func (d *Detector) addAlive(process fleet.ProcessID, sentAt, now time.Duration) {
	d.alive[process] = max(d.alive[process], sentAt)
	if e := d.events[process]; e != nil && sentAt > e.at {
		delete(d.events, process)
		d.change(now)
	}
}

// Blocked returns how long a request is still quarantined, or 0 if it may be sent.
func (d *Detector) Blocked(request Fingerprint, now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.judgeIfDue(now)
	remaining := max(d.recordedUntil[Verdict{Exact: request.Exact}]-now, d.recordedUntil[Verdict{Path: request.Path}]-now, 0)
	for _, s := range []suspicion{d.exact[request.Exact], d.path[request.Path]} {
		if s.guilty() {
			remaining = max(remaining, s.since+Retention-now)
		}
	}
	return remaining
}

// Suspected reports whether a request has probably ended a few backend servers, so that it must
// not be retried or hedged.
func (d *Detector) Suspected(request Fingerprint, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.judgeIfDue(now)
	_, exact := d.exact[request.Exact]
	_, path := d.path[request.Path]
	return exact || path
}

// Verdicts returns the quarantined requests, so that they outlast the processes of all VMs.
func (d *Detector) Verdicts(now time.Duration) []Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.judgeIfDue(now)
	until := maps.Clone(d.recordedUntil)
	for _, s := range d.exact {
		if s.guilty() {
			until[Verdict{Exact: s.request}] = s.since + Retention
		}
	}
	for _, s := range d.path {
		if s.guilty() {
			until[Verdict{Path: s.request}] = s.since + Retention
		}
	}
	var verdicts []Verdict
	for v, end := range until {
		if v.RemainingMs = (end - now).Milliseconds(); v.RemainingMs > 0 {
			verdicts = append(verdicts, v)
		}
	}
	return verdicts
}

// SetRecorded replaces the verdicts that are recorded in the shared log.
func (d *Detector) SetRecorded(verdicts []Verdict, now time.Duration) {
	if len(verdicts) == 0 && !d.Active() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.recordedUntil)
	for _, v := range verdicts {
		d.recordedUntil[Verdict{Exact: v.Exact, Path: v.Path}] = now + min(Retention, time.Duration(v.RemainingMs)*time.Millisecond)
	}
	d.updateActive()
}

// Counts returns the number of crashes with requests of this VM in flight, and the number of
// quarantined requests.
func (d *Detector) Counts(now time.Duration) (crashes int64, quarantined int) {
	verdicts := d.Verdicts(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes, len(verdicts)
}

// change notes that what is known has changed. The caller holds d.mu.
func (d *Detector) change(now time.Duration) {
	d.changed = true
	d.updateActive()
	d.judgeIfDue(now)
}

// judgeIfDue judges if anything has changed and the last judgement is old enough. The caller holds
// d.mu.
func (d *Detector) judgeIfDue(now time.Duration) {
	if d.changed && now-d.judgedAt >= judgeInterval {
		d.judge(now)
	}
}

// judge decides anew which requests explain the crashes, and logs what changes. The caller holds
// d.mu.
func (d *Detector) judge(now time.Duration) {
	d.changed, d.judgedAt = false, now
	d.dropOld(now)
	d.dropAnswered()
	events := slices.SortedFunc(maps.Values(d.events), func(a, b *crashEvent) int { return int(a.at - b.at) })
	exact, rest := explain(events, exactHash, d.answeredExact)
	path, _ := explain(rest, pathHash, d.answeredPath)
	d.logChanges("request", d.exact, exact)
	d.logChanges("path", d.path, path)
	d.exact, d.path = exact, path
	d.updateActive()
}

// dropAnswered finds the open requests, and drops the crashes that have none: each request there
// was answered later. The caller holds d.mu.
func (d *Detector) dropAnswered() {
	d.openExact, d.openPath = make(map[uint64]struct{}), make(map[uint64]struct{})
	for process, e := range d.events {
		open := false
		for _, f := range e.requests {
			if e.concerns(d.answeredExact[f.Exact]) {
				d.openExact[f.Exact] = struct{}{}
				open = true
			}
			if e.concerns(d.answeredPath[f.Path]) {
				d.openPath[f.Path] = struct{}{}
				open = true
			}
		}
		if !open {
			delete(d.events, process)
		}
	}
}

// updateActive sets active. The caller holds d.mu.
func (d *Detector) updateActive() { d.active.Store(len(d.events) > 0 || len(d.recordedUntil) > 0) }

// dropOld drops what is older than Retention, and the oldest crashes beyond maxEvents. The caller
// holds d.mu.
func (d *Detector) dropOld(now time.Duration) {
	maps.DeleteFunc(d.events, func(_ fleet.ProcessID, e *crashEvent) bool { return now-e.at > Retention })
	old := func(_ uint64, at time.Duration) bool { return now-at > Retention }
	maps.DeleteFunc(d.answeredExact, old)
	maps.DeleteFunc(d.answeredPath, old)
	maps.DeleteFunc(d.alive, func(_ fleet.ProcessID, at time.Duration) bool { return now-at > Retention })
	for len(d.events) > maxEvents {
		var oldest *crashEvent
		for _, e := range d.events {
			if oldest == nil || e.at < oldest.at {
				oldest = e
			}
		}
		delete(d.events, oldest.process)
	}
}

// logChanges writes a line for each request whose quarantine begins or ends.
func (d *Detector) logChanges(what string, before, after map[uint64]suspicion) {
	for request, s := range after {
		if old := before[request]; s.guilty() && !old.guilty() {
			d.log.Warn(what+" quarantined", zap.String("fingerprint", formatHash(request)), zap.Int("crashes", s.crashes))
		}
	}
	for request, s := range before {
		if current := after[request]; s.guilty() && !current.guilty() {
			d.log.Info(what+" released from quarantine", zap.String("fingerprint", formatHash(request)))
		}
	}
}
