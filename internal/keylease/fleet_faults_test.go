package keylease

import (
	"slices"
	"time"
)

// after plans a fault.
func (f *fleet) after(d time.Duration, do func()) {
	f.faults = append(f.faults, plannedFault{f.now + d, do})
}

// injectFaults brings about the planned faults that are due, and random ones.
func (f *fleet) injectFaults() {
	var due, later []plannedFault
	for _, fault := range f.faults {
		if f.now >= fault.at {
			due = append(due, fault)
		} else {
			later = append(later, fault)
		}
	}
	f.faults = later
	for _, fault := range due {
		fault.do()
	}
	if f.now < f.calmUntil {
		return
	}
	s := f.randomServer()
	if fault := f.random.IntN(800); fault < 9 {
		f.logf("fault %d at %s/%d", fault, s.id, s.started)
		f.faultServer(s, fault)
		f.after(f.upTo(8*time.Second), func() { f.repair(s) })
	}
	f.faultVM(f.randomVM(), s)
	if f.random.IntN(250) == 0 {
		f.beginScenario()
	}
	if f.restores && f.random.IntN(250) == 0 {
		f.log.restore(f.now - f.upTo(maxCopyAge))
	}
}

// repair ends the faults of a server. If its process has ended, another one starts.
func (f *fleet) repair(s *modelServer) {
	if other := f.serverAt(s.address); other != nil && other != s {
		return
	}
	if !s.up {
		f.restart(s, f.upTo(4*time.Second))
	}
	s.usable, s.listed = true, s.listed || s.listedStart == s.started
}

func (f *fleet) randomServer() *modelServer { return f.servers[f.random.IntN(len(f.servers))] }

// faultVM brings about a fault of a VM, or between it and the server s, at random.
func (f *fleet) faultVM(v *fleetVM, s *modelServer) {
	until := f.now + f.upTo(4*time.Second)
	fault := f.random.IntN(1500)
	switch fault {
	case 0:
		v.endProcess()
		v.startProcess()
	case 1:
		if !v.lessor.isStopping() {
			v.lessor.Stop()
		}
	case 2, 3:
		v.suspendedUntil = until
	case 4, 5, 6:
		v.turnedAwayUntil = until
		if f.random.IntN(2) == 0 {
			v.staleUntil = until
		}
	case 7, 8:
		v.unansweredUntil = until
	case 9, 10:
		v.unfit(until)
	case 11, 12:
		v.unreachableUntil[s] = until
	case 13:
		f.logDownUntil = until
	case 14, 15:
		f.slowUntil[s] = until
	case 16, 17:
		v.slowUntil[s] = until
	case 18, 19:
		v.staleUntil = until
	case 20:
		v.slowPathsUntil = until
	case 21, 22:
		v.refusedUntil[s] = until
	default:
		return
	}
	f.logf("fault %d of %s, server %s, until %s", fault, v.name(), s.id, until)
}

// unfit makes the VM give up the lease, with calls that are delayed.
func (v *fleetVM) unfit(until time.Duration) {
	v.unfitUntil, v.slowPathsUntil = until, until
}

// leaseChanged is called when the VM acquires or loses the lease. Further faults follow soon after
// an acquisition.
func (v *fleetVM) leaseChanged(held bool) {
	f := v.f
	f.logf("%s holds the lease: %v", v.name(), held)
	if !held || f.quiet {
		return
	}
	if f.onClaim != nil {
		return
	}
	if begin := f.onAcquired; begin != nil {
		f.onAcquired = nil
		begin(v)
		return
	}
	process, s := v.process, f.randomServer()
	if f.now < f.calmUntil {
		return
	}
	if f.random.IntN(2) == 0 { // the owner leaves while the last holder may still renew its leases
		f.after(f.upTo(time.Second), func() { f.leave(s) })
	}
	switch f.random.IntN(3) {
	case 0:
		v.unreachableUntil[s] = f.now + f.upTo(8*time.Second)
	case 1:
		v.slowUntil[s] = f.now + f.upTo(4*time.Second)
	}
	if f.random.IntN(3) > 0 {
		return
	}
	f.after(f.upTo(time.Second), func() {
		switch {
		case v.process != process:
		case f.random.IntN(3) == 0:
			v.unfit(f.now + f.upTo(time.Second))
		default:
			v.endProcess()
			v.startProcess()
			v.unreachableUntil[s] = f.now + f.upTo(8*time.Second)
		}
	})
}

// noteWriter notes the VM that wrote a record of the assignment.
func (f *fleet) noteWriter(v *fleetVM) {
	begin := f.onClaim
	if f.lastWriter != v && begin != nil {
		f.onClaim = nil
		begin(v)
	}
	f.lastWriter = v
}

// noteRanges notes how many ranges the core of the VM has. After a merge or a split the owner leaves
// or can't be reached more often than otherwise.
func (v *fleetVM) noteRanges(core *Core) {
	f, ranges := v.f, core.ranges["keyed"]
	before := v.ranges
	v.ranges = len(ranges)
	if f.quiet || f.now < f.calmUntil || len(ranges) == 0 || len(ranges) == before || f.random.IntN(4) > 0 {
		return
	}
	s := f.serverOf(ranges[f.random.IntN(len(ranges))])
	for _, r := range ranges {
		if r.version == core.version {
			s = f.serverOf(r)
		}
	}
	f.logf("%s has %d ranges, %d before, fault at %s", v.name(), len(ranges), before, s.id)
	switch fault := f.random.IntN(4); {
	case fault == 0:
		v.unreachableUntil[s] = f.now + f.upTo(6*time.Second)
	case fault == 1:
		f.leave(s)
	case fault == 2 && len(ranges) > before:
		v.slowUntil[s] = f.now + f.upTo(3*time.Second)
	default:
		v.refusedUntil[s] = f.now + f.upTo(8*time.Second)
	}
}

