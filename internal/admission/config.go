package admission

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// defaultQueuePerSlot is the default queue bound in requests per slot.
	defaultQueuePerSlot = 16
	// defaultUsualLatency is the usual latency of a service that has none measured yet.
	defaultUsualLatency = 10 * time.Millisecond
	// leavingDuration is how long the gate refuses requests after the backend server
	// said that it is draining. Requests are sent again afterwards, because the
	// statement may be wrong or out of date.
	leavingDuration = 5 * time.Second
)

// Config describes the backend server of a gate and how this VM became its gate.
type Config struct {
	// Slots is the number of requests that the warm backend server runs at once.
	Slots int
	// QueueBound is the largest number of queued requests; 16 per slot if 0.
	QueueBound int
	// UsualLatency is the service's usual latency; 10 ms if 0.
	UsualLatency time.Duration
	// MaxRequestTime bounds the time from the arrival of a request to its deadline;
	// later deadlines are shortened to it. No request of a former gate is in flight
	// any more this long after the takeover.
	MaxRequestTime time.Duration
	// ServesWithoutLease allows one request in flight at a warm backend server after
	// the role lease has expired while no decider is known. It must be false for the
	// backend servers of a keyed service that do not check grants.
	ServesWithoutLease bool
	// Takeover describes the former gate; nil if there was none.
	Takeover *Takeover
	// Now reads the monotonic clock; time.Now if nil.
	Now func() time.Time
}

// Takeover describes the former gate of a backend server, on another VM.
type Takeover struct {
	// Unreachable says that the former gate has not confirmed that it stopped, so it
	// may still keep one request in flight. One slot stays reserved until
	// ReleaseReservedSlot.
	Unreachable bool
	// Handover is the state that the former gate passed on when it stopped; nil if it
	// passed on none.
	Handover *Handover
}

// Handover is the state that a stopped gate passes to its successor.
type Handover struct {
	// Instance is the last instance of the backend server that the gate saw.
	Instance string
	// Limit is the gate's limit of requests in flight.
	Limit int
	// InFlight counts the requests in flight, with those adopted from earlier gates.
	InFlight int
	// Warm is as in Snapshot.
	Warm bool
	// Latency is the moving average of the response times.
	Latency time.Duration
}

// normalize checks the configuration and sets the defaults.
func (c *Config) normalize() error {
	if c.Slots < 1 {
		return errors.Errorf("slots of the backend server: %d is below 1", c.Slots)
	}
	if c.MaxRequestTime <= 0 {
		return errors.Errorf("maximum request time: %s is not positive", c.MaxRequestTime)
	}
	if c.QueueBound < 0 {
		return errors.Errorf("queue bound of the gate: %d is negative", c.QueueBound)
	}
	if c.QueueBound == 0 {
		c.QueueBound = defaultQueuePerSlot * c.Slots
	}
	if c.UsualLatency <= 0 {
		c.UsualLatency = defaultUsualLatency
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return nil
}
