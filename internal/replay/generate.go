package replay

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fireflyfield/internal/dev"
	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"
)

// Composition of the generated traffic. The shares are fractions of all requests.
const (
	keyedShare = 0.5
	writeShare = 0.2
	// Keys follow a Zipf distribution, so that a few of them are hot.
	zipfExponent = 1.2
	zipfKeys     = 2000
	maxWriteBody = 2048 // bytes
	// maxRepeatDelay is the longest time between a write and its repeat.
	maxRepeatDelay = 500 * time.Millisecond
)

// scriptEpoch is the time of the first event of a generated script in Unix ns. It is
// fixed so that the same seed generates the same file.
const scriptEpoch = int64(1_750_000_000) * int64(time.Second)

// GenerateOptions are the parameters of a generated script.
type GenerateOptions struct {
	// Example is the name of the example deployment: dakar or serra-sul.
	Example  string
	Duration time.Duration
	// Rate is the mean rate in requests/s over all workspaces.
	Rate float64
	Seed uint64
	// Scenario is the name of the fault scenario, one of Scenarios.
	Scenario string
	// Repeats is the share of writes, from 0 to 1, that are sent again with the same
	// Idempotency-Key.
	Repeats float64
}

// Check returns a description of each invalid option; none if all are valid.
func (o GenerateOptions) Check() []string {
	var problems []string
	if !dev.Exists(o.Example) {
		problems = append(problems, fmt.Sprintf("-generate: %q is neither dakar nor serra-sul", o.Example))
	}
	if o.Duration <= 0 || o.Rate <= 0 {
		problems = append(problems, "-duration and -rate must be positive")
	}
	if o.Repeats < 0 || o.Repeats > 1 {
		problems = append(problems, "-repeats is outside 0 to 1")
	}
	if _, ok := scenarios[o.Scenario]; !ok {
		problems = append(problems, fmt.Sprintf("-faults: %q is not one of %v", o.Scenario, Scenarios()))
	}
	return problems
}

// generator generates the events of one script.
type generator struct {
	options GenerateOptions
	random  *rand.Rand
	// keys draws the number of the key of the next request.
	keys *rand.Zipf
	// keyed and unkeyed are the names of the services with and without keys.
	keyed      []string
	unkeyed    []string
	specs      map[string]*resource.ServiceSpec
	domains    []string
	workspaces []workspace
	events     []trace.Event
	// requests is the number of requests added so far.
	requests int
}

// workspace is a workspace that sends requests, with its rate in requests/s and the
// digest of its caller key.
type workspace struct {
	name   string
	rate   float64
	digest trace.Digest
}

// Generate returns the events of a script, ordered by time.
func Generate(options GenerateOptions) ([]trace.Event, error) {
	if problems := options.Check(); len(problems) > 0 {
		return nil, errors.New(problems[0])
	}
	resources, err := dev.Resources(options.Example)
	if err != nil {
		return nil, err
	}
	g := newGenerator(options, resources)
	g.addTraffic()
	scenarios[options.Scenario](g)
	return g.finish(), nil
}

func newGenerator(options GenerateOptions, resources resource.Set) *generator {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	g := &generator{
		options: options,
		random:  random,
		keys:    rand.NewZipf(random, zipfExponent, 1, zipfKeys-1),
		specs:   services(resources),
	}
	for _, name := range slices.Sorted(maps.Keys(g.specs)) {
		if g.specs[name].Keyed() {
			g.keyed = append(g.keyed, name)
			continue
		}
		g.unkeyed = append(g.unkeyed, name)
	}
	g.addWorkspaces(resources)
	return g
}

// addWorkspaces collects the failure domains and the workspaces, which it sorts by
// falling rate.
func (g *generator) addWorkspaces(resources resource.Set) {
	digests := make(map[string]trace.Digest)
	for _, r := range resources {
		switch spec := r.Spec.(type) {
		case *resource.FailureDomainSpec:
			g.domains = append(g.domains, r.Metadata.Name)
		case *resource.CallerKeySpec:
			digests[spec.Workspace] = trace.Digest(spec.Digest)
		case *resource.RateSpec:
			g.workspaces = append(g.workspaces, workspace{name: spec.Workspace, rate: spec.RequestsPerSecond})
		}
	}
	for i := range g.workspaces {
		g.workspaces[i].digest = digests[g.workspaces[i].name]
	}
	slices.SortFunc(g.workspaces, func(a, b workspace) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.name, b.name))
	})
}

