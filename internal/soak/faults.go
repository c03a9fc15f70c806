package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"fireflyfield/internal/clock"
)

const (
	// leastPause and pauseSpread bound the time between two faults; faults overlap.
	leastPause  = 150 * time.Millisecond
	pauseSpread = 900 * time.Millisecond
	// leastFault and faultSpread bound how long a fault lasts.
	leastFault  = 200 * time.Millisecond
	faultSpread = 4 * time.Second
	// maxDelay bounds the delay of bytes at a proxy.
	maxDelay = 300 * time.Millisecond
)

// fault is one kind of trouble. It returns what ends it, or nil.
type fault struct {
	name string
	run  func(s *Soak, lasts time.Duration) (end func())
}

var faults = []fault{
	{"VM killed", func(s *Soak, lasts time.Duration) func() {
		v := s.anyVM()
		go v.restart(syscall.SIGKILL, lasts/4)
		return nil
	}},
	{"VM stopped", func(s *Soak, _ time.Duration) func() {
		v := s.anyVM()
		go v.restart(syscall.SIGTERM, 0)
		return nil
	}},
	{"VM paused", func(s *Soak, _ time.Duration) func() {
		v := s.anyVM()
		v.signal(syscall.SIGSTOP)
		return func() {
			s.thawed.Store(time.Now().UnixNano())
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
		s.anyVM().signal(syscall.SIGHUP)
		return nil
	}},
	{"VM cut off from the log", func(s *Soak, _ time.Duration) func() { return s.spoil(s.anyVM().log) }},
	{"callers cut off from a VM", func(s *Soak, _ time.Duration) func() { return s.spoil(s.anyVM().front) }},
	{"backend server cut off", func(s *Soak, _ time.Duration) func() { return s.spoil(s.anyWorker().link()) }},
	{"connections of a backend server reset", func(s *Soak, _ time.Duration) func() {
		s.anyWorker().link().Reset()
		return nil
	}},
	{"connections to the log reset", func(s *Soak, _ time.Duration) func() {
		s.anyVM().log.Reset()
		return nil
	}},
	{"backend server replaced", func(s *Soak, _ time.Duration) func() {
		w := s.anyWorker()
		w.crash()
		id := fmt.Sprintf("%s-new%d", w.service, s.random.IntN(1<<30))
		return func() {
			if err := w.start(id); err != nil {
				s.note("backend server was not started: %v", err)
			}
		}
	}},
	{"backend server sheds", func(s *Soak, _ time.Duration) func() {
		n := s.anyWorker().current()
		n.SetRefuse(true)
		return func() { n.SetRefuse(false) }
	}},
	{"log down", func(s *Soak, _ time.Duration) func() {
		s.store.SetDown(true)
		return func() { s.store.SetDown(false) }
	}},
	{"log loses answers", func(s *Soak, _ time.Duration) func() {
		s.store.SetLoseAnswers(true)
		return func() { s.store.SetLoseAnswers(false) }
	}},
	{"log forgets its history", func(s *Soak, _ time.Duration) func() {
		s.store.TrimAll()
		return nil
	}},
	{"configuration changed", func(s *Soak, _ time.Duration) func() {
		s.putConfig()
		return nil
	}},
	{"caller key withdrawn", func(s *Soak, _ time.Duration) func() {
		s.withdraw()
		return nil
	}},
	{"failure domain evacuated", func(s *Soak, _ time.Duration) func() {
		s.store.Evacuate(zones[0], true)
		return func() { s.store.Evacuate(zones[0], false) }
	}},
}

func (s *Soak) anyVM() *vm         { return s.vms[s.random.IntN(len(s.vms))] }
func (s *Soak) anyWorker() *worker { return s.workers[s.random.IntN(len(s.workers))] }

// spoil puts a proxy into a random mode.
func (s *Soak) spoil(p *Proxy) func() {
	mode := Mode(1 + s.random.IntN(int(modes)-1))
	p.Set(mode, time.Duration(s.random.Int64N(int64(maxDelay))))
	return func() {
		// Bytes that the proxy held back arrive now, even if their sender has given up.
		// Grants among them do not count, as after a pause of their sender.
		s.thawed.Store(time.Now().UnixNano())
		p.Set(Pass, 0)
	}
}

// withdraw takes the second key of a workspace away, if the log can acknowledge it.
func (s *Soak) withdraw() {
	s.mu.Lock()
	key := token(s.random.IntN(tenants), 1)
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

// inject runs faults in series that overlap.
func (s *Soak) inject(ctx context.Context) {
	for end := time.Now().Add(s.o.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		f := faults[s.random.IntN(len(faults))]
		lasts := leastFault + time.Duration(s.random.Int64N(int64(faultSpread)))
		s.note("%s, for %s", f.name, lasts.Round(10*time.Millisecond))
		if finish := f.run(s, lasts); finish != nil {
			s.healing = append(s.healing, time.AfterFunc(lasts, finish))
			s.finishers = append(s.finishers, finish)
		}
		clock.Sleep(ctx, leastPause+time.Duration(s.random.Int64N(int64(pauseSpread))))
	}
}

// heal ends all faults.
func (s *Soak) heal() {
	s.note("all faults end")
	for i, timer := range s.healing {
		if timer.Stop() {
			s.finishers[i]()
		}
	}
}
