package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// WriteJSON writes a report as indented JSON.
func WriteJSON[T Burn | Metrics](output io.Writer, report T) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return wrapWriteError(encoder.Encode(report))
}

// wrapWriteError adds context to a write error and returns nil for nil, which
// errors.Wrap would turn into an error.
func wrapWriteError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, "write report")
}

// table writes tab-separated lines as aligned columns. After the first write error it
// writes nothing more; flush returns that error.
type table struct {
	writer *tabwriter.Writer
	err    error
}

func newTable(output io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)}
}

func (t *table) linef(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.writer, format+"\n", args...)
	}
}

func (t *table) flush() error {
	if t.err == nil {
		t.err = t.writer.Flush()
	}
	return wrapWriteError(t.err)
}

// formatPercent formats a share from 0 to 1 as a percentage.
func formatPercent(share float64) string { return fmt.Sprintf("%.3f%%", share*100) }

// formatDuration formats a duration rounded to 10 µs.
func formatDuration(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }

// WriteText writes the burn rates as a table, followed by the worst-served workspace.
func (b Burn) WriteText(output io.Writer) error {
	t := newTable(output)
	t.linef("SERVICE\tWORKSPACE\tWINDOW\tCOVERED\tVALID\tFAILED\tREFUSED INSIDE\tSLOW\tAVAILABILITY BURN\tLATENCY BURN\tALERT")
	for _, row := range b.Rows {
		for _, window := range row.Windows {
			writeRate(t, row, window.Name, window.Long, window.Alert)
			writeRate(t, row, window.Name, window.Short, window.Alert)
		}
	}
	b.writeWorst(t)
	return t.flush()
}

func writeRate(t *table, row BurnRow, name string, r BurnRate, alert bool) {
	t.linef("%s\t%s\t%s %s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%t", row.Service, row.Workspace, name, r.Length, r.Covered,
		r.Valid, r.Failed, r.RefusedInside, r.Slow, r.Availability, r.Latency, alert)
}

func (b Burn) writeWorst(t *table) {
	if b.Worst == nil {
		t.linef("no requests")
		return
	}
	rate := b.Worst.longest()
	t.linef("worst served: workspace %s at service %s: availability burn %.2f, latency burn %.2f over %s of %s", b.Worst.Workspace,
		b.Worst.Service, rate.Availability, rate.Latency, rate.Covered, rate.Length)
	t.linef("refusals inside its rate used %s of its error budget for that time", formatPercent(rate.RefusedInsideBudget))
}

// WriteText writes the five metrics as tables.
func (m Metrics) WriteText(output io.Writer) error {
	t := newTable(output)
	m.writeBalance(t)
	m.writeDepartures(t)
	m.writeLatency(t)
	m.writeWorkspaces(t)
	m.writeWrongful(t)
	return t.flush()
}

func (m Metrics) writeBalance(t *table) {
	t.linef("Imbalance, churn and unavailable time")
	t.linef("SERVICE\tSERVERS\tIMBALANCE\tUNITS\tMOVES\tMOVES/H\tUNIT TIME WITHOUT HOLDER\tLONGEST GAP")
	for _, b := range m.Balance {
		t.linef("%s\t%d\t%.3f\t%d\t%d\t%.1f\t%s\t%s", b.Service, len(b.Servers), b.Imbalance, b.Units, b.Moves, b.MovesPerHour, formatDuration(b.Unavailable), formatDuration(b.LongestGap))
	}
}

func (m Metrics) writeDepartures(t *table) {
	t.linef("\nService while a failure domain leaves and returns")
	if len(m.Departures) == 0 {
		t.linef("no failure domain left")
		return
	}
	t.linef("DOMAIN\tCAUSE\tRETURNED\tPHASE\tVALID\tFAILED\tWORST SECOND\tP99\tLONGEST FAILING")
	for _, d := range m.Departures {
		writePhase(t, d, "before", d.Before, "")
		writePhase(t, d, "during", d.During, formatDuration(d.LongestFailing))
		writePhase(t, d, "after", d.After, "")
	}
}

func writePhase(t *table, d Departure, name string, p PhaseService, longest string) {
	t.linef("%s\t%s\t%t\t%s\t%d\t%s\t%s\t%s\t%s", d.Domain, d.Cause, d.Returned, name, p.Valid, formatPercent(p.FailedShare()), formatPercent(p.WorstSecond), formatDuration(p.P99), longest)
}

func (m Metrics) writeLatency(t *table) {
	t.linef("\nLatency of good answers")
	t.linef("SERVICE\tREQUESTS\tCOUNT\tP50\tP90\tP99\tP99.9\tMAX")
	for _, l := range m.Latency {
		selection := "all"
		if l.Stragglers {
			selection = "during stragglers"
		}
		t.linef("%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s", l.Service, selection, l.Count, formatDuration(l.Percentile(50)), formatDuration(l.Percentile(90)), formatDuration(l.Percentile(99)), formatDuration(l.Percentile(99.9)), formatDuration(l.Percentile(100)))
	}
}

func (m Metrics) writeWorkspaces(t *table) {
	t.linef("\nWorkspaces")
	t.linef("WORKSPACE\tVALID\tFAILED\tREFUSED INSIDE\tREFUSED OUTSIDE\tSLOW\tP50\tP99\t")
	for _, w := range m.Workspaces {
		mark := ""
		if w.Workspace == m.WorstWorkspace {
			mark = "worst served"
		}
		t.linef("%s\t%d\t%s\t%d\t%d\t%d\t%s\t%s\t%s", w.Workspace, w.Valid, formatPercent(w.FailedShare()), w.RefusedInside, w.RefusedOutside, w.Slow, formatDuration(w.P50), formatDuration(w.P99), mark)
	}
}

func (m Metrics) writeWrongful(t *table) {
	t.linef("\nRefused although inside the rate: %d of %d (%s)", m.Wrongful.Refused, m.Wrongful.Valid, formatPercent(m.Wrongful.Share))
	for _, r := range m.Wrongful.ByReason {
		t.linef("%s\t%s\t%d", r.Workspace, r.Reason, r.Refused)
	}
}
