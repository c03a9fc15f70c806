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
	// hotFraction is the fraction of the mean load of a backend server from which a
	// key is hot. For comparison, with 64 slices and 4 backend servers a slice has on
	// average 1/16 of that load.
	hotFraction = 0.2
	// minHotRate is the rate in requests/s below which no key becomes hot, so that
	// keys of idle services stay in their slices.
	minHotRate = 20
	// coolFraction is the fraction of the rate from which a key is hot below which a
	// hot key counts as cool.
	coolFraction = 0.5
	// coolReports is the number of consecutive reports that must find a hot key cool
	// before it is merged into its slice, so that a short pause of a caller does not
	// cause two moves.
	coolReports = 5
	// reportLifetime is the age, in report intervals, above which the last report of a
	// VM is discarded.
	reportLifetime = 5
)

// keyedService is what the collector needs to know about a keyed service.
type keyedService struct {
	name   string
	slices int
	// servers is the number of its backend servers in this failure domain.
	servers int
	// hot holds the hot keys of the published domain map.
	hot map[keyspace.Unit]bool
}

// loadCollector sums the reports of all VMs of a failure domain and decides which keys
// are hot. It is not safe for concurrent use.
type loadCollector struct {
	interval time.Duration
	// reports holds the last report of each VM.
	reports map[string]receivedLoad
	// hot holds the hot keys of each service with the number of consecutive reports
	// that found the key cool.
	hot map[string]map[keyspace.Unit]int
}

// receivedLoad is the report of one VM.
type receivedLoad struct {
	call       loadCall
	receivedAt time.Time
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
	c.reports[from] = receivedLoad{call: call, receivedAt: now}
}

// events returns the summed load and the hot keys of each service. It is called once
// per report interval and returns nothing while there are no reports.
func (c *loadCollector) events(services []keyedService, now time.Time) []ownership.LoadReported {
	maps.DeleteFunc(c.reports, func(_ string, report receivedLoad) bool {
		return now.Sub(report.receivedAt) > reportLifetime*c.interval
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

// event updates the hot keys of the service and returns its load by unit.
func (c *loadCollector) event(service keyedService) ownership.LoadReported {
	load, keys := c.sumRates(service)
	total := 0.0
	for _, rate := range load {
		total += rate
	}
	threshold := math.Max(minHotRate, hotFraction*total/float64(max(1, service.servers)))
	c.updateHotKeys(service, keys, threshold)
	hot := c.sortedHotKeys(service.name, keys)
	// The load of a hot key counts for its own unit only. It is subtracted from the
	// slice, whose rate may date from before the key was split off.
	for _, unit := range hot {
		parent := unit.Parent(service.slices)
		load[parent] = math.Max(0, load[parent]-keys[unit])
		load[unit] = keys[unit]
	}
	return ownership.LoadReported{Service: service.name, Load: load, Hot: hot}
}

// sumRates adds up the rates of slices and keys over the VMs. Invalid units and rates
// are ignored.
func (c *loadCollector) sumRates(service keyedService) (load, keys map[keyspace.Unit]float64) {
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

// addRates adds the rates of valid units that are positive and finite.
func addRates(into map[keyspace.Unit]float64, rates []unitRate, valid func(keyspace.Unit) bool) {
	for _, r := range rates {
		rate := float64(r.Rate)
		if valid(r.Unit) && rate > 0 && !math.IsInf(rate, 1) {
			into[r.Unit] += rate
		}
	}
}

// updateHotKeys adds keys that reach the threshold in requests/s, and removes those
// that coolReports consecutive reports found cool.
func (c *loadCollector) updateHotKeys(service keyedService, keys map[keyspace.Unit]float64, threshold float64) {
	hot := c.hot[service.name]
	if hot == nil {
		// A new decider starts with the hot keys of its predecessor.
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
		if keys[unit] >= coolFraction*threshold {
			hot[unit] = 0
			continue
		}
		if hot[unit]++; hot[unit] >= coolReports {
			delete(hot, unit)
		}
	}
}

// sortedHotKeys returns the hot keys by descending rate.
func (c *loadCollector) sortedHotKeys(service string, keys map[keyspace.Unit]float64) []keyspace.Unit {
	units := slices.Collect(maps.Keys(c.hot[service]))
	slices.SortFunc(units, func(a, b keyspace.Unit) int {
		return cmp.Or(cmp.Compare(keys[b], keys[a]), cmp.Compare(a, b))
	})
	return units
}
