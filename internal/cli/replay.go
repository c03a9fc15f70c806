package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/multierr"

	"fireflyfield/internal/check"
	"fireflyfield/internal/dev"
	"fireflyfield/internal/replay"
	"fireflyfield/internal/report"
	"fireflyfield/internal/trace"
)

// replayCommand generates, replays and checks traces and computes their metrics.
// Each command line selects exactly one of these modes.
type replayCommand struct {
	replayFile      string
	checkInvariants bool
	computeMetrics  bool
	generate        replay.GenerateOptions
	options         replay.Options
	clockTolerance  time.Duration
	outFile         string
	format          string
	plotDir         string
	logLevel        string
}

// Name implements subcommands.Command.
func (*replayCommand) Name() string { return "replay" }

// Synopsis implements subcommands.Command.
func (*replayCommand) Synopsis() string { return "generate, replay, check or measure a trace" }

// Usage implements subcommands.Command.
func (*replayCommand) Usage() string {
	return `replay -generate dakar|serra-sul -duration D -rate N -seed S -faults SCENARIO -out FILE
replay -trace FILE [-speed N] [-out FILE] [-o text|json] [-plots DIR]
replay -check FILE...
replay -metrics [-o text|json] [-plots DIR] FILE...:
  -generate writes a script of requests and faults, which is the same for the same
  seed. -trace sends the requests and faults of a script or of a recorded trace
  to a new deployment of the example in this process and prints the metrics.
  -check merges the files, prints held, broken or not exercised for each invariant
  and exits with status 1 if one is broken. -metrics prints the metrics.
  Scenarios: ` + strings.Join(replay.Scenarios(), ", ") + `.
  Example: fireflyfield replay -generate dakar -duration 20s -rate 200 -seed 1 -faults straggler -out script.jsonl
  Example: fireflyfield replay -trace script.jsonl -out run.jsonl
  Example: fireflyfield replay -check run.jsonl
`
}

// SetFlags implements subcommands.Command.
func (c *replayCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.replayFile, "trace", "", "file whose requests and faults are replayed")
	fs.BoolVar(&c.checkInvariants, "check", false, "check the invariants in the files")
	fs.BoolVar(&c.computeMetrics, "metrics", false, "compute the metrics of the files")
	fs.StringVar(&c.generate.Example, "generate", "", "dakar or serra-sul: write a script for the example")
	fs.DurationVar(&c.generate.Duration, "duration", 20*time.Second, "with -generate: time that the script covers")
	fs.Float64Var(&c.generate.Rate, "rate", 200, "with -generate: requests/s over all workspaces")
	fs.Uint64Var(&c.generate.Seed, "seed", 1, "with -generate: seed of the random numbers")
	fs.StringVar(&c.generate.Scenario, "faults", "none", "with -generate: scenario of faults")
	fs.Float64Var(&c.generate.Repeats, "repeats", 0, "with -generate: share of writes that are sent again with the same Idempotency-Key")
	fs.StringVar(&c.options.Example, "example", "", "with -trace: dakar or serra-sul; by default the one whose services are called")
	fs.Float64Var(&c.options.Speed, "speed", 1, "with -trace: factor of the recorded pace")
	fs.DurationVar(&c.options.RunTime, "run-time", 2*time.Millisecond, "with -trace: time that a stand-in backend server takes for a request")
	fs.IntVar(&c.options.WarmAfter, "warm-after", 20, "with -trace: number of answers that end the cold start of a stand-in backend server")
	fs.DurationVar(&c.clockTolerance, "clock-tolerance", 0, "with -check: difference between clocks that counts as simultaneous; 100ms for traces of several machines")
	fs.StringVar(&c.outFile, "out", "", "with -generate or -trace: file to write")
	fs.StringVar(&c.format, "o", "text", "text or json")
	fs.StringVar(&c.plotDir, "plots", "", "with -trace or -metrics: directory for plots of the metrics as SVG")
	fs.StringVar(&c.logLevel, "log-level", "error", "with -trace: debug, info, warn or error")
}

// Check implements Checker.
func (c *replayCommand) Check(fs *flag.FlagSet) []string {
	faults := c.checkModes(fs)
	if c.format != "text" && c.format != "json" {
		faults = append(faults, fmt.Sprintf("-o: %q is neither text nor json", c.format))
	}
	if c.options.Speed <= 0 {
		faults = append(faults, "-speed must be positive")
	}
	if c.options.Example != "" && !dev.Exists(c.options.Example) {
		faults = append(faults, fmt.Sprintf("-example: %q is neither dakar nor serra-sul", c.options.Example))
	}
	logger, err := newLogger(c.logLevel, "console")
	if err != nil {
		faults = append(faults, err.Error())
	}
	c.options.Logger = logger
	return faults
}

// checkModes checks that exactly one mode is selected and that it has the flags and
// arguments that it needs.
func (c *replayCommand) checkModes(fs *flag.FlagSet) []string {
	modes := 0
	for _, selected := range []bool{c.generate.Example != "", c.replayFile != "", c.checkInvariants, c.computeMetrics} {
		if selected {
			modes++
		}
	}
	switch {
	case modes != 1:
		return []string{"exactly one of -generate, -trace, -check and -metrics must be given"}
	case (c.checkInvariants || c.computeMetrics) != (fs.NArg() > 0):
		return []string{"-check and -metrics need files as arguments; -generate and -trace take none"}
	case c.generate.Example != "" && c.outFile == "":
		return []string{"-generate needs -out"}
	case c.generate.Example != "":
		return c.generate.Check()
	default:
		return nil
	}
}

