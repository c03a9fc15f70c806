// Package gate sends requests to the backend servers whose gate this VM is, and stops
// requests for keys that move to another owner. Package admission decides whether and
// when a request is sent, and the callers of this package choose the backend server.
//
// Every request to a backend server passes through its only gate, so the gate can
// limit the load on it.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fireflyfield/internal/admission"
	"fireflyfield/internal/backend"
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/resource"
)

// ServerID identifies a backend server.
type ServerID struct {
	Service string
	Name    string
}

// Owner is the backend server that owns a key, as far as the gate's VM knows, with the
// unit of the key and the fencing token of the assignment.
type Owner struct {
	Server string
	Unit   uint64
	Fence  backend.Fence
}

// Owners finds the owner of a key. The second result of OwnerOf is false while the key
// has no owner.
type Owners interface {
	OwnerOf(service string, keyHash uint64) (Owner, bool)
}

// Clock returns the current time with its monotonic reading.
type Clock func() time.Time

// Set holds the gates that are open on this VM. It is safe for concurrent use.
type Set struct {
	// Recorder is notified of attempts; it may be nil. It must be set before the first
	// use of the set.
	Recorder Recorder

	owners Owners
	now    Clock
	// meter measures the demand for keyed services; it may be nil.
	meter *Meter

	mu    sync.RWMutex
	gates map[ServerID]*openGate
}

// openGate is the gate of one backend server and its client. The fields are not
// replaced after it was created.
type openGate struct {
	address string
	slots   int
	slices  int
	// domain is the failure domain of the backend server.
	domain string
	// inFlight counts the attempts for Sending.InFlight.
	inFlight atomic.Int64
	gate     *admission.Gate
	client   *backend.Client
	units    *unitGuard
	attempts *attemptSet
}

// NewSet returns a Set without gates. The meter may be nil.
func NewSet(owners Owners, now Clock, meter *Meter) *Set {
	return &Set{owners: owners, now: now, meter: meter, gates: make(map[ServerID]*openGate)}
}

// Server describes a backend server to its gate.
type Server struct {
	ID      ServerID
	Address string
	Spec    *resource.ServiceSpec
	// Takeover describes the former gate; nil if no other VM was the gate before.
	Takeover *admission.Takeover
}

// Renew sets the expiry of the gate's role lease. It returns false if this VM is not
// the gate of the backend server.
func (s *Set) Renew(id ServerID, expiresAt time.Time) bool {
	existing, ok := s.lookup(id)
	if ok {
		existing.gate.Renew(expiresAt)
	}
	return ok
}

// Open makes this VM the gate of the backend server until the role lease expires. If
// the gate is open already with the same address and slots, Open only renews the
// lease; if they have changed, it replaces the gate.
func (s *Set) Open(server Server, expiresAt time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, ok := s.gates[server.ID]
	if ok && existing.address == server.Address && existing.slots == server.Spec.Slots {
		existing.gate.Renew(expiresAt)
		return nil
	}
	if ok {
		existing.stop()
	}
	created, err := newOpenGate(server, s.now)
	if err != nil {
		return err
	}
	created.gate.Renew(expiresAt)
	s.gates[server.ID] = created
	return nil
}

func newOpenGate(server Server, now Clock) (*openGate, error) {
	spec := server.Spec
	gate, err := admission.New(admission.Config{
		Slots:              spec.Slots,
		MaxRequestTime:     spec.Timeout.Std(),
		ServesWithoutLease: spec.ChecksGrants || !spec.Keyed(),
		Takeover:           server.Takeover,
		Now:                now,
	})
	if err != nil {
		return nil, err
	}
	return &openGate{
		address:  server.Address,
		domain:   domainOf(server),
		slots:    spec.Slots,
		slices:   spec.Slices,
		gate:     gate,
		client:   backend.NewClient(server.Address, spec.Connections),
		units:    newUnitGuard(),
		attempts: newAttemptSet(),
	}, nil
}

// stop refuses new requests and closes the connections once no request is in flight.
func (e *openGate) stop() {
	drained := e.gate.Drain()
	go func() {
		<-drained
		e.client.Close()
	}()
}

// Close ends this VM's role as the gate of the backend server and returns the state for
// the next gate. The channel is closed when no request of this gate is in flight any
// more.
func (s *Set) Close(id ServerID) (<-chan struct{}, admission.Handover) {
	s.mu.Lock()
	existing, ok := s.gates[id]
	delete(s.gates, id)
	s.mu.Unlock()
	if !ok {
		done := make(chan struct{})
		close(done)
		return done, admission.Handover{}
	}
	existing.stop()
	return existing.gate.Drain(), existing.gate.Handover()
}

