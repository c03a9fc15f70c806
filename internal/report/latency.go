package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/trace"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// percentiles are the points of a latency distribution that are reported.
var percentiles = []float64{50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// Latency is the latency of the good answers of one service.
type Latency struct {
	Service string `json:"service"`
	// Stragglers says that the row covers only requests that arrived while a
	// backend server was slow or frozen by an injected fault.
	Stragglers bool           `json:"stragglers"`
	Count      int64          `json:"count"`
	Points     []LatencyPoint `json:"points"`
}

// LatencyPoint is one point of a distribution.
type LatencyPoint struct {
	Percent float64       `json:"percent"`
	Latency time.Duration `json:"latency_ns"`
}

// At returns the latency at one of the reported percentiles; zero for another.
func (l Latency) At(percent float64) time.Duration {
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

func latencyOf(events []trace.Event, requests []*served) []Latency {
	slow := slowTimes(events)
	histograms := make(map[latencyKey]*hdrhistogram.Histogram)
	add := func(key latencyKey, latency time.Duration) {
		if histograms[key] == nil {
			histograms[key] = newHistogram()
		}
		record(histograms[key], latency)
	}
	for _, s := range requests {
		if s.class() != good {
			continue
		}
		add(latencyKey{s.request.Service, false}, s.latency)
		if slow.covers(s.request.Service, s.received) {
			add(latencyKey{s.request.Service, true}, s.latency)
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
		l.Points = append(l.Points, LatencyPoint{percent, quantile(h, percent)})
	}
	return l
}

// slowTime is the time in which a backend server was slow.
type slowTime struct {
	id, service string
	begin, end  int64
}

type slowList []slowTime

func slowTimes(events []trace.Event) slowList {
	var list slowList
	end := events[len(events)-1].Time
	for _, event := range events {
		body, ok := event.Body.(trace.Fault)
		if !ok || body.Kind != trace.FaultServerSlow && body.Kind != trace.FaultServerFrozen {
			continue
		}
		if body.Phase == trace.Begin {
			list = append(list, slowTime{body.ID, body.Server.Service, event.Time, end})
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

func (l slowList) covers(service string, at int64) bool {
	return slices.ContainsFunc(l, func(s slowTime) bool {
		return s.service == service && s.begin <= at && at < s.end
	})
}
