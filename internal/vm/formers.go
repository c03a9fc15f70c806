package vm

import (
	"context"
	"sync"
	"time"

	"fireflyfield/internal/gate"
	"fireflyfield/internal/ownership"
)

// formers remembers which VM was the gate of a backend server before the present
// one, and which of those have not been heard from since a gate here took over.
type formers struct {
	mu     sync.Mutex
	former map[gate.ServerID]string
	silent map[gate.ServerID]string
}

func newFormers() *formers {
	return &formers{former: make(map[gate.ServerID]string), silent: make(map[gate.ServerID]string)}
}

// note compares two maps of this failure domain.
func (f *formers) note(before, after ownership.DomainMap) {
	next := make(map[ownership.Role]string, len(after.Roles))
	for _, assignment := range after.Roles {
		next[assignment.Role] = assignment.VM
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, assignment := range before.Roles {
		if assignment.Role.Kind == ownership.RoleGate && next[assignment.Role] != assignment.VM {
			f.former[gate.ServerID{Service: assignment.Role.Service, Name: assignment.Role.Name}] = assignment.VM
		}
	}
}

// of returns the VM that was the gate before.
func (f *formers) of(id gate.ServerID) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm, ok := f.former[id]
	return vm, ok
}

// setSilent notes that the gate here took over from a VM that does not answer.
func (f *formers) setSilent(id gate.ServerID, vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[id] = vm
}

// takeSilent returns the gates whose former VM has not been heard from.
func (f *formers) takeSilent() map[gate.ServerID]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.silent
	f.silent = make(map[gate.ServerID]string)
	return taken
}

// checkFormers frees the slots that are reserved for former gates which have been
// heard from, whose process has ended, or which are no longer on the platform's
// list.
func (r *roles) checkFormers(ctx context.Context) {
	for id, former := range r.formers.takeSilent() {
		opened, ok := r.vm.gates.Gate(id)
		if !ok {
			continue
		}
		if r.formerGone(ctx, id, former) {
			opened.ReleaseReservedSlot()
			continue
		}
		r.formers.setSilent(id, former)
	}
}

func (r *roles) formerGone(ctx context.Context, id gate.ServerID, former string) bool {
	address, listed := r.vm.fleet.address(former)
	if !listed {
		return true
	}
	takeover := r.vm.handoverFrom(ctx, id, address)
	return !takeover.Unreachable
}

// formerInterval is the time between looks at former gates that were silent.
const formerInterval = 500 * time.Millisecond

// watchFormers looks at silent former gates until the context ends.
func (r *roles) watchFormers(ctx context.Context) {
	ticker := time.NewTicker(formerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.checkFormers(ctx)
		case <-ctx.Done():
			return
		}
	}
}
