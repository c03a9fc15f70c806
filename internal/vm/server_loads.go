package vm

import (
	"context"
	"sync"
	"time"

	"fireflyfield/internal/admission"
	"fireflyfield/internal/backend"
	"fireflyfield/internal/balance"
	"fireflyfield/internal/gate"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
)

const (
	// serverLoadInterval is the time between two reads of one backend server's load
	// report. A read costs up to 6 ms of a backend server's time, 0.3% at this
	// interval.
	serverLoadInterval = 2 * time.Second
	// newGateInterval is the time after which the first report of a new gate is
	// read; without one it counts every slot as in use by the former gate.
	newGateInterval = 100 * time.Millisecond
	// maxServerLoads bounds one message.
	maxServerLoads = 512
)

// serverLoadsCall tells VMs of the same failure domain what a gate knows.
type serverLoadsCall struct {
	Loads []serverLoadReport `cbor:"1,keyasint"`
}

// serverLoadReport is the state of one backend server as its gate knows it.
type serverLoadReport struct {
	Service  string        `cbor:"1,keyasint"`
	Server   string        `cbor:"2,keyasint"`
	InFlight int           `cbor:"3,keyasint"`
	State    balance.State `cbor:"4,keyasint"`
	// Age is the time since InFlight was read.
	Age time.Duration `cbor:"5,keyasint"`
}

// readServerLoads reads the load reports of the backend servers whose gate this VM
// is, until the context ends. Those of keyed services are read once, when the gate
// is new; the load balancer does not use them.
func (v *VM) readServerLoads(ctx context.Context) {
	ticker := time.NewTicker(newGateInterval)
	defer ticker.Stop()
	readAt := make(map[gate.ServerID]time.Time)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		v.updateUsualLatency()
		due := v.dueServerLoads(readAt, time.Now())
		if len(due) == 0 {
			continue
		}
		loads := v.readLoads(ctx, due)
		v.unkeyed.report(loads)
		v.shareServerLoads(ctx, loads)
	}
}

// dueServerLoads returns the gates whose backend server is to be asked now.
func (v *VM) dueServerLoads(readAt map[gate.ServerID]time.Time, now time.Time) []gate.ServerID {
	open := v.gates.IDs()
	present := make(map[gate.ServerID]bool, len(open))
	var due []gate.ServerID
	for _, id := range open {
		present[id] = true
		last, known := readAt[id]
		if !known || v.unkeyed.has(id.Service) && now.Sub(last) >= serverLoadInterval {
			readAt[id] = now
			due = append(due, id)
		}
	}
	for id := range readAt {
		if !present[id] {
			delete(readAt, id)
		}
	}
	return due
}

func (v *VM) readLoads(ctx context.Context, ids []gate.ServerID) []serverLoadReport {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var reads sync.WaitGroup
	loads := make([]serverLoadReport, 0, len(ids))
	for _, id := range ids {
		client, ok := v.control.client(ownership.ServerID{Service: id.Service, Name: id.Name})
		if !ok {
			continue
		}
		reads.Go(func() {
			load, err := client.Load(ctx)
			report, known := v.combine(id, load, err == nil)
			mu.Lock()
			defer mu.Unlock()
			if known && v.unkeyed.has(id.Service) {
				loads = append(loads, report)
			}
		})
	}
	reads.Wait()
	return loads
}

// combine gives the report to the gate and returns what both say together. The
// report may be wrong, so a backend server whose gate is still raising its limit
// counts as cold whatever the report says.
func (v *VM) combine(id gate.ServerID, load backend.Load, answered bool) (serverLoadReport, bool) {
	own, ok := v.gates.Gate(id)
	if !ok {
		return serverLoadReport{}, false
	}
	age := time.Duration(load.AgeMs) * time.Millisecond
	if answered {
		own.Report(admission.LoadReport{Instance: load.Instance, InFlight: load.InFlight, State: admissionState(load.State), Age: age})
	}
	snapshot := own.Snapshot()
	report := serverLoadReport{Service: id.Service, Server: id.Name, InFlight: snapshot.InFlight + snapshot.Queued, State: balance.Warm}
	switch {
	case answered && load.State == backend.StateDraining:
		report.State = balance.Draining
	case !snapshot.Warm || answered && load.State == backend.StateCold:
		report.State = balance.Cold
	}
	return report, true
}

func admissionState(state string) admission.ServerState {
	switch state {
	case backend.StateCold:
		return admission.StateCold
	case backend.StateDraining:
		return admission.StateDraining
	default:
		return admission.StateWarm
	}
}

// shareServerLoads sends the reports to the other VMs of the failure domain, which
// prefer its backend servers. A lost message is replaced by the next one.
func (v *VM) shareServerLoads(ctx context.Context, loads []serverLoadReport) {
	if len(loads) == 0 {
		return
	}
	call := serverLoadsCall{Loads: loads[:min(len(loads), maxServerLoads)]}
	for _, vm := range v.fleet.inDomain(v.options.FailureDomain) {
		if vm.Name == v.options.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, _ = v.calls.Call(ctx, vm.PeerAddress, messageServerLoads, call, &empty{})
		}()
	}
}

func (v *VM) onServerLoads(_ context.Context, from peer.Identity, call serverLoadsCall) (empty, error) {
	if from.FailureDomain == v.options.FailureDomain {
		v.unkeyed.report(call.Loads)
	}
	return empty{}, nil
}

// has reports whether the service is not divided by key.
func (b *balancers) has(service string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	_, ok := b.pickers[service]
	return ok
}

// report gives load reports to the pickers; they ignore unknown backend servers.
func (b *balancers) report(loads []serverLoadReport) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, load := range loads {
		picker, ok := b.pickers[load.Service]
		if !ok || load.State > balance.Draining || load.InFlight < 0 || load.Age < 0 {
			continue
		}
		picker.Report(load.Server, balance.Report{InFlight: load.InFlight, State: load.State, Age: load.Age})
	}
}
