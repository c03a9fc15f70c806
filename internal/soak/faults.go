package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"fireflyfield/internal/clock"
)

const (
	// The time between the starts of two faults is minFaultGap plus a random part of
	// faultGapRange. It is shorter than most faults last, so that faults overlap.
	minFaultGap   = 150 * time.Millisecond
	faultGapRange = 900 * time.Millisecond
	// A fault lasts minFaultDuration plus a random part of faultDurationRange.
	minFaultDuration   = 200 * time.Millisecond
	faultDurationRange = 4 * time.Second
	// The time between two restores of the shared log is minRestoreGap plus a random part of
	// restoreGapRange.
	minRestoreGap   = 2 * time.Second
	restoreGapRange = 6 * time.Second
	// The time between two notices of backend servers is minNoticeGap plus a random part of
	// noticeGapRange. Each lasts noticeDuration.
	minNoticeGap   = time.Second
	noticeGapRange = 4 * time.Second
	noticeDuration = 3 * time.Second
	// maxProxyDelay bounds the delay that a proxy in mode Delay adds to each read.
	maxProxyDelay = 300 * time.Millisecond
)

// fault is one kind of fault. inject starts it and returns the function that ends it, or
// nil if it ends by itself.
type fault struct {
	name   string
	inject func(s *Soak, duration time.Duration) (end func())
}

// faults are the kinds of faults, with their names in the events of a result.
var faults = []fault{
	{"VM killed", func(s *Soak, duration time.Duration) func() {
		v := s.randomVM()
		go v.restart(syscall.SIGKILL, duration/4)
		return nil
	}},
	{"VM stopped", func(s *Soak, _ time.Duration) func() {
		v := s.randomVM()
		go v.restart(syscall.SIGTERM, 0)
		return nil
	}},
	{"VM paused", func(s *Soak, _ time.Duration) func() {
		v := s.randomVM()
		ended, frozen := v.stops.faults.begin(), v.disrupted.begin()
		v.signal(syscall.SIGSTOP)
		return func() {
			s.resumedAt.Store(time.Now().UnixNano())
			v.signal(syscall.SIGCONT)
			ended()
			frozen()
		}
	}},
	{"all VMs killed", func(s *Soak, duration time.Duration) func() {
		for _, v := range s.vms {
			go v.restart(syscall.SIGKILL, duration/8)
		}
		return nil
	}},
	{"VM reloads its settings", func(s *Soak, _ time.Duration) func() {
		s.randomVM().signal(syscall.SIGHUP)
		return nil
	}},
	{"connections of a VM to the shared log impaired", func(s *Soak, _ time.Duration) func() { return s.impairProxy(s.randomVM().logProxy) }},
	{"connections of callers to a VM impaired", func(s *Soak, _ time.Duration) func() {
		v := s.randomVM()
		ended := v.stops.faults.begin()
		end := s.impairProxy(v.callerProxy)
		return func() {
			end()
			ended()
		}
	}},
	{"connections to a backend server impaired", func(s *Soak, _ time.Duration) func() {
		b := s.randomBackend()
		ended := b.disrupted.begin()
		end := s.impairProxy(b.currentProxy())
		return func() {
			end()
			ended()
		}
	}},
	{"connections to a backend server reset", func(s *Soak, _ time.Duration) func() {
		s.randomBackend().currentProxy().Reset()
		return nil
	}},
	{"connections of a VM to the shared log reset", func(s *Soak, _ time.Duration) func() {
		s.randomVM().logProxy.Reset()
		return nil
	}},
	{"backend server replaced", func(s *Soak, _ time.Duration) func() {
		b := s.randomBackend()
		b.crash()
		id := fmt.Sprintf("%s-new%d", b.service, s.random.IntN(1<<30))
		return func() { s.startBackend(b, id) }
	}},
	{"backend server rejects all requests", func(s *Soak, _ time.Duration) func() {
		server := s.randomBackend().currentBackend()
		server.SetShedding(true)
		return func() { server.SetShedding(false) }
	}},
	{"shared log down", func(s *Soak, _ time.Duration) func() {
		s.log.SetDown(true)
		return func() { s.log.SetDown(false) }
	}},
	{"shared log loses answers to appends", func(s *Soak, _ time.Duration) func() {
		s.log.SetLoseAnswers(true)
		return func() { s.log.SetLoseAnswers(false) }
	}},
	{"shared log trimmed", func(s *Soak, _ time.Duration) func() {
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
		s.setEvacuated(true)
		return func() { s.setEvacuated(false) }
	}},
}

// startBackend starts a backend server under a new ID, and records a failure.
func (s *Soak) startBackend(b *backend, id string) {
	if err := b.start(id); err != nil {
		s.recordEvent("backend server could not be started: %v", err)
	}
}

