package vm

import (
	"net/http"

	"fireflyfield/internal/caller"
	"fireflyfield/internal/metrics"
	"fireflyfield/internal/operator"
	"fireflyfield/internal/peer"
)

// operatorState is the state that metrics, status and the operator API use.
type operatorState struct {
	metrics         *metrics.Metrics
	usage           *usageCounter
	statusCollector *statusCollector
	deciderInfo     *deciderInfo
	drains          *drainTimes
	// stopSignal is closed when a stop begins, so that clients move their watches to
	// another VM.
	stopSignal chan struct{}
}

func newOperatorState(v *VM) operatorState {
	instruments, err := metrics.New(v.metricsState)
	if err != nil {
		panic(err) // can't happen: the instruments are constant
	}
	v.peerClient.SetMeter(peerMeter{instruments})
	return operatorState{
		metrics:         instruments,
		usage:           newUsageCounter(),
		statusCollector: newStatusCollector(v),
		deciderInfo:     &deciderInfo{},
		drains:          &drainTimes{},
		stopSignal:      make(chan struct{}),
	}
}

var _ operator.StatusSource = statusSource{}

func (v *VM) operatorHandler() http.Handler {
	return operator.NewHandler(operator.Options{
		Follower: v.follower,
		Status:   statusSource{v},
		Token:    v.options.OperatorToken,
		Metrics:  v.metrics.Handler(),
		Stopping: v.stopSignal,
		Logger:   v.logger,
	})
}

// measuredGates returns the gates of this VM with their rejections counted.
func (v *VM) measuredGates() peer.Sender {
	return gateMeter{gates: v.gates, metrics: v.metrics, isService: v.knowsService}
}

func (v *VM) knowsService(name string) bool {
	_, ok := v.follower.State().View().Service(name)
	return ok
}

// measuredLimiter returns the rate limiter with its decisions counted.
func (v *VM) measuredLimiter() caller.Limiter {
	return limitMeter{limiter: v.quotas, metrics: v.metrics, usage: v.usage}
}

func (v *VM) requestMeter() caller.Observer {
	return requestMeter{metrics: v.metrics, usage: v.usage}
}

// countDecider counts that this VM has become the decider or is no longer the decider.
func (v *VM) countDecider(isDecider bool) {
	change := metrics.Lost
	if isDecider {
		change = metrics.Gained
	}
	v.metrics.DeciderChanged(change)
}

// Revision returns the revision of the configuration that is in force on this VM.
func (v *VM) Revision() uint64 { return v.follower.State().View().Revision() }
