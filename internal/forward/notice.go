package forward

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/fleet"
)

const (
	// noticeRetention is how long the notices of a backend server are kept without a new
	// one. It may be unlisted in between, during an outage of the shared log.
	noticeRetention = 10 * time.Minute
	// leaveMargin is subtracted from the time for which a leaving owner of keys still
	// receives requests, for those that take long to send.
	leaveMargin = 300 * time.Millisecond
)

// notice is what a process of a backend server has said of itself in its answers. It
// answers three load patterns: a release, in which servers leave one after the other while
// their catalogue entries lag, a burst that a server asks its callers to pause, and a server
// in need that limits its requests.
type notice struct {
	// leavingSince is when the first answer of a leaving process arrived; 0 if none did.
	leavingSince time.Duration
	// pausedUntil is the end of the pause that the process has asked this VM for.
	pausedUntil time.Duration
	limit       requestLimit
	updatedAt   time.Duration
}

// applyNotices records what the answer to a request that was sent at sentAt says of its
// backend server. The caller holds s.mu.
func (s *Servers) applyNotices(b *backend, answer *ResponseHeaders, sentAt, now time.Duration) {
	if !answer.Leaving && answer.Pause <= 0 && !answer.HasLimit && b.notice == nil {
		return
	}
	if current := s.byID[b.ID]; current != nil && current.Process() == b.Process() {
		b = current // it may have been unlisted and listed again while the request was under way
	}
	s.ensureNotice(b, now)
	if answer.Pause > 0 {
		b.notice.pausedUntil = max(b.notice.pausedUntil, now+answer.Pause)
	}
	switch {
	case answer.HasLimit:
		s.observeLimit(b, true, answer.Limit, now, now)
	case answer.Signed:
		// A rejection or an error need not carry the limit.
		s.observeLimit(b, false, 0, sentAt, now)
	}
	if answer.Leaving && b.notice.leavingSince == 0 {
		b.notice.leavingSince = now
		if !b.keyed {
			b.usable = false
			s.rebuildLists()
		}
	}
}

// observeLimit records what an answer says of a limit, as in requestLimit.observe, and tells the
// other VMs. The caller holds s.mu.
func (s *Servers) observeLimit(b *backend, named bool, rate float64, at, now time.Duration) {
	limit := &b.notice.limit
	changed := limit.observe(named, rate, at, now, s.vms(), s.random.Float64())
	if changed {
		s.logLimit(b.Process(), limit, false)
	}
	if s.PublishLimit != nil && limit.news(changed, now) {
		s.PublishLimit(LimitNotice{Backend: b.ID, Started: b.Started, Version: limit.tell(now), Named: limit.named, Rate: limit.rate})
	}
}

// ApplyLimitNotice records what another VM has told of a limit at the given time. The backend
// server may not be listed yet.
func (s *Servers) ApplyLimitNotice(n LimitNotice, publishedAt time.Duration) {
	if !n.valid() {
		s.Log.Info("notice of a limit is out of range", zap.String("backend", n.Backend), zap.Uint32("version", n.Version), zap.Float64("limit", n.Rate))
		return
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := &s.noticeOf(n.process(), now).limit
	if limit.apply(&n, publishedAt, now, s.vms(), s.random.Float64()) {
		s.logLimit(n.process(), limit, true)
	}
}

// logLimit logs that a limit began or ended. told is set if another VM has told so.
func (s *Servers) logLimit(process fleet.ProcessID, limit *requestLimit, told bool) {
	service := ""
	if b := s.byID[process.Backend]; b != nil {
		service = b.Service
	}
	s.Log.Info("limit of a backend server changed", zap.String("backend", process.Backend), zap.String("service", service),
		zap.Bool("limited", limit.named), zap.Float64("limit", limit.rate), zap.Bool("told_by_vm", told))
}

// noticeOf returns the notice of a process, listed or not. The caller holds s.mu.
func (s *Servers) noticeOf(process fleet.ProcessID, now time.Duration) *notice {
	if b := s.byID[process.Backend]; b != nil && b.Process() == process {
		s.ensureNotice(b, now)
		return b.notice
	}
	return s.keptNotice(process, now)
}

// ensureNotice gives the backend server a notice if it has none. The caller holds s.mu.
func (s *Servers) ensureNotice(b *backend, now time.Duration) {
	if b.notice == nil {
		b.notice = s.keptNotice(b.Process(), now)
	}
	if now-b.notice.updatedAt > noticeRetention {
		s.notices[b.Process()] = b.notice // it may have been dropped
	}
	b.notice.updatedAt = now
}

// keptNotice returns the kept notice of a process, which it makes if there is none. The caller
// holds s.mu.
func (s *Servers) keptNotice(process fleet.ProcessID, now time.Duration) *notice {
	kept := s.notices[process]
	if kept == nil {
		maps.DeleteFunc(s.notices, func(_ fleet.ProcessID, n *notice) bool { return now-n.updatedAt > noticeRetention })
		kept = &notice{}
		s.notices[process] = kept
	}
	kept.updatedAt = now
	return kept
}

// limitWait returns the time until this VM may send the backend server a request within the
// limit that it names.
func (b *backend) limitWait(now time.Duration) time.Duration {
	if b.notice == nil {
		return 0
	}
	return b.notice.limit.wait(now)
}

// LimitedCount returns the number of backend servers that name a limit.
func (s *Servers) LimitedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, b := range s.byID {
		if b.notice != nil && b.notice.limit.named {
			count++
		}
	}
	return count
}