// injectNotices makes backend servers say in their answers that they leave, or that they limit
// their requests, until ctx ends. It has a random source of its own, so that the other faults of
// a seed stay the same. A server that leaves is replaced after noticeDuration; limits last longer,
// beside other notices.
func (s *Soak) injectNotices(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 79))
	var limits sync.WaitGroup
	defer limits.Wait()
	for number := 0; clock.Sleep(ctx, minNoticeGap+time.Duration(random.Int64N(int64(noticeGapRange)))); number++ {
		b := s.backends[random.IntN(len(s.backends))]
		server := b.currentBackend()
		if random.IntN(2) == 0 {
			limit := randomLimit(random)
			if server.Limit() == 0 {
				limits.Go(func() { s.nameLimit(ctx, b, limit) })
			}
			clock.Sleep(ctx, noticeDuration)
			continue
		}
		s.recordEvent("%s says that it leaves", server.ID)
		server.SetLeaving()
		clock.Sleep(ctx, noticeDuration)
		if b.crashIf(server) {
			s.startBackend(b, fmt.Sprintf("%s-after-leaving%d", b.service, number))
		}
	}
}

// setEvacuated starts or ends the evacuation of the first failure domain.
func (s *Soak) setEvacuated(evacuated bool) {
	s.rewriting.Lock()
	defer s.rewriting.Unlock()
	s.evacuated = evacuated
	s.log.SetEvacuated(zones[0], evacuated)
}

// copyLog takes copies of the shared log until ctx ends.
func (s *Soak) copyLog(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.copies = append(s.copies, s.log.Copy())
		s.copies = s.copies[max(0, len(s.copies)-maxCopies):]
		s.mu.Unlock()
		clock.Sleep(ctx, copyInterval)
	}
}

// injectRestores restores the shared log from older copies at random times until ctx ends.
// It has a random source of its own, so that the other faults of a seed stay the same.
func (s *Soak) injectRestores(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 78))
	for {
		clock.Sleep(ctx, minRestoreGap+time.Duration(random.Int64N(int64(restoreGapRange))))
		if ctx.Err() != nil {
			return
		}
		s.restoreLog(random.IntN(maxCopies))
	}
}

// restoreLog takes the shared log back to the copy before the given number of later ones.
// The operator writes again what it had written; the backend servers do so by themselves.
func (s *Soak) restoreLog(age int) {
	s.rewriting.Lock()
	defer s.rewriting.Unlock()
	s.mu.Lock()
	age = min(age, len(s.copies)-1)
	if age < 0 {
		s.mu.Unlock()
		return
	}
	older := s.copies[len(s.copies)-1-age]
	s.copies = s.copies[:len(s.copies)-age] // later copies belong to the era before
	s.mu.Unlock()
	s.log.Restore(older)
	s.recordEvent("shared log restored from a copy, %d later copies dropped", age)
	s.writeConfig()
	s.log.SetEvacuated(zones[0], s.evacuated)
}

func (s *Soak) randomVM() *vm           { return s.vms[s.random.IntN(len(s.vms))] }
func (s *Soak) randomBackend() *backend { return s.backends[s.random.IntN(len(s.backends))] }

// impairProxy sets a proxy to a random mode other than Pass and returns the function that
// sets it back to Pass.
func (s *Soak) impairProxy(p *Proxy) func() {
	mode := Mode(1 + s.random.IntN(int(modeCount)-1))
	p.SetMode(mode, time.Duration(s.random.Int64N(int64(maxProxyDelay))))
	return func() {
		// Bytes that the proxy held back arrive now, even if their sender has given up.
		// Grants among them are exempt, as they are after a pause of their sender.
		s.resumedAt.Store(time.Now().UnixNano())
		p.SetMode(Pass, 0)
	}
}

// withdrawKey withdraws the second caller key of a random workspace, unless it is
// withdrawn already. Rejections of the key are allowed from the start of the call;
// revokeWithin counts from its end.
func (s *Soak) withdrawKey() {
	s.mu.Lock()
	key := callerKey(s.random.IntN(tenantCount), 1)
	_, done := s.withdrawn[key]
	if !done {
		s.withdrawn[key] = time.Now().Add(time.Hour) // not late before the configuration is written
	}
	s.mu.Unlock()
	if done {
		return
	}
	s.putConfig()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn[key] = time.Now()
}

// injectFaults starts random faults, which overlap, until the duration of the options is
// over or ctx ends.
func (s *Soak) injectFaults(ctx context.Context) {
	for until := time.Now().Add(s.options.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		f := faults[s.random.IntN(len(faults))]
		duration := minFaultDuration + time.Duration(s.random.Int64N(int64(faultDurationRange)))
		// Not every fault lasts for the whole duration: some end at once or by themselves.
		s.recordEvent("%s, drawn duration %s", f.name, duration.Round(10*time.Millisecond))
		if end := f.inject(s, duration); end != nil {
			s.faultTimers = append(s.faultTimers, time.AfterFunc(duration, end))
			s.faultEnds = append(s.faultEnds, end)
		}
		clock.Sleep(ctx, minFaultGap+time.Duration(s.random.Int64N(int64(faultGapRange))))
	}
}

// endFaults ends all faults that have not ended yet.
func (s *Soak) endFaults() {
	s.recordEvent("all remaining faults end")
	for i, timer := range s.faultTimers {
		if timer.Stop() {
			s.faultEnds[i]()
		}
	}
}
