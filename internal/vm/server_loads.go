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
	// report. A read takes up to 6 ms of the backend server's time, which is 0.3% at
	// this interval.
	serverLoadInterval = 2 * time.Second
	// newGateInterval is the longest time until the first load report is read for a
	// new gate. Until then a gate that has taken over without a handover assumes that
	// requests of the previous gate use every slot.
	newGateInterval = 100 * time.Millisecond
	// maxLoadsPerMessage is the maximum number of load reports in one message.
	maxLoadsPerMessage = 512
)

// serverLoadsCall sends the state of backend servers from the VM with their gates to
// the other VMs of the failure domain.
type serverLoadsCall struct {
	Loads []serverLoadReport `cbor:"1,keyasint"`
}

// serverLoadReport is the state of one backend server as its gate knows it.
type serverLoadReport struct {
	Service string `cbor:"1,keyasint"`
	Server  string `cbor:"2,keyasint"`
	// InFlight counts the requests that are in flight or queued at the gate.
	InFlight int           `cbor:"3,keyasint"`
	State    balance.State `cbor:"4,keyasint"`
	// Age is the time since InFlight was read, in ns. Senders leave it at 0, because
	// they read InFlight at most callTimeout before they send the report.
	Age time.Duration `cbor:"5,keyasint"`
}

// readServerLoads reads the load reports of the backend servers whose gates this VM
// has, and publishes them, until the context ends. Reports of keyed services are read
// only once, when the gate is new, because the load balancer does not use them. Each
// tick also updates the usual latencies of the services.
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
		v.publishServerLoads(ctx, loads)
	}
}

// dueServerLoads returns the gates whose load report is due, sets the time of their
// last read in readAt to now, and removes closed gates from readAt.
func (v *VM) dueServerLoads(readAt map[gate.ServerID]time.Time, now time.Time) []gate.ServerID {
	open := v.gates.IDs()
	present := make(map[gate.ServerID]bool, len(open))
	var due []gate.ServerID
	for _, id := range open {
		present[id] = true
		last, known := readAt[id]
		if !known || v.unkeyed.hasService(id.Service) && now.Sub(last) >= serverLoadInterval {
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

// readLoads reads the load reports of the backend servers in parallel and returns
// those of services that are not keyed.
func (v *VM) readLoads(ctx context.Context, ids []gate.ServerID) []serverLoadReport {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var reads sync.WaitGroup
	loads := make([]serverLoadReport, 0, len(ids))
	for _, id := range ids {
		client, ok := v.controlClients.client(ownership.ServerID{Service: id.Service, Name: id.Name})
		if !ok {
			continue
		}
		reads.Go(func() {
			load, err := client.Load(ctx)
			report, known := v.mergeLoad(id, load, err == nil)
			mu.Lock()
			defer mu.Unlock()
			if known && v.unkeyed.hasService(id.Service) {
				loads = append(loads, report)
			}
		})
	}
	reads.Wait()
	return loads
}

// mergeLoad passes the load report to the gate, if the backend server answered, and
// returns the state of the backend server according to both; false if the gate is
// closed. The report may be wrong, so a backend server whose gate is still raising its
// limit counts as cold even if the report says warm.
func (v *VM) mergeLoad(id gate.ServerID, load backend.Load, answered bool) (serverLoadReport, bool) {
	local, ok := v.gates.Gate(id)
	if !ok {
		return serverLoadReport{}, false
	}
	age := time.Duration(load.AgeMs) * time.Millisecond
	if answered {
		local.Report(admission.LoadReport{Instance: load.Instance, InFlight: load.InFlight, State: admissionState(load.State), Age: age})
	}
	snapshot := local.Snapshot()
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

// publishServerLoads sends the load reports to the other VMs of the failure domain,
// because VMs prefer backend servers of their own failure domain. A lost message is
// not sent again; the next one replaces it.
func (v *VM) publishServerLoads(ctx context.Context, loads []serverLoadReport) {
	if len(loads) == 0 {
		return
	}
	call := serverLoadsCall{Loads: loads[:min(len(loads), maxLoadsPerMessage)]}
	for _, vm := range v.fleet.inDomain(v.options.FailureDomain) {
		if vm.Name == v.options.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, _ = v.peerClient.Call(ctx, vm.PeerAddress, messageServerLoads, call, &emptyReply{})
		}()
	}
}

func (v *VM) onServerLoads(_ context.Context, from peer.Identity, call serverLoadsCall) (emptyReply, error) {
	if from.FailureDomain == v.options.FailureDomain {
		v.unkeyed.report(call.Loads)
	}
	return emptyReply{}, nil
}

// hasService reports whether the service has a picker, as services without keys do.
func (b *balancers) hasService(service string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	_, ok := b.pickers[service]
	return ok
}

// report passes load reports to the pickers, which ignore unknown backend servers.
// Invalid reports are dropped.
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
