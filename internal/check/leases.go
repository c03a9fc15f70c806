package check

import (
	"cmp"
	"maps"
	"slices"

	"fireflyfield/internal/trace"
)

// unitKey identifies a unit across services.
type unitKey struct {
	service string
	unit    trace.Unit
}

// instanceKey identifies one instance of a backend server.
type instanceKey struct {
	server   trace.Server
	instance string
}

// lease is the interval during which one instance of a backend server held a unit
// under one fencing token.
type lease struct {
	span
	instanceKey
	key     unitKey
	token   trace.Token
	expires int64
	grant   trace.Event
	// last is the event that ended the lease, or the grant if no such event was
	// recorded.
	last trace.Event
}

// leaseTracker reconstructs the leases from the events of the backend servers.
type leaseTracker struct {
	open map[instanceKey]map[unitKey]*lease
	all  map[unitKey][]*lease
}

// leasesByUnit returns the leases of every unit, sorted by begin. A lease that is
// still open ends at its expiry, or just after lastTime if that is earlier.
func leasesByUnit(sorted []trace.Event, lastTime int64) map[unitKey][]*lease {
	t := &leaseTracker{
		open: make(map[instanceKey]map[unitKey]*lease),
		all:  make(map[unitKey][]*lease),
	}
	for _, event := range sorted {
		t.apply(event)
	}
	for _, units := range t.open {
		for _, held := range units {
			held.end = min(held.expires, lastTime+1)
		}
	}
	for _, list := range t.all {
		slices.SortStableFunc(list, func(a, b *lease) int { return cmp.Compare(a.begin, b.begin) })
	}
	return t.all
}

func (t *leaseTracker) apply(event trace.Event) {
	switch body := event.Body.(type) {
	case trace.Grant:
		t.grant(event, body)
	case trace.Renew:
		t.renew(event, body)
	case trace.Revoke:
		t.close(event, instanceKey{body.Server, body.Instance}, unitKey{body.Server.Service, body.Unit})
	case trace.Lapse:
		t.close(event, instanceKey{body.Server, body.Instance}, unitKey{body.Server.Service, body.Unit})
	case trace.ServerState:
		t.endOtherInstances(event, body)
	}
}

func (t *leaseTracker) grant(event trace.Event, body trace.Grant) {
	instance := instanceKey{body.Server, body.Instance}
	key := unitKey{body.Server.Service, body.Unit}
	t.close(event, instance, key)
	held := &lease{
		span:        span{event.Time, never},
		instanceKey: instance,
		key:         key,
		token:       body.Token,
		expires:     expiry(body.Expires),
		grant:       event,
		last:        event,
	}
	if t.open[instance] == nil {
		t.open[instance] = make(map[unitKey]*lease)
	}
	t.open[instance][key] = held
	t.all[key] = append(t.all[key], held)
}

// renew extends the leases of the instance that have not expired yet. A late renewal
// does not restore a lease that has already expired.
func (t *leaseTracker) renew(event trace.Event, body trace.Renew) {
	for _, held := range t.open[instanceKey{body.Server, body.Instance}] {
		if held.expires > event.Time {
			held.expires = expiry(body.Expires)
		}
	}
}

func (t *leaseTracker) close(event trace.Event, instance instanceKey, key unitKey) {
	held, ok := t.open[instance][key]
	if !ok {
		return
	}
	held.end = min(event.Time, held.expires)
	held.last = event
	delete(t.open[instance], key)
}

// endOtherInstances closes the leases of all other instances of the backend server,
// which ended when the instance that reports its state started.
func (t *leaseTracker) endOtherInstances(event trace.Event, body trace.ServerState) {
	for instance, units := range t.open {
		if instance.server != body.Server || instance.instance == body.Instance {
			continue
		}
		for key := range units {
			t.close(event, instance, key)
		}
	}
}

// expiry returns the end of a lease, where 0 stands for a lease without an end.
func expiry(expires int64) int64 {
	if expires == 0 {
		return never
	}
	return expires
}

// sortedKeys returns the units in a fixed order, so that results for a trace are
// deterministic.
func sortedKeys[V any](units map[unitKey]V) []unitKey {
	return slices.SortedFunc(maps.Keys(units), func(a, b unitKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.unit, b.unit))
	})
}

// Lease is the interval during which a backend server held a unit. Begin and End are
// in Unix ns; End is excluded.
type Lease struct {
	Unit       trace.Unit
	Server     trace.Server
	Begin, End int64
}

// Leases returns every lease in the events, sorted by service, unit and begin.
func Leases(events []trace.Event) []Lease {
	sorted := slices.SortedStableFunc(slices.Values(events), trace.Compare)
	if len(sorted) == 0 {
		return nil
	}
	units := leasesByUnit(sorted, sorted[len(sorted)-1].Time)
	var list []Lease
	for _, key := range sortedKeys(units) {
		for _, held := range units[key] {
			list = append(list, Lease{held.key.unit, held.server, held.begin, held.end})
		}
	}
	return list
}
