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

var loadStart = time.Unix(1_000_000, 0)

func reported(slice, key keyspace.Unit, sliceRate, keyRate float32) loadCall {
	return loadCall{Services: []serviceLoad{{
		Service: "s",
		Slices:  []unitRate{{Unit: slice, Rate: sliceRate}},
		Keys:    []unitRate{{Unit: key, Rate: keyRate}},
	}}}
}

// Guards against a key that becomes hot by the reports of several VMs only, keeps
// charging its slice after the split, or is merged back during a short pause.
func TestHotKeyBySumOfReports(t *testing.T) {
	is := is.New(t)
	key := keyspace.HashKey("s", "k").Hot()
	service := loadedService{name: "s", slices: 8, servers: 2}
	slice := key.Parent(service.slices)
	c := newLoadCollector(time.Second)
	c.put("a", reported(slice, key, 20, 15), loadStart)
	is.Equal(len(c.events([]loadedService{service}, loadStart)[0].Hot), 0) // below minHotRate
	c.put("b", reported(slice, key, 20, 15), loadStart)
	event := c.events([]loadedService{service}, loadStart)[0]
	is.Equal(event.Hot, []keyspace.Unit{key})
	is.Equal(event.Load[key], 30.0)
	is.Equal(event.Load[slice], 10.0)
	for range coolReports - 1 {
		is.Equal(len(pause(c, service, slice, key)), 1)
	}
	is.Equal(len(pause(c, service, slice, key)), 0)
}

func pause(c *loadCollector, service loadedService, slice, key keyspace.Unit) []keyspace.Unit {
	c.put("a", reported(slice, key, 1, 1), loadStart)
	c.put("b", reported(slice, key, 1, 1), loadStart)
	return c.events([]loadedService{service}, loadStart)[0].Hot
}

// Guards against a VM that no longer reports, and against values that make no
// sense, counting as load.
func TestLoadReportsExpireAndAreChecked(t *testing.T) {
	is := is.New(t)
	service := loadedService{name: "s", slices: 8, servers: 2}
	c := newLoadCollector(time.Second)
	nan := float32(math.NaN())
	c.put("a", reported(9, 3, 100, 100), loadStart) // no such slice, and a slice in place of a key
	c.put("b", reported(1, keyspace.Hash(5).Hot(), nan, float32(math.Inf(1))), loadStart)
	event := c.events([]loadedService{service}, loadStart)[0]
	is.Equal(len(event.Load), 0)
	is.Equal(len(event.Hot), 0)
	is.Equal(len(c.events([]loadedService{service}, loadStart.Add(6*time.Second))), 0)
}

// Guards against a new decider that merges the hot keys of the former one before
// it has counted.
func TestNewCollectorKeepsHotKeys(t *testing.T) {
	is := is.New(t)
	key := keyspace.HashKey("s", "k").Hot()
	service := loadedService{name: "s", slices: 8, servers: 2, hot: map[keyspace.Unit]bool{key: true}}
	c := newLoadCollector(time.Second)
	c.put("a", loadCall{}, loadStart)
	is.Equal(c.events([]loadedService{service}, loadStart)[0].Hot, []keyspace.Unit{key})
}

// Guards against load reports that outgrow their message or the 21 KB/s of control
// traffic that one VM may cause.
func TestLoadCallIsBounded(t *testing.T) {
	is := is.New(t)
	var loads []gate.ServiceLoad
	for _, name := range []string{"a", "b"} {
		load := gate.ServiceLoad{Service: name, Slices: make(map[keyspace.Unit]float64)}
		for i := range 65536 {
			load.Slices[keyspace.Unit(i)] = float64(i)
			load.Keys = append(load.Keys, gate.KeyRate{Unit: keyspace.Hash(i).Hot(), Rate: float64(i)})
		}
		loads = append(loads, load)
	}
	call := newLoadCall(loads)
	is.Equal(call.Services[0].Slices[0].Unit, keyspace.Unit(65535)) // the highest rates stay
	data, err := cbor.Marshal(call)
	is.NoErr(err)
	t.Logf("%d bytes", len(data))
	is.True(len(data) < 10_000)
	var decoded loadCall
	is.NoErr(cbor.Unmarshal(data, &decoded))
	is.Equal(decoded, call)
}

// Guards against one lost poll taking a backend server's keys away, and against a
// backend server that counts as down for ever.
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

// Guards against a service slower than the gates' assumption that never leaves a
// limit of one request, and against one slow or cold backend server deciding what
// is usual.
func TestUsualLatency(t *testing.T) {
	is := is.New(t)
	at := func(ms int, warm bool, admitted uint64) admission.Snapshot {
		return admission.Snapshot{Latency: time.Duration(ms) * time.Millisecond, Warm: warm, Admitted: admitted}
	}
	_, known := usualLatency([]admission.Snapshot{at(40, true, 3)})
	is.True(!known)
	usual, _ := usualLatency([]admission.Snapshot{at(400, false, 99), at(40, true, 99), at(45, true, 99), at(500, true, 99)})
	is.Equal(usual, 45*time.Millisecond)
	usual, _ = usualLatency([]admission.Snapshot{at(40, false, 99)})
	is.Equal(usual, 40*time.Millisecond)
	usual, _ = usualLatency([]admission.Snapshot{at(1, true, 99)})
	is.Equal(usual, minUsualLatency)
}
