package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"go.uber.org/multierr"

	"fireflyfield/internal/trace"
	"fireflyfield/internal/vm"
)

// serveCommand runs one VM, configured by flags (serve mode).
type serveCommand struct {
	options   vm.Options
	logLevel  string
	logFormat string
	traceFile string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run one VM" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return `serve -name NAME -failure-domain DOMAIN -platform HOST:PORT [flags]:
  Runs one VM until SIGINT or SIGTERM, then stops gracefully. One line with the
  addresses is printed when the VM is ready.
  Example: fireflyfield serve -name vm-1 -failure-domain plateau -platform 10.0.0.5:7000
`
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(fs *flag.FlagSet) {
	o := &c.options
	fs.StringVar(&o.Name, "name", "", "name of this VM in the platform's list")
	fs.StringVar(&o.FailureDomain, "failure-domain", "", "failure domain of this VM")
	fs.StringVar(&o.Platform, "platform", "", "HOST:PORT of the platform's service")
	fs.StringVar(&o.CallerListen, "caller-listen", "127.0.0.1:7401", "HOST:PORT of the callers' listener")
	fs.StringVar(&o.PeerListen, "peer-listen", "127.0.0.1:7402", "HOST:PORT of the listener for other VMs")
	fs.StringVar(&o.OperatorListen, "operator-listen", DefaultOperatorAddress, "HOST:PORT of the operators' listener")
	fs.StringVar(&o.PeerToken, "peer-token", "", "shared secret of the VMs; empty accepts every VM")
	fs.StringVar(&o.OperatorToken, "operator-token", "", "token that operators send; needed unless -operator-listen is a loopback address")
	fs.DurationVar(&o.StopTimeout, "stop-timeout", vm.DefaultStopTimeout, "longest time of a graceful stop")
	fs.DurationVar(&o.LeaveDelay, "leave-delay", vm.DefaultLeaveDelay, "time between becoming unready and closing the callers' listener")
	fs.StringVar(&c.traceFile, "trace", "", "file to which this VM records events; empty for none")
	fs.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&c.logFormat, "log-format", "json", "json or console")
}

// Check implements Checker.
func (c *serveCommand) Check(fs *flag.FlagSet) []string {
	var faults []string
	for _, fault := range multierr.Errors(c.options.Validate()) {
		faults = append(faults, fault.Error())
	}
	logger, err := newLogger(c.logLevel, c.logFormat)
	if err != nil {
		faults = append(faults, err.Error())
	}
	c.options.Logger = logger
	return append(faults, extraArguments(fs)...)
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	sink, err := trace.CreateSink(c.traceFile)
	if err != nil {
		return fail(streams, err)
	}
	err = multierr.Append(c.run(ctx, sink, streams), sink.Close())
	if err != nil {
		return fail(streams, err)
	}
	return subcommands.ExitSuccess
}

// run starts the VM, prints its addresses when it is ready and stops it gracefully
// when the context ends.
func (c *serveCommand) run(ctx context.Context, sink *trace.Sink, streams Streams) error {
	c.options.Instance = uuid.NewString()
	writer, err := sink.Writer(c.options.TraceOptions())
	if err != nil {
		return err
	}
	c.options.Trace = writer
	started, err := vm.Start(c.options)
	if err != nil {
		return err
	}
	if started.AwaitReady(ctx) == nil {
		fmt.Fprintf(streams.Out, "ready http://%s peer=%s operator=%s\n", started.CallerAddress(), started.PeerAddress(), started.OperatorAddress())
	}
	<-ctx.Done()
	return started.Stop(context.WithoutCancel(ctx))
}
