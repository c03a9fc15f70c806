package cli

import (
	"context"
	"flag"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"fireflyfield/internal/decisionlog"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/router"
	"fireflyfield/platform"
)

const (
	// memoryPart is the part of the memory limit at which the garbage collector works
	// harder; the rest is for the kernel's buffers and for peaks.
	memoryPart = 0.6
	// garbagePercent lets the heap grow before a collection: the heap is small, and
	// processor time is scarcer than memory.
	garbagePercent = 200
)

// routeCommand runs one VM on the platform.
type routeCommand struct {
	settings    string
	metricsPort int
	logLevel    string
}

// Name implements subcommands.Command.
func (*routeCommand) Name() string { return "route" }

// Synopsis implements subcommands.Command.
func (*routeCommand) Synopsis() string { return "run one VM on the users' platform" }

// Usage implements subcommands.Command.
func (*routeCommand) Usage() string {
	return `route [-settings FILE] [-log-level LEVEL]:
  Runs one VM with the platform's settings file until SIGINT or SIGTERM, then
  stops gracefully. Logs go to standard output as JSON lines.
  Example: fireflyfield route -settings /etc/fireflyfield/local.conf
`
}

// SetFlags implements subcommands.Command.
func (c *routeCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.settings, "settings", "", "settings file of the platform; if empty, "+platform.SettingsVariable+" names it")
	fs.IntVar(&c.metricsPort, "metrics-port", 9464, "port of the metrics listener on the VM's address")
	fs.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error")
}

// Check implements Checker.
func (c *routeCommand) Check(fs *flag.FlagSet) []string {
	faults := extraArguments(fs)
	if c.settings == "" {
		c.settings = os.Getenv(platform.SettingsVariable)
	}
	if c.settings == "" {
		faults = append(faults, "-settings: a file is needed")
	}
	if _, err := zapcore.ParseLevel(c.logLevel); err != nil {
		faults = append(faults, "-log-level: "+err.Error())
	}
	return faults
}

// Execute implements subcommands.Command.
func (c *routeCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	settings, err := platform.ReadSettings(c.settings)
	if err != nil {
		return fail(streams, err)
	}
	errors.DisableTrace()
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryBytes)))
	level, err := zapcore.ParseLevel(c.logLevel)
	if err != nil {
		return fail(streams, err)
	}
	writer := decisionlog.NewWriter(streams.Out)
	logger := decisionlog.NewLogger(writer, level).With(zap.String("vm", settings.VM))
	options := platform.RouterOptions(settings, uuid.NewString(), logger)
	options.MetricsListen = net.JoinHostPort(settings.IP, strconv.Itoa(c.metricsPort))
	r, err := router.New(options)
	if err != nil {
		return fail(streams, err)
	}
	go c.reload(ctx, r, logger)
	if err := r.Run(ctx); err != nil {
		logger.Error("the VM failed", logfield.Error(err))
		return fail(streams, err)
	}
	return subcommands.ExitSuccess
}

// reload reads the settings again at each SIGHUP. A file that cannot be used leaves
// the settings as they are.
func (c *routeCommand) reload(ctx context.Context, r *router.Router, logger *zap.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		settings, err := platform.ReadSettings(c.settings)
		if err != nil {
			logger.Error("settings were not reloaded", logfield.Error(err))
			continue
		}
		r.Reload(platform.RouterOptions(settings, "", logger))
	}
}
