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
	// trackedKeys is the number of keys that one VM follows for each service.
	trackedKeys = 1024
	// forgottenRate is the rate in requests/s below which a slice is forgotten.
	forgottenRate = 0.01
)

// KeyRate is the rate of one key.
type KeyRate struct {
	Unit keyspace.Unit
	// Rate is in requests/s and never above the true decayed rate.
	Rate float64
}

// ServiceLoad is the recent demand that this VM's gates saw for one service.
type ServiceLoad struct {
	Service string
	// Slices holds requests/s by slice. Hot keys count in the slice that contains
	// them, so that a split does not change the values.
	Slices map[keyspace.Unit]float64
	// Keys holds the most frequent keys, the most frequent first.
	Keys []KeyRate
}

// Meter counts the demand by slice and finds frequent keys. Counts halve every
// half-life. It is safe for concurrent use; its locks are leaves.
type Meter struct {
	halfLife time.Duration
	start    time.Time

	mu       sync.RWMutex
	services map[string]*serviceMeter
}

type serviceMeter struct {
	mu       sync.Mutex
	decayed  time.Duration
	slices   map[keyspace.Unit]float64
	detector *keyspace.Detector
}

// NewMeter returns a meter without counts; now is a reading of the clock that
// Take gets.
func NewMeter(halfLife time.Duration, now time.Time) *Meter {
	return &Meter{halfLife: halfLife, start: now, services: make(map[string]*serviceMeter)}
}

// Observe counts one request for a key of a service with the number of slices.
func (m *Meter) Observe(service string, hash keyspace.Hash, slices int) {
	s := m.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slices[hash.Slice(slices)]++
	s.detector.Observe(hash, 1)
}

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

// Loads returns the load at the time, with at most keys keys for each service.
func (m *Meter) Loads(now time.Time, keys int) []ServiceLoad {
	m.mu.RLock()
	defer m.mu.RUnlock()
	loads := make([]ServiceLoad, 0, len(m.services))
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		loads = append(loads, m.services[name].take(name, now.Sub(m.start), m.halfLife, keys))
	}
	return loads
}

// take decays the counts. A constant rate r leads to a count of
// r x halfLife / ln 2.
func (s *serviceMeter) take(name string, now, halfLife time.Duration, keys int) ServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	perCount := math.Ln2 / halfLife.Seconds()
	load := ServiceLoad{Service: name, Slices: make(map[keyspace.Unit]float64, len(s.slices))}
	factor := math.Exp2(-float64(now-s.decayed) / float64(halfLife))
	s.decayed = now
	for slice, count := range s.slices {
		count *= factor
		if count*perCount < forgottenRate {
			delete(s.slices, slice)
			continue
		}
		s.slices[slice] = count
		load.Slices[slice] = count * perCount
	}
	s.detector.Decay(now)
	for _, counted := range s.detector.Top(keys, forgottenRate/perCount) {
		load.Keys = append(load.Keys, KeyRate{Unit: counted.Unit, Rate: (counted.Count - counted.Error) * perCount})
	}
	return load
}
