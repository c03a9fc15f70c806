package report

import (
	"time"

	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"
)

// Counts holds the numbers of requests by result, for example of one service and
// workspace in one period.
type Counts struct {
	// Valid requests count towards the objective: all but those refused outside the
	// rate or because of a fault of the caller.
	Valid uint64 `json:"valid"`
	// Failed requests had no complete answer of a backend server below status 500.
	Failed uint64 `json:"failed"`
	// RefusedInside is the part of Failed that was refused although the workspace
	// was inside its rate.
	RefusedInside uint64 `json:"refused_inside"`
	// Slow requests were answered, but later than the objective's latency.
	Slow uint64 `json:"slow"`
	// RefusedOutside requests were refused because the workspace exceeded its rate.
	RefusedOutside uint64 `json:"refused_outside"`
}

// Add adds other to the counts.
func (c *Counts) Add(other Counts) {
	c.Valid += other.Valid
	c.Failed += other.Failed
	c.RefusedInside += other.RefusedInside
	c.Slow += other.Slow
	c.RefusedOutside += other.RefusedOutside
}

// FailedShare returns the share of valid requests that failed; zero without requests.
func (c Counts) FailedShare() float64 { return share(c.Failed, c.Valid) }

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// addRequest counts one request; a good answer later than latencyObjective is slow.
func (c *Counts) addRequest(r *requestResult, latencyObjective time.Duration) {
	switch r.class() {
	case excluded:
	case refusedOutsideRate:
		c.RefusedOutside++
	case wrongfulRefusal:
		c.Valid++
		c.Failed++
		c.RefusedInside++
	case failed:
		c.Valid++
		c.Failed++
	case good:
		c.Valid++
		if r.latency > latencyObjective {
			c.Slow++
		}
	}
}

// Sample holds the counts of one service and workspace in one period.
type Sample struct {
	Start     time.Time     `json:"start"`
	Length    time.Duration `json:"length_ns"`
	Service   string        `json:"service"`
	Workspace string        `json:"workspace"`
	Counts
}

// Objectives maps the name of a service to its service-level objective.
type Objectives map[string]resource.Objective

// ObjectivesOf returns the objectives of the Service resources.
func ObjectivesOf(resources []resource.Resource) Objectives {
	objectives := make(Objectives)
	for _, r := range resources {
		if service, ok := r.Spec.(*resource.ServiceSpec); ok {
			objectives[r.Metadata.Name] = service.Objective
		}
	}
	return objectives
}

// of returns the objective of a service; a service without an entry gets the default
// objective of the Service kind.
func (o Objectives) of(service string) resource.Objective {
	if objective, ok := o[service]; ok {
		return objective
	}
	return resource.Objective{
		Availability: resource.DefaultAvailability,
		Latency:      resource.Duration(resource.DefaultLatency),
		Percentile:   resource.DefaultPercentile,
	}
}

// DefaultStep is the default length of the samples taken from a trace. The windows of
// DefaultWindows are multiples of it.
const DefaultStep = 10 * time.Second

// SamplesOf counts the requests of a trace by service, workspace and the step in which
// they arrived.
func SamplesOf(events []trace.Event, objectives Objectives, step time.Duration) []Sample {
	type sampleKey struct {
		start              int64
		service, workspace string
	}
	index := make(map[sampleKey]int)
	var samples []Sample
	for _, r := range joinRequests(events) {
		start := r.received - r.received%int64(step)
		key := sampleKey{start, r.request.Service, r.request.Workspace}
		i, ok := index[key]
		if !ok {
			i = len(samples)
			index[key] = i
			samples = append(samples, Sample{Start: time.Unix(0, start).UTC(), Length: step, Service: key.service, Workspace: key.workspace})
		}
		samples[i].addRequest(r, objectives.of(key.service).Latency.Std())
	}
	return samples
}
