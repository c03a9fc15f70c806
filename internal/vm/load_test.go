package vm

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"fireflyfield/internal/admission"
	"fireflyfield/internal/gate"
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/ownership"
)

// loadStart is the time at which the tests collect the reports.
var loadStart = time.Unix(1_000_000, 0)

// reportedLoad returns the report of a VM with one slice and one key, rates in requests/s.
func reportedLoad(slice, key keyspace.Unit, sliceRate, keyRate float32) loadCall {
	return loadCall{Services: []serviceLoad{{
		Service: "s",
		Slices:  []unitRate{{Unit: slice, Rate: sliceRate}},
		Keys:    []unitRate{{Unit: key, Rate: keyRate}},
	}}}
}

// Guards against three faults: a key that is hot only by the sum over several VMs is
// not recognized, its load still counts for its slice after the split, or it is merged
// into the slice again during a short pause.
func TestHotKeyIsFoundBySumOfReports(t *testing.T) {
	is := is.New(t)
	key := keyspace.HashKey("s", "k").HotUnit()
	service := keyedService{name: "s", slices: 8, servers: 2}
	slice := key.Parent(service.slices)
	c := newLoadCollector(time.Second)
	c.put("a", reportedLoad(slice, key, 20, 15), loadStart)
	is.Equal(len(c.events([]keyedService{service}, loadStart)[0].Hot), 0) // below minHotRate
	c.put("b", reportedLoad(slice, key, 20, 15), loadStart)
	event := c.events([]keyedService{service}, loadStart)[0]
	is.Equal(event.Hot, []keyspace.Unit{key})
	is.Equal(event.Load[key], 30.0)
	is.Equal(event.Load[slice], 10.0)
	for range coolReports - 1 {
		is.Equal(len(collectPause(c, service, slice, key)), 1)
	}
	is.Equal(len(collectPause(c, service, slice, key)), 0)
}

// collectPause collects reports with a low rate and returns the hot keys after them.
func collectPause(c *loadCollector, service keyedService, slice, key keyspace.Unit) []keyspace.Unit {
	c.put("a", reportedLoad(slice, key, 1, 1), loadStart)
	c.put("b", reportedLoad(slice, key, 1, 1), loadStart)
	return c.events([]keyedService{service}, loadStart)[0].Hot
}

// Guards against invalid units and rates counting as load, and against the last report
// of a VM that has stopped reporting counting forever.
func TestLoadReportsAreValidatedAndExpire(t *testing.T) {
	is := is.New(t)
	service := keyedService{name: "s", slices: 8, servers: 2}
	c := newLoadCollector(time.Second)
	nan := float32(math.NaN())
	c.put("a", reportedLoad(9, 3, 100, 100), loadStart) // a slice that does not exist, and a slice where a hot key must be
	c.put("b", reportedLoad(1, keyspace.Hash(5).HotUnit(), nan, float32(math.Inf(1))), loadStart)
	event := c.events([]keyedService{service}, loadStart)[0]
	is.Equal(len(event.Load), 0)
	is.Equal(len(event.Hot), 0)
	is.Equal(len(c.events([]keyedService{service}, loadStart.Add(6*time.Second))), 0)
}

// Guards against a new decider that merges the hot keys of its predecessor into their
// slices before it has received reports about them.
func TestNewCollectorKeepsHotKeys(t *testing.T) {
	is := is.New(t)
	key := keyspace.HashKey("s", "k").HotUnit()
	service := keyedService{name: "s", slices: 8, servers: 2, hot: map[keyspace.Unit]bool{key: true}}
	c := newLoadCollector(time.Second)
	c.put("a", loadCall{}, loadStart)
	is.Equal(c.events([]keyedService{service}, loadStart)[0].Hot, []keyspace.Unit{key})
}

// Guards against reports that exceed the size limit of their message, or the 21 KB/s
// of control traffic that one VM may cause.
func TestLoadCallIsBounded(t *testing.T) {
	is := is.New(t)
	var loads []gate.ServiceLoad
	for _, name := range []string{"a", "b"} {
		load := gate.ServiceLoad{Service: name, Slices: make(map[keyspace.Unit]float64)}
		for i := range 65536 {
			load.Slices[keyspace.Unit(i)] = float64(i)
			load.Keys = append(load.Keys, gate.KeyRate{Unit: keyspace.Hash(i).HotUnit(), Rate: float64(i)})
		}
		loads = append(loads, load)
	}
	call := newLoadCall(loads)
	is.Equal(call.Services[0].Slices[0].Unit, keyspace.Unit(65535)) // the highest rates stay
	data, err := cbor.Marshal(call)
	is.NoErr(err)
	t.Logf("encoded report: %d bytes", len(data))
	is.True(len(data) < 10_000)
	var decoded loadCall
	is.NoErr(cbor.Unmarshal(data, &decoded))
	is.Equal(decoded, call)
}

// Guards against a backend server losing its keys because of a single failed poll, and
// against one that never counts as up again.
func TestHealthNeedsSeveralPolls(t *testing.T) {
	is := is.New(t)
	id := ownership.ServerID{Service: "s", Name: "x"}
	h := newHealthTracker()
	var changes []bool
	for _, up := range []bool{true, false, false, true, false, false, false, false, true, false, true, true, true} {
		if event, changed := h.observe(id, up); changed {
			is.Equal(event.Server, id)
			changes = append(changes, event.Up)
		}
	}
	is.Equal(changes, []bool{false, true})
}

// Guards against gates of a slow service whose limit stays at one request because they
// assume a lower latency, and against a single slow or cold backend server determining
// the usual latency of its service.
func TestUsualLatencyIsMedianOfWarmGates(t *testing.T) {
	is := is.New(t)
	snapshot := func(ms int, warm bool, admitted uint64) admission.Snapshot {
		return admission.Snapshot{Latency: time.Duration(ms) * time.Millisecond, Warm: warm, Admitted: admitted}
	}
	_, known := usualLatency([]admission.Snapshot{snapshot(40, true, 3)})
	is.True(!known)
	usual, _ := usualLatency([]admission.Snapshot{snapshot(400, false, 99), snapshot(40, true, 99), snapshot(45, true, 99), snapshot(500, true, 99)})
	is.Equal(usual, 45*time.Millisecond)
	usual, _ = usualLatency([]admission.Snapshot{snapshot(40, false, 99)})
	is.Equal(usual, 40*time.Millisecond)
	usual, _ = usualLatency([]admission.Snapshot{snapshot(1, true, 99)})
	is.Equal(usual, minUsualLatency)
}
