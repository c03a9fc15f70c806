package capacity

// Units of benchmark columns. The last two are reported by the benchmarks with
// b.ReportMetric.
const (
	unitTime  = "ns/op"
	unitAlloc = "B/op"
	unitState = "state-B"
	unitWire  = "wire-B/op"
)

// Term is one product of a cell: the amount of a metric at a size, times a rate.
type Term struct {
	Metric Metric
	Size   Quantity
	// Rate is how often a second the operation happens, or how many there are.
	Rate Quantity
}

// Role is one row of the table. Each cell is the sum of its terms; a cell without
// terms does not apply to the role.
type Role struct {
	Name      string
	Mechanism string
	// Control says that the role counts against the control budget of a daemon.
	Control bool
	// State is in bytes, Messages in bytes/s, CPU in ns/s and Memory in bytes.
	State, Messages, CPU, Memory []Term
	// Grows is the dimension for which the limit is computed.
	Grows Dimension
}

// Budget is the control overhead that one daemon may have.
type Budget struct {
	// Cores is a share of one core.
	Cores          float64
	MemoryBytes    float64
	BytesPerSecond float64
}

// TargetBudget returns the budget of the design: 1% of a core, 256 MB and 21 KB/s.
func TargetBudget() Budget {
	return Budget{Cores: 0.01, MemoryBytes: 256e6, BytesPerSecond: 21e3}
}

func perOp(benchmark, unit string, rate Quantity) []Term {
	return []Term{{Metric{Benchmark: benchmark, Unit: unit}, One, rate}}
}

func sized(benchmark, param, unit string, size, rate Quantity) []Term {
	return []Term{{Metric{benchmark, param, unit}, size, rate}}
}

// DefaultRoles returns the roles of the design with the benchmarks that measure
// them. A benchmark that does not exist leaves its cells "not measured".
func DefaultRoles() []Role {
	return []Role{
		{
			Name: "decider: heartbeats", Mechanism: "one heartbeat per member every 100 ms", Control: true, Grows: ByDaemons,
			State:    sized("Members", "members", unitState, MembersPerDomain, One),
			Messages: perOp("Heartbeat", unitWire, Heartbeats),
			CPU:      perOp("Heartbeat", unitTime, Heartbeats),
			Memory:   sized("Members", "members", unitState, MembersPerDomain, One),
		},
		{
			Name: "decider: leases", Mechanism: "one renewal per backend server every 100 ms; state per unit, none per key", Control: true, Grows: ByServers,
			State:    sized("OwnershipTable", "units", unitState, UnitsPerDomain, One),
			Messages: perOp("Renewal", unitWire, Renewals),
			CPU:      perOp("Renewal", unitTime, Renewals),
			Memory:   sized("OwnershipTable", "units", unitState, UnitsPerDomain, One),
		},
		{
			Name: "decider: placement", Mechanism: "bounded-load plan, once a second", Control: true, Grows: BySlices,
			CPU:    sized("Plan", "units", unitTime, UnitsPerDomain, One),
			Memory: sized("Plan", "units", unitAlloc, UnitsPerDomain, One),
		},
		{
			Name: "member: domain maps", Mechanism: "map of every domain, heartbeat every 100 ms", Control: true, Grows: BySlices,
			State:    sized("OwnershipTable", "units", unitState, AllUnits, One),
			Messages: perOp("Heartbeat", unitWire, MemberHeartbeats),
			CPU:      perOp("Heartbeat", unitTime, MemberHeartbeats),
			Memory:   sized("OwnershipTable", "units", unitState, AllUnits, One),
		},
		{
			Name: "member: configuration", Mechanism: "replay of the config stream", Control: true, Grows: ByChanges,
			State:    sized("ConfigState", "resources", unitState, AllResources, One),
			Messages: perOp("ConfigApply", unitWire, ChangesPerSecond),
			CPU:      perOp("ConfigApply", unitTime, ChangesPerSecond),
			Memory:   sized("ConfigState", "resources", unitState, AllResources, One),
		},
		{
			Name: "member: caller keys", Mechanism: "digest table", Control: true, Grows: ByKeys,
			State:  sized("Keyring", "keys", unitState, AllCallerKeys, One),
			Memory: sized("Keyring", "keys", unitState, AllCallerKeys, One),
		},
		{
			Name: "keeper of one workspace", Mechanism: "token batches with 2 s expiry", Control: true, Grows: ByDaemons,
			State:    sized("Keeper", "holders", unitState, MembersPerDomain, One),
			Messages: perOp("KeeperDraw", unitWire, QuotaDraws),
			CPU:      perOp("KeeperDraw", unitTime, QuotaDraws),
			Memory:   sized("Keeper", "holders", unitState, MembersPerDomain, One),
		},
		{
			Name: "idempotency holder", Mechanism: "entries in memory and at one backup, 10 min", Control: true, Grows: ByTenants,
			State:    sized("IdempotencyStore", "entries", unitState, HolderEntries, One),
			Messages: perOp("IdempotencyPut", unitWire, HolderPuts),
			CPU:      perOp("IdempotencyPut", unitTime, HolderPuts),
			Memory:   sized("IdempotencyStore", "entries", unitState, HolderEntries, One),
		},
		{
			Name: "gate", Mechanism: "slots, ramp and fair queue of a backend server", Grows: ByRequests,
			CPU: perOp("GateAdmit", unitTime, RequestsPerDaemon),
		},
		{
			Name: "entry: key lookup and routing", Mechanism: "xxhash and table lookup per request", Grows: ByRequests,
			CPU: perOp("Route", unitTime, RequestsPerDaemon),
		},
		{
			Name: "entry: unkeyed balancing", Mechanism: "two random candidates per request", Grows: ByRequests,
			CPU: sized("Pick", "servers", unitTime, AllServers, RequestsPerDaemon),
		},
	}
}
