package vm

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/admission"
	"fireflyfield/internal/config"
	"fireflyfield/internal/gate"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/resource"
)

// handoverKept is how long a closed gate's state is kept for the next gate.
const handoverKept = 30 * time.Second

// roles applies the roles that the decider leases to this VM.
type roles struct {
	vm    *VM
	clock *clock

	mu    sync.Mutex
	lease ownership.RoleLease
	dirty chan struct{}
	// closed holds the state of gates that this VM gave up.
	closed map[gate.ServerID]closedGate
	// opening holds the gates that are being opened.
	opening map[gate.ServerID]bool
	formers *formers
}

type closedGate struct {
	handover admission.Handover
	at       time.Time
}

func newRoles(v *VM, clock *clock) *roles {
	return &roles{vm: v, clock: clock, dirty: make(chan struct{}, 1), closed: make(map[gate.ServerID]closedGate), opening: make(map[gate.ServerID]bool), formers: newFormers()}
}

// set takes a new lease. The clock notes it at once, so that gates which are open
// keep working; run opens and closes the others.
func (r *roles) set(lease ownership.RoleLease) {
	r.mu.Lock()
	former := r.lease
	r.lease = lease
	r.mu.Unlock()
	r.vm.countRoles(former.Roles, lease.Roles)
	if len(lease.Roles) > 0 {
		r.clock.agreed(lease.ClocksAgreedAt)
	}
	select {
	case r.dirty <- struct{}{}:
	default:
	}
}

func (r *roles) current() ownership.RoleLease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

// run applies leases until the context ends.
func (r *roles) run(ctx context.Context) {
	ticker := time.NewTicker(ownership.LeaseDuration)
	defer ticker.Stop()
	for {
		select {
		case <-r.dirty:
			r.apply(ctx)
		case <-ticker.C:
			r.expire()
		case <-ctx.Done():
			return
		}
	}
}

// apply brings the duties of this VM in line with the lease. Renewals come first,
// because asking a former gate takes time.
func (r *roles) apply(ctx context.Context) {
	lease := r.current()
	expires := r.clock.at(lease.ValidUntil)
	r.vm.quotas.setRoles(lease, expires)
	r.vm.partitions.setRoles(lease, expires)
	wanted := make(map[gate.ServerID]bool)
	for _, role := range lease.Roles {
		if role.Kind != ownership.RoleGate {
			continue
		}
		id := gate.ServerID{Service: role.Service, Name: role.Name}
		wanted[id] = true
		if !r.vm.gates.Renew(id, expires) {
			r.startOpening(ctx, id)
		}
	}
	known := len(lease.Roles) > 0
	for _, id := range r.vm.gates.IDs() {
		if !wanted[id] && known {
			r.close(id)
		}
	}
}

// startOpening opens a gate in the background, once at a time.
func (r *roles) startOpening(ctx context.Context, id gate.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.opening[id] {
		return
	}
	r.opening[id] = true
	go func() {
		r.open(ctx, id)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.opening, id)
	}()
}

func (r *roles) open(ctx context.Context, id gate.ServerID) {
	service, ok := r.vm.follower.State().View().Service(id.Service)
	if !ok {
		return
	}
	server, ok := service.Spec.Server(id.Name)
	if !ok {
		return
	}
	takeover := r.vm.askHandover(ctx, id)
	expires, ok := r.leased(id)
	if !ok {
		return
	}
	opened := gate.Server{ID: id, Address: server.Address, Spec: service.Spec, Takeover: takeover}
	if err := r.vm.gates.Open(opened, expires); err != nil {
		r.vm.logger.Error("gate can't be opened", zap.String("service", id.Service), zap.String("server", id.Name), zap.Error(err))
		return
	}
	r.vm.logger.Info("gate opened", zap.String("service", id.Service), zap.String("server", id.Name), zap.Bool("takeover", takeover != nil))
}

// leased returns the end of the present lease if it covers the gate.
func (r *roles) leased(id gate.ServerID) (time.Time, bool) {
	lease := r.current()
	role := ownership.Role{Kind: ownership.RoleGate, Service: id.Service, Name: id.Name}
	return r.clock.at(lease.ValidUntil), slices.Contains(lease.Roles, role)
}

func (r *roles) close(id gate.ServerID) {
	_, handover := r.vm.gates.Close(id)
	r.mu.Lock()
	r.closed[id] = closedGate{handover: handover, at: time.Now()}
	r.mu.Unlock()
	r.vm.logger.Info("gate closed", zap.String("service", id.Service), zap.String("server", id.Name))
}

// handover returns the state of a gate that this VM gave up.
func (r *roles) handover(id gate.ServerID) (admission.Handover, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	closed, ok := r.closed[id]
	return closed.handover, ok
}

func (r *roles) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, closed := range r.closed {
		if time.Since(closed.at) > handoverKept {
			delete(r.closed, id)
		}
	}
}

// ownershipConfig extracts what the ownership logic depends on.
func ownershipConfig(view *config.View, domain string) ownership.Config {
	c := ownership.Config{DrainedDomains: make(map[string]bool), DrainedServers: make(map[ownership.ServerID]bool)}
	for _, service := range view.Services() {
		c.Services = append(c.Services, ownershipService(service))
	}
	for _, workspace := range view.Workspaces() {
		c.Workspaces = append(c.Workspaces, workspace.Name)
	}
	for _, drain := range view.Drains() {
		if target := drain.Spec.BackendServer; target != nil {
			c.DrainedServers[ownership.ServerID{Service: target.Service, Name: target.Name}] = true
			continue
		}
		c.DrainedDomains[drain.Spec.FailureDomain] = c.DrainedDomains[drain.Spec.FailureDomain] || drain.Spec.ConfirmedDown
	}
	if found, ok := view.Lookup(resource.ID{Kind: resource.KindFailureDomain, Name: domain}); ok {
		c.MemberEpoch = found.Spec.(*resource.FailureDomainSpec).MemberEpoch
	}
	return c
}

func ownershipService(service config.Service) ownership.ServiceConfig {
	spec := service.Spec
	c := ownership.ServiceConfig{
		Name:         service.Name,
		Slices:       spec.Slices,
		ChecksGrants: spec.ChecksGrants,
		MaxRequest:   spec.Timeout.Std(),
	}
	for _, server := range spec.BackendServers {
		c.Servers = append(c.Servers, ownership.ServerConfig{Name: server.Name, Domain: server.FailureDomain, Capacity: float64(spec.Slots)})
	}
	return c
}