// Execute implements subcommands.Command.
func (c *replayCommand) Execute(ctx context.Context, fs *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	if c.checkInvariants {
		return c.runCheck(fs.Args(), streams)
	}
	var err error
	switch {
	case c.generate.Example != "":
		err = c.runGenerate()
	case c.replayFile != "":
		err = c.runReplay(ctx, streams)
	default:
		err = c.runMetrics(fs.Args(), streams)
	}
	if err != nil {
		return fail(streams, err)
	}
	return subcommands.ExitSuccess
}

// runGenerate writes a generated script to the file of -out.
func (c *replayCommand) runGenerate() error {
	events, err := replay.Generate(c.generate)
	if err != nil {
		return err
	}
	file, err := os.Create(c.outFile)
	if err != nil {
		return err
	}
	err = trace.WriteAll(file, func(yield func(trace.Event, error) bool) {
		for _, event := range events {
			if !yield(event, nil) {
				return
			}
		}
	})
	return multierr.Append(err, file.Close())
}

// runReplay replays the requests and faults of a file against a new deployment and
// prints the metrics of the recorded trace.
func (c *replayCommand) runReplay(ctx context.Context, streams Streams) error {
	events, err := readTraces([]string{c.replayFile}, streams)
	if err != nil {
		return err
	}
	if c.options.Example == "" {
		if c.options.Example, err = replay.ExampleOf(events); err != nil {
			return err
		}
	}
	c.options.Events = events
	recorded, cleanup, err := c.recordingFile()
	if err != nil {
		return err
	}
	defer cleanup()
	if err := c.record(ctx, recorded, streams); err != nil {
		return err
	}
	return c.runMetrics([]string{recorded}, streams)
}

// recordingFile returns the name of the file to record to and a function that
// cleans up. Without -out it is a temporary file, which the function removes.
func (c *replayCommand) recordingFile() (name string, cleanup func(), err error) {
	if c.outFile != "" {
		return c.outFile, func() {}, nil
	}
	dir, err := os.MkdirTemp("", program)
	if err != nil {
		return "", nil, err
	}
	return filepath.Join(dir, "trace.jsonl"), func() { _ = os.RemoveAll(dir) }, nil
}

// record runs the replay and records its events to the file.
func (c *replayCommand) record(ctx context.Context, file string, streams Streams) error {
	sink, err := trace.CreateSink(file)
	if err != nil {
		return err
	}
	c.options.Trace = sink
	summary, err := replay.Run(ctx, c.options)
	err = multierr.Append(err, sink.Close())
	writeSummary(streams, summary)
	return err
}

// writeSummary writes the numbers of requests sent and of their statuses to standard
// error, so that standard output holds only the metrics.
func writeSummary(streams Streams, summary replay.Summary) {
	fmt.Fprintf(streams.Err, "sent %d requests, at most %s late\n", summary.Sent, summary.Late.Round(time.Millisecond))
	var statuses []int
	for status := range summary.Statuses {
		statuses = append(statuses, status)
	}
	slices.Sort(statuses)
	for _, status := range statuses {
		fmt.Fprintf(streams.Err, "  status %3d: %d\n", status, summary.Statuses[status])
	}
}

// runCheck prints the result of each invariant. The exit status is that of a failure
// if one is broken.
func (c *replayCommand) runCheck(files []string, streams Streams) subcommands.ExitStatus {
	events, err := readTraces(files, streams)
	if err != nil {
		return fail(streams, err)
	}
	options := check.DefaultOptions()
	options.ClockTolerance = c.clockTolerance
	results := check.Run(events, options)
	if err := c.writeResults(results, streams); err != nil {
		return fail(streams, err)
	}
	if check.AnyBroken(results) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *replayCommand) writeResults(results []check.Result, streams Streams) error {
	if c.format == "json" {
		return printJSON(streams.Out, results)
	}
	for _, result := range results {
		if _, err := fmt.Fprintln(streams.Out, result); err != nil {
			return err
		}
	}
	return nil
}

// runMetrics prints the metrics of the files and writes plots if -plots is given.
func (c *replayCommand) runMetrics(files []string, streams Streams) error {
	events, err := readTraces(files, streams)
	if err != nil {
		return err
	}
	objectives, err := objectivesOf(events)
	if err != nil {
		return err
	}
	metrics := report.ComputeMetrics(report.MarkInsideRate(events), objectives)
	if c.plotDir != "" {
		if err := writePlots(c.plotDir, metrics); err != nil {
			return err
		}
	}
	if c.format == "json" {
		return report.WriteJSON(streams.Out, metrics)
	}
	return metrics.WriteText(streams.Out)
}

// writePlots writes one SVG file for each metric that has data.
func writePlots(dir string, metrics report.Metrics) error {
	plots, err := metrics.Plots()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, plot := range plots {
		file, err := os.Create(filepath.Join(dir, plot.Name+".svg"))
		if err != nil {
			return err
		}
		if err := multierr.Append(plot.WriteSVG(file), file.Close()); err != nil {
			return err
		}
	}
	return nil
}
