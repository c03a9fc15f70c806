package vm

import (
	"context"
	"sync"
	"time"

	"fireflyfield/internal/gate"
	"fireflyfield/internal/ownership"
)

// gatePredecessors records which VM had the gate of each backend server before the
// current one, and which of these VMs were unreachable when a gate of this VM took
// over from them.
type gatePredecessors struct {
	mu          sync.Mutex
	previous    map[gate.ServerID]string
	unreachable map[gate.ServerID]string
}

func newGatePredecessors() *gatePredecessors {
	return &gatePredecessors{previous: make(map[gate.ServerID]string), unreachable: make(map[gate.ServerID]string)}
}

// recordChanges compares two successive maps of this failure domain and records the
// VM that had each reassigned gate.
func (p *gatePredecessors) recordChanges(before, after ownership.DomainMap) {
	next := make(map[ownership.Role]string, len(after.Roles))
	for _, assignment := range after.Roles {
		next[assignment.Role] = assignment.VM
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, assignment := range before.Roles {
		if assignment.Role.Kind == ownership.RoleGate && next[assignment.Role] != assignment.VM {
			p.previous[gate.ServerID{Service: assignment.Role.Service, Name: assignment.Role.Name}] = assignment.VM
		}
	}
}

// lookup returns the VM that had the gate before the current one, if it is known.
func (p *gatePredecessors) lookup(id gate.ServerID) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vm, ok := p.previous[id]
	return vm, ok
}

// markUnreachable records that the gate of this VM took over from an unreachable VM.
func (p *gatePredecessors) markUnreachable(id gate.ServerID, vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachable[id] = vm
}

// takeUnreachable removes and returns the gates whose predecessor was unreachable,
// with the name of that VM.
func (p *gatePredecessors) takeUnreachable() map[gate.ServerID]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.unreachable
	p.unreachable = make(map[gate.ServerID]string)
	return taken
}

// checkPredecessors frees the slot that a gate reserves for a request of an
// unreachable predecessor, once that VM answers, its process has ended, or the
// platform no longer lists it.
func (r *roles) checkPredecessors(ctx context.Context) {
	for id, predecessor := range r.predecessors.takeUnreachable() {
		opened, ok := r.vm.gates.Gate(id)
		if !ok {
			continue
		}
		if r.answersOrEnded(ctx, id, predecessor) {
			opened.ReleaseReservedSlot()
			continue
		}
		r.predecessors.markUnreachable(id, predecessor)
	}
}

// answersOrEnded reports whether the predecessor answers or its process has ended. A VM
// that the platform no longer lists counts as ended.
func (r *roles) answersOrEnded(ctx context.Context, id gate.ServerID, predecessor string) bool {
	address, listed := r.vm.fleet.address(predecessor)
	if !listed {
		return true
	}
	takeover := r.vm.requestHandoverFrom(ctx, id, address)
	return !takeover.Unreachable
}

// predecessorCheckInterval is the time between two checks of the predecessors that
// were unreachable.
const predecessorCheckInterval = 500 * time.Millisecond

// watchPredecessors checks unreachable predecessors until the context ends.
func (r *roles) watchPredecessors(ctx context.Context) {
	ticker := time.NewTicker(predecessorCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.checkPredecessors(ctx)
		case <-ctx.Done():
			return
		}
	}
}
