package metrics

import (
	"sync"

	"go.opentelemetry.io/otel/metric"
)

// maxLabels is the largest number of labels that an instrument has.
const maxLabels = 4

// labels holds the keys or the values of a label set; unused elements are empty.
type labels [maxLabels]string

// setKey identifies a label set in the cache.
type setKey struct{ keys, values labels }

// maxCachedSets bounds the cache. Further label sets are built anew for each call.
const maxCachedSets = 16_384

// setCache caches label sets, because building one for each request would allocate. It
// is safe for concurrent use.
type setCache struct {
	mu   sync.RWMutex
	sets map[setKey]metric.MeasurementOption
}

// get returns the label set with the values and keys.
func (c *setCache) get(values, keys labels) metric.MeasurementOption {
	key := setKey{keys: keys, values: values}
	c.mu.RLock()
	known, ok := c.sets[key]
	c.mu.RUnlock()
	if ok {
		return known
	}
	created := metric.WithAttributeSet(attributes(keys, values))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sets == nil {
		c.sets = make(map[setKey]metric.MeasurementOption)
	}
	if len(c.sets) < maxCachedSets {
		c.sets[key] = created
	}
	return created
}
