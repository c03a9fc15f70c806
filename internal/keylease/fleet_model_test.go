package keylease

import (
	"context"
	"fmt"
	"iter"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/directory"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/sharedlog"
)

// fleet runs the Lessors of several VMs against a shared log and backend servers, all simulated.
// What a Lessor does in the background runs as a task that the model suspends and resumes, so that
// a seed always gives the same run.
type fleet struct {
	*model
	log   *fleetLog
	vms   []*fleetVM
	tasks []*fleetTask
	// running is the task that runs now; nil outside of tasks.
	running *fleetTask
	calls   []*pendingCall
	// quiet is set once no more faults are brought about.
	quiet bool
	// slowUntil is until when grants at a server have late effects and no answers.
	slowUntil map[*modelServer]time.Duration
	faults    []plannedFault
	// onClaim and onAcquired bring about faults when another VM's claim is recorded next, and when a
	// VM acquires the lease next; nil for none.
	onClaim, onAcquired func(*fleetVM)
	// lastWriter is the VM that wrote the last record of the assignment.
	lastWriter *fleetVM
	// calmUntil is until when only the faults of a scenario are brought about.
	calmUntil time.Duration
	// logDownUntil is until when the log turns all VMs away.
	logDownUntil time.Duration
}

// plannedFault is a fault that is brought about at a time.
type plannedFault struct {
	at time.Duration
	do func()
}

// fleetTask is a call, an append or the reads of a VM.
type fleetTask struct {
	vm     *fleetVM
	next   func() (struct{}, bool)
	stop   func()
	yield  func(struct{}) bool
	wakeAt time.Duration
	ended  bool
}

var errTaskStopped = errors.New("the process of the VM has ended")

// start adds a task of a VM. It begins when runTasks is called next.
func (f *fleet) start(v *fleetVM, run func()) {
	task := &fleetTask{vm: v}
	task.next, task.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			if r := recover(); r != nil && r != errTaskStopped {
				panic(r)
			}
		}()
		task.yield = yield
		run()
	})
	f.tasks = append(f.tasks, task)
}

// sleep suspends the running task, and longer while its VM is suspended. Outside of a task it does
// not wait.
func (f *fleet) sleep(d time.Duration) {
	if f.running == nil || d <= 0 {
		return
	}
	f.running.wakeAt = f.now + d
	if !f.running.yield(struct{}{}) {
		panic(errTaskStopped)
	}
}

// runTasks runs the tasks that are due.
func (f *fleet) runTasks() {
	for i := 0; i < len(f.tasks); i++ {
		task := f.tasks[i]
		if task.ended || f.now < task.wakeAt || f.now < task.vm.suspendedUntil {
			continue
		}
		f.running = task
		_, more := task.next()
		f.running, task.ended = nil, !more
	}
	f.tasks = slices.DeleteFunc(f.tasks, func(t *fleetTask) bool { return t.ended })
}

// stopTasks ends the tasks of a VM, or all if it is nil.
func (f *fleet) stopTasks(v *fleetVM) {
	for _, task := range f.tasks {
		if !task.ended && (v == nil || task.vm == v) {
			task.stop()
			task.ended = true
		}
	}
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{model: newModel(t, seed), slowUntil: make(map[*modelServer]time.Duration)}
	f.model.holder = nil
	f.log = &fleetLog{f: f}
	f.now = time.Second
	f.updateCatalogue()
	for number := range 3 {
		v := &fleetVM{f: f, number: number}
		f.vms = append(f.vms, v)
		v.startProcess()
	}
	t.Cleanup(func() { f.stopTasks(nil) })
	return f
}

// Now implements clock.Clock.
func (f *fleet) Now() time.Duration { return f.now }

// upTo returns a random time below d.
func (f *fleet) upTo(d time.Duration) time.Duration { return time.Duration(f.random.Int64N(int64(d))) }

// latency returns the time of one way to the log.
func (f *fleet) latency() time.Duration {
	if !f.quiet && f.random.IntN(20) == 0 {
		return f.upTo(600 * time.Millisecond)
	}
	return f.upTo(2 * modelStep)
}

// step advances the fleet by one step.
func (f *fleet) step() {
	f.now += modelStep
	if !f.quiet {
		f.injectFaults()
	}
	f.updateCatalogue()
	f.log.executeDelayed()
	f.applyCalls()
	f.expire()
	if f.random.IntN(2) == 0 {
		f.runTasks()
		f.stepVMs()
	} else {
		f.stepVMs()
		f.runTasks()
	}
	f.check()
}

