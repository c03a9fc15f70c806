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

// Shape of the generated traffic.
const (
	keyedShare = 0.5
	writeShare = 0.2
	// The keys follow a zipf distribution, so that a few are hot.
	zipfExponent = 1.2
	zipfKeys     = 2000
	maxWriteBody = 2048
	// longestRepeat bounds the time between a write and its repeat.
	longestRepeat = 500 * time.Millisecond
)

// scriptEpoch is the time of the first event of a generated script in Unix ns. It
// is fixed, so that the same seed makes the same file.
const scriptEpoch = int64(1_750_000_000) * int64(time.Second)

// GenerateOptions describe a script.
type GenerateOptions struct {
	// Example is dakar or serra-sul.
	Example  string
	Duration time.Duration
	// Rate is in requests/s over all workspaces.
	Rate float64
	Seed uint64
	// Scenario names the faults; see Scenarios.
	Scenario string
	// Repeats is the share of writes that are sent again with the same
	// Idempotency-Key.
	Repeats float64
}

// Check returns the faults of the options.
func (o GenerateOptions) Check() []string {
	var faults []string
	if !dev.Exists(o.Example) {
		faults = append(faults, fmt.Sprintf("-generate: %q is neither dakar nor serra-sul", o.Example))
	}
	if o.Duration <= 0 || o.Rate <= 0 {
		faults = append(faults, "-duration and -rate must be positive")
	}
	if o.Repeats < 0 || o.Repeats > 1 {
		faults = append(faults, "-repeats is outside 0 to 1")
	}
	if _, ok := scenarios[o.Scenario]; !ok {
		faults = append(faults, fmt.Sprintf("-faults: %q is not one of %v", o.Scenario, Scenarios()))
	}
	return faults
}

// generator makes the events of one script.
type generator struct {
	options    GenerateOptions
	random     *rand.Rand
	keys       *rand.Zipf
	keyed      []string
	unkeyed    []string
	specs      map[string]*resource.ServiceSpec
	domains    []string
	workspaces []workspace
	events     []trace.Event
	requests   int
}

// workspace is one caller of the script.
type workspace struct {
	name   string
	rate   float64
	digest trace.Digest
}

// Generate returns the events of a script by time.
func Generate(options GenerateOptions) ([]trace.Event, error) {
	if faults := options.Check(); len(faults) > 0 {
		return nil, errors.New(faults[0])
	}
	resources, err := dev.Resources(options.Example)
	if err != nil {
		return nil, err
	}
	g := newGenerator(options, resources)
	g.traffic()
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
	g.addTenants(resources)
	return g
}

func (g *generator) addTenants(resources resource.Set) {
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

// services returns the specs of the services by name.
func services(resources resource.Set) map[string]*resource.ServiceSpec {
	specs := make(map[string]*resource.ServiceSpec)
	for _, r := range resources {
		if spec, ok := r.Spec.(*resource.ServiceSpec); ok {
			specs[r.Metadata.Name] = spec
		}
	}
	return specs
}

// traffic makes requests at exponentially distributed distances. A workspace's
// share is that of its rate.
func (g *generator) traffic() {
	var total float64
	for _, w := range g.workspaces {
		total += w.rate
	}
	for at := range g.arrivals(0, g.options.Duration, g.options.Rate) {
		pick := g.random.Float64() * total
		i := 0
		for i+1 < len(g.workspaces) && pick >= g.workspaces[i].rate {
			pick -= g.workspaces[i].rate
			i++
		}
		g.request(at, g.workspaces[i])
	}
}

// arrivals yields the times of a Poisson process.
func (g *generator) arrivals(from, until time.Duration, rate float64) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		at := from
		for {
			at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
			if at >= until || !yield(at) {
				return
			}
		}
	}
}

// request adds a read or a write, and sometimes a repeat of the write.
func (g *generator) request(at time.Duration, from workspace) {
	event := trace.Request{Workspace: from.name, CallerKey: from.digest, Method: http.MethodGet, Idempotent: true}
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
	g.addRequest(at, event)
	if write && g.random.Float64() < g.options.Repeats {
		g.addRequest(at+time.Duration(g.random.Int64N(int64(longestRepeat))), event)
	}
}

func (g *generator) addRequest(at time.Duration, event trace.Request) {
	g.requests++
	event.Request = fmt.Sprintf("%s-%d-%06d", g.options.Example, g.options.Seed, g.requests)
	g.add(at, event)
}

func (g *generator) add(at time.Duration, body trace.Body) {
	g.events = append(g.events, trace.Event{Time: scriptEpoch + int64(at), VM: "script", Body: body})
}

// finish sorts and numbers the events between a header and an end.
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
