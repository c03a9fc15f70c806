package resource

import (
	"encoding/hex"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Defaults and limits of the fields of a ServiceSpec. Sizes are in bytes;
// availability and percentile are fractions of 1.
const (
	DefaultSlices       = 256
	MaxSlices           = 65536
	DefaultSlots        = 4
	MaxSlots            = 4096
	DefaultConnections  = 120
	DefaultTimeout      = 5 * time.Second
	MaxTimeout          = 5 * time.Minute
	DefaultMaxBodyBytes = 1 << 20
	MaxMaxBodyBytes     = 64 << 20
	DefaultAvailability = 0.999
	DefaultLatency      = 12 * time.Millisecond
	DefaultPercentile   = 0.99
)

var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// ServiceSpec is the spec of a service: how its keys are found and divided, its
// limits, its service level and its backend servers.
type ServiceSpec struct {
	// Key says where a request carries the key by which the service is divided; nil
	// for a service that is not divided by key.
	Key *KeySource `json:"key,omitempty" yaml:"key,omitempty"`
	// Slices is the number of parts into which the hashed key space is divided. It
	// can't change after the service was accepted.
	Slices int `json:"slices,omitempty" yaml:"slices,omitempty"`
	// IdempotentMethods lists the HTTP methods whose requests may be sent again after
	// an unknown outcome. An empty list means none, and an omitted one the default;
	// so an empty list must not be omitted when it is encoded.
	IdempotentMethods []string `json:"idempotentMethods" yaml:"idempotentMethods"`
	// ChecksGrants says that the backend servers refuse a request if they don't hold
	// the grant with its fencing token.
	ChecksGrants bool `json:"checksGrants" yaml:"checksGrants"`
	// Slots is the number of requests that one warm backend server runs at once.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Connections is the number of connections that one backend server accepts.
	Connections int `json:"connections,omitempty" yaml:"connections,omitempty"`
	// Timeout is the maximum time from the arrival of a request's header to the end of
	// its response.
	Timeout Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty" yaml:"maxBodyBytes,omitempty"`
	// Objective is the service level against which the burn report compares the
	// measured one.
	Objective      Objective       `json:"objective,omitzero" yaml:"objective,omitempty"`
	BackendServers []BackendServer `json:"backendServers" yaml:"backendServers"`
}

// KeySource says where a request carries its key; exactly one field is set.
type KeySource struct {
	// PathSegment is the number of the path segment, counted from 1 after the service
	// name.
	PathSegment int `json:"pathSegment,omitempty" yaml:"pathSegment,omitempty"`
	// Header is the name of the header field.
	Header string `json:"header,omitempty" yaml:"header,omitempty"`
}

// Objective is the service level that a service should reach.
type Objective struct {
	// Availability is the fraction of requests that must be answered, 0 to 1.
	Availability float64 `json:"availability,omitempty" yaml:"availability,omitempty"`
	// Latency is the time within which the fraction Percentile of the requests must
	// be answered.
	Latency Duration `json:"latency,omitempty" yaml:"latency,omitempty"`
	// Percentile is a fraction, such as 0.99.
	Percentile float64 `json:"percentile,omitempty" yaml:"percentile,omitempty"`
}

// BackendServer is one backend server of a service.
type BackendServer struct {
	Name string `json:"name" yaml:"name"`
	// Address has the form HOST:PORT.
	Address       string `json:"address" yaml:"address"`
	FailureDomain string `json:"failureDomain" yaml:"failureDomain"`
}

// Kind implements Spec.
func (*ServiceSpec) Kind() Kind { return KindService }

func (s *ServiceSpec) setDefaults() {
	setDefault(&s.Slots, DefaultSlots)
	setDefault(&s.Connections, DefaultConnections)
	setDefault(&s.Timeout, Duration(DefaultTimeout))
	setDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.Objective.Availability, DefaultAvailability)
	setDefault(&s.Objective.Latency, Duration(DefaultLatency))
	setDefault(&s.Objective.Percentile, DefaultPercentile)
	if s.Key != nil {
		setDefault(&s.Slices, DefaultSlices)
	}
	if s.IdempotentMethods == nil {
		s.IdempotentMethods = slices.Clone(defaultIdempotentMethods)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Keyed reports whether the service is divided by key, so that its keys have owners.
func (s *ServiceSpec) Keyed() bool { return s.Key != nil }

// Idempotent reports whether requests with the method may run more than once.
func (s *ServiceSpec) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Server returns the backend server with the name.
func (s *ServiceSpec) Server(name string) (BackendServer, bool) {
	for _, server := range s.BackendServers {
		if server.Name == name {
			return server, true
		}
	}
	return BackendServer{}, false
}

func (s *ServiceSpec) validate(faults *faultList) {
	s.validateKey(faults)
	validateRange(faults, "spec.slots", s.Slots, 1, MaxSlots)
	validateRange(faults, "spec.connections", s.Connections, 1, 65536)
	validateRange(faults, "spec.timeout", s.Timeout.Std(), time.Millisecond, MaxTimeout)
	validateRange(faults, "spec.maxBodyBytes", s.MaxBodyBytes, 1, MaxMaxBodyBytes)
	validateRange(faults, "spec.objective.availability", s.Objective.Availability, 0.5, 0.99999)
	validateRange(faults, "spec.objective.percentile", s.Objective.Percentile, 0.5, 0.9999)
	validateRange(faults, "spec.objective.latency", s.Objective.Latency.Std(), time.Millisecond, MaxTimeout)
	for i, method := range s.IdempotentMethods {
		if method == "" || method != strings.ToUpper(method) {
			faults.addf(indexPath("spec.idempotentMethods", i), "%q is not an HTTP method in capital letters", method)
		}
	}
	s.validateServers(faults)
}

func (s *ServiceSpec) validateKey(faults *faultList) {
	if s.Key == nil {
		if s.Slices != 0 {
			faults.addf("spec.slices", "only a service with spec.key is divided into slices")
		}
		return
	}
	validateRange(faults, "spec.slices", s.Slices, 1, MaxSlices)
	switch {
	case s.Key.PathSegment != 0 && s.Key.Header != "":
		faults.addf("spec.key", "pathSegment and header exclude each other")
	case s.Key.PathSegment == 0 && s.Key.Header == "":
		faults.addf("spec.key", "one of pathSegment and header is needed")
	case s.Key.Header == "":
		validateRange(faults, "spec.key.pathSegment", s.Key.PathSegment, 1, 16)
	}
}

func (s *ServiceSpec) validateServers(faults *faultList) {
	if len(s.BackendServers) == 0 {
		faults.addf("spec.backendServers", "at least one backend server is needed")
	}
	names := make(map[string]bool, len(s.BackendServers))
	addresses := make(map[string]bool, len(s.BackendServers))
	for i, server := range s.BackendServers {
		path := indexPath("spec.backendServers", i)
		validateName(faults, path+".name", server.Name)
		if names[server.Name] {
			faults.addf(path+".name", "duplicate backend server %q", server.Name)
		}
		names[server.Name] = true
		if _, _, err := net.SplitHostPort(server.Address); err != nil {
			faults.addf(path+".address", "%q is not HOST:PORT", server.Address)
		}
		if addresses[server.Address] {
			faults.addf(path+".address", "address %q is used twice", server.Address)
		}
		addresses[server.Address] = true
	}
}

func (s *ServiceSpec) references() []reference {
	refs := make([]reference, 0, len(s.BackendServers))
	for i, server := range s.BackendServers {
		refs = append(refs, reference{indexPath("spec.backendServers", i) + ".failureDomain", ID{KindFailureDomain, server.FailureDomain}})
	}
	return refs
}

// FailureDomainSpec is the spec of a failure domain.
type FailureDomainSpec struct {
	Region string `json:"region,omitempty" yaml:"region,omitempty"`
	// MemberEpoch is raised by an operator to attest that every VM that was a member
	// of the failure domain so far has stopped for good. It can't be lowered.
	MemberEpoch uint64 `json:"memberEpoch,omitempty" yaml:"memberEpoch,omitempty"`
}

// Kind implements Spec.
func (*FailureDomainSpec) Kind() Kind { return KindFailureDomain }

func (*FailureDomainSpec) setDefaults()            {}
func (*FailureDomainSpec) validate(*faultList)     {}
func (*FailureDomainSpec) references() []reference { return nil }

// StaleKeyPolicy says what a VM does with the requests of a workspace while it can't
// confirm that its caller keys are current.
type StaleKeyPolicy string

// The policies for stale caller keys: serve the requests, or refuse them.
const (
	StaleKeysServe  StaleKeyPolicy = "serve"
	StaleKeysRefuse StaleKeyPolicy = "refuse"
)

// WorkspaceSpec is the spec of a workspace, which stands for one customer.
type WorkspaceSpec struct {
	// Services lists the services that the workspace may call; empty means all.
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
	// OnStaleKeys is StaleKeysServe by default.
	OnStaleKeys StaleKeyPolicy `json:"onStaleKeys,omitempty" yaml:"onStaleKeys,omitempty"`
}

// Kind implements Spec.
func (*WorkspaceSpec) Kind() Kind { return KindWorkspace }

func (w *WorkspaceSpec) setDefaults() { setDefault(&w.OnStaleKeys, StaleKeysServe) }

func (w *WorkspaceSpec) validate(faults *faultList) {
	if w.OnStaleKeys != StaleKeysServe && w.OnStaleKeys != StaleKeysRefuse {
		faults.addf("spec.onStaleKeys", "%q is neither serve nor refuse", w.OnStaleKeys)
	}
}

func (w *WorkspaceSpec) references() []reference { return serviceReferences(w.Services) }

func serviceReferences(names []string) []reference {
	refs := make([]reference, 0, len(names))
	for i, name := range names {
		refs = append(refs, reference{indexPath("spec.services", i), ID{KindService, name}})
	}
	return refs
}

// CallerKeySpec lets requests whose bearer token is the caller key act for one
// workspace. Deleting the resource withdraws the caller key.
type CallerKeySpec struct {
	Workspace string `json:"workspace" yaml:"workspace"`
	// Digest is the SHA-256 of the caller key in hexadecimal; the caller key itself is
	// never stored.
	Digest string `json:"digest" yaml:"digest"`
	// Services restricts the key to some services of the workspace; empty means all
	// of them.
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
}

// Kind implements Spec.
func (*CallerKeySpec) Kind() Kind { return KindCallerKey }

func (*CallerKeySpec) setDefaults() {}

func (c *CallerKeySpec) validate(faults *faultList) {
	const digestBytes = 32
	decoded, err := hex.DecodeString(c.Digest)
	if err != nil || len(decoded) != digestBytes {
		faults.addf("spec.digest", "must be the SHA-256 of the caller key in %d hexadecimal digits", 2*digestBytes)
	}
}

func (c *CallerKeySpec) references() []reference {
	return append(serviceReferences(c.Services), reference{"spec.workspace", ID{KindWorkspace, c.Workspace}})
}

// RateSpec limits the request rate of one workspace over all VMs together.
type RateSpec struct {
	Workspace         string  `json:"workspace" yaml:"workspace"`
	RequestsPerSecond float64 `json:"requestsPerSecond" yaml:"requestsPerSecond"`
	// Burst is the number of requests that may arrive at once.
	Burst int `json:"burst" yaml:"burst"`
}

// Kind implements Spec.
func (*RateSpec) Kind() Kind { return KindRate }

func (*RateSpec) setDefaults() {}

func (r *RateSpec) validate(faults *faultList) {
	validateRange(faults, "spec.requestsPerSecond", r.RequestsPerSecond, 0.01, 1e8)
	validateRange(faults, "spec.burst", r.Burst, 1, 1e8)
}

func (r *RateSpec) references() []reference {
	return []reference{{"spec.workspace", ID{KindWorkspace, r.Workspace}}}
}

// DrainSpec takes a failure domain or one backend server out of service until the
// resource is deleted. Exactly one of FailureDomain and BackendServer is set.
type DrainSpec struct {
	FailureDomain string         `json:"failureDomain,omitempty" yaml:"failureDomain,omitempty"`
	BackendServer *BackendTarget `json:"backendServer,omitempty" yaml:"backendServer,omitempty"`
	// ConfirmedDown attests that the failure domain has stopped, so that other failure
	// domains may own its keys although its VMs don't respond.
	ConfirmedDown bool `json:"confirmedDown,omitempty" yaml:"confirmedDown,omitempty"`
}

// BackendTarget names a backend server within its service.
type BackendTarget struct {
	Service string `json:"service" yaml:"service"`
	Name    string `json:"name" yaml:"name"`
}

// Kind implements Spec.
func (*DrainSpec) Kind() Kind { return KindDrain }

func (*DrainSpec) setDefaults() {}

func (d *DrainSpec) validate(faults *faultList) {
	hasDomain, hasServer := d.FailureDomain != "", d.BackendServer != nil
	if hasDomain == hasServer {
		faults.addf("spec", "exactly one of failureDomain and backendServer is needed")
	}
	if d.ConfirmedDown && !hasDomain {
		faults.addf("spec.confirmedDown", "applies to a failure domain only")
	}
}

func (d *DrainSpec) references() []reference {
	if d.BackendServer != nil {
		return []reference{{"spec.backendServer.service", ID{KindService, d.BackendServer.Service}}}
	}
	return []reference{{"spec.failureDomain", ID{KindFailureDomain, d.FailureDomain}}}
}

// indexPath returns the path of one element of a list field.
func indexPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