// Gate returns the gate of the backend server; false if this VM is not its gate.
func (s *Set) Gate(id ServerID) (*admission.Gate, bool) {
	existing, ok := s.lookup(id)
	if !ok {
		return nil, false
	}
	return existing.gate, true
}

// IDs returns the backend servers whose gate this VM is, in no particular order.
func (s *Set) IDs() []ServerID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ids := make([]ServerID, 0, len(s.gates))
	for id := range s.gates {
		ids = append(ids, id)
	}
	return ids
}

func (s *Set) lookup(id ServerID) (*openGate, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	existing, ok := s.gates[id]
	return existing, ok
}

var _ peer.Sender = (*Set)(nil)

// Send implements peer.Sender: it waits for a slot and makes the attempt. An error is
// always a *backend.Failure.
func (s *Set) Send(ctx context.Context, attempt peer.Attempt) (*backend.Response, error) {
	existing, ok := s.lookup(ServerID{attempt.Service, attempt.Server})
	if !ok {
		return nil, &backend.Failure{Kind: outcome.NotRun, Reason: "not-gate"}
	}
	if attempt.Keyed && s.meter != nil && existing.slices > 0 {
		s.meter.Observe(attempt.Service, keyspace.Hash(attempt.KeyHash), existing.slices)
	}
	ticket, refusal := existing.gate.Admit(ctx, attempt.Workspace, attempt.Deadline())
	if refusal.Refused() {
		return nil, refusalFailure(refusal)
	}
	owner, ok := s.owner(attempt)
	if !ok || attempt.Keyed && !existing.units.begin(owner) {
		ticket.Done(admission.Observation{Result: admission.Abandoned})
		return nil, &backend.Failure{Kind: outcome.NotRun, Reason: "moved"}
	}
	inFlight := newInFlightAttempt(ctx, existing, ticket, attempt, owner, s.now)
	inFlight.recorder = s.Recorder
	if refusal := ticket.MaySend(); refusal.Refused() {
		inFlight.finish(admission.Observation{Result: admission.Abandoned})
		return nil, refusalFailure(refusal)
	}
	return inFlight.send(attempt, owner)
}

// owner returns the owner whose fencing token is sent; false if the backend server is
// not the owner of the key. It is called after the wait for a slot, because the owner
// may have changed meanwhile.
func (s *Set) owner(attempt peer.Attempt) (Owner, bool) {
	if !attempt.Keyed {
		return Owner{Server: attempt.Server}, true
	}
	owner, ok := s.owners.OwnerOf(attempt.Service, attempt.KeyHash)
	return owner, ok && owner.Server == attempt.Server
}

// resultOf returns what a failed attempt says about the backend server.
func resultOf(ctx context.Context, failure *backend.Failure) admission.Result {
	switch failure.Reason {
	case backend.ReasonShed:
		return admission.Shed
	case backend.ReasonDraining:
		return admission.RefusedDraining
	case backend.ReasonFence:
		return admission.RefusedFence
	}
	switch {
	case failure.ConnectFailed:
		return admission.ConnectionRefused
	case ctx.Err() == context.DeadlineExceeded:
		return admission.TimedOut
	case ctx.Err() != nil || failure.Kind == outcome.NotRun:
		return admission.Abandoned
	default:
		return admission.ConnectionReset
	}
}

// refusalFailure returns the failure of an attempt that the gate refused.
func refusalFailure(refusal admission.Refusal) *backend.Failure {
	return &backend.Failure{Kind: outcome.NotRun, Reason: refusalReason(refusal.Reason), RetryAfter: refusal.RetryAfter}
}

// refusalReason returns the reason as it is sent to other VMs and callers.
func refusalReason(reason admission.Reason) string {
	switch reason {
	case admission.DeadlineTooClose:
		return "deadline-too-close"
	case admission.QueueFull:
		return "queue-full"
	case admission.NotGate, admission.Draining:
		return "not-gate"
	case admission.NoLease:
		return "no-lease"
	case admission.Leaving:
		return "leaving"
	case admission.Cancelled:
		return "cancelled"
	default:
		return "overloaded"
	}
}

// StopUnits refuses further requests for the units with fencing tokens up to the given
// ones, and waits until those in flight have ended or the context ends. It returns the
// units without a request in flight. It returns none if this VM is not the gate,
// because requests of a former gate may still be in flight.
func (s *Set) StopUnits(ctx context.Context, id ServerID, units map[uint64]backend.Fence) []uint64 {
	existing, ok := s.lookup(id)
	if !ok {
		return nil
	}
	existing.units.stop(units)
	for {
		idle, changed := existing.units.idleUnits(units)
		if len(idle) == len(units) {
			return idle
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return idle
		}
	}
}
