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

// refreshPause bounds how often a refresh reads the list.
const refreshPause = 100 * time.Millisecond

// vmLister reads the platform's list.
type vmLister interface {
	VMs(ctx context.Context) ([]platform.VM, error)
}

// fleet is the last known list of VMs. An entry stays known while the platform
// does not answer.
type fleet struct {
	mu  sync.RWMutex
	vms map[string]platform.VM
	// wanted holds a request to read the list at once.
	wanted chan struct{}
}

func newFleet() *fleet {
	return &fleet{vms: make(map[string]platform.VM), wanted: make(chan struct{}, 1)}
}

// follow reads the list until the context ends.
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
			logger.Info("platform's VM list", zap.Bool("available", available))
		}
		select {
		case <-ticker.C:
		case <-f.wanted:
			sleep(ctx, refreshPause)
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

// named returns the VM with the name, if it is known.
func (f *fleet) named(name string) []platform.VM {
	vm, ok := f.lookup(name)
	if !ok {
		return nil
	}
	return []platform.VM{vm}
}

// refresh has the list read before the next interval.
func (f *fleet) refresh() {
	select {
	case f.wanted <- struct{}{}:
	default:
	}
}

// hasSuccessor reports whether another VM of the failure domain is live.
func (f *fleet) hasSuccessor(domain, name string) bool {
	return slices.ContainsFunc(f.inDomain(domain), func(vm platform.VM) bool {
		return vm.Name != name && vm.State == platform.VMLive
	})
}

// except returns every VM but one, sorted by name.
func (f *fleet) except(name string) []platform.VM {
	return slices.DeleteFunc(f.all(), func(vm platform.VM) bool { return vm.Name == name })
}

// all returns every VM, sorted by name.
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
