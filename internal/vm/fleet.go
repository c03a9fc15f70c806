package vm

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/platform"
)

// listInterval is the time between two reads of the platform's VM list.
const listInterval = time.Second

// refreshDelay is the time between a refresh and the read of the list, which bounds
// how often refreshes read it.
const refreshDelay = 100 * time.Millisecond

// vmLister reads the platform's VM list.
type vmLister interface {
	VMs(ctx context.Context) ([]platform.VM, error)
}

// fleet holds the platform's VM list as it was read last. The list is kept while the
// platform does not answer.
type fleet struct {
	mu  sync.RWMutex
	vms map[string]platform.VM
	// refreshRequested holds a value while a refresh is pending.
	refreshRequested chan struct{}
}

func newFleet() *fleet {
	return &fleet{vms: make(map[string]platform.VM), refreshRequested: make(chan struct{}, 1)}
}

// follow reads the list every listInterval, and soon after a refresh, until the
// context ends. It logs when the list becomes available or unavailable.
func (f *fleet) follow(ctx context.Context, lister vmLister, logger *zap.Logger) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	available := true
	for {
		list, err := lister.VMs(ctx)
		if err == nil {
			f.set(list)
		}
		if ctx.Err() == nil && (err == nil) != available {
			available = err == nil
			logger.Info("availability of the platform's VM list changed", zap.Bool("available", available))
		}
		select {
		case <-ticker.C:
		case <-f.refreshRequested:
			sleep(ctx, refreshDelay)
		case <-ctx.Done():
			return
		}
	}
}

func (f *fleet) set(list []platform.VM) {
	next := make(map[string]platform.VM, len(list))
	for _, vm := range list {
		next[vm.Name] = vm
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = next
}

func (f *fleet) lookup(name string) (platform.VM, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	vm, ok := f.vms[name]
	return vm, ok
}

// address returns the peer address of the VM.
func (f *fleet) address(name string) (string, bool) {
	vm, ok := f.lookup(name)
	return vm.PeerAddress, ok
}

// inDomain returns the VMs of the failure domain, sorted by name.
func (f *fleet) inDomain(domain string) []platform.VM {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var found []platform.VM
	for _, vm := range f.vms {
		if vm.FailureDomain == domain {
			found = append(found, vm)
		}
	}
	slices.SortFunc(found, compareVMs)
	return found
}

// byName returns the named VM as a list of one, or an empty list if it is not known.
func (f *fleet) byName(name string) []platform.VM {
	vm, ok := f.lookup(name)
	if !ok {
		return nil
	}
	return []platform.VM{vm}
}

// refresh requests a read of the list before the next interval ends.
func (f *fleet) refresh() {
	select {
	case f.refreshRequested <- struct{}{}:
	default:
	}
}

// hasSuccessor reports whether the failure domain has another live VM than the named
// one.
func (f *fleet) hasSuccessor(domain, name string) bool {
	return slices.ContainsFunc(f.inDomain(domain), func(vm platform.VM) bool {
		return vm.Name != name && vm.State == platform.VMLive
	})
}

// allExcept returns all VMs but the named one, sorted by name.
func (f *fleet) allExcept(name string) []platform.VM {
	return slices.DeleteFunc(f.all(), func(vm platform.VM) bool { return vm.Name == name })
}

// all returns all VMs, sorted by name.
func (f *fleet) all() []platform.VM {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.SortedFunc(maps.Values(f.vms), compareVMs)
}

func compareVMs(a, b platform.VM) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	default:
		return 0
	}
}
