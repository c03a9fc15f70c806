package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/multierr"

	"fireflyfield/internal/dev"
	"fireflyfield/internal/trace"
)

// devCommand runs an example deployment in one process: VMs and stand-ins for the
// platform and the backend servers.
type devCommand struct {
	options   dev.Options
	logLevel  string
	traceFile string
}

// Name implements subcommands.Command.
func (*devCommand) Name() string { return "dev" }

// Synopsis implements subcommands.Command.
func (*devCommand) Synopsis() string { return "run an example deployment in one process" }

// Usage implements subcommands.Command.
func (*devCommand) Usage() string {
	return `dev [-example dakar|serra-sul] [-listen HOST:PORT] [-trace FILE]:
  Runs stand-ins for the platform and the backend servers and one VM for each
  failure domain on loopback. Prints "ready URL" and a curl line that works as
  pasted. Stops with SIGINT or SIGTERM.
  Example: fireflyfield dev -example serra-sul -listen 127.0.0.1:8080
`
}

// SetFlags implements subcommands.Command.
func (c *devCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.options.Example, "example", "dakar", "dakar or serra-sul")
	fs.StringVar(&c.options.Listen, "listen", "127.0.0.1:0", "HOST:PORT of the callers' listener of the first VM")
	fs.DurationVar(&c.options.RunTime, "run-time", 2*time.Millisecond, "time that a stand-in backend server takes for a request")
	fs.IntVar(&c.options.WarmAfter, "warm-after", 20, "number of answers that end the cold start of a stand-in backend server")
	fs.StringVar(&c.traceFile, "trace", "", "file to which every process of the deployment records events; empty for none")
	fs.StringVar(&c.logLevel, "log-level", "warn", "debug, info, warn or error")
}

// Check implements Checker.
func (c *devCommand) Check(fs *flag.FlagSet) []string {
	var faults []string
	if !dev.Exists(c.options.Example) {
		faults = append(faults, fmt.Sprintf("-example: %q is neither dakar nor serra-sul", c.options.Example))
	}
	logger, err := newLogger(c.logLevel, "console")
	if err != nil {
		faults = append(faults, err.Error())
	}
	c.options.Logger = logger
	return append(faults, extraArguments(fs)...)
}

// Execute implements subcommands.Command.
func (c *devCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	sink, err := trace.CreateSink(c.traceFile)
	if err != nil {
		return fail(streams, err)
	}
	c.options.Trace = sink
	err = multierr.Append(c.run(ctx, streams), sink.Close())
	if err != nil {
		return fail(streams, err)
	}
	return subcommands.ExitSuccess
}

// run starts the deployment, prints its addresses and stops it when the context ends.
func (c *devCommand) run(ctx context.Context, streams Streams) error {
	cluster, err := dev.Start(ctx, c.options)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "ready http://%s\n%s\n", cluster.VMs[0].CallerAddress(), cluster.SampleCommand())
	fmt.Fprintf(streams.Out, "operators: fireflyfield get -address %s Service\n", cluster.VMs[0].OperatorAddress())
	<-ctx.Done()
	return cluster.Stop(context.WithoutCancel(ctx))
}
