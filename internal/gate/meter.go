package gate

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"fireflyfield/internal/keyspace"
)

const (
	// trackedKeys is the number of keys that one VM counts individually for each
	// service.
	trackedKeys = 1024
	// minTrackedRate is the rate in requests/s below which a slice is dropped and a key
	// is not reported.
	minTrackedRate = 0.01
)

// KeyRate is the demand for one key.
type KeyRate struct {
	Unit keyspace.Unit
	// Rate is in requests/s. It is a lower bound: never above the actual rate with the
	// same decay.
	Rate float64
}

// ServiceLoad is the recent demand for one service at the gates of this VM.
type ServiceLoad struct {
	Service string
	// Slices holds requests/s by slice. A hot key counts in the slice that contains it,
	// so its split from the slice does not change the value.
	Slices map[keyspace.Unit]float64
	// Keys holds the most requested keys, in descending order of their rates.
	Keys []KeyRate
}

// Meter measures the demand by slice and finds the most requested keys. Counts decay
// exponentially: they halve every half-life. It is safe for concurrent use. The lock
// of the meter is taken before that of a service, and no other lock is taken while
// one of them is held.
type Meter struct {
	halfLife time.Duration
	start    time.Time

	mu       sync.RWMutex
	services map[string]*serviceMeter
}

// serviceMeter counts the demand for one service. lastDecay is the time of the last
// decay, since the start of the Meter.
type serviceMeter struct {
	mu        sync.Mutex
	lastDecay time.Duration
	slices    map[keyspace.Unit]float64
	detector  *keyspace.Detector
}

// NewMeter returns a Meter without counts. now must come from the same clock as the
// times that are passed to Loads.
func NewMeter(halfLife time.Duration, now time.Time) *Meter {
	return &Meter{halfLife: halfLife, start: now, services: make(map[string]*serviceMeter)}
}

// Observe counts one request for a key of a service that has the given number of
// slices.
func (m *Meter) Observe(service string, hash keyspace.Hash, slices int) {
	s := m.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slices[hash.Slice(slices)]++
	s.detector.Observe(hash, 1)
}

// service returns the meter of the service and creates it on first use.
func (m *Meter) service(name string) *serviceMeter {
	m.mu.RLock()
	known, ok := m.services[name]
	m.mu.RUnlock()
	if ok {
		return known
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.services[name]; ok {
		return known
	}
	created := &serviceMeter{
		slices:   make(map[keyspace.Unit]float64),
		detector: keyspace.NewDetector(trackedKeys, m.halfLife),
	}
	m.services[name] = created
	return created
}

// Loads returns the load of all services at the given time, sorted by service name
// and with at most maxKeys keys for each.
func (m *Meter) Loads(now time.Time, maxKeys int) []ServiceLoad {
	m.mu.RLock()
	defer m.mu.RUnlock()
	loads := make([]ServiceLoad, 0, len(m.services))
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		loads = append(loads, m.services[name].decayAndLoad(name, now.Sub(m.start), m.halfLife, maxKeys))
	}
	return loads
}

// decayAndLoad decays the counts to their values at now, the time since the start of
// the Meter, and returns the load. A constant rate r leads to a count of
// r x halfLife / ln 2.
func (s *serviceMeter) decayAndLoad(name string, now, halfLife time.Duration, maxKeys int) ServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	ratePerCount := math.Ln2 / halfLife.Seconds()
	load := ServiceLoad{Service: name, Slices: make(map[keyspace.Unit]float64, len(s.slices))}
	factor := math.Exp2(-float64(now-s.lastDecay) / float64(halfLife))
	s.lastDecay = now
	for slice, count := range s.slices {
		count *= factor
		if count*ratePerCount < minTrackedRate {
			delete(s.slices, slice)
			continue
		}
		s.slices[slice] = count
		load.Slices[slice] = count * ratePerCount
	}
	s.detector.Decay(now)
	for _, counted := range s.detector.Top(maxKeys, minTrackedRate/ratePerCount) {
		load.Keys = append(load.Keys, KeyRate{Unit: counted.Unit, Rate: (counted.Count - counted.Error) * ratePerCount})
	}
	return load
}
