package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/trace"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metrics holds the five service metrics of the design (section 3) for one trace:
// balance, departures, latency, workspaces and wrongful refusals.
type Metrics struct {
	Begin time.Time `json:"begin"`
	End   time.Time `json:"end"`
	// Balance holds imbalance, churn and unavailable time by service.
	Balance    []Balance        `json:"balance"`
	Departures []Departure      `json:"departures"`
	Latency    []Latency        `json:"latency"`
	Workspaces []Workspace      `json:"workspaces"`
	Wrongful   WrongfulRefusals `json:"wrongful_refusals"`
	Timeline   []SecondCounts   `json:"timeline"`
	// WorstWorkspace names the entry of Workspaces with the highest share of failed
	// requests, then with the highest p99; empty without requests.
	WorstWorkspace string `json:"worst_workspace"`
}

// Workspace holds the request counts and latency percentiles of one workspace.
type Workspace struct {
	Workspace string `json:"workspace"`
	Counts
	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// WrongfulRefusals counts the requests that were refused although their workspace was
// inside its rate.
type WrongfulRefusals struct {
	Valid    uint64        `json:"valid"`
	Refused  uint64        `json:"refused"`
	Share    float64       `json:"share"`
	ByReason []ReasonCount `json:"by_reason"`
}

// ReasonCount is the number of wrongful refusals of one workspace for one reason.
type ReasonCount struct {
	Workspace string        `json:"workspace"`
	Reason    trace.Refusal `json:"reason"`
	Refused   uint64        `json:"refused"`
}

// SecondCounts holds the counts of all services for one second, by arrival.
type SecondCounts struct {
	Start time.Time `json:"start"`
	Counts
}

// ComputeMetrics computes the metrics of a merged trace; the events may be in any
// order. It returns a zero value for a trace without events.
func ComputeMetrics(events []trace.Event, objectives Objectives) Metrics {
	events = slices.SortedStableFunc(slices.Values(events), trace.Compare)
	if len(events) == 0 {
		return Metrics{}
	}
	requests := joinRequests(events)
	m := Metrics{Begin: events[0].When().UTC(), End: events[len(events)-1].When().UTC()}
	m.Balance = balanceOf(events)
	m.Departures = departuresOf(events, requests, objectives)
	m.Latency = latencyOf(events, requests)
	m.Workspaces = workspacesOf(requests, objectives)
	m.WorstWorkspace = worstWorkspace(m.Workspaces)
	m.Wrongful = wrongfulRefusalsOf(requests)
	m.Timeline = timelineOf(requests, objectives)
	return m
}

// Bounds of latency histograms, in µs, and their precision in significant digits. Three
// digits keep the error of a percentile below 0.1%.
const (
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// recordLatency adds a latency to a histogram. A latency outside the bounds is recorded
// as the nearest bound.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	value := min(max(latency.Microseconds(), lowestLatency), highestLatency)
	// RecordValue fails only outside the bounds.
	_ = h.RecordValue(value)
}

// percentileOf returns the latency at a percentile, such as 99, and zero for an empty
// histogram.
func percentileOf(h *hdrhistogram.Histogram, percent float64) time.Duration {
	if h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
}

// workspacesOf returns the service quality of each named workspace, ordered by name.
func workspacesOf(requests []*requestResult, objectives Objectives) []Workspace {
	counts := make(map[string]*Counts)
	histograms := make(map[string]*hdrhistogram.Histogram)
	for _, r := range requests {
		name := r.request.Workspace
		if name == "" {
			continue
		}
		if counts[name] == nil {
			counts[name] = &Counts{}
			histograms[name] = newHistogram()
		}
		counts[name].addRequest(r, objectives.of(r.request.Service).Latency.Std())
		if r.class() == good {
			recordLatency(histograms[name], r.latency)
		}
	}
	var list []Workspace
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		h := histograms[name]
		list = append(list, Workspace{Workspace: name, Counts: *counts[name], P50: percentileOf(h, 50), P99: percentileOf(h, 99)})
	}
	return list
}

func worstWorkspace(list []Workspace) string {
	if len(list) == 0 {
		return ""
	}
	worst := slices.MaxFunc(list, func(a, b Workspace) int {
		return cmp.Or(cmp.Compare(a.FailedShare(), b.FailedShare()), cmp.Compare(a.P99, b.P99))
	})
	return worst.Workspace
}

// wrongfulRefusalsOf counts wrongful refusals by workspace and reason, the most
// frequent first.
func wrongfulRefusalsOf(requests []*requestResult) WrongfulRefusals {
	type refusalKey struct {
		workspace string
		reason    trace.Refusal
	}
	var total Counts
	reasons := make(map[refusalKey]uint64)
	for _, r := range requests {
		// The latency objective has no effect on the counts used here.
		total.addRequest(r, 0)
		if r.class() == wrongfulRefusal {
			reasons[refusalKey{r.request.Workspace, r.answer.Reason}]++
		}
	}
	w := WrongfulRefusals{Valid: total.Valid, Refused: total.RefusedInside, Share: share(total.RefusedInside, total.Valid)}
	for key, refused := range reasons {
		w.ByReason = append(w.ByReason, ReasonCount{key.workspace, key.reason, refused})
	}
	slices.SortFunc(w.ByReason, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Reason, b.Reason))
	})
	return w
}

// timelineOf counts requests by the second of their arrival. Requests must be ordered
// by arrival; seconds without requests are left out.
func timelineOf(requests []*requestResult, objectives Objectives) []SecondCounts {
	var steps []SecondCounts
	for _, r := range requests {
		start := time.Unix(0, r.received).UTC().Truncate(time.Second)
		if len(steps) == 0 || !steps[len(steps)-1].Start.Equal(start) {
			steps = append(steps, SecondCounts{Start: start})
		}
		steps[len(steps)-1].addRequest(r, objectives.of(r.request.Service).Latency.Std())
	}
	return steps
}
