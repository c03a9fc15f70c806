package report

import (
	"cmp"
	"slices"
	"time"

	"fireflyfield/internal/resource"
)

// WindowPair is a long and a short window that raise an alert together: the long one
// shows that enough of the error budget is gone, the short one that it is still being
// spent.
type WindowPair struct {
	Name        string
	Long, Short time.Duration
	// Threshold is the burn rate that both windows have to reach for an alert.
	Threshold float64
}

// DefaultWindows returns a fast and a slow pair of windows. A burn rate of 14.4 over
// 1 h uses 2% of the error budget of 30 days, a burn rate of 6 over 6 h uses 5%.
func DefaultWindows() []WindowPair {
	return []WindowPair{
		{Name: "fast", Long: time.Hour, Short: 5 * time.Minute, Threshold: 14.4},
		{Name: "slow", Long: 6 * time.Hour, Short: 30 * time.Minute, Threshold: 6},
	}
}

// BurnRate holds the request counts and burn rates of one window. At a burn rate of 1
// the error budget is used up exactly at the end of its period.
type BurnRate struct {
	Length time.Duration `json:"length_ns"`
	// Covered is the part of the window after the start of the earliest sample.
	Covered time.Duration `json:"covered_ns"`
	Counts
	Availability float64 `json:"availability_burn"`
	Latency      float64 `json:"latency_burn"`
	// RefusedInsideBudget is the share of the window's availability budget that was
	// used by refusals of requests inside the rate; above 1 these alone exceed it.
	RefusedInsideBudget float64 `json:"refused_inside_budget"`
}

// highestBurn returns the higher of the availability and latency burn rates.
func (r BurnRate) highestBurn() float64 { return max(r.Availability, r.Latency) }

// WindowBurn holds the burn rates over both windows of a WindowPair.
type WindowBurn struct {
	Name  string   `json:"name"`
	Long  BurnRate `json:"long"`
	Short BurnRate `json:"short"`
	// Alert is true if both windows reach the threshold for availability, or both for
	// latency.
	Alert bool `json:"alert"`
}

// BurnRow holds the burn rates of one workspace at one service for each WindowPair.
type BurnRow struct {
	Service   string       `json:"service"`
	Workspace string       `json:"workspace"`
	Windows   []WindowBurn `json:"windows"`
}

// Burn is the service-level report: the burn rates of every service and workspace.
type Burn struct {
	// Until is the end of every window and of the latest sample.
	Until time.Time `json:"until"`
	Rows  []BurnRow `json:"rows"`
	// Worst is the row with the highest burn rate over its longest window; nil if
	// there were no valid requests.
	Worst *BurnRow `json:"worst,omitempty"`
}

// ComputeBurn computes the burn rates of each service and workspace over windows that
// end with the latest sample. The samples come from SamplesOf or from the counters of
// VMs; samples of several VMs for the same time are added.
func ComputeBurn(samples []Sample, objectives Objectives, windows []WindowPair) Burn {
	burn := Burn{}
	samplesByRow := make(map[[2]string][]Sample)
	for _, s := range samples {
		burn.Until = laterTime(burn.Until, s.Start.Add(s.Length))
		key := [2]string{s.Service, s.Workspace}
		samplesByRow[key] = append(samplesByRow[key], s)
	}
	samplesStart := earliestStart(samples)
	for key, list := range samplesByRow {
		row := BurnRow{Service: key[0], Workspace: key[1]}
		for _, window := range windows {
			row.Windows = append(row.Windows, windowBurn(list, objectives.of(key[0]), window, samplesStart, burn.Until))
		}
		burn.Rows = append(burn.Rows, row)
	}
	slices.SortFunc(burn.Rows, func(a, b BurnRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	burn.Worst = worstRow(burn.Rows)
	return burn
}

// laterTime returns the later of two times.
func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// earliestStart returns the start of the earliest sample, or the zero time without
// samples.
func earliestStart(samples []Sample) time.Time {
	var start time.Time
	for i, s := range samples {
		if i == 0 || s.Start.Before(start) {
			start = s.Start
		}
	}
	return start
}

// windowBurn computes the burn rates over both windows of a pair, for samples of one
// service and workspace.
func windowBurn(list []Sample, objective resource.Objective, window WindowPair, samplesStart, until time.Time) WindowBurn {
	w := WindowBurn{Name: window.Name}
	w.Long = burnRateOver(list, objective, window.Long, samplesStart, until)
	w.Short = burnRateOver(list, objective, window.Short, samplesStart, until)
	availability := min(w.Long.Availability, w.Short.Availability)
	latency := min(w.Long.Latency, w.Short.Latency)
	w.Alert = max(availability, latency) >= window.Threshold
	return w
}

// burnRateOver computes the burn rates over the samples that start within the given
// length before until.
func burnRateOver(list []Sample, objective resource.Objective, length time.Duration, samplesStart, until time.Time) BurnRate {
	rate := BurnRate{Length: length, Covered: min(length, until.Sub(samplesStart))}
	from := until.Add(-length)
	for _, s := range list {
		if !s.Start.Before(from) {
			rate.Add(s.Counts)
		}
	}
	budget := 1 - objective.Availability
	rate.Availability = rate.FailedShare() / budget
	rate.RefusedInsideBudget = share(rate.RefusedInside, rate.Valid) / budget
	rate.Latency = share(rate.Slow, rate.Valid-rate.Failed) / (1 - objective.Percentile)
	return rate
}

// worstRow returns the row with the highest burn rate over its longest window,
// leaving out rows without valid requests.
func worstRow(rows []BurnRow) *BurnRow {
	var worst *BurnRow
	for i := range rows {
		row := &rows[i]
		if len(row.Windows) == 0 || row.longest().Valid == 0 {
			continue
		}
		if worst == nil || row.longest().highestBurn() > worst.longest().highestBurn() {
			worst = row
		}
	}
	return worst
}

// longest returns the burn rates over the longest window.
func (r BurnRow) longest() BurnRate {
	return slices.MaxFunc(r.Windows, func(a, b WindowBurn) int { return cmp.Compare(a.Long.Length, b.Long.Length) }).Long
}
