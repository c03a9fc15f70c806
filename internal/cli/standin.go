package cli

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/google/uuid"
	"go.uber.org/multierr"

	"fireflyfield/internal/resource"
	backendstandin "fireflyfield/internal/standin/backend"
	platformstandin "fireflyfield/internal/standin/platform"
	"fireflyfield/internal/trace"
)

// standinCommand runs one stand-in for an external system: the platform or a
// backend server.
type standinCommand struct {
	listen    string
	platform  platformstandin.Options
	backend   backendstandin.Options
	key       resource.KeySource
	traceFile string
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string { return "run a stand-in of the platform or a backend server" }

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return `standin platform|backend [flags]:
  Runs one stand-in for development and tests. Prints "ready URL".
  Example: fireflyfield standin platform -listen 127.0.0.1:7000
  Example: fireflyfield standin backend -listen 127.0.0.1:9001 -service rota -server rota-1
`
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.listen, "listen", "127.0.0.1:0", "HOST:PORT to listen on")
	fs.IntVar(&c.platform.RetainRecords, "retain-records", 0, "platform: records kept in each stream; 0 keeps all")
	fs.DurationVar(&c.platform.ListLag, "list-lag", 0, "platform: delay of changes of the VM list")
	fs.StringVar(&c.backend.Service, "service", "", "backend: name of the service")
	fs.StringVar(&c.backend.Name, "server", "", "backend: name of the backend server")
	fs.BoolVar(&c.backend.Keyed, "keyed", false, "backend: the service is divided by key")
	fs.BoolVar(&c.backend.ChecksGrants, "checks-grants", false, "backend: refuse requests without a grant in force")
	fs.StringVar(&c.backend.FailureDomain, "failure-domain", "", "backend: failure domain; needed with -trace")
	fs.IntVar(&c.key.PathSegment, "key-segment", 1, "backend: path segment that holds the owned key, for -trace")
	fs.StringVar(&c.key.Header, "key-header", "", "backend: header that holds the owned key instead, for -trace")
	fs.StringVar(&c.traceFile, "trace", "", "backend: file to which events are recorded; empty for none")
	fs.IntVar(&c.backend.Slots, "slots", 4, "backend: requests that run at once when warm")
	fs.DurationVar(&c.backend.RunTime, "run-time", 2*time.Millisecond, "backend: time that a request takes")
	fs.IntVar(&c.backend.WarmAfter, "warm-after", 20, "backend: number of answers that end a cold start")
	fs.DurationVar(&c.backend.LoadLag, "load-lag", 0, "backend: age that a load report may reach")
}

// Check implements Checker.
func (c *standinCommand) Check(fs *flag.FlagSet) []string {
	switch {
	case fs.NArg() != 1 || fs.Arg(0) != "platform" && fs.Arg(0) != "backend":
		return []string{"expected one argument: platform or backend"}
	case fs.Arg(0) == "backend" && (c.backend.Service == "" || c.backend.Name == ""):
		return []string{"a backend needs -service and -server"}
	case c.traceFile != "" && (fs.Arg(0) != "backend" || c.backend.FailureDomain == ""):
		return []string{"-trace is only for a backend and needs -failure-domain"}
	case c.key.PathSegment < 1:
		return []string{"-key-segment must be at least 1"}
	default:
		return nil
	}
}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, fs *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	sink, err := trace.CreateSink(c.traceFile)
	if err != nil {
		return fail(streams, err)
	}
	err = multierr.Append(c.run(ctx, fs.Arg(0), sink, streams), sink.Close())
	if err != nil {
		return fail(streams, err)
	}
	return subcommands.ExitSuccess
}

// run serves the stand-in of the kind, platform or backend, until the context ends.
func (c *standinCommand) run(ctx context.Context, kind string, sink *trace.Sink, streams Streams) error {
	if kind == "platform" {
		return serveStandin(ctx, c.listen, platformstandin.New(c.platform), streams)
	}
	if c.backend.Keyed {
		c.backend.KeyOf = backendstandin.KeyOf(c.key)
	}
	writer, err := sink.Writer(c.backend.TraceOptions(uuid.NewString()))
	if err != nil {
		return err
	}
	c.backend.Trace = writer
	return serveStandin(ctx, c.listen, backendstandin.New(c.backend), streams)
}

// serveStandin listens on the address, prints its URL and answers requests until
// the context ends.
func serveStandin(ctx context.Context, address string, handler http.Handler, streams Streams) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for stand-in requests")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	if standin, ok := handler.(*backendstandin.Server); ok {
		server.ConnContext = standin.ConnContext
	}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Fprintf(streams.Out, "ready http://%s\n", socket.Addr())
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve stand-in requests")
	}
	return nil
}
