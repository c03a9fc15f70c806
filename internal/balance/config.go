package balance

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
)

// Policy is a way to choose a backend server.
type Policy uint8

// The policies. Random and LeastReported are baselines for measurements.
const (
	// TwoChoices compares two random candidates by requests in flight x latency.
	TwoChoices Policy = iota
	// Random picks any server that takes new work.
	Random
	// LeastReported picks the server with the fewest reported requests in flight.
	LeastReported
)

// Config describes the view of one VM on one service.
type Config struct {
	// FailureDomain is that of the VM.
	FailureDomain string
	Policy        Policy
	// Slots is the number of requests that one backend server runs at once.
	Slots int
	// Random is used under the Picker's lock only.
	Random *rand.Rand
	// Now reads the monotonic clock; time.Now if nil.
	Now func() time.Time
}

func (c *Config) normalize() error {
	if c.Slots < 1 {
		return errors.Errorf("slots: %d is below 1", c.Slots)
	}
	if c.Random == nil {
		return errors.New("random: a random source is needed")
	}
	if c.Policy > LeastReported {
		return errors.Errorf("policy: %d is not known", c.Policy)
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

// State says whether a backend server takes new work.
type State uint8

// The states of a backend server. Warm is the zero value, so that a server without
// any report is used.
const (
	Warm State = iota
	// Cold servers get one request at a time from each VM.
	Cold
	// Draining and Leaving servers get none.
	Draining
	Leaving
)

// Report is a load report of one backend server.
type Report struct {
	InFlight int
	State    State
	// Age is the time since the backend server read these values.
	Age time.Duration
}
