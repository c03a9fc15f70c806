package admission

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// defaultQueuePerSlot bounds the queue at this many requests per slot.
	defaultQueuePerSlot = 16
	// defaultUsualLatency is assumed until the service's latency is known.
	defaultUsualLatency = 10 * time.Millisecond
	// leavingHold is how long a backend server's statement that it is draining
	// counts. After it one request asks again, because reports may be wrong.
	leavingHold = 5 * time.Second
)

// Config describes the backend server of a gate.
type Config struct {
	// Slots is the number of requests that the warm backend server runs at once.
	Slots int
	// QueueBound is the largest number of queued requests; 16 per slot if 0.
	QueueBound int
	// UsualLatency is the service's usual latency; 10 ms if 0.
	UsualLatency time.Duration
	// LongestDeadline bounds the time that any request may take.
	LongestDeadline time.Duration
	// ServesWithoutLease says that the gate may keep one request in flight after
	// its role lease has expired and no decider is known. It must be false for the
	// backend servers of a keyed service that do not check grants.
	ServesWithoutLease bool
	// Takeover is set if another VM was the gate before.
	Takeover *Takeover
	// Now reads the monotonic clock; time.Now if nil.
	Now func() time.Time
}

// Takeover says what is known of the former gate.
type Takeover struct {
	// Unreachable says that the former gate has not been heard from, so it may still
	// keep one request in flight. One slot stays reserved until FormerGateGone.
	Unreachable bool
	// Handover is what the former gate stated when it stopped; nil if it did not.
	Handover *Handover
}

// Handover is the state that a stopped gate gives to the next one.
type Handover struct {
	Instance string
	Limit    int
	InFlight int
	Warm     bool
	Latency  time.Duration
}

func (c *Config) complete() error {
	if c.Slots < 1 {
		return errors.Errorf("slots: %d is below 1", c.Slots)
	}
	if c.LongestDeadline <= 0 {
		return errors.Errorf("longest deadline: %s is not positive", c.LongestDeadline)
	}
	if c.QueueBound < 0 {
		return errors.Errorf("queue bound: %d is negative", c.QueueBound)
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
