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
	// maxReportedSlices and maxReportedKeys bound one load report over all services.
	maxReportedSlices = 512
	maxReportedKeys   = 128
	// loadHalfLives is the half-life of the counts in report intervals.
	loadHalfLives = 2
)

// errNotDecider answers a load report that came to the wrong VM.
var errNotDecider = errors.New("this VM is not the decider")

// loadCall reports the demand that the gates of one VM saw.
type loadCall struct {
	Services []serviceLoad `cbor:"1,keyasint"`
}

// serviceLoad is the demand for one service.
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

// loads reports the demand at this VM's gates to the decider and, on the decider,
// collects the reports of all VMs.
type loads struct {
	vm       *VM
	meter    *gate.Meter
	interval time.Duration
	// decider is the name of the VM that is the decider of this failure domain.
	decider atomic.Pointer[string]

	mu sync.Mutex
	// collected is nil while this VM is not the decider.
	collected *loadCollector
}

func newLoads(v *VM) *loads {
	interval := v.options.LoadInterval
	return &loads{vm: v, interval: interval, meter: gate.NewMeter(loadHalfLives*interval, time.Now())}
}

// setDecider notes the decider's name; the assigner's goroutine calls it after
// each step.
func (l *loads) setDecider(name string) {
	if known := l.decider.Load(); known == nil || *known != name {
		l.decider.Store(&name)
	}
}

// lead begins or ends the collection of reports.
func (l *loads) lead(leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collected = nil
	if leading {
		l.collected = newLoadCollector(l.interval)
	}
}

// run reports until the context ends.
func (l *loads) run(ctx context.Context) {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.report(ctx)
			l.passOn(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// report sends this VM's counts to the decider. A report that is lost is replaced
// by the next one.
func (l *loads) report(ctx context.Context) {
	decider := l.decider.Load()
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
	_, _ = l.vm.calls.Call(ctx, address, messageLoad, call, &empty{}) // the next report follows
}

func (l *loads) put(from string, call loadCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.collected == nil {
		return false
	}
	l.collected.put(from, call, time.Now())
	return true
}

// passOn hands the sum of the reports to the ownership logic.
func (l *loads) passOn(ctx context.Context) {
	for _, event := range l.events() {
		l.vm.assigner.enqueue(ctx, event)
	}
}

func (l *loads) events() []ownership.LoadReported {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.collected == nil {
		return nil
	}
	return l.collected.events(l.vm.keyedServices(), time.Now())
}

// keyedServices describes the keyed services of this failure domain.
func (v *VM) keyedServices() []loadedService {
	var found []loadedService
	published, _ := v.table.Domain(v.options.FailureDomain)
	for _, service := range v.follower.State().View().Services() {
		if !service.Spec.Keyed() {
			continue
		}
		described := loadedService{name: service.Name, slices: service.Spec.Slices, hot: published.Services[service.Name].Hot}
		for _, server := range service.Spec.BackendServers {
			if server.FailureDomain == v.options.FailureDomain {
				described.servers++
			}
		}
		found = append(found, described)
	}
	return found
}

func (v *VM) onLoad(_ context.Context, from peer.Identity, call loadCall) (empty, error) {
	if from.FailureDomain != v.options.FailureDomain || !v.loads.put(from.VM, call) {
		return empty{}, errNotDecider
	}
	return empty{}, nil
}

// newLoadCall keeps the highest rates if there are too many.
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
		reported.Slices = highest(reported.Slices, maxReportedSlices/len(measured))
		reported.Keys = highest(reported.Keys, maxReportedKeys/len(measured))
		call.Services = append(call.Services, reported)
	}
	return call
}

func highest(rates []unitRate, n int) []unitRate {
	slices.SortFunc(rates, func(a, b unitRate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Unit, b.Unit))
	})
	return rates[:min(n, len(rates))]
}

// leading reports whether this VM is the decider.
func (l *loads) leading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.collected != nil
}
