package capacity

// Sizing is the size of the installation for which the table is computed. Zero stands
// for a number that is not known.
type Sizing struct {
	// VMs is the number of VMs, each of which is one router process.
	VMs               float64
	Keys              float64
	RequestsPerSecond float64
	ChangesPerDay     float64
	Domains           float64
	// SlicesPerService and HotKeys are the maximum numbers of slices and hot keys of a
	// keyed service; both are units.
	SlicesPerService float64
	HotKeys          float64
	KeyedServices    float64
	// BackendServers, Workspaces, Resources and CallerKeys are not given by the
	// design. If a cell needs one that is zero, the number is listed as missing input.
	BackendServers float64
	Workspaces     float64
	Resources      float64
	CallerKeys     float64
}

// TargetSizing returns the target size of the design.
func TargetSizing() Sizing {
	return Sizing{
		VMs:               4100,
		Keys:              2.8e9,
		RequestsPerSecond: 52e6,
		ChangesPerDay:     9000,
		Domains:           5,
		SlicesPerService:  65536,
		HotKeys:           1024,
		KeyedServices:     1,
	}
}

// Rates, durations and bounds of the design on which the rates of messages and the
// numbers of entries depend.
const (
	heartbeatsPerSecond = 10
	renewalsPerSecond   = 10
	// quotaDrawsPerSecond is one draw per expiry time of a token batch, 2 s.
	quotaDrawsPerSecond = 0.5
	secondsPerDay       = 86400
	// idempotencySeconds is the time for which an idempotency entry is kept.
	idempotencySeconds = 600
	// idempotencyEntries is the maximum number of entries per workspace and holder.
	idempotencyEntries = 10000
)

// Quantity is a number derived from the sizing. It is zero if a number of the sizing
// that it needs is not known.
type Quantity struct {
	Name string
	Of   func(Sizing) float64
}

// The quantities by which the model scales benchmark results. HolderEntries and
// HolderPuts assume the maximum number of idempotency entries of every workspace.
var (
	One              = Quantity{"1", func(Sizing) float64 { return 1 }}
	MembersPerDomain = Quantity{"daemons per domain", func(s Sizing) float64 { return s.VMs / s.Domains }}
	ServersPerDomain = Quantity{"backend servers per domain", func(s Sizing) float64 { return s.BackendServers / s.Domains }}
	AllServers       = Quantity{"backend servers", func(s Sizing) float64 { return s.BackendServers }}
	UnitsPerDomain   = Quantity{"units per domain", func(s Sizing) float64 { return unitsOf(s) / s.Domains }}
	AllUnits         = Quantity{"units", unitsOf}
	Heartbeats       = Quantity{"heartbeats/s per domain", func(s Sizing) float64 { return heartbeatsPerSecond * s.VMs / s.Domains }}
	MemberHeartbeats = Quantity{"heartbeats/s per daemon", func(Sizing) float64 { return heartbeatsPerSecond }}
	Renewals         = Quantity{"renewals/s per domain", func(s Sizing) float64 { return renewalsPerSecond * s.BackendServers / s.Domains }}
	RequestsPerVM    = Quantity{"requests/s per daemon", func(s Sizing) float64 { return s.RequestsPerSecond / s.VMs }}
	QuotaDraws       = Quantity{"draws/s of one workspace in one domain", func(s Sizing) float64 { return quotaDrawsPerSecond * s.VMs / s.Domains }}
	ChangesPerSecond = Quantity{"changes/s", func(s Sizing) float64 { return s.ChangesPerDay / secondsPerDay }}
	AllResources     = Quantity{"resources", func(s Sizing) float64 { return s.Resources }}
	AllCallerKeys    = Quantity{"caller keys", func(s Sizing) float64 { return s.CallerKeys }}
	HolderEntries    = Quantity{"idempotency entries per holder", func(s Sizing) float64 { return idempotencyEntries * s.Workspaces }}
	HolderPuts       = Quantity{"idempotency entries/s per holder", func(s Sizing) float64 { return idempotencyEntries * s.Workspaces / idempotencySeconds }}
)

// unitsOf returns the number of units of all keyed services.
func unitsOf(s Sizing) float64 { return s.KeyedServices * (s.SlicesPerService + s.HotKeys) }

// Dimension is the number of the sizing that is varied to find a limit.
type Dimension struct {
	Name string
	// field returns the field of the sizing to vary.
	field func(*Sizing) *float64
}

// The dimensions for which limits are computed.
var (
	ByVMs        = Dimension{"daemons", func(s *Sizing) *float64 { return &s.VMs }}
	ByServers    = Dimension{"backend servers", func(s *Sizing) *float64 { return &s.BackendServers }}
	BySlices     = Dimension{"slices per service", func(s *Sizing) *float64 { return &s.SlicesPerService }}
	ByChanges    = Dimension{"changes/day", func(s *Sizing) *float64 { return &s.ChangesPerDay }}
	ByRequests   = Dimension{"requests/s", func(s *Sizing) *float64 { return &s.RequestsPerSecond }}
	ByKeys       = Dimension{"caller keys", func(s *Sizing) *float64 { return &s.CallerKeys }}
	ByWorkspaces = Dimension{"workspaces", func(s *Sizing) *float64 { return &s.Workspaces }}
)