// applyCalls applies the calls that take effect now.
func (f *fleet) applyCalls() {
	f.calls = slices.DeleteFunc(f.calls, func(p *pendingCall) bool {
		if f.now < p.appliesAt {
			return false
		}
		p.err, p.applied = f.apply(p), true
		return true
	})
}

func (f *fleet) stepVMs() {
	for _, v := range f.vms {
		if f.now >= v.suspendedUntil {
			v.step()
		}
	}
}

// fleetVM is one VM of a fleet.
type fleetVM struct {
	f      *fleet
	number int
	// process counts the processes of the VM; all have the same address.
	process  int
	lessor   *Lessor
	sessions map[Target]*fleetSession
	// view is the VM's copy of the catalogue, which is number viewNumber of the model.
	view       []Server
	viewNumber int
	ranges     int // of the core at the last step
	// The process is suspended, turned away by the log, gets no answers from it, reaches no
	// backend server, gets an old catalogue, is slow to connect, and has calls that are slow to
	// arrive until these times.
	suspendedUntil, turnedAwayUntil, unansweredUntil, unfitUntil, staleUntil, slowPathsUntil, farUntil time.Duration
	// Calls to a server are lost, refused, or take effect late and without an answer until these
	// times.
	unreachableUntil, refusedUntil, slowUntil map[*modelServer]time.Duration
}

func (v *fleetVM) name() string { return fmt.Sprintf("vm-%d.%d", v.number, v.process) }

// startProcess starts a process of the VM, which knows nothing of the last one.
func (v *fleetVM) startProcess() {
	v.process++
	f, first := v.f, v.process == 1
	never := make(chan struct{})
	v.sessions, v.ranges = make(map[Target]*fleetSession), 0
	v.resetPaths()
	v.lessor = NewLessor(LessorOptions{
		Log: vmConnection{f.log, v}, Topic: "lease", Granter: fleetGranter{v}, Clock: f, Table: NewTable(zap.NewNop()),
		Instance: v.name(), Address: fmt.Sprintf("vm-%d", v.number), FirstStart: first, Logger: zap.NewNop(),
		ConfigKnown: func() bool { return true }, Preferred: func() bool { return v.number < 2 },
		Unfit:       func() bool { return f.now < v.unfitUntil },
		Input:       func() Input { return Input{Weight: f.weight, Servers: map[string][]Server{"keyed": v.view}} },
		Wake:        func() <-chan struct{} { return never },
		Notices:     func() ([]byte, []byte) { return []byte{byte(f.now / (2 * time.Second))}, []byte("members") },
		OnHeartbeat: func([]byte) {}, OnMembers: func([]byte) {}, OnLeaseChange: v.leaseChanged,
	})
	v.lessor.results, v.lessor.appendResults = make(chan callResult, 4096), make(chan appendResult, 64)
	v.lessor.background = func(task func()) { f.start(v, task) }
	f.start(v, v.follow)
}

// endProcess ends the process of the VM. Calls that were sent still arrive.
func (v *fleetVM) endProcess() {
	v.f.stopTasks(v)
	v.f.logf("the process %s ends", v.name())
}

// follow reads the topic of the assignment lease as directory.Follower does.
func (v *fleetVM) follow() {
	follower, log := v.lessor.Follower(), v.lessor.Log
	for ctx := context.Background(); ; {
		if v.lessor.pauseReads() != nil {
			v.f.sleep(modelStep)
			continue
		}
		next, started := follower.Cursor()
		sentAt, wait := v.f.now, v.lessor.readWait()
		var batch sharedlog.Batch
		err := sharedlog.ErrTrimmed
		if started {
			batch, err = log.Read(ctx, "", next, wait)
		}
		snapshot := errors.Is(err, sharedlog.ErrTrimmed) || errors.Is(err, sharedlog.ErrRestored)
		if snapshot {
			batch, err = log.Newest(ctx, "")
		}
		if err != nil {
			v.f.sleep(100 * time.Millisecond)
			continue
		}
		follower.Deliver(batch, directory.BatchInfo{Snapshot: snapshot, ConfirmedAt: sentAt})
	}
}

// step passes results to the Lessor and runs one step of it.
func (v *fleetVM) step() {
	f := v.f
	if f.now >= v.staleUntil && f.random.IntN(5) == 0 {
		v.readCatalogue()
	}
	v.finishResults()
	v.lessor.step(context.Background())
	if v.lessor.isStopping() && v.lessor.lease == nil {
		v.endProcess()
		v.startProcess()
	}
	if v.lessor.lease != nil {
		v.noteRanges(v.lessor.lease.core)
	}
}

