// Package fleet holds the types that describe what a VM routes to: routes,
// services, workspaces, caller keys and backend servers. It does no I/O.
package fleet

import (
	"strings"
	"time"
)

// Config is one version of the configuration in full.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	byHost    map[string][]int
	byService map[string]int
	byKey     map[string]int
}

// Route maps a host and a path prefix to one or more services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request of the route is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which a response has its full value.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the most important.
	Priority int
	// Targets are the services that share the route's requests by weight.
	Targets []Target
	// MaxAttempts is the largest number of backend servers that one request may
	// be sent to.
	MaxAttempts int
	// Open routes need no caller key.
	Open bool
}

// Target is one service of a route with its relative weight.
type Target struct {
	Service string
	Weight  float64
}

// Service describes the backend servers of one service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdFor is how long a backend server stays cold after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests per second that a cold backend server bears.
	ColdRate float64
	// Keyed services run a request only at the backend server that holds its key.
	Keyed bool
	// WarmUp is how long a key is slow that arrives without a handover.
	WarmUp time.Duration
}

// Workspace is one customer with its caller keys and its rate.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's; nil leaves the route's.
	Priority *int
	// Rate is the number of requests per second over all VMs; 0 means no limit.
	Rate float64
	// Burst is the number of requests that may exceed Rate at one moment.
	Burst float64
}

// Limits bound what a caller may send and how long it may take.
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
	Slots   int
	// Draining backend servers take no new requests.
	Draining bool
	// Started is the Unix time in ms of the process's start. A backend server that
	// restarts under its ID differs in it.
	Started int64
	// ColdRemaining is how much longer the backend server stays cold, as of its last entry.
	ColdRemaining time.Duration
}

// Index builds the lookup tables of a configuration. It is called once, before
// the configuration is shared.
func (c *Config) Index() {
	c.byHost = make(map[string][]int)
	for i, route := range c.Routes {
		c.byHost[route.Host] = append(c.byHost[route.Host], i)
	}
	c.byService = make(map[string]int, len(c.Services))
	for i, service := range c.Services {
		c.byService[service.Name] = i
	}
	c.byKey = make(map[string]int)
	for i, workspace := range c.Workspaces {
		for _, key := range workspace.Keys {
			c.byKey[key] = i
		}
	}
}

// Match returns the route of a host whose prefix is the longest one that begins
// the path, or nil.
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

// Service returns the service of that name, or nil.
func (c *Config) Service(name string) *Service {
	if i, ok := c.byService[name]; ok {
		return &c.Services[i]
	}
	return nil
}

// Workspace returns the workspace that holds a caller key, or nil.
func (c *Config) Workspace(key string) *Workspace {
	if i, ok := c.byKey[key]; ok {
		return &c.Workspaces[i]
	}
	return nil
}

// NeedsKey reports whether requests of the route must carry a caller key.
func (c *Config) NeedsKey(route *Route) bool { return len(c.Workspaces) > 0 && !route.Open }
