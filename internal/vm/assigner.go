package vm

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/ownership"
)

const (
	// stepInterval is the longest time between two steps of the decision logic.
	stepInterval = 20 * time.Millisecond
	// eventQueue bounds the events that wait for the decision logic.
	eventQueue = 4096
	// actionQueue bounds the actions that wait for a worker.
	actionQueue = 4096
	// callTimeout ends a call to a backend server or VM; the decision logic treats
	// a later answer as lost.
	callTimeout = 250 * time.Millisecond
)

// queuedEvent is an event with the place for a heartbeat's answer.
type queuedEvent struct {
	event ownership.Event
	reply chan<- ownership.HeartbeatReply
}

// assigner runs the ownership logic of this VM: one goroutine steps it, and a pool
// of workers carries out its actions.
type assigner struct {
	vm      *VM
	self    ownership.Member
	domain  string
	decider *ownership.Decider
	clock   *clock
	logger  *zap.Logger
	roles   *roles

	events  chan queuedEvent
	actions chan ownership.Action
	// inspections are functions that read the logic's state.
	inspections chan func()
	retention   retention
	// stopped is closed when the VM has no duty left after StopRequested.
	stopped chan struct{}

	leading   bool
	homesNext uint64
}

func newAssigner(v *VM, clock *clock, roles *roles) *assigner {
	self := ownership.Member{VM: v.options.Name, Instance: v.options.Instance}
	return &assigner{
		vm:          v,
		self:        self,
		domain:      v.options.FailureDomain,
		decider:     ownership.NewDecider(ownership.Options{Domain: v.options.FailureDomain, Self: self, Random: newRandom()}),
		clock:       clock,
		logger:      v.logger,
		roles:       roles,
		events:      make(chan queuedEvent, eventQueue),
		actions:     make(chan ownership.Action, actionQueue),
		inspections: make(chan func()),
		stopped:     make(chan struct{}),
	}
}

// run steps the logic until the context ends.
func (a *assigner) run(ctx context.Context) {
	a.restore(ctx)
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case inspect := <-a.inspections:
			inspect()
		case queued := <-a.events:
			a.step(ctx, queued)
		case <-ticker.C:
			a.step(ctx, queuedEvent{event: ownership.Tick{}})
		case <-ctx.Done():
			return
		}
	}
}

func (a *assigner) step(ctx context.Context, queued queuedEvent) {
	actions := a.decider.Step(a.clock.now(), queued.event)
	for _, action := range actions {
		a.dispatch(ctx, action, queued.reply)
	}
	a.afterStep()
}

// dispatch handles the actions that take no time and queues the others.
func (a *assigner) dispatch(ctx context.Context, action ownership.Action, reply chan<- ownership.HeartbeatReply) {
	switch action := action.(type) {
	case ownership.ReplyHeartbeat:
		if reply != nil {
			reply <- action.Reply
		}
	case ownership.SetRoles:
		a.roles.set(action.Lease)
	case ownership.Stopped:
		close(a.stopped)
	default:
		select {
		case a.actions <- action:
		case <-ctx.Done():
		}
	}
}

// afterStep publishes what the step changed in the replayed streams.
func (a *assigner) afterStep() {
	if homes := a.decider.Homes(); homes.NextOffset != a.homesNext {
		a.homesNext = homes.NextOffset
		a.vm.table.UpdateHomes(homes)
		a.vm.router.notify()
	}
	a.vm.leadership.update(a.decider, a.domain)
	a.vm.loads.setDecider(a.decider.State().Decider.VM)
	if leading := a.decider.IsDecider(); leading != a.leading {
		a.leading = leading
		a.vm.countDecider(leading)
		a.vm.loads.lead(leading)
		a.logger.Info("decider role", zap.Bool("held", leading), zap.Uint64("term", uint64(a.decider.State().Term)))
	}
}

// enqueue hands an event to the logic. It waits if the queue is full, so that no
// result of an action is lost.
func (a *assigner) enqueue(ctx context.Context, event ownership.Event) {
	a.count(event)
	select {
	case a.events <- queuedEvent{event: event}:
	case <-ctx.Done():
	}
}

// work carries out actions until the context ends.
func (a *assigner) work(ctx context.Context) {
	for {
		select {
		case action := <-a.actions:
			a.perform(ctx, action)
		case <-ctx.Done():
			return
		}
	}
}

// requestStop asks for a planned stop and waits until the duties have moved.
func (a *assigner) requestStop(ctx context.Context) bool {
	a.enqueue(ctx, ownership.StopRequested{})
	select {
	case <-a.stopped:
		return true
	case <-ctx.Done():
		return false
	}
}
