package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// injectFault injects a random fault and schedules the next one: it pauses, partitions
// or loses a VM, revokes its keeper roles or partitions its failure domain.
func (s *sim) injectFault(until time.Duration) {
	if s.now >= until {
		return
	}
	vm := s.vms[s.rng.IntN(len(s.vms))]
	span := time.Duration(s.rng.Int64N(int64(3 * time.Second)))
	switch s.rng.IntN(5) {
	case 0:
		vm.pausedUntil = s.now + span
	case 1:
		vm.partitioned = true
		s.schedule(s.now+span, func() { vm.partitioned = false })
	case 2:
		s.loseVM(vm, span)
	case 3:
		for _, k := range s.keepers {
			k.revoked = k.revoked || k.host == vm
		}
	case 4:
		for _, other := range s.vmsInDomain(vm.domain) {
			other.partitioned = true
			s.schedule(s.now+span, func() { other.partitioned = false })
		}
	}
	s.schedule(s.now+time.Duration(s.rng.Int64N(int64(400*time.Millisecond))), func() { s.injectFault(until) })
}

// loseVM ends the VM's process and the keepers on it. After the span, a process with a
// new instance starts, and the keeper roles that the VM still has are revoked.
func (s *sim) loseVM(vm *simVM, span time.Duration) {
	if vm.lost {
		return
	}
	vm.lost = true
	s.schedule(s.now+span, func() {
		vm.lost = false
		s.startHolder(vm)
		for _, k := range s.keepers {
			k.revoked = k.revoked || k.host == vm
			if k.predecessor != nil && k.predecessor.host == vm {
				k.predecessor = nil
			}
		}
	})
}

// Guards against spending above rate x window + burst while messages are lost and
// repeated, clocks run up to 1% fast or slow, VMs are paused, partitioned, lost and
// restarted, and keepers are replaced while the previous process keeps running.
func TestBoundUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		for _, limit := range []Limit{{Rate: 200, Burst: 60}, {Rate: 30, Burst: 7}} {
			t.Run(fmt.Sprintf("seed%d/burst%d", seed, limit.Burst), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newSim(seed, DefaultPolicy, map[string]Limit{"w0": limit}, []int{3, 3, 2}, 0.01)
				s.lossRate, s.duplicateRate = 0.05, 0.1
				const until = 30 * time.Second
				s.addTraffic("w0", 2*limit.Rate, s.vms, 0, until)
				s.schedule(time.Second, func() { s.injectFault(until) })
				s.run(until)
				w := s.counters["w0"]
				is.Equal(w.violations, 0)
				is.True(w.granted > 100) // enough requests are granted for the check to mean something
			})
		}
	}
}

// Guards against spending above the limit when it changes while tokens are lent. A
// lower limit holds once the batches lent under the higher one have expired.
func TestBoundWhileRateChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	high, low := Limit{Rate: 400, Burst: 100}, Limit{Rate: 40, Burst: 10}
	s := newSim(3, DefaultPolicy, map[string]Limit{"w0": high}, []int{3, 3}, 0)
	s.addTraffic("w0", 600, s.vms, 0, 40*time.Second)
	w := s.counters["w0"]
	for change := range 8 {
		limit := []Limit{low, high}[change%2]
		at := time.Duration(change*5+2) * time.Second
		s.schedule(at, func() {
			for _, k := range s.keepers {
				k.limit = Split(limit, "w0", k.domain, s.domains)
				k.keeper.SetLimit(k.limit, s.clock(k.host))
			}
			if limit == high {
				w.audit.SetLimit(high, simStart.Add(s.now))
			}
		})
		if limit == low {
			s.schedule(at+BatchLifetime+ClockMargin, func() { w.audit.SetLimit(low, simStart.Add(s.now)) })
		}
	}
	s.run(40 * time.Second)
	is.Equal(w.violations, 0)
	is.True(w.granted > 4000)
}

// Guards against lending a second batch when a sync is sent again because its reply
// was late or lost.
func TestRepeatedSyncGetsTheSameBatch(t *testing.T) {
	is := is.New(t)
	now := simStart
	k := NewKeeper(KeeperConfig{
		Workspace: "w", Domain: "d", Term: 1, Limit: Limit{Rate: 100, Burst: 100},
		LeaseUntil: now.Add(time.Hour), Policy: DefaultPolicy,
	}, now)
	now = now.Add(time.Second)
	sync := Sync{Workspace: "w", Holder: "vm", Instance: 1, Term: 1, Seq: 1, Want: 10, Need: 10, Complete: true}
	first := k.HandleSync(sync, now)
	second := k.HandleSync(sync, now.Add(time.Millisecond))
	is.Equal(first[0].Reply, second[0].Reply)
	is.Equal(k.bucket.lent, int64(10))
}

// Guards against a retry time that is too short: if there is no other caller, a
// request made after it must be granted.
func TestRetryAfterIsLongEnough(t *testing.T) {
	is := is.New(t)
	s := newSim(5, DefaultPolicy, map[string]Limit{"w0": {Rate: 10, Burst: 4}}, []int{1}, 0)
	s.run(3 * time.Second)
	vm := s.vms[0]
	refusals := 0
	for range 60 {
		d := s.decide(vm)
		if d.Outcome == Granted {
			continue
		}
		refusals++
		s.run(s.now + d.RetryAfter)
		is.Equal(s.decide(vm).Outcome, Granted)
	}
	is.True(refusals > 5)
}

// decide makes one request and runs the simulation until it is decided.
func (s *sim) decide(vm *simVM) Decision {
	d := vm.holder.Take("w0", s.clock(vm))
	if d.Outcome != Waiting {
		return d
	}
	s.pollHolder(vm)
	for {
		select {
		case decided := <-d.Wait:
			return decided
		default:
			s.run(s.now + 100*time.Microsecond)
		}
	}
}

// Guards against refusals on the VMs of a failure domain whose part of a small burst is
// zero, and on a VM that has reached its cap in its domain's bucket, while other domains
// have tokens.
func TestDomainWithoutPartBorrows(t *testing.T) {
	is := is.New(t)
	s := newSim(5, DefaultPolicy, map[string]Limit{"w0": {Rate: 10, Burst: 2}}, []int{1, 1, 1, 1}, 0)
	s.run(3 * time.Second)
	for i := range 40 {
		is.Equal(s.decide(s.vms[i%4]).Outcome, Granted)
		s.run(s.now + 400*time.Millisecond)
	}
}
