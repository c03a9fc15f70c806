package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fault brings about one random fault and schedules the next.
func (s *sim) fault(until time.Duration) {
	if s.now >= until {
		return
	}
	vm := s.vms[s.rng.IntN(len(s.vms))]
	span := time.Duration(s.rng.Int64N(int64(3 * time.Second)))
	switch s.rng.IntN(5) {
	case 0:
		vm.pausedUntil = s.now + span
	case 1:
		vm.cut = true
		s.at(s.now+span, func() { vm.cut = false })
	case 2:
		s.loseVM(vm, span)
	case 3:
		for _, k := range s.keepers {
			k.revoked = k.revoked || k.host == vm
		}
	case 4:
		for _, other := range s.inDomain(vm.domain) {
			other.cut = true
			s.at(s.now+span, func() { other.cut = false })
		}
	}
	s.at(s.now+time.Duration(s.rng.Int64N(int64(400*time.Millisecond))), func() { s.fault(until) })
}

// loseVM ends the process; keepers it hosts are gone, and a process with a new
// instance returns later.
func (s *sim) loseVM(vm *simVM, span time.Duration) {
	if vm.lost {
		return
	}
	vm.lost = true
	s.at(s.now+span, func() {
		vm.lost = false
		s.startHolder(vm)
		for _, k := range s.keepers {
			k.revoked = k.revoked || k.host == vm
			if k.former != nil && k.former.host == vm {
				k.former = nil
			}
		}
	})
}

// Guards against spending above rate x window + burst with messages lost and
// repeated, clocks that differ by 1%, and VMs paused, partitioned, lost and
// returning, with keepers replaced while the former process keeps running.
func TestBoundUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		for _, limit := range []Limit{{Rate: 200, Burst: 60}, {Rate: 30, Burst: 7}} {
			t.Run(fmt.Sprintf("seed%d/burst%d", seed, limit.Burst), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newSim(seed, DefaultPolicy, map[string]Limit{"w0": limit}, []int{3, 3, 2}, 0.01)
				s.loss, s.repeat = 0.05, 0.1
				const until = 30 * time.Second
				s.traffic("w0", 2*limit.Rate, s.vms, 0, until)
				s.at(time.Second, func() { s.fault(until) })
				s.run(until)
				w := s.tallies["w0"]
				is.Equal(w.broken, 0)
				is.True(w.granted > 100) // the faults must leave something to check
			})
		}
	}
}

// Guards against the old burst being kept or exceeded when the rate changes while
// tokens are lent.
func TestBoundWhileRateChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	high, low := Limit{Rate: 400, Burst: 100}, Limit{Rate: 40, Burst: 10}
	s := newSim(3, DefaultPolicy, map[string]Limit{"w0": high}, []int{3, 3}, 0)
	s.traffic("w0", 600, s.vms, 0, 40*time.Second)
	w := s.tallies["w0"]
	for change := range 8 {
		limit := []Limit{low, high}[change%2]
		at := time.Duration(change*5+2) * time.Second
		s.at(at, func() {
			for _, k := range s.keepers {
				k.limit = Split(limit, "w0", k.domain, s.domains)
				k.keeper.SetLimit(k.limit, s.clock(k.host))
			}
			if limit == high {
				w.audit.SetLimit(high, epoch.Add(s.now))
			}
		})
		if limit == low {
			s.at(at+BatchLifetime+ClockMargin, func() { w.audit.SetLimit(low, epoch.Add(s.now)) })
		}
	}
	s.run(40 * time.Second)
	is.Equal(w.broken, 0)
	is.True(w.granted > 4000)
}

// Guards against a batch being lent twice when its request is repeated or its
// answer is lost.
func TestRepeatedSyncGetsTheSameBatch(t *testing.T) {
	is := is.New(t)
	now := epoch
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

// Guards against a Retry-After that is too short: a lone caller that waits for it
// must be admitted.
func TestRetryAfterIsTrue(t *testing.T) {
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

// decide takes one token and runs the network until the decision is there.
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

// Guards against refusing in a failure domain whose part of a small burst is zero,
// or to a VM that has its share of the own bucket while other domains have tokens.
func TestDomainWithoutPartDraws(t *testing.T) {
	is := is.New(t)
	s := newSim(5, DefaultPolicy, map[string]Limit{"w0": {Rate: 10, Burst: 2}}, []int{1, 1, 1, 1}, 0)
	s.run(3 * time.Second)
	for i := range 40 {
		is.Equal(s.decide(s.vms[i%4]).Outcome, Granted)
		s.run(s.now + 400*time.Millisecond)
	}
}
