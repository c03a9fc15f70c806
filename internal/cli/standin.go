package cli

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	backendstandin "fireflyfield/internal/standin/backend"
	platformstandin "fireflyfield/internal/standin/platform"
)

// standinCommand runs one stand-in of an outside system.
type standinCommand struct{}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string { return "run a stand-in of the platform or a backend server" }

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return `standin platform|backend [flags]

Run one stand-in for development and tests. It prints "ready URL".
"standin platform -h" and "standin backend -h" list the flags.

Examples:
  fireflyfield standin platform -listen 127.0.0.1:7000
  fireflyfield standin backend -listen 127.0.0.1:9001 -service rota -server rota-1

`
}

// SetFlags implements subcommands.Command.
func (*standinCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*standinCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch fs.Arg(0) {
	case "platform":
		return runPlatform(ctx, fs.Args()[1:])
	case "backend":
		return runBackend(ctx, fs.Args()[1:])
	default:
		return usageError(errors.Errorf("standin %q is neither platform nor backend", fs.Arg(0)))
	}
}

func runPlatform(ctx context.Context, args []string) subcommands.ExitStatus {
	fs := flag.NewFlagSet("standin platform", flag.ContinueOnError)
	var options platformstandin.Options
	address := fs.String("listen", "127.0.0.1:7000", "HOST:PORT to listen on")
	fs.IntVar(&options.RetainRecords, "retain-records", 0, "records kept in each stream; 0 keeps all")
	fs.DurationVar(&options.ListLag, "list-lag", 0, "delay of changes of the VM list")
	if err := parse(fs, args); err != nil {
		return usageError(err)
	}
	return serveStandin(ctx, *address, platformstandin.New(options))
}

func runBackend(ctx context.Context, args []string) subcommands.ExitStatus {
	fs := flag.NewFlagSet("standin backend", flag.ContinueOnError)
	var options backendstandin.Options
	address := fs.String("listen", "127.0.0.1:9000", "HOST:PORT to listen on")
	fs.StringVar(&options.Service, "service", "", "name of the service")
	fs.StringVar(&options.Name, "server", "", "name of the backend server")
	fs.BoolVar(&options.Keyed, "keyed", false, "the service is divided by key")
	fs.BoolVar(&options.ChecksGrants, "checks-grants", false, "refuse requests without a grant in force")
	fs.IntVar(&options.Slots, "slots", 4, "requests that run at once when warm")
	fs.DurationVar(&options.RunTime, "run-time", 2*time.Millisecond, "time that a request takes")
	fs.IntVar(&options.WarmAfter, "warm-after", 20, "answers that end a cold start")
	fs.DurationVar(&options.LoadLag, "load-lag", 0, "age that a load report may reach")
	if err := parse(fs, args); err != nil {
		return usageError(err)
	}
	if options.Service == "" || options.Name == "" {
		return usageError(errors.New("-service and -server are needed"))
	}
	return serveStandin(ctx, *address, backendstandin.New(options))
}

// serveStandin answers requests until SIGINT or SIGTERM.
func serveStandin(ctx context.Context, address string, handler http.Handler) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return failure(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Printf("ready http://%s\n", socket.Addr())
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		return failure(err)
	}
	return subcommands.ExitSuccess
}
