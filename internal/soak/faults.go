package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"fireflyfield/internal/clock"
)

const (
	// minFaultGap and pauseSpread bound the time between two faults; faults overlap.
	minFaultGap   = 150 * time.Millisecond
	faultGapRange = 900 * time.Millisecond
	// minFaultDuration and faultSpread bound how long a fault lasts.
	minFaultDuration   = 200 * time.Millisecond
	faultDurationRange = 4 * time.Second
	// maxProxyDelay bounds the delay of bytes at a proxy.
	maxProxyDelay = 300 * time.Millisecond
)

// fault is one kind of trouble. It returns what ends it, or nil.
type fault struct {
	name   string
	inject func(s *Soak, lasts time.Duration) (end func())
}

var faults = []fault{
	{"VM killed", func(s *Soak, lasts time.Duration) func() {
		v := s.randomVM()
		go v.restart(syscall.SIGKILL, lasts/4)
		return nil
	}},
	{"VM stopped", func(s *Soak, _ time.Duration) func() {
		v := s.randomVM()
		go v.restart(syscall.SIGTERM, 0)
		return nil
	}},
	{"VM paused", func(s *Soak, _ time.Duration) func() {
		v := s.randomVM()
		v.signal(syscall.SIGSTOP)
		return func() {
			s.resumedAt.Store(time.Now().UnixNano())
			v.signal(syscall.SIGCONT)
		}
	}},
	{"all VMs killed", func(s *Soak, lasts time.Duration) func() {
		for _, v := range s.vms {
			go v.restart(syscall.SIGKILL, lasts/8)
		}
		return nil
	}},
	{"VM told to reload its settings", func(s *Soak, _ time.Duration) func() {
		s.randomVM().signal(syscall.SIGHUP)
		return nil
	}},
	{"VM cut off from the log", func(s *Soak, _ time.Duration) func() { return s.impairProxy(s.randomVM().logProxy) }},
	{"callers cut off from a VM", func(s *Soak, _ time.Duration) func() { return s.impairProxy(s.randomVM().callerProxy) }},
	{"backend server cut off", func(s *Soak, _ time.Duration) func() { return s.impairProxy(s.randomBackend().currentProxy()) }},
	{"connections of a backend server reset", func(s *Soak, _ time.Duration) func() {
		s.randomBackend().currentProxy().Reset()
		return nil
	}},
	{"connections to the log reset", func(s *Soak, _ time.Duration) func() {
		s.randomVM().logProxy.Reset()
		return nil
	}},
	{"backend server replaced", func(s *Soak, _ time.Duration) func() {
		w := s.randomBackend()
		w.crash()
		id := fmt.Sprintf("%s-new%d", w.service, s.random.IntN(1<<30))
		return func() {
			if err := w.start(id); err != nil {
				s.recordEvent("backend server was not started: %v", err)
			}
		}
	}},
	{"backend server sheds", func(s *Soak, _ time.Duration) func() {
		n := s.randomBackend().currentBackend()
		n.SetShedding(true)
		return func() { n.SetShedding(false) }
	}},
	{"log down", func(s *Soak, _ time.Duration) func() {
		s.log.SetDown(true)
		return func() { s.log.SetDown(false) }
	}},
	{"log loses answers", func(s *Soak, _ time.Duration) func() {
		s.log.SetLoseAnswers(true)
		return func() { s.log.SetLoseAnswers(false) }
	}},
	{"log forgets its history", func(s *Soak, _ time.Duration) func() {
		s.log.TrimAll()
		return nil
	}},
	{"configuration changed", func(s *Soak, _ time.Duration) func() {
		s.putConfig()
		return nil
	}},
	{"caller key withdrawn", func(s *Soak, _ time.Duration) func() {
		s.withdrawKey()
		return nil
	}},
	{"failure domain evacuated", func(s *Soak, _ time.Duration) func() {
		s.log.SetEvacuated(zones[0], true)
		return func() { s.log.SetEvacuated(zones[0], false) }
	}},
}

func (s *Soak) randomVM() *vm           { return s.vms[s.random.IntN(len(s.vms))] }
func (s *Soak) randomBackend() *backend { return s.backends[s.random.IntN(len(s.backends))] }

// impairProxy puts a proxy into a random mode.
func (s *Soak) impairProxy(p *Proxy) func() {
	mode := Mode(1 + s.random.IntN(int(modeCount)-1))
	p.SetMode(mode, time.Duration(s.random.Int64N(int64(maxProxyDelay))))
	return func() {
		// Bytes that the proxy held back arrive now, even if their sender has given up.
		// Grants among them do not count, as after a pause of their sender.
		s.resumedAt.Store(time.Now().UnixNano())
		p.SetMode(Pass, 0)
	}
}

// withdrawKey takes the second key of a workspace away, if the log can acknowledge it.
func (s *Soak) withdrawKey() {
	s.mu.Lock()
	key := callerKey(s.random.IntN(tenantCount), 1)
	_, gone := s.withdrawn[key]
	if !gone {
		s.withdrawn[key] = time.Now().Add(time.Hour) // no bound before the acknowledgement
	}
	s.mu.Unlock()
	if gone {
		return
	}
	s.putConfig()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn[key] = time.Now()
}

// injectFaults runs faults in series that overlap.
func (s *Soak) injectFaults(ctx context.Context) {
	for end := time.Now().Add(s.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		f := faults[s.random.IntN(len(faults))]
		lasts := minFaultDuration + time.Duration(s.random.Int64N(int64(faultDurationRange)))
		s.recordEvent("%s, for %s", f.name, lasts.Round(10*time.Millisecond))
		if finish := f.inject(s, lasts); finish != nil {
			s.faultTimers = append(s.faultTimers, time.AfterFunc(lasts, finish))
			s.faultEnds = append(s.faultEnds, finish)
		}
		clock.Sleep(ctx, minFaultGap+time.Duration(s.random.Int64N(int64(faultGapRange))))
	}
}

// endFaults ends all faults.
func (s *Soak) endFaults() {
	s.recordEvent("all faults end")
	for i, timer := range s.faultTimers {
		if timer.Stop() {
			s.faultEnds[i]()
		}
	}
}