// serverOf returns the owner of a range, or any server if it has none.
func (f *fleet) serverOf(r *rangeState) *modelServer {
	for _, s := range f.servers {
		if s.id == r.entry.Backend {
			return s
		}
	}
	return f.randomServer()
}

// leave makes a server leave for some seconds.
func (f *fleet) leave(s *modelServer) {
	s.usable = false
	f.after(f.upTo(8*time.Second), func() { f.repair(s) })
}

func (f *fleet) randomVM() *fleetVM { return f.vms[f.random.IntN(len(f.vms))] }

// leaseHolder returns the VM that acquired the lease last, or nil.
func (f *fleet) leaseHolder() *fleetVM {
	var holder *fleetVM
	for _, v := range f.vms {
		if l := v.lessor.lease; l != nil && (holder == nil || l.renewedAt > holder.lessor.lease.renewedAt) {
			holder = v
		}
	}
	return holder
}

// beginScenario begins a sequence of faults around a change of the lease holder.
func (f *fleet) beginScenario() {
	v := f.leaseHolder()
	if v == nil || len(v.lessor.lease.core.ranges["keyed"]) == 0 || f.onAcquired != nil || f.onClaim != nil {
		return
	}
	ranges := v.lessor.lease.core.ranges["keyed"]
	s := f.serverOf(ranges[f.random.IntN(len(ranges))])
	scenario := f.random.IntN(4)
	f.logf("scenario %d of %s with %s", scenario, v.name(), s.id)
	if f.random.IntN(3) > 0 { // without other faults beside it
		f.endFaults()
		f.calmUntil = f.now + 8*time.Second
	}
	switch scenario {
	case 0:
		f.leaveDuringTakeover(v, s)
	case 1, 2:
		f.restartDuringTakeover(v, s)
	case 3:
		f.stallAfterAbandonment(v, s)
	}
}

// cut turns a VM away from the log. It goes on with an old catalogue.
func (f *fleet) cut(v *fleetVM) {
	v.turnedAwayUntil = f.now + 2*time.Second + f.upTo(4*time.Second)
	v.staleUntil = v.turnedAwayUntil
}

// leaveDuringTakeover makes a server leave while the holder is cut off from the log. Grants of the
// next holder take effect late.
func (f *fleet) leaveDuringTakeover(v *fleetVM, s *modelServer) {
	f.cut(v)
	f.after(f.upTo(ClaimAfter), func() { f.leave(s) })
	for _, other := range f.vms {
		if other != v {
			other.slowUntil[s] = f.now + ClaimAfter + f.upTo(4*time.Second)
		}
	}
}

// restartDuringTakeover cuts the holder off from the log, and restarts the next one soon after its
// claim, which does not reach some of the servers.
func (f *fleet) restartDuringTakeover(v *fleetVM, s *modelServer) {
	f.cut(v)
	v.farUntil = f.now + 5*time.Second
	var refusing []*modelServer
	for _, other := range f.servers {
		if other == s || f.random.IntN(3) == 0 {
			refusing = append(refusing, other)
		}
	}
	f.onClaim = func(next *fleetVM) {
		f.after(f.upTo(3*modelStep), func() {
			next.endProcess()
			next.startProcess()
			for _, other := range refusing {
				next.refusedUntil[other] = f.now + 8*time.Second
			}
		})
		for _, other := range refusing {
			next.refusedUntil[other] = f.now + time.Second
		}
	}
}

// stallAfterAbandonment makes the holder give up the lease with delayed grants, which reach a
// process that starts after the server has got a grant of the next holder. That holder is suspended
// meanwhile, until it may split and merge ranges.
func (f *fleet) stallAfterAbandonment(v *fleetVM, s *modelServer) {
	v.sessions = make(map[Target]*fleetSession) // the connections are reset
	v.slowPathsUntil, v.slowUntil[s] = f.now+3*time.Second, f.now+5*time.Second
	f.after(300*time.Millisecond+f.upTo(time.Second), func() { v.unfitUntil = f.now + 2*time.Second })
	if f.random.IntN(2) == 0 {
		f.after(f.upTo(time.Second), func() { f.leave(f.randomServer()) })
	}
	f.onAcquired = func(next *fleetVM) {
		f.after(f.upTo(500*time.Millisecond), func() { f.restart(s, f.upTo(4*time.Second)) })
		f.after(f.upTo(500*time.Millisecond), func() { next.suspendedUntil = f.now + 2500*time.Millisecond + f.upTo(700*time.Millisecond) })
		for _, other := range f.vms {
			if other != next {
				other.turnedAwayUntil = f.now + 3500*time.Millisecond
			}
		}
	}
}

// checkResult fails the test if a result of a call finds its range changed, which Core.HandleResult
// does not expect: a range with a call in flight is neither split nor merged, and keeps its owner and
// token.
func (v *fleetVM) checkResult(r callResult) {
	if r.lease != v.lessor.lease {
		return
	}
	s, t := r.call.state, v.f.t
	if !slices.Contains(v.lessor.lease.core.ranges[r.call.Service], s) {
		t.Fatalf("a range was split or merged while a call for it was in flight\n%s", v.f.lastEvents())
	}
	if s.entry.Fence != r.call.Grant.Fence || s.entry.Backend != r.call.Target.Backend {
		t.Fatalf("the owner or token of a range changed while a call for it was in flight\n%s", v.f.lastEvents())
	}
	if r.call.Grant.Confirm && r.call.Grant.Fence <= s.uncertainFence {
		t.Fatalf("a confirmation has a token that was sent before\n%s", v.f.lastEvents())
	}
}
