package report

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the SVG format
)

// Dimensions of a plot and of its bars.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = vg.Length(14)
)

// Plot is a named figure that can be written as SVG.
type Plot struct {
	// Name is the file name without an extension.
	Name string
	plot *plot.Plot
}

// WriteSVG writes the figure in SVG format.
func (p Plot) WriteSVG(output io.Writer) error {
	svg, err := p.plot.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Wrapf(err, "render plot %s", p.Name)
	}
	_, err = svg.WriteTo(output)
	return wrapWriteError(err)
}

// Plots returns a figure for each metric that has data.
func (m Metrics) Plots() ([]Plot, error) {
	makers := []func() (*plot.Plot, string, error){m.plotLatency, m.plotTimeline, m.plotWorkspaces, m.plotWrongful}
	for _, b := range m.Balance {
		makers = append(makers, b.plotLoad)
	}
	var plots []Plot
	for _, makePlot := range makers {
		figure, name, err := makePlot()
		if err != nil {
			return nil, errors.Wrapf(err, "create plot %s", name)
		}
		if figure != nil {
			plots = append(plots, Plot{name, figure})
		}
	}
	return plots, nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	return p
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// plotLatency draws percentiles by their number of nines, so that the tail of the
// distribution takes most of the width.
func (m Metrics) plotLatency() (*plot.Plot, string, error) {
	const name = "latency"
	if len(m.Latency) == 0 {
		return nil, name, nil
	}
	p := newPlot("Latency of good answers", "percentile", "ms")
	p.X.Tick.Marker = plot.ConstantTicks(percentileTicks())
	for i, l := range m.Latency {
		line, err := plotter.NewLine(l.points())
		if err != nil {
			return nil, name, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(l.label(), line)
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return p, name, nil
}

func (l Latency) label() string {
	if l.Stragglers {
		return l.Service + ", during stragglers"
	}
	return l.Service
}

// nines maps 90% to 1, 99% to 2 and so on; the maximum is drawn at one nine more
// than the last percentile.
func nines(percent float64) float64 {
	if percent >= 100 {
		return 5
	}
	return -math.Log10(1 - percent/100)
}

func (l Latency) points() plotter.XYs {
	points := make(plotter.XYs, len(l.Points))
	for i, point := range l.Points {
		points[i] = plotter.XY{X: nines(point.Percent), Y: milliseconds(point.Latency)}
	}
	return points
}

func percentileTicks() []plot.Tick {
	var ticks []plot.Tick
	for _, percent := range percentiles {
		label := fmt.Sprintf("%g", percent)
		if percent >= 100 {
			label = "max"
		}
		ticks = append(ticks, plot.Tick{Value: nines(percent), Label: label})
	}
	return ticks
}

// plotTimeline draws the share of failed requests of each second, and near the top a
// bar for each departure.
func (m Metrics) plotTimeline() (*plot.Plot, string, error) {
	const name = "service"
	if len(m.Timeline) == 0 {
		return nil, name, nil
	}
	p := newPlot("Failed requests while failure domains leave and return", "s since the begin of the trace", "% of valid requests")
	line, err := plotter.NewLine(m.failedPoints())
	if err != nil {
		return nil, name, err
	}
	line.StepStyle = plotter.PostStep
	p.Add(line)
	p.Y.Max = 100
	for i, d := range m.Departures {
		if err := addDeparture(p, m.Begin, d, i); err != nil {
			return nil, name, err
		}
	}
	p.Legend.Top = true
	return p, name, nil
}

// failedPoints returns the failed share of each second. It adds a zero after a second
// that is followed by a pause, so that a pause in the traffic doesn't look like a long
// failure.
func (m Metrics) failedPoints() plotter.XYs {
	var points plotter.XYs
	for i, step := range m.Timeline {
		x := step.Start.Sub(m.Begin).Seconds()
		points = append(points, plotter.XY{X: x, Y: step.FailedShare() * 100})
		paused := i+1 < len(m.Timeline) && m.Timeline[i+1].Start.Sub(step.Start) > time.Second
		if paused {
			points = append(points, plotter.XY{X: x + 1, Y: 0})
		}
	}
	return points
}

// addDeparture draws the bar of the departure with index i. Ten successive bars have
// different heights, so that bars of simultaneous departures don't hide each other.
func addDeparture(p *plot.Plot, begin time.Time, d Departure, i int) error {
	height := 98 - 3*float64(i%10)
	bar, err := plotter.NewLine(plotter.XYs{
		{X: d.Begin.Sub(begin).Seconds(), Y: height},
		{X: d.End.Sub(begin).Seconds(), Y: height},
	})
	if err != nil {
		return err
	}
	bar.Width = vg.Points(4)
	bar.Color = plotutil.Color(i)
	p.Add(bar)
	p.Legend.Add(d.Domain+" ("+d.Cause+")", bar)
	return nil
}

func (m Metrics) plotWorkspaces() (*plot.Plot, string, error) {
	const name = "workspaces"
	var values plotter.Values
	var labels []string
	for _, w := range m.Workspaces {
		values = append(values, w.FailedShare()*100)
		labels = append(labels, w.Workspace)
	}
	figure, err := newBarChart("Failed requests by workspace", "% of valid requests", values, labels)
	return figure, name, err
}

func (m Metrics) plotWrongful() (*plot.Plot, string, error) {
	const name = "wrongful-refusals"
	var values plotter.Values
	var labels []string
	for _, r := range m.Wrongful.ByReason {
		values = append(values, float64(r.Refused))
		labels = append(labels, r.Workspace+" "+string(r.Reason))
	}
	figure, err := newBarChart("Refusals inside the rate", "requests", values, labels)
	return figure, name, err
}

func (b Balance) plotLoad() (*plot.Plot, string, error) {
	var values plotter.Values
	var labels []string
	for _, s := range b.Servers {
		values = append(values, s.Busy.Seconds())
		labels = append(labels, s.Server)
	}
	figure, err := newBarChart("Busy time of the backend servers of "+b.Service, "s", values, labels)
	return figure, "load-" + b.Service, err
}

// newBarChart returns a bar chart, or nil without values.
func newBarChart(title, unit string, values plotter.Values, labels []string) (*plot.Plot, error) {
	if len(values) == 0 {
		return nil, nil
	}
	p := newPlot(title, "", unit)
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, err
	}
	chart.Color = plotutil.Color(0)
	p.Add(chart)
	p.NominalX(labels...)
	return p, nil
}
