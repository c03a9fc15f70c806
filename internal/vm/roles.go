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

// handoverRetention is how long the state of a closed gate is kept for the VM that
// opens the gate next.
const handoverRetention = 30 * time.Second

// roles applies the role lease that the decider grants to this VM: it opens, renews
// and closes gates and passes the lease on to quotas and idempotency partitions.
type roles struct {
	vm    *VM
	clock *clock

	mu           sync.Mutex
	lease        ownership.RoleLease
	leaseChanged chan struct{}
	// closed holds the state of gates that this VM has closed.
	closed map[gate.ServerID]closedGate
	// opening is the set of gates that are being opened.
	opening      map[gate.ServerID]bool
	predecessors *gatePredecessors
}

// closedGate is the state that a closed gate hands over to its successor.
type closedGate struct {
	handover admission.Handover
	closedAt time.Time
}

func newRoles(v *VM, clock *clock) *roles {
	return &roles{vm: v, clock: clock, leaseChanged: make(chan struct{}, 1), closed: make(map[gate.ServerID]closedGate), opening: make(map[gate.ServerID]bool), predecessors: newGatePredecessors()}
}

// setLease replaces the lease. A lease with roles calibrates the clock at once, so that
// a suspend before the lease no longer counts against the expiry of gates. run then
// opens and closes gates in the background.
func (r *roles) setLease(lease ownership.RoleLease) {
	r.mu.Lock()
	previous := r.lease
	r.lease = lease
	r.mu.Unlock()
	r.vm.countRoles(previous.Roles, lease.Roles)
	if len(lease.Roles) > 0 {
		r.clock.calibrate(lease.ClocksAgreedAt)
	}
	select {
	case r.leaseChanged <- struct{}{}:
	default:
	}
}

func (r *roles) currentLease() ownership.RoleLease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

// run applies each new lease until the context ends.
func (r *roles) run(ctx context.Context) {
	ticker := time.NewTicker(ownership.LeaseDuration)
	defer ticker.Stop()
	for {
		select {
		case <-r.leaseChanged:
			r.apply(ctx)
		case <-ticker.C:
			r.dropExpiredHandovers()
		case <-ctx.Done():
			return
		}
	}
}

// apply starts, renews and ends the roles of this VM according to the lease. Gates
// are opened in the background, because the handover from the previous gate takes
// time and must not delay renewals. A lease without roles closes no gate: after the
// expiry of their own lease, gates reject requests, or admit one at a time as
// admission.Config.ServesWithoutLease allows.
func (r *roles) apply(ctx context.Context) {
	lease := r.currentLease()
	expires := r.clock.timeAt(lease.ValidUntil)
	r.vm.quotas.setRoles(lease, expires)
	r.vm.idempotencyPartitions.setRoles(lease, expires)
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
	hasRoles := len(lease.Roles) > 0
	for _, id := range r.vm.gates.IDs() {
		if !wanted[id] && hasRoles {
			r.closeGate(id)
		}
	}
}

// startOpening opens a gate in the background unless it is being opened already.
func (r *roles) startOpening(ctx context.Context, id gate.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.opening[id] {
		return
	}
	r.opening[id] = true
	go func() {
		r.openGate(ctx, id)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.opening, id)
	}()
}

// openGate takes the state over from the previous gate and opens the gate, if the
// lease still covers it afterwards.
func (r *roles) openGate(ctx context.Context, id gate.ServerID) {
	service, ok := r.vm.follower.State().View().Service(id.Service)
	if !ok {
		return
	}
	server, ok := service.Spec.Server(id.Name)
	if !ok {
		return
	}
	takeover := r.vm.requestHandover(ctx, id)
	expires, ok := r.gateLease(id)
	if !ok {
		return
	}
	opened := gate.Server{ID: id, Address: server.Address, Spec: service.Spec, Takeover: takeover}
	if err := r.vm.gates.Open(opened, expires); err != nil {
		r.vm.logger.Error("failed to open gate", zap.String("service", id.Service), zap.String("server", id.Name), zap.Error(err))
		return
	}
	r.vm.logger.Info("gate opened", zap.String("service", id.Service), zap.String("server", id.Name), zap.Bool("takeover", takeover != nil))
}

// gateLease returns the expiry of the current lease and whether it covers the gate.
func (r *roles) gateLease(id gate.ServerID) (time.Time, bool) {
	lease := r.currentLease()
	role := ownership.Role{Kind: ownership.RoleGate, Service: id.Service, Name: id.Name}
	return r.clock.timeAt(lease.ValidUntil), slices.Contains(lease.Roles, role)
}

// closeGate closes the gate and keeps its state for the next one.
func (r *roles) closeGate(id gate.ServerID) {
	_, handover := r.vm.gates.Close(id)
	r.mu.Lock()
	r.closed[id] = closedGate{handover: handover, closedAt: time.Now()}
	r.mu.Unlock()
	r.vm.logger.Info("gate closed", zap.String("service", id.Service), zap.String("server", id.Name))
}

// handover returns the state of a gate that this VM has closed, if it is still kept.
func (r *roles) handover(id gate.ServerID) (admission.Handover, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	closed, ok := r.closed[id]
	return closed.handover, ok
}

// dropExpiredHandovers discards the state of gates that were closed more than
// handoverRetention ago.
func (r *roles) dropExpiredHandovers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, closed := range r.closed {
		if time.Since(closed.closedAt) > handoverRetention {
			delete(r.closed, id)
		}
	}
}

// ownershipConfig extracts the part of the configuration that the ownership logic of
// the failure domain uses.
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
