package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// notMeasured is the text of a cell without benchmark results or with an incomplete
// sizing.
const notMeasured = "not measured"

// Amount is the value of one cell.
type Amount struct {
	Value float64
	// Missing lists the metrics without benchmark results and the quantities that are
	// zero in the sizing. Value is valid only if Missing is empty.
	Missing []string
	// Applies is false for a cell without terms.
	Applies bool
}

// Report is the capacity table for one sizing.
type Report struct {
	Sizing Sizing
	Budget Budget
	Rows   []Row
	// Slopes lists the metrics that were used, in the order of their first use.
	Slopes []UsedSlope
}

// Row is one role with the values of its cells and its limit.
type Row struct {
	Role                         Role
	State, Messages, CPU, Memory Amount
	Limit                        Limit
}

// UsedSlope is the slope of a metric that was used in the table.
type UsedSlope struct {
	Metric Metric
	Slope  Slope
	// LargestSize is the largest size to which the slope was extrapolated.
	LargestSize float64
}

// evaluator computes cells from benchmark results and collects the slopes used.
type evaluator struct {
	results []Measurement
	used    []UsedSlope
}

// Compute computes the table for the given roles, sizing and budget. The last row is the
// total.
func Compute(results []Measurement, roles []Role, sizing Sizing, budget Budget) Report {
	e := &evaluator{results: results}
	report := Report{Sizing: sizing, Budget: budget}
	for _, role := range roles {
		row := Row{
			Role:     role,
			State:    e.cell(role.State, sizing),
			Messages: e.cell(role.Messages, sizing),
			CPU:      e.cell(role.CPU, sizing),
			Memory:   e.cell(role.Memory, sizing),
		}
		row.Limit = e.limit(role, sizing, budget)
		report.Rows = append(report.Rows, row)
	}
	report.Rows = append(report.Rows, total(report.Rows))
	report.Slopes = e.used
	return report
}

// total returns the sum of the control roles, which is the load of a daemon that has
// each of them once.
func total(rows []Row) Row {
	sum := Row{Role: Role{Name: "every control role once", Mechanism: "sum"}}
	for _, row := range rows {
		if !row.Role.Control {
			continue
		}
		sum.State.add(row.State)
		sum.Messages.add(row.Messages)
		sum.CPU.add(row.CPU)
		sum.Memory.add(row.Memory)
	}
	return sum
}

func (a *Amount) add(other Amount) {
	a.Applies = a.Applies || other.Applies
	a.Value += other.Value
	a.Missing = append(a.Missing, other.Missing...)
}

// cell returns the sum of the terms at the given sizing.
func (e *evaluator) cell(terms []Term, sizing Sizing) Amount {
	amount := Amount{Applies: len(terms) > 0}
	for _, term := range terms {
		slope, measured := FitSlope(e.results, term.Metric)
		size, rate := term.Size.Of(sizing), term.Rate.Of(sizing)
		if !measured {
			amount.Missing = append(amount.Missing, term.Metric.String())
			continue
		}
		if size == 0 || rate == 0 {
			amount.Missing = append(amount.Missing, "number of "+missingQuantity(term, size))
			continue
		}
		e.recordUse(term.Metric, slope, size)
		amount.Value += slope.AmountAt(size) * rate
	}
	return amount
}

// missingQuantity returns the name of the quantity of a term that is zero, where size is
// the value of term.Size.
func missingQuantity(term Term, size float64) string {
	if size == 0 {
		return term.Size.Name
	}
	return term.Rate.Name
}

// recordUse adds a slope to those used, or raises the largest size it was used for.
func (e *evaluator) recordUse(metric Metric, slope Slope, size float64) {
	i := slices.IndexFunc(e.used, func(u UsedSlope) bool { return u.Metric == metric })
	if i < 0 {
		e.used = append(e.used, UsedSlope{metric, slope, size})
		return
	}
	e.used[i].LargestSize = max(e.used[i].LargestSize, size)
}

// Run reads `go test -bench` output, computes the table for the roles and budget of the
// design and writes it as Markdown.
func Run(bench io.Reader, output io.Writer, sizing Sizing) error {
	results, err := ParseBench(bench)
	if err != nil {
		return err
	}
	return Compute(results, DefaultRoles(), sizing, TargetBudget()).WriteMarkdown(output)
}

