// Package metrics holds the OpenTelemetry instruments of one VM and serves them in the
// Prometheus format; what is counted when is left to its callers. Every label has a
// bounded set of values: names come from the accepted configuration, and all other
// values from constants.
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// maxSeries is the largest number of label sets of one instrument. Further ones are
// counted together under the label otel_metric_overflow.
const maxSeries = 4096

// scopeName is the name of the instrumentation scope.
const scopeName = "fireflyfield"

// latencyBounds are the upper bounds of the buckets of the latency histogram, in
// seconds. They are dense around the latency target of 12 ms.
var latencyBounds = []float64{0.001, 0.002, 0.004, 0.006, 0.008, 0.010, 0.012, 0.015, 0.020, 0.030, 0.050, 0.100, 0.200, 0.500, 1, 2, 5, 10, 30}

// Metrics holds the instruments of one VM. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider

	requests       metric.Int64Counter
	latency        metric.Float64Histogram
	gateRefusals   metric.Int64Counter
	retries        metric.Int64Counter
	hedges         metric.Int64Counter
	roleChanges    metric.Int64Counter
	deciderChanges metric.Int64Counter
	renewals       metric.Int64Counter
	peerMessages   metric.Int64Counter
	peerBytes      metric.Int64Counter
	quotaDecisions metric.Int64Counter
	statusCalls    metric.Int64Counter

	sets setCache
}

// New creates the instruments. It calls source whenever the metrics are collected.
func New(source Source) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create Prometheus exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(maxSeries))
	m := &Metrics{registry: registry, provider: provider}
	builder := &builder{meter: provider.Meter(scopeName)}
	m.createCounters(builder)
	builder.registerGauges(source)
	return m, builder.err
}

// Handler returns the HTTP handler that serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

// createCounters creates the counters and the latency histogram.
func (m *Metrics) createCounters(b *builder) {
	m.requests = b.counter("fireflyfield.requests", "Requests of callers by outcome and, for refusals, reason.")
	m.latency = b.histogram("fireflyfield.request.duration", "Time from the head of a request to the end of its answer.", latencyBounds)
	m.gateRefusals = b.counter("fireflyfield.gate.refusals", "Requests that the gates of this VM refused.")
	m.retries = b.counter("fireflyfield.retries", "Further attempts after a failed one.")
	m.hedges = b.counter("fireflyfield.hedges", "Second attempts beside a slow first one.")
	m.roleChanges = b.counter("fireflyfield.role.changes", "Roles that this VM gained or lost.")
	m.deciderChanges = b.counter("fireflyfield.decider.changes", "Times that this VM became or ceased to be the decider.")
	m.renewals = b.counter("fireflyfield.lease.renewals", "Lease messages by kind of lease and result.")
	m.peerMessages = b.counter("fireflyfield.peer.messages", "Control messages between VMs.")
	m.peerBytes = b.byteCounter("fireflyfield.peer.bytes", "Encoded size of control messages between VMs.")
	m.quotaDecisions = b.counter("fireflyfield.quota.requests", "Requests by the decision on the workspace's rate.")
	m.statusCalls = b.counter("fireflyfield.status.calls", "Questions for the status of other VMs by result.")
}

// Request counts a caller's request and records the time that it took. The reason is
// empty for a response of a backend server.
func (m *Metrics) Request(service, workspace, outcome, reason string, took time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, m.sets.get(labels{service, workspace, outcome, Reason(reason)}, requestKeys))
	m.latency.Record(ctx, took.Seconds(), m.sets.get(labels{service}, serviceKeys))
}

// GateRefusal counts a request that a gate of this VM refused.
func (m *Metrics) GateRefusal(service, reason string) {
	m.gateRefusals.Add(context.Background(), 1, m.sets.get(labels{service, Reason(reason)}, gateKeys))
}

// Retried implements dispatch.Observer: it counts a retry.
func (m *Metrics) Retried(service string) {
	m.retries.Add(context.Background(), 1, m.sets.get(labels{service}, serviceKeys))
}

// Hedged implements dispatch.Observer: it counts a hedge.
func (m *Metrics) Hedged(service string) {
	m.hedges.Add(context.Background(), 1, m.sets.get(labels{service}, serviceKeys))
}

// Values of the label "change": whether this VM gained or lost a role.
const (
	Gained = "gained"
	Lost   = "lost"
)

// RoleChanged counts roles of one kind that this VM gained or lost.
func (m *Metrics) RoleChanged(kind, change string, count int) {
	if count > 0 {
		m.roleChanges.Add(context.Background(), int64(count), m.sets.get(labels{kind, change}, roleKeys))
	}
}

// DeciderChanged counts that this VM became the decider (Gained) or ceased to be it
// (Lost).
func (m *Metrics) DeciderChanged(change string) {
	m.deciderChanges.Add(context.Background(), 1, m.sets.get(labels{change}, changeKeys))
}

// Values of the labels "lease" and "result": the kind of lease that a message renews, and
// the result of a message.
const (
	LeaseBackend = "backend_server"
	LeaseRole    = "role"

	ResultOK      = "ok"
	ResultRefused = "refused"
	ResultFailed  = "failed"
)

// Renewal counts a lease message by the kind of lease and its result.
func (m *Metrics) Renewal(lease, result string) {
	m.renewals.Add(context.Background(), 1, m.sets.get(labels{lease, result}, renewalKeys))
}

// Values of the label "direction" of a control message.
const (
	Sent     = "sent"
	Received = "received"
)

// PeerMessage counts a control message between VMs and its encoded size in bytes.
func (m *Metrics) PeerMessage(kind, direction string, size int) {
	ctx := context.Background()
	set := m.sets.get(labels{kind, direction}, messageKeys)
	m.peerMessages.Add(ctx, 1, set)
	m.peerBytes.Add(ctx, int64(size), set)
}

// Values of the label "decision": whether a request was within its workspace's rate.
const (
	Granted = "granted"
	Refused = "refused"
)

// QuotaDecision counts the decision on one request of the workspace.
func (m *Metrics) QuotaDecision(workspace, decision string) {
	m.quotaDecisions.Add(context.Background(), 1, m.sets.get(labels{workspace, decision}, quotaKeys))
}

// StatusCall counts a request for the status of another VM by its result.
func (m *Metrics) StatusCall(result string) {
	m.statusCalls.Add(context.Background(), 1, m.sets.get(labels{result}, resultKeys))
}

// Label keys of the instruments. The values of a label set are in the same order.
var (
	requestKeys = labels{"service", "workspace", "outcome", "reason"}
	serviceKeys = labels{"service"}
	gateKeys    = labels{"service", "reason"}
	roleKeys    = labels{"kind", "change"}
	changeKeys  = labels{"change"}
	renewalKeys = labels{"lease", "result"}
	messageKeys = labels{"type", "direction"}
	quotaKeys   = labels{"workspace", "decision"}
	resultKeys  = labels{"result"}
)

// attributes returns the attribute set with the keys and values at the same indexes.
// Empty keys are left out.
func attributes(keys, values labels) attribute.Set {
	var list []attribute.KeyValue
	for i, key := range keys {
		if key != "" {
			list = append(list, attribute.String(key, values[i]))
		}
	}
	return attribute.NewSet(list...)
}
