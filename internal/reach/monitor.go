// Package reach decides whether this VM has lost its paths to the backend servers while they run.
// It decides from the results of requests and of checks, and does no I/O itself.
//
// It answers these load patterns: all connections of the VM hang, are reset, or live on while new
// ones are refused, as in a partition, in contrast to a few backend servers that end or are slow.
package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minFailedServers is the number of backend servers that must fail, with no response of any
	// server since the first failure, before the VM checks its paths.
	minFailedServers = 2
	// minRefusingServers is the same for failed connections, with no new connection since. Kept
	// connections may still bring responses, so that a VM rarely opens new ones.
	minRefusingServers = 1
	// maxSilence is how long requests at minFailedServers servers may be unanswered, with no
	// response of any server since the first one was sent, before the VM checks its paths.
	maxSilence = 700 * time.Millisecond
	// minCheckInterval is the time between two checks. It doubles up to maxCheckInterval while
	// checks find a path, and starts over once none was due for calmPeriod.
	minCheckInterval = 250 * time.Millisecond
	maxCheckInterval = time.Second
	calmPeriod       = 5 * time.Second
	// cutCheckInterval is the time between two checks while there is no path, and minGoodChecks
	// the number of successive checks that must find one.
	cutCheckInterval = 400 * time.Millisecond
	minGoodChecks    = 2
)

// Monitor holds what a VM knows of its paths. It is safe for concurrent use, and acquires no
// other lock while it holds its own.
type Monitor struct {
	isCut atomic.Bool

	mu sync.Mutex
	// failed are the servers that failed since the last response, and unanswered those with
	// requests that were sent since then. silentSince is when the first of these was sent.
	failed, unanswered map[string]struct{}
	silentSince        time.Duration
	// refusing are the servers that could not be connected to since the last new connection.
	refusing      map[string]struct{}
	nextCheck     time.Duration
	checkInterval time.Duration
	goodChecks    int
	cutSince      time.Duration
	// changed is closed when the paths are lost, and replaced when they are back.
	changed chan struct{}
}

// NewMonitor returns a monitor that assumes paths to all backend servers.
func NewMonitor() *Monitor {
	return &Monitor{
		failed: make(map[string]struct{}), unanswered: make(map[string]struct{}), refusing: make(map[string]struct{}),
		checkInterval: minCheckInterval, changed: make(chan struct{}),
	}
}

// Cut reports whether the VM has no path to any backend server.
func (m *Monitor) Cut() bool { return m.isCut.Load() }

// Lost returns a channel that is closed while the VM has no path.
func (m *Monitor) Lost() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Sent records that a request is sent to a server.
func (m *Monitor) Sent(server string, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.unanswered) == 0 {
		m.silentSince = now
	}
	m.unanswered[server] = struct{}{}
}

// Responded records any response of a server. newConnection is set if it came on a connection
// that was opened for its request.
func (m *Monitor) Responded(newConnection bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.failed)
	clear(m.unanswered)
	if newConnection {
		clear(m.refusing)
	}
}

// Failed records a request without a response, other than one that was cancelled. notConnected
// is set if no connection could be made.
func (m *Monitor) Failed(server string, notConnected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed[server] = struct{}{}
	if notConnected {
		m.refusing[server] = struct{}{}
	}
}

// CheckDue reports whether the VM must check now whether it has a path, and call Checked then.
func (m *Monitor) CheckDue(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.nextCheck {
		return false
	}
	if m.isCut.Load() {
		m.nextCheck = now + cutCheckInterval
		return true
	}
	if !m.suspicious(now) {
		return false
	}
	if now-m.nextCheck > calmPeriod {
		m.checkInterval = minCheckInterval
	}
	m.nextCheck = now + m.checkInterval
	return true
}

// suspicious reports whether the requests suggest that there is no path. The caller holds m.mu.
func (m *Monitor) suspicious(now time.Duration) bool {
	silent := len(m.unanswered) >= minFailedServers && now-m.silentSince >= maxSilence
	return silent || len(m.failed) >= minFailedServers || len(m.refusing) >= minRefusingServers
}

// Checked records the result of a check: whether any of several backend servers, in this failure
// domain and in others, answered on a new connection. It reports whether the paths were lost or
// came back.
func (m *Monitor) Checked(found bool, now time.Duration) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !found {
		m.goodChecks = 0
		if m.isCut.Swap(true) {
			return false
		}
		m.cutSince = now
		close(m.changed)
		return true
	}
	clear(m.failed)
	clear(m.unanswered)
	clear(m.refusing)
	if !m.isCut.Load() {
		m.checkInterval = min(maxCheckInterval, 2*m.checkInterval)
		return false
	}
	m.goodChecks++
	if m.goodChecks < minGoodChecks {
		return false
	}
	m.goodChecks = 0
	m.checkInterval = minCheckInterval
	m.changed = make(chan struct{})
	m.isCut.Store(false)
	return true
}

// CutFor returns how long the VM has had no path, or 0 if it has one.
func (m *Monitor) CutFor(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isCut.Load() {
		return 0
	}
	return now - m.cutSince
}
