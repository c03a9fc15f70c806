package report

import (
	"cmp"
	"slices"
	"time"

	"fireflyfield/internal/resource"
)

// Window is a pair of windows that alert together: the long one shows that enough
// of the error budget is gone, the short one that it is still being spent.
type Window struct {
	Name        string
	Long, Short time.Duration
	// Threshold is the burn rate from which both windows alert.
	Threshold float64
}

// DefaultWindows returns a fast and a slow pair. A burn rate of 14.4 over 1 h uses
// 2% of the budget of 30 days, 6 over 6 h uses 5%.
func DefaultWindows() []Window {
	return []Window{
		{Name: "fast", Long: time.Hour, Short: 5 * time.Minute, Threshold: 14.4},
		{Name: "slow", Long: 6 * time.Hour, Short: 30 * time.Minute, Threshold: 6},
	}
}

// Rate is the burn over one window. A rate of 1 uses up the error budget exactly.
type Rate struct {
	Length time.Duration `json:"length_ns"`
	// Covered is the part of the window for which there are samples.
	Covered time.Duration `json:"covered_ns"`
	Counts
	Availability float64 `json:"availability_burn"`
	Latency      float64 `json:"latency_burn"`
	// RefusedInsideBudget is the share of the window's availability budget that
	// went to refusals inside the rate; above 1 they alone exceed it.
	RefusedInsideBudget float64 `json:"refused_inside_budget"`
}

func (r Rate) worst() float64 { return max(r.Availability, r.Latency) }

// WindowBurn is the burn over one pair of windows.
type WindowBurn struct {
	Name  string `json:"name"`
	Long  Rate   `json:"long"`
	Short Rate   `json:"short"`
	// Alert says that both windows reach the threshold.
	Alert bool `json:"alert"`
}

// BurnRow is the burn of one workspace at one service.
type BurnRow struct {
	Service   string       `json:"service"`
	Workspace string       `json:"workspace"`
	Windows   []WindowBurn `json:"windows"`
}

// Burn is the service-level report.
type Burn struct {
	// Until is the end of every window.
	Until time.Time `json:"until"`
	Rows  []BurnRow `json:"rows"`
	// Worst is the row with the highest burn rate over the longest window; nil
	// without requests.
	Worst *BurnRow `json:"worst,omitempty"`
}

// ComputeBurn reports the burn of each service and workspace over windows that end
// with the latest sample. Samples come from SamplesOf or from counters of VMs, which
// are added up.
func ComputeBurn(samples []Sample, objectives Objectives, windows []Window) Burn {
	burn := Burn{}
	rows := make(map[[2]string][]Sample)
	for _, s := range samples {
		burn.Until = latest(burn.Until, s.Start.Add(s.Length))
		key := [2]string{s.Service, s.Workspace}
		rows[key] = append(rows[key], s)
	}
	first := earliest(samples)
	for key, list := range rows {
		row := BurnRow{Service: key[0], Workspace: key[1]}
		for _, window := range windows {
			row.Windows = append(row.Windows, windowBurn(list, objectives.of(key[0]), window, first, burn.Until))
		}
		burn.Rows = append(burn.Rows, row)
	}
	slices.SortFunc(burn.Rows, func(a, b BurnRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	burn.Worst = worstRow(burn.Rows)
	return burn
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earliest(samples []Sample) time.Time {
	var first time.Time
	for i, s := range samples {
		if i == 0 || s.Start.Before(first) {
			first = s.Start
		}
	}
	return first
}

func windowBurn(list []Sample, objective resource.Objective, window Window, first, until time.Time) WindowBurn {
	w := WindowBurn{Name: window.Name}
	w.Long = rateOver(list, objective, window.Long, first, until)
	w.Short = rateOver(list, objective, window.Short, first, until)
	availability := min(w.Long.Availability, w.Short.Availability)
	latency := min(w.Long.Latency, w.Short.Latency)
	w.Alert = max(availability, latency) >= window.Threshold
	return w
}

func rateOver(list []Sample, objective resource.Objective, length time.Duration, first, until time.Time) Rate {
	rate := Rate{Length: length, Covered: min(length, until.Sub(first))}
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

func worstRow(rows []BurnRow) *BurnRow {
	var worst *BurnRow
	for i := range rows {
		row := &rows[i]
		if len(row.Windows) == 0 || row.longest().Valid == 0 {
			continue
		}
		if worst == nil || row.longest().worst() > worst.longest().worst() {
			worst = row
		}
	}
	return worst
}

// longest returns the burn over the longest window.
func (r BurnRow) longest() Rate {
	return slices.MaxFunc(r.Windows, func(a, b WindowBurn) int { return cmp.Compare(a.Long.Length, b.Long.Length) }).Long
}
