package vm

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/ownership"
)

const (
	// stepInterval is the time between two ticks, which step the ownership logic also
	// when there are no other events.
	stepInterval = 20 * time.Millisecond
	// eventQueueCapacity is the number of events that can wait for the ownership logic.
	eventQueueCapacity = 4096
	// actionQueueCapacity is the number of actions that can wait for a worker.
	actionQueueCapacity = 4096
	// callTimeout bounds a call to a backend server or VM; the ownership logic treats
	// a later answer as lost.
	callTimeout = 250 * time.Millisecond
)

// queuedEvent is an event for the ownership logic. reply is set for heartbeats and
// receives their answer.
type queuedEvent struct {
	event ownership.Event
	reply chan<- ownership.HeartbeatReply
}

// assigner runs the ownership logic of this VM, as decider or not: one goroutine
// steps it through the events, and a pool of workers carries out the actions that it
// returns.
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
	// inspections holds functions that read the state of the logic; run calls them
	// between two steps.
	inspections chan func()
	retention   retention
	// stopped is closed when the logic reports, after StopRequested, that this VM may
	// stop.
	stopped chan struct{}

	// isDecider is whether this VM was the decider after the last step.
	isDecider bool
	// nextHomesOffset is the NextOffset of the homes that were last passed to the table.
	nextHomesOffset uint64
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
		events:      make(chan queuedEvent, eventQueueCapacity),
		actions:     make(chan ownership.Action, actionQueueCapacity),
		inspections: make(chan func()),
		stopped:     make(chan struct{}),
	}
}

// run restores the state from snapshots and then steps the logic until the context
// ends.
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

// step passes one event to the logic and dispatches the resulting actions.
func (a *assigner) step(ctx context.Context, queued queuedEvent) {
	actions := a.decider.Step(a.clock.now(), queued.event)
	for _, action := range actions {
		a.dispatch(ctx, action, queued.reply)
	}
	a.afterStep()
}

// dispatch carries out the actions that need no I/O and queues the others for the
// workers.
func (a *assigner) dispatch(ctx context.Context, action ownership.Action, reply chan<- ownership.HeartbeatReply) {
	switch action := action.(type) {
	case ownership.ReplyHeartbeat:
		if reply != nil {
			reply <- action.Reply
		}
	case ownership.SetRoles:
		a.roles.setLease(action.Lease)
	case ownership.Stopped:
		close(a.stopped)
	default:
		select {
		case a.actions <- action:
		case <-ctx.Done():
		}
	}
}

// afterStep publishes the homes, the decider and the term to the other parts of this
// VM if they have changed.
func (a *assigner) afterStep() {
	if homes := a.decider.Homes(); homes.NextOffset != a.nextHomesOffset {
		a.nextHomesOffset = homes.NextOffset
		a.vm.table.UpdateHomes(homes)
		a.vm.router.notify()
	}
	a.vm.deciderInfo.update(a.decider, a.domain)
	a.vm.loads.setDeciderName(a.decider.State().Decider.VM)
	if isDecider := a.decider.IsDecider(); isDecider != a.isDecider {
		a.isDecider = isDecider
		a.vm.countDecider(isDecider)
		a.vm.loads.setCollecting(isDecider)
		a.logger.Info("decider role", zap.Bool("held", isDecider), zap.Uint64("term", uint64(a.decider.State().Term)))
	}
}

// enqueue queues an event for the logic. It blocks while the queue is full, so that
// no result of an action is lost.
func (a *assigner) enqueue(ctx context.Context, event ownership.Event) {
	a.countEvent(event)
	select {
	case a.events <- queuedEvent{event: event}:
	case <-ctx.Done():
	}
}

// runWorker carries out queued actions until the context ends.
func (a *assigner) runWorker(ctx context.Context) {
	for {
		select {
		case action := <-a.actions:
			a.perform(ctx, action)
		case <-ctx.Done():
			return
		}
	}
}

// requestStop asks the logic for a planned stop and waits until it reports that this VM
// may stop; see ownership.Stopped. It returns false if the context ends before.
func (a *assigner) requestStop(ctx context.Context) bool {
	a.enqueue(ctx, ownership.StopRequested{})
	select {
	case <-a.stopped:
		return true
	case <-ctx.Done():
		return false
	}
}
