package vm

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fireflyfield/internal/config"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
)

// statusCall requests the status of a VM.
type statusCall struct{}

// statusReply is the status of one VM.
type statusReply struct {
	Revision uint64 `cbor:"1,keyasint"`
	// State is stateServing, stateStarting or stateStopping.
	State      string           `cbor:"2,keyasint"`
	Gates      []gateStatus     `cbor:"3,keyasint,omitempty"`
	Workspaces []workspaceUsage `cbor:"4,keyasint,omitempty"`
	// Decider is set if the VM is the decider of its failure domain.
	Decider *deciderStatus `cbor:"5,keyasint,omitempty"`
	// Drains holds the time since which the VM knows each drain.
	Drains []knownDrain `cbor:"6,keyasint,omitempty"`
}

// The states that a VM reports for itself.
const (
	stateServing  = "serving"
	stateStarting = "starting"
	stateStopping = "stopping"
)

// gateStatus is the state of one gate.
type gateStatus struct {
	Service  string `cbor:"1,keyasint"`
	Server   string `cbor:"2,keyasint"`
	Slots    int    `cbor:"3,keyasint"`
	Limit    int    `cbor:"4,keyasint"`
	InFlight int    `cbor:"5,keyasint"`
	// Adopted is the number of requests of the previous gate that may still be in
	// flight.
	Adopted int  `cbor:"6,keyasint,omitempty"`
	Queued  int  `cbor:"7,keyasint"`
	Warm    bool `cbor:"8,keyasint"`
}

// workspaceUsage is the current request rate of one workspace on one VM and the number
// of its rejected requests by reason since the start of the VM.
type workspaceUsage struct {
	Name      string            `cbor:"1,keyasint"`
	PerSecond float64           `cbor:"2,keyasint"`
	Refusals  map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// deciderStatus is the state of a failure domain as its decider knows it.
type deciderStatus struct {
	Domain  string         `cbor:"1,keyasint"`
	Term    ownership.Term `cbor:"2,keyasint"`
	Servers []serverUnits  `cbor:"3,keyasint,omitempty"`
}

// serverUnits is the number of units of one backend server. Lost is set while the
// decider considers the backend server lost.
type serverUnits struct {
	Service string `cbor:"1,keyasint"`
	Server  string `cbor:"2,keyasint"`
	Slices  int    `cbor:"3,keyasint"`
	HotKeys int    `cbor:"4,keyasint"`
	Lost    bool   `cbor:"5,keyasint,omitempty"`
}

// knownDrain is the time since which a VM knows a drain in its current revision.
type knownDrain struct {
	Name     string    `cbor:"1,keyasint"`
	Revision uint64    `cbor:"2,keyasint"`
	Since    time.Time `cbor:"3,keyasint"`
}

// deciderInfo publishes the state of the ownership logic to other goroutines.
type deciderInfo struct {
	isDecider atomic.Bool
	term      atomic.Uint64
	summary   atomic.Pointer[deciderStatus]
	// summarizedAt is the time of the last summary; only the goroutine of the
	// ownership logic uses it.
	summarizedAt time.Time
}

// summaryInterval is the shortest time between two summaries, since counting all units
// takes time in proportion to the number of slices.
const summaryInterval = time.Second

// update publishes the current state. The goroutine of the ownership logic calls it
// after each step.
func (d *deciderInfo) update(decider *ownership.Decider, domain string) {
	isDecider := decider.IsDecider()
	d.isDecider.Store(isDecider)
	d.term.Store(uint64(decider.State().Term))
	now := time.Now()
	if !isDecider {
		d.summary.Store(nil)
		d.summarizedAt = time.Time{}
		return
	}
	if now.Sub(d.summarizedAt) < summaryInterval {
		return
	}
	d.summarizedAt = now
	status := &deciderStatus{Domain: domain, Term: decider.State().Term}
	for _, server := range decider.Summary() {
		status.Servers = append(status.Servers, serverUnits{
			Service: server.Service, Server: server.Server, Slices: server.Slices, HotKeys: server.HotKeys, Lost: server.Lost,
		})
	}
	d.summary.Store(status)
}

// drainTimes records since when this VM knows each drain.
type drainTimes struct {
	mu   sync.Mutex
	seen map[string]knownDrain
}

// list returns the drains of the configuration. The time of a drain starts again with
// each new revision.
func (d *drainTimes) list(view *config.View, now time.Time) []knownDrain {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.seen
	d.seen = make(map[string]knownDrain)
	var list []knownDrain
	for _, drain := range view.Drains() {
		entry := previous[drain.Name]
		if entry.Revision != drain.Revision {
			entry = knownDrain{Name: drain.Name, Revision: drain.Revision, Since: now}
		}
		d.seen[drain.Name] = entry
		list = append(list, entry)
	}
	return list
}

func (v *VM) onStatus(context.Context, peer.Identity, statusCall) (statusReply, error) {
	return v.localStatus(), nil
}

// localStatus returns the current status of this VM.
func (v *VM) localStatus() statusReply {
	now := time.Now()
	view := v.follower.State().View()
	return statusReply{
		Revision:   view.Revision(),
		State:      v.state(),
		Gates:      v.localGates(),
		Workspaces: v.usage.report(now),
		Decider:    v.deciderInfo.summary.Load(),
		Drains:     v.drains.list(view, now),
	}
}

func (v *VM) state() string {
	switch {
	case v.stopping.Load():
		return stateStopping
	case !v.Ready():
		return stateStarting
	default:
		return stateServing
	}
}

func (v *VM) localGates() []gateStatus {
	view := v.follower.State().View()
	var list []gateStatus
	for _, id := range v.gates.IDs() {
		open, ok := v.gates.Gate(id)
		if !ok {
			continue // closed in the meantime
		}
		snapshot := open.Snapshot()
		status := gateStatus{
			Service:  id.Service,
			Server:   id.Name,
			Limit:    snapshot.Limit,
			InFlight: snapshot.InFlight,
			Adopted:  snapshot.Adopted,
			Queued:   snapshot.Queued,
			Warm:     snapshot.Warm,
		}
		if service, ok := view.Service(id.Service); ok {
			status.Slots = service.Spec.Slots
		}
		list = append(list, status)
	}
	return list
}
