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

// statusCall asks a VM for its status.
type statusCall struct{}

// statusReply is the status of one VM.
type statusReply struct {
	Revision uint64 `cbor:"1,keyasint"`
	// State is stateServing, stateStarting or stateStopping.
	State      string         `cbor:"2,keyasint"`
	Gates      []gateStatus   `cbor:"3,keyasint,omitempty"`
	Workspaces []workspaceUse `cbor:"4,keyasint,omitempty"`
	// Decider is set by the decider of a failure domain.
	Decider *deciderStatus `cbor:"5,keyasint,omitempty"`
	// Drains says since when the VM knows each drain.
	Drains []drainSeen `cbor:"6,keyasint,omitempty"`
}

// The states of a VM in its own view.
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
	// Adopted counts requests of the former gate that may still be in flight.
	Adopted int  `cbor:"6,keyasint,omitempty"`
	Queued  int  `cbor:"7,keyasint"`
	Warm    bool `cbor:"8,keyasint"`
}

// workspaceUse is the use of one workspace on one VM since its start.
type workspaceUse struct {
	Name      string            `cbor:"1,keyasint"`
	PerSecond float64           `cbor:"2,keyasint"`
	Refusals  map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// deciderStatus is what a decider knows of its failure domain.
type deciderStatus struct {
	Domain  string         `cbor:"1,keyasint"`
	Term    ownership.Term `cbor:"2,keyasint"`
	Servers []serverUnits  `cbor:"3,keyasint,omitempty"`
}

// serverUnits counts the units of one backend server.
type serverUnits struct {
	Service string `cbor:"1,keyasint"`
	Server  string `cbor:"2,keyasint"`
	Slices  int    `cbor:"3,keyasint"`
	HotKeys int    `cbor:"4,keyasint"`
	Lost    bool   `cbor:"5,keyasint,omitempty"`
}

// drainSeen is the time since which a VM knows a drain in its present revision.
type drainSeen struct {
	Name     string    `cbor:"1,keyasint"`
	Revision uint64    `cbor:"2,keyasint"`
	Since    time.Time `cbor:"3,keyasint"`
}

// leadership is what the goroutine of the decision logic tells others.
type leadership struct {
	leading atomic.Bool
	term    atomic.Uint64
	summary atomic.Pointer[deciderStatus]
	// taken is the time of the last summary; only the logic's goroutine uses it.
	taken time.Time
}

// summaryInterval spaces the counts of all units, which take time in proportion to
// the number of slices.
const summaryInterval = time.Second

// update runs on the goroutine of the decision logic after each step.
func (l *leadership) update(decider *ownership.Decider, domain string) {
	leading := decider.IsDecider()
	l.leading.Store(leading)
	l.term.Store(uint64(decider.State().Term))
	now := time.Now()
	if !leading {
		l.summary.Store(nil)
		l.taken = time.Time{}
		return
	}
	if now.Sub(l.taken) < summaryInterval {
		return
	}
	l.taken = now
	status := &deciderStatus{Domain: domain, Term: decider.State().Term}
	for _, server := range decider.Summary() {
		status.Servers = append(status.Servers, serverUnits{
			Service: server.Service, Server: server.Server, Slices: server.Slices, HotKeys: server.HotKeys, Lost: server.Lost,
		})
	}
	l.summary.Store(status)
}

// drainTimes remembers since when each drain is known.
type drainTimes struct {
	mu   sync.Mutex
	seen map[string]drainSeen
}

// list returns the drains of the configuration; a drain that was replaced begins
// again.
func (d *drainTimes) list(view *config.View, now time.Time) []drainSeen {
	d.mu.Lock()
	defer d.mu.Unlock()
	former := d.seen
	d.seen = make(map[string]drainSeen)
	var list []drainSeen
	for _, drain := range view.Drains() {
		entry := former[drain.Name]
		if entry.Revision != drain.Revision {
			entry = drainSeen{Name: drain.Name, Revision: drain.Revision, Since: now}
		}
		d.seen[drain.Name] = entry
		list = append(list, entry)
	}
	return list
}

func (v *VM) onStatus(context.Context, peer.Identity, statusCall) (statusReply, error) {
	return v.localStatus(), nil
}

// localStatus returns the status of this VM.
func (v *VM) localStatus() statusReply {
	now := time.Now()
	view := v.follower.State().View()
	return statusReply{
		Revision:   view.Revision(),
		State:      v.state(),
		Gates:      v.localGates(),
		Workspaces: v.use.report(now),
		Decider:    v.leadership.summary.Load(),
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
			continue // closed meanwhile
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
