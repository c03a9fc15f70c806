// Package metrics counts what one VM does with the OpenTelemetry SDK and serves
// the counts in the Prometheus format. Every label has a bounded set of values:
// names come from the accepted configuration, the other values from constants.
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

// maxSeries bounds the label sets of one instrument; further ones are counted
// under otel_metric_overflow.
const maxSeries = 4096

// meterName is the instrumentation scope.
const meterName = "fireflyfield"

// latencyBounds are the upper bounds of the latency histogram, in seconds. They
// are dense around the 12 ms of the target.
var latencyBounds = []float64{0.001, 0.002, 0.004, 0.006, 0.008, 0.010, 0.012, 0.015, 0.020, 0.030, 0.050, 0.100, 0.200, 0.500, 1, 2, 5, 10, 30}

// Metrics holds the instruments of one VM. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider

	requests      metric.Int64Counter
	latency       metric.Float64Histogram
	gateRefusals  metric.Int64Counter
	retries       metric.Int64Counter
	hedges        metric.Int64Counter
	roleChanges   metric.Int64Counter
	leaderChanges metric.Int64Counter
	renewals      metric.Int64Counter
	peerMessages  metric.Int64Counter
	peerBytes     metric.Int64Counter
	quotaTakes    metric.Int64Counter
	statusCalls   metric.Int64Counter

	sets setCache
}

// New returns the instruments. The source is read whenever the metrics are
// collected.
func New(source Source) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create Prometheus exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(maxSeries))
	m := &Metrics{registry: registry, provider: provider}
	builder := &builder{meter: provider.Meter(meterName)}
	m.build(builder)
	builder.observe(source)
	return m, builder.err
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

func (m *Metrics) build(b *builder) {
	m.requests = b.counter("fireflyfield.requests", "Requests of callers by outcome and, for refusals, reason.")
	m.latency = b.histogram("fireflyfield.request.duration", "Time from the head of a request to the end of its answer.", latencyBounds)
	m.gateRefusals = b.counter("fireflyfield.gate.refusals", "Requests that the gates of this VM refused.")
	m.retries = b.counter("fireflyfield.retries", "Further attempts after a failed one.")
	m.hedges = b.counter("fireflyfield.hedges", "Second attempts beside a slow first one.")
	m.roleChanges = b.counter("fireflyfield.role.changes", "Roles that this VM gained or lost.")
	m.leaderChanges = b.counter("fireflyfield.decider.changes", "Times that this VM became or ceased to be the decider.")
	m.renewals = b.counter("fireflyfield.lease.renewals", "Lease messages by kind of lease and result.")
	m.peerMessages = b.counter("fireflyfield.peer.messages", "Control messages between VMs.")
	m.peerBytes = b.byteCounter("fireflyfield.peer.bytes", "Encoded size of control messages between VMs.")
	m.quotaTakes = b.counter("fireflyfield.quota.requests", "Requests by the decision on the workspace's rate.")
	m.statusCalls = b.counter("fireflyfield.status.calls", "Questions for the status of other VMs by result.")
}

// Request counts a caller's request. The reason is empty for an answer of a
// backend server.
func (m *Metrics) Request(service, workspace, outcome, reason string, took time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, m.sets.of(labels{service, workspace, outcome, Reason(reason)}, requestKeys))
	m.latency.Record(ctx, took.Seconds(), m.sets.of(labels{service}, serviceKeys))
}

// GateRefusal counts a request that a gate refused.
func (m *Metrics) GateRefusal(service, reason string) {
	m.gateRefusals.Add(context.Background(), 1, m.sets.of(labels{service, Reason(reason)}, gateKeys))
}

// Retried implements dispatch.Observer.
func (m *Metrics) Retried(service string) {
	m.retries.Add(context.Background(), 1, m.sets.of(labels{service}, serviceKeys))
}

// Hedged implements dispatch.Observer.
func (m *Metrics) Hedged(service string) {
	m.hedges.Add(context.Background(), 1, m.sets.of(labels{service}, serviceKeys))
}

// Changes of a role.
const (
	Gained = "gained"
	Lost   = "lost"
)

// RoleChanged counts roles of one kind that changed in the same way.
func (m *Metrics) RoleChanged(kind, change string, count int) {
	if count > 0 {
		m.roleChanges.Add(context.Background(), int64(count), m.sets.of(labels{kind, change}, roleKeys))
	}
}

// DeciderChanged counts a change of this VM's part as the decider.
func (m *Metrics) DeciderChanged(change string) {
	m.leaderChanges.Add(context.Background(), 1, m.sets.of(labels{change}, changeKeys))
}

// Kinds of leases and results of a lease message.
const (
	LeaseBackend = "backend_server"
	LeaseRole    = "role"

	ResultOK      = "ok"
	ResultRefused = "refused"
	ResultFailed  = "failed"
)

// Renewal counts a lease message by its result.
func (m *Metrics) Renewal(lease, result string) {
	m.renewals.Add(context.Background(), 1, m.sets.of(labels{lease, result}, renewalKeys))
}

// Directions of a message.
const (
	Sent     = "sent"
	Received = "received"
)

// PeerMessage counts a control message of the encoded size in bytes.
func (m *Metrics) PeerMessage(kind, direction string, size int) {
	ctx := context.Background()
	set := m.sets.of(labels{kind, direction}, messageKeys)
	m.peerMessages.Add(ctx, 1, set)
	m.peerBytes.Add(ctx, int64(size), set)
}

// Decisions on a workspace's rate.
const (
	Granted = "granted"
	Refused = "refused"
)

// QuotaDecision counts the decision on one request.
func (m *Metrics) QuotaDecision(workspace, decision string) {
	m.quotaTakes.Add(context.Background(), 1, m.sets.of(labels{workspace, decision}, quotaKeys))
}

// StatusCall counts a question for the status of another VM.
func (m *Metrics) StatusCall(result string) {
	m.statusCalls.Add(context.Background(), 1, m.sets.of(labels{result}, resultKeys))
}

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

// attributes pairs keys and values.
func attributes(keys, values labels) attribute.Set {
	var list []attribute.KeyValue
	for i, key := range keys {
		if key != "" {
			list = append(list, attribute.String(key, values[i]))
		}
	}
	return attribute.NewSet(list...)
}
