package vm

import (
	"net/http"

	"fireflyfield/internal/caller"
	"fireflyfield/internal/metrics"
	"fireflyfield/internal/operator"
	"fireflyfield/internal/peer"
)

// operatorState is what the operators' side of a VM keeps.
type operatorState struct {
	metrics    *metrics.Metrics
	use        *use
	collector  *collector
	leadership *leadership
	drains     *drainTimes
	// stopSignal is closed when a stop begins, so that watches continue elsewhere.
	stopSignal chan struct{}
}

func newOperatorState(v *VM) operatorState {
	made, err := metrics.New(v.metricsState)
	if err != nil {
		panic(err) // the instruments are constants
	}
	v.calls.SetMeter(peerMeter{made})
	return operatorState{
		metrics:    made,
		use:        newUse(),
		collector:  newCollector(v),
		leadership: &leadership{},
		drains:     &drainTimes{},
		stopSignal: make(chan struct{}),
	}
}

var _ operator.StatusSource = source{}

func (v *VM) operatorHandler() http.Handler {
	return operator.NewHandler(operator.Options{
		Follower: v.follower,
		Status:   source{v},
		Token:    v.options.OperatorToken,
		Metrics:  v.metrics.Handler(),
		Stopping: v.stopSignal,
		Logger:   v.logger,
	})
}

func (v *VM) measuredGates() peer.Sender {
	return gateMeter{gates: v.gates, metrics: v.metrics, known: v.knowsService}
}

func (v *VM) knowsService(name string) bool {
	_, ok := v.follower.State().View().Service(name)
	return ok
}

func (v *VM) measuredLimiter() caller.Limiter {
	return limitMeter{limiter: v.quotas, metrics: v.metrics, use: v.use}
}

func (v *VM) requestMeter() caller.Observer {
	return requestMeter{metrics: v.metrics, use: v.use}
}

func (v *VM) countDecider(leading bool) {
	change := metrics.Lost
	if leading {
		change = metrics.Gained
	}
	v.metrics.DeciderChanged(change)
}

// Revision returns the revision of the configuration that is in force on this VM.
func (v *VM) Revision() uint64 { return v.follower.State().View().Revision() }
