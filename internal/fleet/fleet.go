// Package fleet defines the types that describe what a VM routes to: routes, services,
// workspaces, caller keys and backend servers. It finds the route of a request and the
// workspace of a caller key; reading the configuration is left to others.
package fleet

import (
	"strings"
	"time"
)

// Config is one version of the configuration. It is immutable once it is shared.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	byHost      map[string][]int
	byService   map[string]int
	byCallerKey map[string]int
}

// Route maps a host and a path prefix to one or more services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if requests of the route may run more than once.
	Idempotent bool
	// Timeout is the longest time from the arrival of a request to its deadline; 0 means
	// the default.
	Timeout time.Duration
	// Objective is the latency that responses of the route should not exceed.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the most important.
	Priority int
	// Targets are the services that share the route's requests by weight.
	Targets []Target
	// MaxAttempts is the largest number of backend servers that one request may
	// be sent to.
	MaxAttempts int
	// Open is set if requests of the route need no caller key.
	Open bool
}

// Target is one service of a route. Weight is relative to the other targets of the route.
type Target struct {
	Service string
	Weight  float64
}

// Service describes a service, and properties that its backend servers have in common.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all
	// VMs together; 0 means no limit.
	MaxConnections int
	// ColdFor is how long a backend server stays cold after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests per second that a cold backend server can take.
	ColdRate float64
	// Keyed is set if a request may run only on the backend server that has the lease of
	// its key range.
	Keyed bool
	// WarmUp is how long requests for a key are slow after the key moved to another
	// backend server without a handover.
	WarmUp time.Duration
}

// Workspace is one customer with its caller keys and its rate limit.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route; nil means no override.
	Priority *int
	// Rate is the rate limit over all VMs, in requests per second; 0 means no limit.
	Rate float64
	// Burst is the number of requests that may exceed Rate at once.
	Burst float64
}

// Limits holds the size limits in bytes of a request and the timeouts of a connection.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Backend is one backend server as the catalogue lists it.
type Backend struct {
	ID      string
	Service string
	Address string
	Domain  string
	// Slots is the number of requests that the backend server runs at once when warm.
	Slots int
	// Draining is set if the backend server takes no new requests.
	Draining bool
	// Started is the start time of the process as Unix time in ms. It tells a restarted
	// backend server from the one that had its ID before.
	Started int64
	// ColdRemaining is how much longer the backend server stays cold, as of its last entry.
	ColdRemaining time.Duration
}

// ProcessID identifies one process of a backend server, which may start again under its ID.
type ProcessID struct {
	Backend string
	Started int64 // Unix ms of the start of the process
}

// Process returns the process that the entry is of.
func (b *Backend) Process() ProcessID { return ProcessID{Backend: b.ID, Started: b.Started} }

// Index builds the lookup tables of the configuration. It must be called once, before the
// configuration is shared.
func (c *Config) Index() {
	c.byHost = make(map[string][]int)
	for i, route := range c.Routes {
		c.byHost[route.Host] = append(c.byHost[route.Host], i)
	}
	c.byService = make(map[string]int, len(c.Services))
	for i, service := range c.Services {
		c.byService[service.Name] = i
	}
	c.byCallerKey = make(map[string]int)
	for i, workspace := range c.Workspaces {
		for _, key := range workspace.Keys {
			c.byCallerKey[key] = i
		}
	}
}

// Match returns the route of the host with the longest prefix that the path starts with,
// or nil if there is none.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, i := range c.byHost[host] {
		route := &c.Routes[i]
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Service returns the service with the given name, or nil if there is none.
func (c *Config) Service(name string) *Service {
	if i, ok := c.byService[name]; ok {
		return &c.Services[i]
	}
	return nil
}

// Workspace returns the workspace to which a caller key belongs, or nil if the key is
// unknown.
func (c *Config) Workspace(key string) *Workspace {
	if i, ok := c.byCallerKey[key]; ok {
		return &c.Workspaces[i]
	}
	return nil
}

// NeedsKey reports whether requests of the route must carry a caller key. They need none
// if no workspace is configured.
func (c *Config) NeedsKey(route *Route) bool { return len(c.Workspaces) > 0 && !route.Open }
