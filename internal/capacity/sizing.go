package capacity

// Sizing is the size for which the table is computed.
type Sizing struct {
	Daemons           float64
	Keys              float64
	RequestsPerSecond float64
	ChangesPerDay     float64
	Domains           float64
	// SlicesPerService and HotKeys bound the units of a keyed service.
	SlicesPerService float64
	HotKeys          float64
	KeyedServices    float64
	// BackendServers, Workspaces, Resources and CallerKeys are not given by the
	// design; cells that need one which is zero say so.
	BackendServers float64
	Workspaces     float64
	Resources      float64
	CallerKeys     float64
}

// TargetSizing returns the target size of the design.
func TargetSizing() Sizing {
	return Sizing{
		Daemons:           4100,
		Keys:              2.8e9,
		RequestsPerSecond: 52e6,
		ChangesPerDay:     9000,
		Domains:           5,
		SlicesPerService:  65536,
		HotKeys:           1024,
		KeyedServices:     1,
	}
}

// Intervals of the design on which rates of messages depend.
const (
	heartbeatsPerSecond = 10
	renewalsPerSecond   = 10
	// quotaDrawsPerSecond is once per expiry of a batch, 2 s.
	quotaDrawsPerSecond = 0.5
	secondsPerDay       = 86400
	// idempotencySeconds is how long an entry is kept.
	idempotencySeconds = 600
	// idempotencyEntries is the bound per workspace and holder.
	idempotencyEntries = 10000
)

// Quantity is a number derived from the sizing. It is zero when the sizing lacks
// what it needs.
type Quantity struct {
	Name string
	Of   func(Sizing) float64
}

// The quantities of the model.
var (
	One               = Quantity{"1", func(Sizing) float64 { return 1 }}
	MembersPerDomain  = Quantity{"daemons per domain", func(s Sizing) float64 { return s.Daemons / s.Domains }}
	ServersPerDomain  = Quantity{"backend servers per domain", func(s Sizing) float64 { return s.BackendServers / s.Domains }}
	AllServers        = Quantity{"backend servers", func(s Sizing) float64 { return s.BackendServers }}
	UnitsPerDomain    = Quantity{"units per domain", func(s Sizing) float64 { return unitsOf(s) / s.Domains }}
	AllUnits          = Quantity{"units", unitsOf}
	Heartbeats        = Quantity{"heartbeats/s per domain", func(s Sizing) float64 { return heartbeatsPerSecond * s.Daemons / s.Domains }}
	MemberHeartbeats  = Quantity{"heartbeats/s per daemon", func(Sizing) float64 { return heartbeatsPerSecond }}
	Renewals          = Quantity{"renewals/s per domain", func(s Sizing) float64 { return renewalsPerSecond * s.BackendServers / s.Domains }}
	RequestsPerDaemon = Quantity{"requests/s per daemon", func(s Sizing) float64 { return s.RequestsPerSecond / s.Daemons }}
	QuotaDraws        = Quantity{"draws/s of one workspace in one domain", func(s Sizing) float64 { return quotaDrawsPerSecond * s.Daemons / s.Domains }}
	ChangesPerSecond  = Quantity{"changes/s", func(s Sizing) float64 { return s.ChangesPerDay / secondsPerDay }}
	AllResources      = Quantity{"resources", func(s Sizing) float64 { return s.Resources }}
	AllCallerKeys     = Quantity{"caller keys", func(s Sizing) float64 { return s.CallerKeys }}
	HolderEntries     = Quantity{"idempotency entries per holder", func(s Sizing) float64 { return idempotencyEntries * s.Workspaces }}
	HolderPuts        = Quantity{"idempotency entries/s per holder", func(s Sizing) float64 { return idempotencyEntries * s.Workspaces / idempotencySeconds }}
)

func unitsOf(s Sizing) float64 { return s.KeyedServices * (s.SlicesPerService + s.HotKeys) }

// Dimension is a number of the sizing that a limit varies.
type Dimension struct {
	Name string
	// at returns the field to vary.
	at func(*Sizing) *float64
}

// The dimensions.
var (
	ByDaemons  = Dimension{"daemons", func(s *Sizing) *float64 { return &s.Daemons }}
	ByServers  = Dimension{"backend servers", func(s *Sizing) *float64 { return &s.BackendServers }}
	BySlices   = Dimension{"slices per service", func(s *Sizing) *float64 { return &s.SlicesPerService }}
	ByChanges  = Dimension{"changes/day", func(s *Sizing) *float64 { return &s.ChangesPerDay }}
	ByRequests = Dimension{"requests/s", func(s *Sizing) *float64 { return &s.RequestsPerSecond }}
	ByKeys     = Dimension{"caller keys", func(s *Sizing) *float64 { return &s.CallerKeys }}
	ByTenants  = Dimension{"workspaces", func(s *Sizing) *float64 { return &s.Workspaces }}
)
