package metrics

import (
	"sync"

	"go.opentelemetry.io/otel/metric"
)

// maxLabels is the largest number of labels of an instrument.
const maxLabels = 4

// labels holds the keys or the values of a label set.
type labels [maxLabels]string

// setKey names a label set.
type setKey struct{ keys, values labels }

// maxCachedSets bounds the cache; more sets are built for each call.
const maxCachedSets = 16_384

// setCache keeps label sets, because building one for each request would allocate.
type setCache struct {
	mu   sync.RWMutex
	sets map[setKey]metric.MeasurementOption
}

func (c *setCache) get(values, keys labels) metric.MeasurementOption {
	key := setKey{keys: keys, values: values}
	c.mu.RLock()
	known, ok := c.sets[key]
	c.mu.RUnlock()
	if ok {
		return known
	}
	made := metric.WithAttributeSet(attributes(keys, values))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sets == nil {
		c.sets = make(map[setKey]metric.MeasurementOption)
	}
	if len(c.sets) < maxCachedSets {
		c.sets[key] = made
	}
	return made
}
