package balance

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
)

// Policy is the algorithm that chooses a backend server.
type Policy uint8

// The policies. Random and LeastReported are baselines for measurements.
const (
	// TwoChoices picks the better of two random candidates: the one with the lower
	// product of requests in flight and latency. It prefers the VM's failure domain and
	// sends only probes to slow and failed servers.
	TwoChoices Policy = iota
	// Random picks uniformly among the servers that accept requests.
	Random
	// LeastReported picks the server with the fewest reported requests in flight.
	LeastReported
)

// Config configures the Picker of one VM for one service.
type Config struct {
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	Policy        Policy
	// Slots is the number of requests that one backend server runs at once.
	Slots int
	// Random is the source of random choices. It is used under the Picker's lock only.
	Random *rand.Rand
	// Now reads the monotonic clock; time.Now if nil.
	Now func() time.Time
}

// normalize checks the configuration and sets the defaults.
func (c *Config) normalize() error {
	if c.Slots < 1 {
		return errors.Errorf("slots of a backend server: %d is below 1", c.Slots)
	}
	if c.Random == nil {
		return errors.New("the random source is nil")
	}
	if c.Policy > LeastReported {
		return errors.Errorf("unknown balancing policy %d", c.Policy)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return nil
}

// Server is one backend server of the service.
type Server struct {
	Name          string
	FailureDomain string
}

// State says whether a backend server accepts new requests.
type State uint8

// The states of a backend server. Warm is the zero value, so that a server without
// any report is used.
const (
	Warm State = iota
	// Cold is the state of a freshly started server. It gets one request at a time from
	// each VM while others have free slots.
	Cold
	// Draining and Leaving servers get no requests. Load reports can end Draining; only
	// SetState ends Leaving.
	Draining
	Leaving
)

// Report is a load report of one backend server.
type Report struct {
	// InFlight counts the requests in flight from all VMs.
	InFlight int
	State    State
	// Age is the time since the backend server took these values.
	Age time.Duration
}
