package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/trace"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// percentiles are the reported points of a latency distribution.
var percentiles = []float64{50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// Latency is the latency distribution of the good answers of one service.
type Latency struct {
	Service string `json:"service"`
	// Stragglers is true if the row covers only requests that arrived while a backend
	// server of the service was slow or frozen because of an injected fault.
	Stragglers bool           `json:"stragglers"`
	Count      int64          `json:"count"`
	Points     []LatencyPoint `json:"points"`
}

// LatencyPoint is the latency at one percentile.
type LatencyPoint struct {
	Percent float64       `json:"percent"`
	Latency time.Duration `json:"latency_ns"`
}

// Percentile returns the latency at one of the reported percentiles, and zero for any
// other.
func (l Latency) Percentile(percent float64) time.Duration {
	for _, point := range l.Points {
		if point.Percent == percent {
			return point.Latency
		}
	}
	return 0
}

type latencyKey struct {
	service    string
	stragglers bool
}

// latencyOf returns the distribution of each service over all requests and, if there
// were slow periods, over the requests that arrived in them.
func latencyOf(events []trace.Event, requests []*requestResult) []Latency {
	periods := slowPeriodsOf(events)
	histograms := make(map[latencyKey]*hdrhistogram.Histogram)
	add := func(key latencyKey, latency time.Duration) {
		if histograms[key] == nil {
			histograms[key] = newHistogram()
		}
		recordLatency(histograms[key], latency)
	}
	for _, r := range requests {
		if r.class() != good {
			continue
		}
		add(latencyKey{r.request.Service, false}, r.latency)
		if periods.covers(r.request.Service, r.received) {
			add(latencyKey{r.request.Service, true}, r.latency)
		}
	}
	keys := slices.SortedFunc(maps.Keys(histograms), func(a, b latencyKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), compareBool(a.stragglers, b.stragglers))
	})
	var list []Latency
	for _, key := range keys {
		list = append(list, distribution(key, histograms[key]))
	}
	return list
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func distribution(key latencyKey, h *hdrhistogram.Histogram) Latency {
	l := Latency{Service: key.service, Stragglers: key.stragglers, Count: h.TotalCount()}
	for _, percent := range percentiles {
		l.Points = append(l.Points, LatencyPoint{percent, percentileOf(h, percent)})
	}
	return l
}

// slowPeriod is a period, in Unix ns, in which an injected fault slowed or froze a
// backend server of a service. The id is that of the fault.
type slowPeriod struct {
	id, service string
	begin, end  int64
}

type slowPeriods []slowPeriod

// slowPeriodsOf returns the slow periods in a trace, which must have events. A fault
// that doesn't end lasts to the end of the trace.
func slowPeriodsOf(events []trace.Event) slowPeriods {
	var list slowPeriods
	end := events[len(events)-1].Time
	for _, event := range events {
		body, ok := event.Body.(trace.Fault)
		if !ok || body.Kind != trace.FaultServerSlow && body.Kind != trace.FaultServerFrozen {
			continue
		}
		if body.Phase == trace.Begin {
			list = append(list, slowPeriod{body.ID, body.Server.Service, event.Time, end})
			continue
		}
		for i := range list {
			if list[i].id == body.ID {
				list[i].end = event.Time
			}
		}
	}
	return list
}

func (l slowPeriods) covers(service string, arrival int64) bool {
	return slices.ContainsFunc(l, func(s slowPeriod) bool {
		return s.service == service && s.begin <= arrival && arrival < s.end
	})
}
