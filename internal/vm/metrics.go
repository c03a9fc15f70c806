package vm

import (
	"context"
	"time"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/caller"
	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/metrics"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
)

// messageNames holds the values of the metric label "type".
var messageNames = map[peer.MessageType]string{
	messageHeartbeat:   "heartbeat",
	messageDomainMap:   "domain_map",
	messageStopUnits:   "stop_units",
	messageLoad:        "load",
	messageHandover:    "handover",
	messageQuota:       "quota",
	messageExchange:    "exchange",
	messageStatus:      "status",
	messageIdempotency: "idempotency",
}

// peerMeter counts control messages.
type peerMeter struct{ metrics *metrics.Metrics }

// MessageSent implements peer.Meter.
func (m peerMeter) MessageSent(kind peer.MessageType, size int) {
	m.metrics.PeerMessage(messageName(kind), metrics.Sent, size)
}

// MessageReceived implements peer.Meter.
func (m peerMeter) MessageReceived(kind peer.MessageType, size int) {
	m.metrics.PeerMessage(messageName(kind), metrics.Received, size)
}

// messageName returns the label value of the message type, or "unknown".
func messageName(kind peer.MessageType) string {
	if name, ok := messageNames[kind]; ok {
		return name
	}
	return "unknown"
}

// outcomeCut is the value of the label "outcome" for a response that was cut off. The
// other values are those of outcome.Kind.
const outcomeCut = "cut"

// requestMeter counts the responses to callers.
type requestMeter struct {
	metrics *metrics.Metrics
	usage   *usageCounter
}

// Answered implements caller.Observer: it counts the request by service, workspace,
// outcome and reason.
func (m requestMeter) Answered(r *dispatch.Request, answer caller.Answer) {
	service := r.Service
	if r.Spec == nil {
		service = "" // not a known service; the name is arbitrary text from the caller's path
	}
	result, reason := outcome.Ran.String(), ""
	if answer.Cut {
		result = outcomeCut
	}
	if answer.Refusal != nil {
		result, reason = answer.Refusal.Kind.String(), answer.Refusal.Reason
	}
	m.metrics.Request(service, r.Workspace, result, reason, answer.Took)
	if answer.Refusal != nil && r.Workspace != "" {
		m.usage.countRefused(r.Workspace, metrics.Reason(reason))
	}
}

// limitMeter counts the decisions of the rate limiter.
type limitMeter struct {
	limiter caller.Limiter
	metrics *metrics.Metrics
	usage   *usageCounter
}

// Take implements caller.Limiter.
func (m limitMeter) Take(ctx context.Context, workspace string) *outcome.Refusal {
	refusal := m.limiter.Take(ctx, workspace)
	if refusal != nil {
		m.metrics.QuotaDecision(workspace, metrics.Refused)
		return refusal
	}
	m.metrics.QuotaDecision(workspace, metrics.Granted)
	m.usage.countGranted(workspace)
	return nil
}

// gateReasons holds the reasons of failures that come from the gate itself rather than
// from the backend server.
var gateReasons = map[string]bool{
	"deadline-too-close": true, "queue-full": true, "not-gate": true, "no-lease": true,
	"leaving": true, "cancelled": true, "overloaded": true, "moved": true,
}

// gateMeter counts the attempts that the gates of this VM reject.
type gateMeter struct {
	gates   peer.Sender
	metrics *metrics.Metrics
	// isService reports whether the name is that of a service. Forwarded requests may
	// contain other text, which must not become a label.
	isService func(service string) bool
}

// Send implements peer.Sender.
func (m gateMeter) Send(ctx context.Context, attempt peer.Attempt) (*backend.Response, error) {
	resp, err := m.gates.Send(ctx, attempt)
	if failure, ok := err.(*backend.Failure); ok && gateReasons[failure.Reason] && m.isService(attempt.Service) {
		m.metrics.GateRefusal(attempt.Service, failure.Reason)
	}
	return resp, err
}

// countEvent counts the results of lease renewals.
func (a *assigner) countEvent(event ownership.Event) {
	m := a.vm.metrics
	switch e := event.(type) {
	case ownership.GrantReplied:
		if e.Refused {
			m.Renewal(metrics.LeaseBackend, metrics.ResultRefused)
		} else {
			m.Renewal(metrics.LeaseBackend, metrics.ResultOK)
		}
	case ownership.GrantFailed:
		m.Renewal(metrics.LeaseBackend, metrics.ResultFailed)
	case ownership.HeartbeatReplied:
		m.Renewal(metrics.LeaseRole, metrics.ResultOK)
	}
}

// roleNames holds the values of the metric label "kind".
var roleNames = map[ownership.RoleKind]string{
	ownership.RoleGate:              "gate",
	ownership.RoleKeeper:            "keeper",
	ownership.RoleIdempotencyHolder: "idempotency_holder",
	ownership.RoleIdempotencyBackup: "idempotency_backup",
}

// countRoles counts the roles that this VM has gained and lost between two leases.
func (v *VM) countRoles(before, after []ownership.Role) {
	changes := make(map[ownership.RoleKind]struct{ gained, lost int })
	had := make(map[ownership.Role]bool, len(before))
	for _, role := range before {
		had[role] = true
	}
	for _, role := range after {
		if !had[role] {
			c := changes[role.Kind]
			c.gained++
			changes[role.Kind] = c
		}
		delete(had, role)
	}
	for role := range had {
		c := changes[role.Kind]
		c.lost++
		changes[role.Kind] = c
	}
	for kind, c := range changes {
		v.metrics.RoleChanged(roleNames[kind], metrics.Gained, c.gained)
		v.metrics.RoleChanged(roleNames[kind], metrics.Lost, c.lost)
	}
}

// metricsState returns the current values of the gauges.
func (v *VM) metricsState() metrics.State {
	state := metrics.State{
		Ready:   v.Ready(),
		Decider: v.deciderInfo.isDecider.Load(),
		Term:    v.deciderInfo.term.Load(),
		Roles:   make(map[string]int),
		Config:  v.metricsConfig(),
	}
	for _, role := range v.roles.currentLease().Roles {
		state.Roles[roleNames[role.Kind]]++
	}
	for _, g := range v.localGates() {
		state.Gates = append(state.Gates, metrics.Gate{Service: g.Service, Server: g.Server, Limit: g.Limit, InFlight: g.InFlight, Queued: g.Queued})
	}
	overview := v.Overview()
	state.VMs = len(overview.VMs)
	for _, vm := range overview.VMs {
		if vm.State == api.VMMissing {
			state.MissingVMs++
		}
	}
	for _, drain := range overview.Drains {
		if !drain.Done {
			state.PendingDrains++
		}
	}
	return state
}

// metricsConfig returns the gauges of the configuration. ConfirmedAge is negative if the
// configuration was never confirmed.
func (v *VM) metricsConfig() metrics.Config {
	status := v.follower.Status()
	config := metrics.Config{
		Position:     status.Position,
		ConfirmedAge: -1,
		Fault:        status.Fault != "",
		ReadFailures: status.ReadFailures,
		Refused:      status.Refused,
		Duplicates:   status.Duplicates,
		Restores:     status.Restores,
	}
	if !status.ConfirmedAt.IsZero() {
		config.ConfirmedAge = time.Since(status.ConfirmedAt)
	}
	return config
}