// WriteMarkdown writes the sizing, the table, the slopes that were used and the missing
// input.
func (r Report) WriteMarkdown(output io.Writer) error {
	var text strings.Builder
	r.writeSizing(&text)
	r.writeRows(&text)
	r.writeSlopes(&text)
	r.writeMissing(&text)
	if _, err := io.WriteString(output, text.String()); err != nil {
		return errors.Wrap(err, "write capacity table")
	}
	return nil
}

func (r Report) writeSizing(text *strings.Builder) {
	s := r.Sizing
	fmt.Fprintf(text, "Size: %s daemons, %s keys, %s requests/s, %s changes/day, %s failure domains.\n",
		formatCount(s.VMs), formatCount(s.Keys), formatCount(s.RequestsPerSecond), formatCount(s.ChangesPerDay), formatCount(s.Domains))
	fmt.Fprintf(text, "Budget of one daemon for control: %g of a core, %s, %s/s.\n\n", r.Budget.Cores, formatBytes(r.Budget.MemoryBytes), formatBytes(r.Budget.BytesPerSecond))
}

func (r Report) writeRows(text *strings.Builder) {
	text.WriteString("| role | mechanism | state | messages | CPU time | memory | limit |\n")
	text.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, row := range r.Rows {
		fmt.Fprintf(text, "| %s | %s | %s | %s | %s | %s | %s |\n", row.Role.Name, row.Role.Mechanism,
			row.State.text(formatBytes), row.Messages.text(formatByteRate), row.CPU.text(formatCores), row.Memory.text(formatBytes), row.limitText())
	}
}

func (r Row) limitText() string {
	if !r.Role.Control {
		return "-"
	}
	return r.Limit.text(r.Role.GrowsWith)
}

func (r Report) writeSlopes(text *strings.Builder) {
	if len(r.Slopes) == 0 {
		return
	}
	text.WriteString("\n| metric | points | measured sizes | fixed | per unit | extrapolated to |\n")
	text.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, u := range r.Slopes {
		if u.Metric.Param == "" {
			fmt.Fprintf(text, "| %s | %d | - | %.4g | - | - |\n", u.Metric, u.Slope.Points, u.Slope.Fixed)
			continue
		}
		fmt.Fprintf(text, "| %s | %d | %s to %s | %.4g | %.4g | %s |\n", u.Metric, u.Slope.Points,
			formatCount(u.Slope.Lowest), formatCount(u.Slope.Highest), u.Slope.Fixed, u.Slope.PerUnit, formatCount(u.LargestSize))
	}
}

func (r Report) writeMissing(text *strings.Builder) {
	var missing []string
	for _, row := range r.Rows {
		for _, amount := range []Amount{row.State, row.Messages, row.CPU, row.Memory} {
			missing = append(missing, amount.Missing...)
		}
	}
	slices.Sort(missing)
	for i, item := range slices.Compact(missing) {
		if i == 0 {
			text.WriteString("\nMissing input:\n\n")
		}
		fmt.Fprintf(text, "- %s\n", item)
	}
}

func (a Amount) text(format func(float64) string) string {
	switch {
	case !a.Applies:
		return "-"
	case len(a.Missing) > 0:
		return notMeasured
	default:
		return format(a.Value)
	}
}

// formatBytes formats a number of bytes with decimal prefixes.
func formatBytes(bytes float64) string {
	units := []string{"B", "KB", "MB", "GB", "TB"}
	i := 0
	for bytes >= 1000 && i < len(units)-1 {
		bytes /= 1000
		i++
	}
	return fmt.Sprintf("%.3g %s", bytes, units[i])
}

func formatByteRate(bytesPerSecond float64) string { return formatBytes(bytesPerSecond) + "/s" }

// nanosecondsPerSecond converts CPU time in ns per second into cores.
const nanosecondsPerSecond = 1e9

func formatCores(nsPerSecond float64) string {
	return fmt.Sprintf("%.3g cores", nsPerSecond/nanosecondsPerSecond)
}

// formatCount formats a number as an integer with commas between thousands.
func formatCount(value float64) string {
	digits := fmt.Sprintf("%.0f", value)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}
