package vm

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/gate"
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
)

const (
	// maxReportedSlices and maxReportedKeys bound one report, over all services.
	maxReportedSlices = 512
	maxReportedKeys   = 128
	// loadHalfLifeIntervals is the half-life of the measured rates in report intervals.
	loadHalfLifeIntervals = 2
)

// errNotDecider rejects a report that reached a VM which is not the decider of the
// sender's failure domain.
var errNotDecider = errors.New("this VM is not the decider")

// loadCall reports the demand at the gates of one VM to the decider.
type loadCall struct {
	Services []serviceLoad `cbor:"1,keyasint"`
}

// serviceLoad is the demand for one service, by slice and by key.
type serviceLoad struct {
	Service string     `cbor:"1,keyasint"`
	Slices  []unitRate `cbor:"2,keyasint,omitempty"`
	Keys    []unitRate `cbor:"3,keyasint,omitempty"`
}

// unitRate is the rate of one slice or key in requests/s.
type unitRate struct {
	_    struct{} `cbor:",toarray"`
	Unit keyspace.Unit
	Rate float32
}

// loadReporter reports the demand at this VM's gates to the decider. On the decider it
// also collects the reports of all VMs of the failure domain.
type loadReporter struct {
	vm       *VM
	meter    *gate.Meter
	interval time.Duration
	// deciderName is the name of the VM that is the decider of this failure domain.
	deciderName atomic.Pointer[string]

	mu sync.Mutex
	// collector is nil while this VM is not the decider.
	collector *loadCollector
}

func newLoadReporter(v *VM) *loadReporter {
	interval := v.options.LoadInterval
	return &loadReporter{vm: v, interval: interval, meter: gate.NewMeter(loadHalfLifeIntervals*interval, time.Now())}
}

// setDeciderName sets the VM to report to. The goroutine of the ownership logic calls
// it after each step.
func (l *loadReporter) setDeciderName(name string) {
	if known := l.deciderName.Load(); known == nil || *known != name {
		l.deciderName.Store(&name)
	}
}

// setCollecting starts collecting reports with an empty collector, or ends it.
func (l *loadReporter) setCollecting(collecting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collector = nil
	if collecting {
		l.collector = newLoadCollector(l.interval)
	}
}

// run reports the demand every interval until the context ends.
func (l *loadReporter) run(ctx context.Context) {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.report(ctx)
			l.enqueueLoads(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// report sends the measured demand of this VM to the decider. A lost report is not
// sent again, because the next one replaces it.
func (l *loadReporter) report(ctx context.Context) {
	decider := l.deciderName.Load()
	call := newLoadCall(l.meter.Loads(time.Now(), maxReportedKeys))
	if decider == nil || *decider == "" || len(call.Services) == 0 {
		return
	}
	if *decider == l.vm.options.Name {
		l.put(*decider, call)
		return
	}
	address, ok := l.vm.fleet.address(*decider)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = l.vm.peerClient.Call(ctx, address, messageLoad, call, &emptyReply{}) // the next report follows
}

// put passes a report to the collector. It returns false if this VM is not the
// decider.
func (l *loadReporter) put(from string, call loadCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.collector == nil {
		return false
	}
	l.collector.put(from, call, time.Now())
	return true
}

// enqueueLoads passes the summed reports to the ownership logic.
func (l *loadReporter) enqueueLoads(ctx context.Context) {
	for _, event := range l.events() {
		l.vm.assigner.enqueue(ctx, event)
	}
}

func (l *loadReporter) events() []ownership.LoadReported {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.collector == nil {
		return nil
	}
	return l.collector.events(l.vm.keyedServices(), time.Now())
}

// keyedServices returns the keyed services with their hot keys and the number of their
// backend servers in this failure domain.
func (v *VM) keyedServices() []keyedService {
	var found []keyedService
	published, _ := v.table.Domain(v.options.FailureDomain)
	for _, service := range v.follower.State().View().Services() {
		if !service.Spec.Keyed() {
			continue
		}
		entry := keyedService{name: service.Name, slices: service.Spec.Slices, hot: published.Services[service.Name].Hot}
		for _, server := range service.Spec.BackendServers {
			if server.FailureDomain == v.options.FailureDomain {
				entry.servers++
			}
		}
		found = append(found, entry)
	}
	return found
}

func (v *VM) onLoad(_ context.Context, from peer.Identity, call loadCall) (emptyReply, error) {
	if from.FailureDomain != v.options.FailureDomain || !v.loads.put(from.VM, call) {
		return emptyReply{}, errNotDecider
	}
	return emptyReply{}, nil
}

// newLoadCall builds the report from measured rates. It keeps the highest rates if
// there are more than fit in one report.
func newLoadCall(measured []gate.ServiceLoad) loadCall {
	var call loadCall
	for _, load := range measured {
		reported := serviceLoad{Service: load.Service}
		for unit, rate := range load.Slices {
			reported.Slices = append(reported.Slices, unitRate{Unit: unit, Rate: float32(rate)})
		}
		for _, key := range load.Keys {
			reported.Keys = append(reported.Keys, unitRate{Unit: key.Unit, Rate: float32(key.Rate)})
		}
		reported.Slices = highestRates(reported.Slices, maxReportedSlices/len(measured))
		reported.Keys = highestRates(reported.Keys, maxReportedKeys/len(measured))
		call.Services = append(call.Services, reported)
	}
	return call
}

// highestRates returns the n highest rates, the highest first.
func highestRates(rates []unitRate, n int) []unitRate {
	slices.SortFunc(rates, func(a, b unitRate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Unit, b.Unit))
	})
	return rates[:min(n, len(rates))]
}

// isDecider reports whether this VM is the decider.
func (l *loadReporter) isDecider() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.collector != nil
}
