package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"fireflyfield/internal/capacity"
	"fireflyfield/internal/report"
)

// reportCommand reports how fast services and workspaces use up their error
// budgets in a trace, or the capacity computed from benchmark results.
type reportCommand struct {
	traceFile string
	benchFile string
	format    string
	step      time.Duration
}

// Name implements subcommands.Command.
func (*reportCommand) Name() string { return "report" }

// Synopsis implements subcommands.Command.
func (*reportCommand) Synopsis() string { return "report service-level burn or capacity" }

// Usage implements subcommands.Command.
func (*reportCommand) Usage() string {
	return `report -trace FILE [-step D] [-o text|json] [FILE...]
report -capacity BENCHFILE:
  -trace merges the files and prints how fast each service and workspace uses up
  its error budget. -capacity reads the output of go test -bench and prints the
  table of docs/CAPACITY.md as Markdown.
  Example: fireflyfield report -trace run.jsonl
  Example: go test -run '^$' -bench . ./internal/... > bench.txt; fireflyfield report -capacity bench.txt
`
}

// SetFlags implements subcommands.Command.
func (c *reportCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.traceFile, "trace", "", "file whose service-level burn is reported; further files may follow as arguments")
	fs.StringVar(&c.benchFile, "capacity", "", "file with the output of go test -bench")
	fs.DurationVar(&c.step, "step", report.DefaultStep, "with -trace: length of one sample")
	fs.StringVar(&c.format, "o", "text", "with -trace: text or json")
}

// Check implements Checker.
func (c *reportCommand) Check(fs *flag.FlagSet) []string {
	var faults []string
	if (c.traceFile == "") == (c.benchFile == "") {
		faults = append(faults, "exactly one of -trace and -capacity must be given")
	}
	if c.benchFile != "" && fs.NArg() > 0 {
		faults = append(faults, "-capacity takes no arguments")
	}
	if c.format != "text" && c.format != "json" {
		faults = append(faults, fmt.Sprintf("-o: %q is neither text nor json", c.format))
	}
	if c.step <= 0 {
		faults = append(faults, "-step must be positive")
	}
	return faults
}

// Execute implements subcommands.Command.
func (c *reportCommand) Execute(_ context.Context, fs *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	run := c.runBurn
	if c.benchFile != "" {
		run = c.runCapacity
	}
	if err := run(fs.Args(), streams); err != nil {
		return fail(streams, err)
	}
	return subcommands.ExitSuccess
}

// runBurn prints how fast each service and workspace uses up its error budget.
func (c *reportCommand) runBurn(files []string, streams Streams) error {
	events, err := readTraces(append([]string{c.traceFile}, files...), streams)
	if err != nil {
		return err
	}
	objectives, err := objectivesOf(events)
	if err != nil {
		return err
	}
	samples := report.SamplesOf(report.MarkInsideRate(events), objectives, c.step)
	burn := report.ComputeBurn(samples, objectives, report.DefaultWindows())
	if c.format == "json" {
		return report.WriteJSON(streams.Out, burn)
	}
	return burn.WriteText(streams.Out)
}

// runCapacity prints the capacity table computed from the output of go test -bench.
func (c *reportCommand) runCapacity(_ []string, streams Streams) error {
	bench, err := os.Open(c.benchFile)
	if err != nil {
		return err
	}
	defer bench.Close()
	return capacity.Run(bench, streams.Out, capacity.TargetSizing())
}