// hasLeft reports whether the backend server must receive no further request because it
// leaves. The owner of keys receives requests for a while, until its keys have moved.
func (s *Servers) hasLeft(b *backend, now time.Duration) bool {
	if b.notice == nil || b.notice.leavingSince == 0 {
		return false
	}
	return !b.keyed || now >= b.notice.leavingSince+s.KeyedLeaveGrace-leaveMargin
}

// remainingPause returns the rest of the pause that the backend server has asked for.
func (b *backend) remainingPause(now time.Duration) time.Duration {
	if b.notice == nil {
		return 0
	}
	return max(0, b.notice.pausedUntil-now)
}

// retryDelay returns the time after which a rejected caller may be served: after the pause, or
// when the limit allows a request of any VM, since callers return to others.
func (b *backend) retryDelay(now time.Duration) time.Duration {
	delay := b.remainingPause(now)
	if wait := b.limitWait(now); wait > 0 {
		delay = max(delay, min(wait, b.notice.limit.meanInterval()))
	}
	return delay
}

// limitWaitOf returns limitWait of the backend server with the given ID, or 0 if it is not
// listed.
func (s *Servers) limitWaitOf(id string) time.Duration {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.byID[id]; b != nil {
		return b.limitWait(now)
	}
	return 0
}

// shortestDelay returns the shortest retryDelay of the backend servers of the service that
// have one, or that of the one with the given ID if id is not empty.
func (s *Servers) shortestDelay(service, id string) time.Duration {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != "" {
		if b := s.byID[id]; b != nil {
			return b.retryDelay(now)
		}
		return 0
	}
	shortest := time.Duration(0)
	for _, b := range s.byService[service] {
		if delay := b.retryDelay(now); delay > 0 && (shortest == 0 || delay < shortest) {
			shortest = delay
		}
	}
	return shortest
}

// LeavingOwners returns the backend servers of keyed services that leave, so that the
// lease holder can move their keys before their catalogue entries say so.
func (s *Servers) LeavingOwners() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var leaving map[string]int64
	for _, b := range s.byID {
		if b.keyed && b.notice != nil && b.notice.leavingSince != 0 {
			if leaving == nil {
				leaving = make(map[string]int64)
			}
			leaving[b.ID] = b.Started
		}
	}
	return leaving
}

// OwnerLimits returns the limits in requests per second that backend servers of keyed services
// name, by ID, so that the lease holder can move keys away.
func (s *Servers) OwnerLimits() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var limits map[string]float64
	for _, b := range s.byID {
		if b.keyed && b.notice != nil && b.notice.limit.named {
			if limits == nil {
				limits = make(map[string]float64)
			}
			limits[b.ID] = b.notice.limit.rate
		}
	}
	return limits
}