// services returns the specs of all services by service name.
func services(resources resource.Set) map[string]*resource.ServiceSpec {
	specs := make(map[string]*resource.ServiceSpec)
	for _, r := range resources {
		if spec, ok := r.Spec.(*resource.ServiceSpec); ok {
			specs[r.Metadata.Name] = spec
		}
	}
	return specs
}

// addTraffic adds requests at exponentially distributed intervals. The share of each
// workspace in the requests is its share in the sum of the rates.
func (g *generator) addTraffic() {
	var total float64
	for _, w := range g.workspaces {
		total += w.rate
	}
	for offset := range g.arrivals(0, g.options.Duration, g.options.Rate) {
		position := g.random.Float64() * total
		i := 0
		for i+1 < len(g.workspaces) && position >= g.workspaces[i].rate {
			position -= g.workspaces[i].rate
			i++
		}
		g.addRandomRequest(offset, g.workspaces[i])
	}
}

// arrivals yields the arrival times, after the begin of the script, of a Poisson
// process with a rate in requests/s.
func (g *generator) arrivals(from, until time.Duration, rate float64) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		offset := from
		for {
			offset += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
			if offset >= until || !yield(offset) {
				return
			}
		}
	}
}

// addRandomRequest adds a read or a write at the given offset, and for some of the
// writes a repeat.
func (g *generator) addRandomRequest(offset time.Duration, caller workspace) {
	event := trace.Request{Workspace: caller.name, CallerKey: caller.digest, Method: http.MethodGet, Idempotent: true}
	key := fmt.Sprintf("k%d", g.keys.Uint64())
	if g.random.Float64() < keyedShare {
		event.Service = g.keyed[g.random.IntN(len(g.keyed))]
		event.Key = trace.Hash(keyspace.HashKey(event.Service, key))
	} else {
		event.Service = g.unkeyed[g.random.IntN(len(g.unkeyed))]
	}
	event.Path = "/" + event.Service + "/" + key
	write := g.random.Float64() < writeShare
	if write {
		event.Method = http.MethodPost
		event.Idempotent = false
		event.IdempotencyKey = trace.Hash(g.random.Uint64N(math.MaxUint64) + 1)
		event.BodyBytes = int64(g.random.IntN(maxWriteBody))
	}
	g.addRequest(offset, event)
	if write && g.random.Float64() < g.options.Repeats {
		g.addRequest(offset+time.Duration(g.random.Int64N(int64(maxRepeatDelay))), event)
	}
}

// addRequest adds a request under a new request id.
func (g *generator) addRequest(offset time.Duration, event trace.Request) {
	g.requests++
	event.Request = fmt.Sprintf("%s-%d-%06d", g.options.Example, g.options.Seed, g.requests)
	g.add(offset, event)
}

// add adds an event at an offset from the begin of the script.
func (g *generator) add(offset time.Duration, body trace.Body) {
	g.events = append(g.events, trace.Event{Time: scriptEpoch + int64(offset), VM: "script", Body: body})
}

// finish sorts the events, puts them between a header and an end event, and numbers
// them.
func (g *generator) finish() []trace.Event {
	slices.SortStableFunc(g.events, func(a, b trace.Event) int { return cmp.Compare(a.Time, b.Time) })
	header := trace.Header{Version: trace.Version, Role: trace.RoleDriver, Instance: g.options.Scenario}
	events := append([]trace.Event{{Time: scriptEpoch, VM: "script", Body: header}}, g.events...)
	last := scriptEpoch + int64(g.options.Duration)
	last = max(last, events[len(events)-1].Time)
	events = append(events, trace.Event{Time: last, VM: "script", Body: trace.End{}})
	for i := range events {
		events[i].Seq = uint64(i + 1)
	}
	return events
}
