package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"fireflyfield/platform/platformtest"
)

const (
	// gracePeriod is the time after which the platform kills a process that stops, as in the
	// settings, and stopSlack what the machine of the soak may add to it.
	gracePeriod = 6 * time.Second
	stopSlack   = 300 * time.Millisecond
	// lateRequests is the number of slow requests that are sent in each planned stop. Each sends
	// its body for up to maxBodyTime and runs for up to maxLateWork.
	lateRequests = 16
	maxBodyTime  = 1500 * time.Millisecond
	maxLateWork  = 1200 * time.Millisecond
)

// faultLog records when faults of one kind last. It is safe for concurrent use.
type faultLog struct {
	mu      sync.Mutex
	active  int
	endedAt time.Time // of the last one
}

// begin records the start of a fault. The returned function records its end.
func (l *faultLog) begin() (ended func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active++
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.active--
			l.endedAt = time.Now()
		})
	}
}

// since reports whether a fault has lasted at any time since from.
func (l *faultLog) since(from time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active > 0 || !l.endedAt.Before(from)
}

// stopLog records the planned stops of a VM. It is safe for concurrent use.
type stopLog struct {
	// faults are those that excuse requests without an answer.
	faults faultLog

	mu sync.Mutex
	// stoppingSince and stoppedAt are the start and the end of the last planned stop.
	stoppingSince, stoppedAt time.Time
}

// stop records the start of a planned stop. The returned function records its end.
func (l *stopLog) stop() (ended func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stoppingSince, l.stoppedAt = time.Now(), time.Time{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.stoppedAt = time.Now()
	}
}

// mustAnswer reports whether a request that was under way from sentAt until now must have had
// an answer although the VM stopped: a planned stop fell into that time and no fault did.
func (l *stopLog) mustAnswer(sentAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	stopped := !l.stoppingSince.IsZero() && (l.stoppedAt.IsZero() || l.stoppedAt.After(sentAt))
	return stopped && !l.faults.since(sentAt)
}

// sendLateRequests sends slow requests to a VM whose planned stop begins, evenly spread over its
// grace period: to its callers' address and to that for requests of other VMs, with bodies that
// arrive slowly and with backend servers that take their time. It does not wait for the answers.
func (s *Soak) sendLateRequests(v *vm) {
	stop := s.plannedStops.Add(1)
	random := rand.New(rand.NewPCG(s.options.Seed, 5000+uint64(stop)))
	if random.IntN(4) > 0 {
		s.keepStopping(v)
	}
	for n := range lateRequests {
		r := platformtest.Request{
			ID: fmt.Sprintf("late-%d-%d", stop, n), Method: http.MethodPost, Service: services[random.IntN(len(services))], Path: fmt.Sprintf("/late%d-%d", stop, n),
			CallerKey: callerKey(random.IntN(tenantCount), random.IntN(2)), Key: random.IntN(65536), Deadline: time.Duration(random.Int64N(int64(requestDeadline))),
			Work: time.Duration(random.Int64N(int64(maxLateWork))), Chunked: random.IntN(2) == 0,
		}
		if random.IntN(2) == 0 {
			r.BodyTime = time.Duration(random.Int64N(int64(maxBodyTime)))
		}
		address := v.address()
		if random.IntN(4) == 0 {
			address = v.detourAddress
		}
		offset := gracePeriod*time.Duration(n)/lateRequests + time.Duration(random.Int64N(int64(gracePeriod/lateRequests)))
		s.mu.Lock()
		s.sent[r.ID] = r
		_, withdrawn := s.withdrawn[r.CallerKey]
		s.mu.Unlock()
		s.late.Go(func() {
			time.Sleep(offset)
			sentAt := time.Now()
			answer := platformtest.Send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, address, r)
			s.checkAnswer(r, answer, false, withdrawn)
			s.checkPlannedStop(r, answer, v, sentAt)
		})
	}
}

// keepStopping makes a stop take all of its grace period: a caller keeps a connection without a
// request until then.
func (s *Soak) keepStopping(v *vm) {
	silent, err := net.Dial("tcp4", v.address())
	if err != nil {
		return // the proxy of the VM has ended
	}
	s.late.Go(func() {
		time.Sleep(gracePeriod)
		silent.Close() //nolint:errcheck // nothing was sent
	})
}

// checkStopTime checks that a planned stop, which began at stoppedAt, has ended in time, unless a
// fault of the VM delayed it.
func (s *Soak) checkStopTime(v *vm, stoppedAt time.Time) {
	took := time.Since(stoppedAt)
	if took <= gracePeriod+stopSlack || v.stops.faults.since(stoppedAt) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addViolation("the planned stop of %s took %s", v.name, took)
}
