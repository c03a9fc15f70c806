package metrics

import (
	"time"

	"go.opentelemetry.io/otel/metric"
)

// Gate is the state of one gate of this VM: its limit of requests in flight and the
// numbers of requests in flight and queued.
type Gate struct {
	Service, Server         string
	Limit, InFlight, Queued int
}

// State holds the values of the gauges and observable counters.
type State struct {
	// Ready says that this VM serves callers.
	Ready bool
	// Decider says that this VM is the decider of its failure domain.
	Decider bool
	// Term is the highest term of the failure domain that this VM has read.
	Term  uint64
	Gates []Gate
	// Roles counts the roles of this VM by kind.
	Roles map[string]int
	// VMs counts the VMs in the platform's list, and MissingVMs those of them that do
	// not answer.
	VMs, MissingVMs int
	Config          Config
	// LogEra is how often the shared log has been restored from an older copy, as it states.
	LogEra int64
	// LimitedBackends counts the backend servers that limit how many requests they accept.
	LimitedBackends int
	// Unreachable is set while this VM has no path to any backend server.
	Unreachable bool
	// Crashes counts the ends of backend servers with requests of this VM in flight.
	Crashes int64
	// Quarantined is the number of requests that are not sent because they crash backend
	// servers.
	Quarantined int
	// PendingDrains counts the drains that have not ended.
	PendingDrains int
}

// Config describes the configuration in force and how it is read from the log.
type Config struct {
	// Position is the revision of the configuration in force.
	Position uint64
	// ConfirmedAge is the time since the configuration was last known to be current;
	// negative if it never was.
	ConfirmedAge time.Duration
	// Fault says that the configuration can't be read from the log now.
	Fault bool
	// ReadFailures counts the failed reads.
	ReadFailures uint64
	// Refused counts the records that replay refused, and Duplicates those that were
	// repeated.
	Refused    uint64
	Duplicates uint64
	// Restores counts the restores from a snapshot.
	Restores uint64
}

// Source returns the current state. It must not block.
type Source func() State

// gauges holds the instruments that show State.
type gauges struct {
	ready, decider, term, limit, inFlight, queued, roles                          metric.Int64ObservableGauge
	vms, missing, drains, position, fault, era, limited, quarantined, unreachable metric.Int64ObservableGauge
	age                                                                           metric.Float64ObservableGauge
	failures, refused, duplicates, restores, crashes                              metric.Int64ObservableCounter
}

// registerGauges creates the gauges and observable counters, and registers the callback
// that sets them from the source.
func (b *builder) registerGauges(source Source) {
	g := gauges{
		ready:       b.gauge("fireflyfield.ready", "1 while this VM serves callers."),
		decider:     b.gauge("fireflyfield.decider", "1 while this VM is the decider of its failure domain."),
		term:        b.gauge("fireflyfield.decider.term", "Highest term of the failure domain that this VM has read."),
		limit:       b.gauge("fireflyfield.gate.limit", "Requests that the gate lets run at once."),
		inFlight:    b.gauge("fireflyfield.gate.in_flight", "Requests at the backend server."),
		queued:      b.gauge("fireflyfield.gate.queued", "Requests that wait for a slot."),
		roles:       b.gauge("fireflyfield.roles", "Roles of this VM."),
		vms:         b.gauge("fireflyfield.vms", "VMs of the platform's list."),
		missing:     b.gauge("fireflyfield.vms.missing", "VMs of the platform's list that do not answer."),
		drains:      b.gauge("fireflyfield.drains.pending", "Drains that are not done."),
		position:    b.gauge("fireflyfield.config.position", "Revision of the configuration in force."),
		fault:       b.gauge("fireflyfield.config.fault", "1 while the configuration can't be read from the log."),
		era:         b.gauge("fireflyfield.log.era", "Number of restores of the shared log from an older copy, as it states."),
		limited:     b.gauge("fireflyfield.backends.limited", "Backend servers that limit how many requests they accept."),
		quarantined: b.gauge("fireflyfield.requests.quarantined", "Requests that are not sent because they crash backend servers."),
		unreachable: b.gauge("fireflyfield.backends.unreachable", "1 while this VM has no path to any backend server."),
		age:         b.secondsGauge("fireflyfield.config.confirmed_age", "Time since the configuration was known to be current; -1 if never."),
		failures:    b.observableCounter("fireflyfield.config.read_failures", "Failed reads of the configuration."),
		refused:     b.observableCounter("fireflyfield.config.refused", "Records of the configuration that replay refused."),
		duplicates:  b.observableCounter("fireflyfield.config.duplicates", "Records of the configuration that were repeated."),
		crashes:     b.observableCounter("fireflyfield.backends.crashes", "Ends of backend servers with requests of this VM in flight."),
		restores:    b.observableCounter("fireflyfield.config.restores", "Restores of the configuration from a snapshot."),
	}
	b.registerCallback(func(o metric.Observer) { g.report(o, source()) },
		g.ready, g.decider, g.term, g.limit, g.inFlight, g.queued, g.roles, g.vms, g.missing, g.drains,
		g.position, g.fault, g.era, g.limited, g.quarantined, g.unreachable, g.age, g.failures, g.refused, g.duplicates, g.restores, g.crashes)
}

// report passes the state to the instruments.
func (g gauges) report(o metric.Observer, s State) {
	o.ObserveInt64(g.ready, boolToInt64(s.Ready))
	o.ObserveInt64(g.decider, boolToInt64(s.Decider))
	o.ObserveInt64(g.term, int64(s.Term))
	o.ObserveInt64(g.vms, int64(s.VMs))
	o.ObserveInt64(g.missing, int64(s.MissingVMs))
	o.ObserveInt64(g.drains, int64(s.PendingDrains))
	o.ObserveInt64(g.era, s.LogEra)
	o.ObserveInt64(g.limited, int64(s.LimitedBackends))
	o.ObserveInt64(g.crashes, s.Crashes)
	o.ObserveInt64(g.quarantined, int64(s.Quarantined))
	o.ObserveInt64(g.unreachable, boolToInt64(s.Unreachable))
	for kind, count := range s.Roles {
		o.ObserveInt64(g.roles, int64(count), metric.WithAttributeSet(attributes(labels{"kind"}, labels{kind})))
	}
	for _, gate := range s.Gates {
		g.reportGate(o, gate)
	}
	g.reportConfig(o, s.Config)
}

func (g gauges) reportGate(o metric.Observer, gate Gate) {
	set := metric.WithAttributeSet(attributes(labels{"service", "server"}, labels{gate.Service, gate.Server}))
	o.ObserveInt64(g.limit, int64(gate.Limit), set)
	o.ObserveInt64(g.inFlight, int64(gate.InFlight), set)
	o.ObserveInt64(g.queued, int64(gate.Queued), set)
}

func (g gauges) reportConfig(o metric.Observer, c Config) {
	age := c.ConfirmedAge.Seconds()
	if c.ConfirmedAge < 0 {
		age = -1
	}
	o.ObserveInt64(g.position, int64(c.Position))
	o.ObserveInt64(g.fault, boolToInt64(c.Fault))
	o.ObserveFloat64(g.age, age)
	o.ObserveInt64(g.failures, int64(c.ReadFailures))
	o.ObserveInt64(g.refused, int64(c.Refused))
	o.ObserveInt64(g.duplicates, int64(c.Duplicates))
	o.ObserveInt64(g.restores, int64(c.Restores))
}

func boolToInt64(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
