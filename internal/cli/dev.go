package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"fireflyfield/internal/dev"
)

// devCommand runs a whole deployment in one process.
type devCommand struct {
	options  dev.Options
	logLevel string
}

// Name implements subcommands.Command.
func (*devCommand) Name() string { return "dev" }

// Synopsis implements subcommands.Command.
func (*devCommand) Synopsis() string { return "run an example deployment in one process" }

// Usage implements subcommands.Command.
func (*devCommand) Usage() string {
	return `dev [-example dakar|serra-sul] [-listen HOST:PORT]

Run stand-ins for the platform and the backend servers and one VM for each
failure domain on loopback. Print "ready URL" and a curl line that works as
pasted. Stop with SIGINT or SIGTERM.

Example:
  fireflyfield dev -example serra-sul -listen 127.0.0.1:8080

`
}

// SetFlags implements subcommands.Command.
func (c *devCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.options.Example, "example", "dakar", "dakar or serra-sul")
	fs.StringVar(&c.options.Listen, "listen", "127.0.0.1:0", "HOST:PORT of the callers' listener of the first VM")
	fs.DurationVar(&c.options.RunTime, "run-time", 2*time.Millisecond, "time that a stand-in backend server takes for a request")
	fs.IntVar(&c.options.WarmAfter, "warm-after", 20, "answers that end the cold start of a stand-in backend server")
	fs.StringVar(&c.logLevel, "log-level", "warn", "debug, info, warn or error")
}

// Execute implements subcommands.Command.
func (c *devCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := prepare(fs); err != nil {
		return usageError(err)
	}
	logger, err := newLogger(c.logLevel, "console")
	if err != nil {
		return usageError(err)
	}
	c.options.Logger = logger
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	cluster, err := dev.Start(ctx, c.options)
	if err != nil {
		return failure(err)
	}
	fmt.Printf("ready http://%s\n%s\n", cluster.VMs[0].CallerAddress(), cluster.SampleCommand())
	<-ctx.Done()
	if err := cluster.Stop(context.WithoutCancel(ctx)); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}
