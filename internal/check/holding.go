package check

import (
	"cmp"
	"maps"
	"slices"

	"fireflyfield/internal/trace"
)

// unitKey identifies a unit.
type unitKey struct {
	service string
	unit    trace.Unit
}

// instanceKey identifies one instance of a backend server.
type instanceKey struct {
	server   trace.Server
	instance string
}

// holding is the time during which an instance of a backend server held a unit
// under one token.
type holding struct {
	span
	instanceKey
	key     unitKey
	token   trace.Token
	expires int64
	grant   trace.Event
	// last says why the holding ended; it is the grant while none has been seen.
	last trace.Event
}

// leaseTracker rebuilds who held what from the events of backend servers.
type leaseTracker struct {
	open map[instanceKey]map[unitKey]*holding
	all  map[unitKey][]*holding
}

// holdings returns the holdings of every unit by begin.
func holdings(sorted []trace.Event, horizon int64) map[unitKey][]*holding {
	t := &leaseTracker{
		open: make(map[instanceKey]map[unitKey]*holding),
		all:  make(map[unitKey][]*holding),
	}
	for _, event := range sorted {
		t.apply(event)
	}
	for _, units := range t.open {
		for _, held := range units {
			held.end = min(held.expires, horizon+1)
		}
	}
	for _, list := range t.all {
		slices.SortStableFunc(list, func(a, b *holding) int { return cmp.Compare(a.begin, b.begin) })
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
	held := &holding{
		span:        span{event.Time, never},
		instanceKey: instance,
		key:         key,
		token:       body.Token,
		expires:     expiry(body.Expires),
		grant:       event,
		last:        event,
	}
	if t.open[instance] == nil {
		t.open[instance] = make(map[unitKey]*holding)
	}
	t.open[instance][key] = held
	t.all[key] = append(t.all[key], held)
}

// renew prolongs the leases that have not expired yet: a late renewal does not
// bring back what the server had already lost.
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

func expiry(expires int64) int64 {
	if expires == 0 {
		return never
	}
	return expires
}

// sortedKeys returns the units in a fixed order, so that results are the same for
// the same trace.
func sortedKeys[V any](units map[unitKey]V) []unitKey {
	return slices.SortedFunc(maps.Keys(units), func(a, b unitKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.unit, b.unit))
	})
}

// Lease is the time during which a backend server held a unit, in Unix ns with
// the end excluded.
type Lease struct {
	Unit       trace.Unit
	Server     trace.Server
	Begin, End int64
}

// Leases returns every holding by service, unit and begin.
func Leases(events []trace.Event) []Lease {
	sorted := slices.SortedStableFunc(slices.Values(events), trace.Compare)
	if len(sorted) == 0 {
		return nil
	}
	units := holdings(sorted, sorted[len(sorted)-1].Time)
	var list []Lease
	for _, key := range sortedKeys(units) {
		for _, held := range units[key] {
			list = append(list, Lease{held.key.unit, held.server, held.begin, held.end})
		}
	}
	return list
}
