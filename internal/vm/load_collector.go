package vm

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/ownership"
)

const (
	// hotShare is the part of a backend server's mean load from which a key is hot.
	// A slice has 1 / 16 of it at 64 slices and 4 backend servers.
	hotShare = 0.2
	// minHotRate in requests/s keeps the keys of idle services in their slices.
	minHotRate = 20
	// coolShare of the rate from which a key is hot is the rate below which it cools.
	coolShare = 0.5
	// coolReports is how many reports in a row have to find a key cool before it is
	// merged back; a pause of a caller must not cause two moves.
	coolReports = 5
	// reportLifetime is the age in report intervals at which a VM's last report
	// stops counting.
	reportLifetime = 5
)

// loadedService is what the collector has to know of a keyed service.
type loadedService struct {
	name   string
	slices int
	// servers is the number of its backend servers in this failure domain.
	servers int
	// hot holds the hot keys of the published map.
	hot map[keyspace.Unit]bool
}

// loadCollector sums load reports and decides which keys are hot. It is not safe
// for concurrent use.
type loadCollector struct {
	interval time.Duration
	reports  map[string]receivedLoad
	// hot holds the hot keys of each service and how many reports found them cool.
	hot map[string]map[keyspace.Unit]int
}

type receivedLoad struct {
	call loadCall
	at   time.Time
}

func newLoadCollector(interval time.Duration) *loadCollector {
	return &loadCollector{
		interval: interval,
		reports:  make(map[string]receivedLoad),
		hot:      make(map[string]map[keyspace.Unit]int),
	}
}

// put replaces the report of one VM.
func (c *loadCollector) put(from string, call loadCall, now time.Time) {
	c.reports[from] = receivedLoad{call: call, at: now}
}

// events returns the load of each service once per report interval.
func (c *loadCollector) events(services []loadedService, now time.Time) []ownership.LoadReported {
	maps.DeleteFunc(c.reports, func(_ string, report receivedLoad) bool {
		return now.Sub(report.at) > reportLifetime*c.interval
	})
	if len(c.reports) == 0 {
		return nil
	}
	events := make([]ownership.LoadReported, 0, len(services))
	for _, service := range services {
		events = append(events, c.event(service))
	}
	return events
}

func (c *loadCollector) event(service loadedService) ownership.LoadReported {
	load, keys := c.sum(service)
	total := 0.0
	for _, rate := range load {
		total += rate
	}
	threshold := math.Max(minHotRate, hotShare*total/float64(max(1, service.servers)))
	c.updateHot(service, keys, threshold)
	hot := c.sortedHot(service.name, keys)
	// A slice is not charged with keys that have units of their own, also when its
	// counts were made before the split.
	for _, unit := range hot {
		parent := unit.Parent(service.slices)
		load[parent] = math.Max(0, load[parent]-keys[unit])
		load[unit] = keys[unit]
	}
	return ownership.LoadReported{Service: service.name, Load: load, Hot: hot}
}

// sum adds the rates of slices and keys over the VMs. Values that make no sense
// are left out.
func (c *loadCollector) sum(service loadedService) (load, keys map[keyspace.Unit]float64) {
	load, keys = make(map[keyspace.Unit]float64), make(map[keyspace.Unit]float64)
	for _, report := range c.reports {
		for _, reported := range report.call.Services {
			if reported.Service != service.name {
				continue
			}
			addRates(load, reported.Slices, func(u keyspace.Unit) bool { return uint64(u) < uint64(service.slices) })
			addRates(keys, reported.Keys, keyspace.Unit.IsHot)
		}
	}
	return load, keys
}

func addRates(into map[keyspace.Unit]float64, rates []unitRate, valid func(keyspace.Unit) bool) {
	for _, r := range rates {
		rate := float64(r.Rate)
		if valid(r.Unit) && rate > 0 && !math.IsInf(rate, 1) {
			into[r.Unit] += rate
		}
	}
}

func (c *loadCollector) updateHot(service loadedService, keys map[keyspace.Unit]float64, threshold float64) {
	hot := c.hot[service.name]
	if hot == nil {
		// A new decider begins with the hot keys of the former one.
		hot = make(map[keyspace.Unit]int)
		for unit := range service.hot {
			hot[unit] = 0
		}
		c.hot[service.name] = hot
	}
	for unit, rate := range keys {
		if _, known := hot[unit]; !known && rate >= threshold && len(hot) < keyspace.MaxHotKeys {
			hot[unit] = 0
		}
	}
	for unit := range hot {
		if keys[unit] >= coolShare*threshold {
			hot[unit] = 0
			continue
		}
		if hot[unit]++; hot[unit] >= coolReports {
			delete(hot, unit)
		}
	}
}

// sortedHot returns the hot keys, the most frequent first.
func (c *loadCollector) sortedHot(service string, keys map[keyspace.Unit]float64) []keyspace.Unit {
	units := slices.Collect(maps.Keys(c.hot[service]))
	slices.SortFunc(units, func(a, b keyspace.Unit) int {
		return cmp.Or(cmp.Compare(keys[b], keys[a]), cmp.Compare(a, b))
	})
	return units
}
