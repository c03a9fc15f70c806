package report

import (
	"time"

	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"
)

// Counts is what happened to the requests of one service and workspace in a time.
type Counts struct {
	// Valid requests count against the objective: all but those refused outside the
	// rate or for a fault of the caller.
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

// FailedShare is the share of valid requests that failed; zero without requests.
func (c Counts) FailedShare() float64 { return share(c.Failed, c.Valid) }

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (c *Counts) count(s *served, latency time.Duration) {
	switch s.class() {
	case excluded:
	case outsideRate:
		c.RefusedOutside++
	case wrongful:
		c.Valid++
		c.Failed++
		c.RefusedInside++
	case failed:
		c.Valid++
		c.Failed++
	case good:
		c.Valid++
		if s.latency > latency {
			c.Slow++
		}
	}
}

// Sample holds the counts of one step of time.
type Sample struct {
	Start     time.Time     `json:"start"`
	Length    time.Duration `json:"length_ns"`
	Service   string        `json:"service"`
	Workspace string        `json:"workspace"`
	Counts
}

// Objectives maps a service to its objective.
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

// of returns the objective of a service; one that is not in the resources gets the
// defaults of the kind.
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

// DefaultStep is the length of one sample taken from a trace. It divides the
// shortest window of DefaultWindows.
const DefaultStep = 10 * time.Second

// SamplesOf counts the requests of a trace by service, workspace and arrival.
func SamplesOf(events []trace.Event, objectives Objectives, step time.Duration) []Sample {
	type place struct {
		start              int64
		service, workspace string
	}
	index := make(map[place]int)
	var samples []Sample
	for _, s := range joinRequests(events) {
		start := s.received - s.received%int64(step)
		at := place{start, s.request.Service, s.request.Workspace}
		i, ok := index[at]
		if !ok {
			i = len(samples)
			index[at] = i
			samples = append(samples, Sample{Start: time.Unix(0, start).UTC(), Length: step, Service: at.service, Workspace: at.workspace})
		}
		samples[i].count(s, objectives.of(at.service).Latency.Std())
	}
	return samples
}
