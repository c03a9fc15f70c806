package capacity

// Units of benchmark columns. The benchmarks report the last two, state size in bytes and
// message bytes per operation, with b.ReportMetric.
const (
	unitTime  = "ns/op"
	unitAlloc = "B/op"
	unitState = "state-B"
	unitWire  = "wire-B/op"
)

// Term is one summand of a cell: the amount of a metric at a size, multiplied by a rate
// or a number.
type Term struct {
	Metric Metric
	Size   Quantity
	// Rate is the number of operations per second or, for state and memory, the number
	// of instances.
	Rate Quantity
}

// Role is a task of a daemon and one row of the table. Each cell is the sum of its
// terms; a cell without terms doesn't apply to the role.
type Role struct {
	Name      string
	Mechanism string
	// Control is true if the role counts towards the control budget of a daemon.
	Control bool
	// State is in bytes, Messages in bytes/s, CPU in ns/s and Memory in bytes.
	State, Messages, CPU, Memory []Term
	// GrowsWith is the dimension for which the limit is computed.
	GrowsWith Dimension
}

// Budget is the maximum control overhead of one daemon.
type Budget struct {
	// Cores is the CPU time as a share of one core.
	Cores          float64
	MemoryBytes    float64
	BytesPerSecond float64
}

// TargetBudget returns the budget given by the design: 1% of a core, 256 MB and
// 21 KB/s.
func TargetBudget() Budget {
	return Budget{Cores: 0.01, MemoryBytes: 256e6, BytesPerSecond: 21e3}
}

// perOp returns the terms of a cost per operation that doesn't depend on a size.
func perOp(benchmark, unit string, rate Quantity) []Term {
	return []Term{{Metric{Benchmark: benchmark, Unit: unit}, One, rate}}
}

// sized returns the terms of a cost that depends on a size.
func sized(benchmark, param, unit string, size, rate Quantity) []Term {
	return []Term{{Metric{benchmark, param, unit}, size, rate}}
}

// DefaultRoles returns the roles of the design and the benchmarks that measure their
// costs. Cells whose benchmark has no results read "not measured".
func DefaultRoles() []Role {
	return []Role{
		{
			Name: "decider: heartbeats", Mechanism: "one heartbeat per member every 100 ms", Control: true, GrowsWith: ByVMs,
			State:    sized("Members", "members", unitState, MembersPerDomain, One),
			Messages: perOp("Heartbeat", unitWire, Heartbeats),
			CPU:      perOp("Heartbeat", unitTime, Heartbeats),
			Memory:   sized("Members", "members", unitState, MembersPerDomain, One),
		},
		{
			Name: "decider: leases", Mechanism: "one renewal per backend server every 100 ms; state per unit, none per key", Control: true, GrowsWith: ByServers,
			State:    sized("OwnershipTable", "units", unitState, UnitsPerDomain, One),
			Messages: perOp("Renewal", unitWire, Renewals),
			CPU:      perOp("Renewal", unitTime, Renewals),
			Memory:   sized("OwnershipTable", "units", unitState, UnitsPerDomain, One),
		},
		{
			Name: "decider: placement", Mechanism: "bounded-load plan, once a second", Control: true, GrowsWith: BySlices,
			CPU:    sized("Plan", "units", unitTime, UnitsPerDomain, One),
			Memory: sized("Plan", "units", unitAlloc, UnitsPerDomain, One),
		},
		{
			Name: "member: domain maps", Mechanism: "map of every domain, heartbeat every 100 ms", Control: true, GrowsWith: BySlices,
			State:    sized("OwnershipTable", "units", unitState, AllUnits, One),
			Messages: perOp("Heartbeat", unitWire, MemberHeartbeats),
			CPU:      perOp("Heartbeat", unitTime, MemberHeartbeats),
			Memory:   sized("OwnershipTable", "units", unitState, AllUnits, One),
		},
		{
			Name: "member: configuration", Mechanism: "replay of the config stream", Control: true, GrowsWith: ByChanges,
			State:    sized("ConfigState", "resources", unitState, AllResources, One),
			Messages: perOp("ConfigApply", unitWire, ChangesPerSecond),
			CPU:      perOp("ConfigApply", unitTime, ChangesPerSecond),
			Memory:   sized("ConfigState", "resources", unitState, AllResources, One),
		},
		{
			Name: "member: caller keys", Mechanism: "digest table", Control: true, GrowsWith: ByKeys,
			State:  sized("Keyring", "keys", unitState, AllCallerKeys, One),
			Memory: sized("Keyring", "keys", unitState, AllCallerKeys, One),
		},
		{
			Name: "keeper of one workspace", Mechanism: "token batches with 2 s expiry", Control: true, GrowsWith: ByVMs,
			State:    sized("Keeper", "holders", unitState, MembersPerDomain, One),
			Messages: perOp("KeeperDraw", unitWire, QuotaDraws),
			CPU:      perOp("KeeperDraw", unitTime, QuotaDraws),
			Memory:   sized("Keeper", "holders", unitState, MembersPerDomain, One),
		},
		{
			Name: "idempotency holder", Mechanism: "entries in memory and at one backup, 10 min", Control: true, GrowsWith: ByWorkspaces,
			State:    sized("IdempotencyStore", "entries", unitState, HolderEntries, One),
			Messages: perOp("IdempotencyPut", unitWire, HolderPuts),
			CPU:      perOp("IdempotencyPut", unitTime, HolderPuts),
			Memory:   sized("IdempotencyStore", "entries", unitState, HolderEntries, One),
		},
		{
			Name: "gate", Mechanism: "slots, ramp and fair queue of a backend server", GrowsWith: ByRequests,
			CPU: perOp("GateAdmit", unitTime, RequestsPerVM),
		},
		{
			Name: "entry: key lookup and routing", Mechanism: "xxhash and table lookup per request", GrowsWith: ByRequests,
			CPU: perOp("Route", unitTime, RequestsPerVM),
		},
		{
			Name: "entry: unkeyed balancing", Mechanism: "two random candidates per request", GrowsWith: ByRequests,
			CPU: sized("Pick", "servers", unitTime, AllServers, RequestsPerVM),
		},
	}
}