// finishResults passes the results that have arrived to the Lessor.
func (v *fleetVM) finishResults() {
	for {
		select {
		case r := <-v.lessor.results:
			v.checkResult(r)
			v.lessor.finishCall(r)
		case a := <-v.lessor.appendResults:
			v.lessor.finishAppend(a)
		default:
			return
		}
	}
}

// readCatalogue replaces the VM's copy of the catalogue by a newer one.
func (v *fleetVM) readCatalogue() {
	newest := len(v.f.catalogues) - 1
	for newest > v.viewNumber && v.f.random.IntN(8) == 0 {
		newest--
	}
	v.viewNumber = max(v.viewNumber, newest)
	v.view = v.f.catalogues[v.viewNumber].servers
}

func (v *fleetVM) turnedAway() bool {
	return v.f.now < v.turnedAwayUntil || v.f.now < v.f.logDownUntil
}

// unanswered reports whether the log does not answer a call of the VM.
func (v *fleetVM) unanswered() bool {
	return !v.f.quiet && (v.f.now < v.unansweredUntil || v.f.random.IntN(60) == 0)
}

func (v *fleetVM) cannotReach(s *modelServer) bool { return v.f.now < v.unreachableUntil[s] }

// resetPaths ends the faults between the VM and the servers.
func (v *fleetVM) resetPaths() {
	v.unreachableUntil = make(map[*modelServer]time.Duration)
	v.refusedUntil = make(map[*modelServer]time.Duration)
	v.slowUntil = make(map[*modelServer]time.Duration)
}

// sendDelay returns the time between the decision to make a call and the send.
func (v *fleetVM) sendDelay() time.Duration {
	if v.f.now < v.slowPathsUntil {
		return v.f.upTo(grantTimeout)
	}
	return 0
}

// transit returns the time from the send of a call to its arrival.
func (v *fleetVM) transit() time.Duration {
	switch f := v.f; {
	case f.now < v.farUntil:
		return maxTransit - f.upTo(2*modelStep)
	case f.quiet || f.random.IntN(5) > 0:
		return 0
	}
	return v.f.upTo(maxTransit)
}

// allKeysOwned reports whether running backend servers hold all keys.
func (f *fleet) allKeysOwned() bool { return f.heldKeys() == keyrange.MaxKey+1 }

// endFaults ends all faults: all VMs and backend servers run and reach each other.
func (f *fleet) endFaults() {
	f.faults, f.onClaim, f.onAcquired, f.logDownUntil = nil, nil, nil, 0
	f.slowUntil = make(map[*modelServer]time.Duration)
	for _, v := range f.vms {
		v.suspendedUntil, v.turnedAwayUntil, v.unansweredUntil, v.unfitUntil = 0, 0, 0, 0
		v.staleUntil, v.slowPathsUntil, v.farUntil = 0, 0, 0
		v.resetPaths()
	}
	for _, s := range f.servers {
		if other := f.serverAt(s.address); other == nil || other == s {
			if !s.up {
				f.restart(s, 0)
			}
			s.usable, s.listed, s.newEntryAt = true, true, 0
		}
	}
}

// runFleet runs a fleet with faults for 60 s, and then without until all keys have owners.
func runFleet(t *testing.T, seed uint64, restores bool) {
	f := newFleet(t, seed)
	f.restores = restores
	for end := f.now + 60*time.Second; f.now < end; {
		f.step()
	}
	f.endFaults()
	f.quiet = true
	for end := f.now + 20*time.Second; f.now < end && !f.allKeysOwned(); {
		f.step()
	}
	if !f.allKeysOwned() {
		t.Errorf("%d of %d keys have an owner 20 s after the last fault\n%s", f.heldKeys(), keyrange.MaxKey+1, f.lastEvents())
	}
}

// TestFleetOwnership guards against two backend servers that hold a key at the same time, one that
// gets a key on which another still works, and tokens that fall, with the Lessors of three VMs
// under faults of VMs, shared log and backend servers.
func TestFleetOwnership(t *testing.T) { runFleets(t, false) }

// TestFleetOwnershipAfterRestore guards against the same if the shared log is restored from older
// copies as well.
func TestFleetOwnershipAfterRestore(t *testing.T) { runFleets(t, true) }

func runFleets(t *testing.T, restores bool) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runFleet(t, seed, restores)
		})
	}
}

// TestFleetRepeats guards against a seed that gives another run each time, so that a violation can't
// be traced.
func TestFleetRepeats(t *testing.T) {
	is := is.New(t)
	run := func() []string {
		f := newFleet(t, 1)
		for end := f.now + 30*time.Second; f.now < end; {
			f.step()
		}
		return f.events
	}
	is.Equal(run(), run())
}
